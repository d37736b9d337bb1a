"""Load of each role at a size, from the slopes."""

import msgspec

from basilhold.capacity.measure import Measurements
from basilhold.capacity.size import TwoYearSize

__all__ = [
    "RoleLoad",
    "ShardPeak",
    "role_loads",
    "scheduler_cores",
    "shard_peak",
    "slot_message_bytes",
    "slot_messages_per_s",
]

SCAN_S = 60
SCAN_PAGE_ROWS = 500
"""Of the measured jobs; the design states jobs a day and starts at peak only."""

TASKS_PER_JOB = 5
"""Of the measured jobs; the design states jobs a day and starts at peak only."""

DIRECTORY_READS_PER_S = 0.2
"""Each scheduler reads the shard rows every 5 s (``directory_interval_ms``)."""

MEASURED_ZONES = 2
"""Zones of the region in which slot reports are measured."""

DAY_S = 86_400


class RoleLoad(msgspec.Struct, frozen=True):
    """Load of one process, or of one outside part, at the two-year size.

    Parameters
    ----------
    role, state : str
    messages_per_s, store_ops_per_s, bytes_per_s : float
    cores, resident_mb : float or None
        ``None`` where the role is not a process of the system.
    """

    role: str
    state: str
    messages_per_s: float
    cores: float | None
    resident_mb: float | None
    store_ops_per_s: float
    bytes_per_s: float


class ShardPeak(msgspec.Struct, frozen=True):
    """Load of one shard's owner for the shard alone, at peak.

    Parameters
    ----------
    exchanges, worker_bytes : float
        With workers, per second; bytes in both directions.
    scan_bytes, written_bytes : float
        Rows of the scans and of the transactions, per second.
    store_writes, store_reads : float
    memory_mb : float
    """

    exchanges: float
    worker_bytes: float
    scan_bytes: float
    written_bytes: float
    store_writes: float
    store_reads: float
    memory_mb: float


def shard_peak(data: Measurements, size: TwoYearSize) -> ShardPeak:
    """Return the load of one shard with all its workers and starts at peak."""
    workers, starts = size.workers_per_shard, size.starts_per_shard
    finished = size.finished_jobs_per_shard

    def load(key: str) -> float:
        steady = data.slopes[f"steady {key}"].at(workers)
        return steady + data.slopes[f"churn {key}"].per_unit * starts

    def kb(key: str, count: float) -> float:
        return data.slopes[key].per_unit * count

    memory_kb = (
        data.slopes["shard memory by worker"].at(workers)
        + kb("shard memory by task", size.tasks_per_shard)
        + kb("shard memory by finished job", finished)
        + kb("planner memory by task", size.waiting_tasks_per_shard)
    )
    return ShardPeak(
        load("exchanges"),
        load("sent_bytes") + load("received_bytes"),
        data.slopes["job rows"].per_unit * finished / SCAN_S,
        load("written_bytes"),
        data.slopes["churn store_writes"].at(starts),
        data.slopes["churn store_reads"].at(starts)
        + finished / SCAN_PAGE_ROWS / SCAN_S,
        memory_kb / 1000,
    )


def scheduler_cores(data: Measurements, size: TwoYearSize, starts: float) -> float:
    """Return the processor time per second of a scheduler that owns one shard.

    Parameters
    ----------
    data : Measurements
    size : TwoYearSize
    starts : float
        Task starts per second.
    """
    idle_ms = data.slopes["processes scheduler_ms"].at(size.workers_per_shard)
    return (idle_ms + data.slopes["scheduler time"].per_unit * starts) / 1000


def slot_message_bytes(data: Measurements, upstreams: float) -> float:
    """Return the mean bytes of a report or grant, which names the tokens held."""
    idle = "idle by upstream slot_"
    rate = data.slopes[f"{idle}messages"].at(upstreams)
    return data.slopes[f"{idle}bytes"].at(upstreams) / rate


def slot_messages_per_s(data: Measurements, size: TwoYearSize) -> float:
    """Return the most reports and grants of a gateway under demand.

    Their rate depends on how demand changes, not on the size of the cell, so it is the
    largest that was measured, for each zone of the region.
    """
    samples = (
        *data.slopes["busy slot_messages"].samples,
        *data.slopes["busy by upstream slot_messages"].samples,
    )
    largest = max(sample.value for sample in samples)
    return largest / MEASURED_ZONES * max(size.zones_per_region)


def _list_mb(data: Measurements, size: TwoYearSize) -> float:
    return data.slopes["VM list memory_kb"].at(size.listed_vms) / 1000


