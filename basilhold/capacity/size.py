"""The two-year size and the bounds of the design."""

import msgspec

__all__ = ["TWO_YEAR_SIZE", "Bounds", "TwoYearSize"]


class TwoYearSize(msgspec.Struct, frozen=True):
    """Size of one cell in two years (design section 3), and assumptions beside it.

    Parameters
    ----------
    workers, jobs_per_day, starts_per_s, running_tasks, teams : int
    zones_per_region : tuple of int
    config_changes_per_day, vm_failures_per_day, vm_restarts_per_day : int
    waiting_tasks_per_shard : int
        Bound of one team's queued tasks, all in one shard.
    upstreams : int
        Not stated by the design: ten times today's.
    list_changes_per_restart : int
        A VM is shown as leaving, removed and added again.
    """

    workers: int = 2_400
    jobs_per_day: int = 43_000
    starts_per_s: int = 290
    running_tasks: int = 19_000
    teams: int = 58
    zones_per_region: tuple[int, ...] = (3, 2, 2, 2, 2)
    config_changes_per_day: int = 860
    vm_failures_per_day: int = 15
    vm_restarts_per_day: int = 670
    waiting_tasks_per_shard: int = 10_000
    upstreams: int = 270
    list_changes_per_restart: int = 3

    @property
    def shards(self) -> int:
        """One shard for each availability zone."""
        return sum(self.zones_per_region)

    @property
    def entry_vms(self) -> int:
        """One owner for each shard and a spare in each region."""
        return self.shards + len(self.zones_per_region)

    @property
    def workers_per_shard(self) -> float:
        """Workers of one zone."""
        return self.workers / self.shards

    @property
    def tasks_per_shard(self) -> float:
        """Running tasks of one zone."""
        return self.running_tasks / self.shards

    @property
    def starts_per_shard(self) -> float:
        """Starts per second of one zone at peak."""
        return self.starts_per_s / self.shards

    @property
    def finished_jobs_per_shard(self) -> float:
        """Jobs whose rows are kept for a day."""
        return self.jobs_per_day / self.shards

    @property
    def list_changes_per_s(self) -> float:
        """Changes of the VM list."""
        vms = self.vm_failures_per_day + self.vm_restarts_per_day
        return vms * self.list_changes_per_restart / 86_400

    @property
    def listed_vms(self) -> int:
        """VMs in the VM list."""
        return self.workers + self.upstreams + self.entry_vms


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of the design, sections 3 and 8."""

    daemon_cores: float = 0.014
    daemon_resident_mb: float = 64
    daemon_bytes_per_s: float = 7_000
    urgent_wait_s: float = 9.1
    config_change_s: float = 4
    store_writes_at_3000: float = 300
    idle_store_writes: float = 4
    store_writes_per_s: float = 300
    store_reads_per_s: float = 2_000


TWO_YEAR_SIZE = TwoYearSize()
