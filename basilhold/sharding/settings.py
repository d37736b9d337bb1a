"""Intervals and bounds of sharding."""

import msgspec

__all__ = ["ShardingSettings"]


class ShardingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and bounds; the defaults are those of the design.

    Parameters
    ----------
    renew_shard_ms, horizon_ms : int
        Interval of the shard row's renewal, and how far ahead it sets the horizon.
    stale_shard_ms : int
        A shard that was not renewed for this long is taken over.
    probe_interval_ms, probe_failures : int
        Consecutive failed probes after which a shard is taken over.
    takeover_gap_ms : int
        Least time between two takeovers of a shard.
    rank_delay_ms : int
        Extra wait of each less preferred successor; it only avoids conflicts.
    directory_interval_ms : int
        Interval at which the shard rows are read.
    peers_interval_ms, remote_peers_interval_ms : int
        Intervals at which owners of the same region and of others are asked for the
        free capacity and the teams' usage of their shards.
    renew_worker_ms, lease_ms : int
        Interval and length of worker leases.
    retry_ms : int
        Wait before an unreachable worker is called again.
    usage_interval_ms : int
        Interval of full reports, which carry usage.
    commit_placements_max : int
        Placements in one transaction.
    commit_interval_ms : int
        Least time between two commits (25 a second).
    commit_gather_ms : int
        Time between commits when less than a full batch waits.
    store_retry_ms, store_retry_max_ms : int
        First and longest wait after a failed store operation.
    job_scan_ms : int
        Interval of the scan that finds jobs whose notice was lost.
    calls_in_flight_max : int
        Worker calls in flight per shard.
    task_failures_max : int
        Failures of one task, on any workers, after which it fails for good. Keeps
        a task from being tried for ever where fewer than three workers exist.
    finished_retention_ms : int
        Time for which rows of finished jobs are kept.
    """

    renew_shard_ms: int = 5_000
    horizon_ms: int = 75 * 60_000
    stale_shard_ms: int = 15_000
    probe_interval_ms: int = 1_000
    probe_failures: int = 3
    takeover_gap_ms: int = 10_000
    rank_delay_ms: int = 5_000
    directory_interval_ms: int = 5_000
    peers_interval_ms: int = 5_000
    remote_peers_interval_ms: int = 30_000
    renew_worker_ms: int = 10_000
    lease_ms: int = 30_000
    retry_ms: int = 1_000
    usage_interval_ms: int = 60_000
    commit_placements_max: int = 200
    commit_interval_ms: int = 40
    commit_gather_ms: int = 100
    store_retry_ms: int = 250
    store_retry_max_ms: int = 4_000
    job_scan_ms: int = 60_000
    calls_in_flight_max: int = 64
    task_failures_max: int = 9
    finished_retention_ms: int = 24 * 3_600_000

    def outside_store_region(self) -> "ShardingSettings":
        """Return the settings of a process whose store traffic is paid for.

        At the intervals of the store's region, two idle schedulers sent 966 bytes/s
        across the paid link. Dead owners are found by probes, so the longer intervals
        do not delay a takeover.
        """
        return msgspec.structs.replace(
            self,
            renew_shard_ms=2 * self.renew_shard_ms,
            stale_shard_ms=2 * self.stale_shard_ms,
            directory_interval_ms=6 * self.directory_interval_ms,
        )