def _scheduler(data: Measurements, size: TwoYearSize) -> RoleLoad:
    peak, slopes = shard_peak(data, size), data.slopes
    idle = data.daemons.idle["scheduler"].resident_kb / 1000
    # One standby probes each shard's owner, whatever the number of schedulers.
    probes = slopes["probes messages"].at(size.shards) / size.entry_vms
    probe_bytes = slopes["probes bytes"].at(size.shards) / size.entry_vms
    return RoleLoad(
        "scheduler",
        f"one shard: {size.workers_per_shard:.0f} workers, "
        f"{size.tasks_per_shard:.0f} running tasks, "
        f"{size.waiting_tasks_per_shard} waiting tasks, "
        f"{size.finished_jobs_per_shard:.0f} finished jobs; the VM list",
        peak.exchanges + probes,
        scheduler_cores(data, size, starts=size.starts_per_shard),
        idle + peak.memory_mb + _list_mb(data, size),
        peak.store_writes + peak.store_reads + DIRECTORY_READS_PER_S,
        peak.worker_bytes + peak.scan_bytes + peak.written_bytes + probe_bytes,
    )


def _gateway(data: Measurements, size: TwoYearSize) -> RoleLoad:
    slopes = data.slopes
    regional = size.upstreams / len(size.zones_per_region)
    messages = slot_messages_per_s(data, size)
    slot_bytes = messages * slot_message_bytes(data, regional)
    watcher = slopes["relays watcher_bytes"].at(size.entry_vms)
    queue_mb = slopes["queued requests"].at(2_000) / 1000
    idle = data.daemons.idle["gateway"].resident_kb / 1000
    return RoleLoad(
        "gateway",
        f"slot tokens of {regional:.0f} upstreams of its region, shared with the "
        "region's gateways; 2,000 waiting requests; the VM list",
        messages,
        data.daemons.idle_cores["gateway"],
        idle + queue_mb + _list_mb(data, size),
        0.0,
        slot_bytes + watcher,
    )


def _relay(data: Measurements, size: TwoYearSize) -> RoleLoad:
    slopes, vms = data.slopes, size.listed_vms
    changes = slopes["VM change"].at(size.entry_vms) * size.list_changes_per_s
    streams = slopes["relays reader_bytes"].at(size.entry_vms)
    idle = data.daemons.idle["relay"].resident_kb / 1000
    return RoleLoad(
        "relay",
        f"reader of the store's region: {vms} VMs twice (last and new list), "
        f"{size.shards} shard locations, 2 documents, streams to the region's "
        "processes and to 4 relays",
        slopes["relays reader_messages"].at(size.entry_vms),
        slopes["processes relay_ms"].at(vms) / 1000,
        idle + 2 * _list_mb(data, size),
        slopes["relays store_operations"].at(size.entry_vms),
        streams + changes + slopes["VM list size_bytes"].at(vms),
    )


def _store(data: Measurements, size: TwoYearSize) -> RoleLoad:
    peak, shards = shard_peak(data, size), size.shards
    jobs = size.starts_per_s / TASKS_PER_JOB
    operations = shards * (peak.store_writes + peak.store_reads) + jobs
    operations += data.slopes["relays store_operations"].at(size.entry_vms)
    operations += size.entry_vms * DIRECTORY_READS_PER_S
    row_bytes = data.slopes["job rows"].per_unit
    return RoleLoad(
        "store",
        f"{size.jobs_per_day} job rows and as many `jobid/` rows, {size.workers} "
        f"worker rows, {shards} shard and commit rows, at-most-once records of a day",
        operations,
        None,
        None,
        operations,
        shards * (peak.scan_bytes + peak.written_bytes) + jobs * row_bytes,
    )


def _paid_links(data: Measurements, size: TwoYearSize) -> RoleLoad:
    peak, slopes = shard_peak(data, size), data.slopes
    remote = size.shards - size.zones_per_region[0]
    regions = len(size.zones_per_region) - 1
    config = slopes["configuration change paid_bytes_per_region"].at(size.entry_vms)
    config *= regions * size.config_changes_per_day / DAY_S
    return RoleLoad(
        "paid links",
        f"store traffic of the {remote} shards outside the store's region, relay "
        f"streams to {regions} regions",
        remote * (peak.store_writes + peak.store_reads),
        None,
        None,
        remote * (peak.store_writes + peak.store_reads),
        remote * (peak.scan_bytes + peak.written_bytes)
        + slopes["relays paid_bytes"].at(size.entry_vms)
        + config,
    )


def _worker(data: Measurements, size: TwoYearSize) -> RoleLoad:
    peak = shard_peak(data, size)
    return RoleLoad(
        "worker",
        f"{size.running_tasks / size.workers:.0f} tasks and one lease",
        peak.exchanges / size.workers_per_shard,
        None,
        None,
        0.0,
        peak.worker_bytes / size.workers_per_shard,
    )


def role_loads(data: Measurements, size: TwoYearSize) -> tuple[RoleLoad, ...]:
    """Return the load of each role at a size, at peak."""
    makers = (_gateway, _scheduler, _relay, _store, _paid_links, _worker)
    return tuple(make(data, size) for make in makers)
