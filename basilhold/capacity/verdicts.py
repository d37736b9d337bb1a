"""Bounds of the design beside the figures at the two-year size."""

from collections.abc import Iterator

import msgspec

from basilhold.capacity.measure import Measurements
from basilhold.capacity.roles import (
    DIRECTORY_READS_PER_S,
    MEASURED_ZONES,
    TASKS_PER_JOB,
    RoleLoad,
    role_loads,
    scheduler_cores,
    shard_peak,
)
from basilhold.capacity.size import Bounds, TwoYearSize

__all__ = ["Verdict", "verdicts"]

DAEMON_ROLES = ("gateway", "scheduler", "relay")


class Verdict(msgspec.Struct, frozen=True):
    """One bound and the figure that is compared with it."""

    name: str
    value: float
    bound: float
    unit: str

    @property
    def holds(self) -> bool:
        """Whether the figure is within the bound."""
        return self.value <= self.bound


def _daemon(load: RoleLoad, bounds: Bounds) -> Iterator[Verdict]:
    role = load.role
    cores, mb = (load.cores or 0) * 100, load.resident_mb or 0
    yield Verdict(f"{role}: processor", cores, bounds.daemon_cores * 100, "% of a core")
    yield Verdict(f"{role}: resident memory", mb, bounds.daemon_resident_mb, "MB")
    limit = bounds.daemon_bytes_per_s / 1000
    yield Verdict(f"{role}: control traffic", load.bytes_per_s / 1000, limit, "KB/s")


def _idle_traffic(
    data: Measurements, size: TwoYearSize, bounds: Bounds
) -> Iterator[Verdict]:
    """Compare the parts that are there without any starts or demand."""
    slopes, limit = data.slopes, bounds.daemon_bytes_per_s / 1000
    regional = size.upstreams / len(size.zones_per_region)
    slots = slopes["idle by upstream slot_bytes"].at(regional)
    slots *= max(size.zones_per_region) / MEASURED_ZONES / 1000
    yield Verdict("gateway: control traffic without demand", slots, limit, "KB/s")
    leases = sum(
        slopes[f"steady {key}"].at(size.workers_per_shard)
        for key in ("sent_bytes", "received_bytes")
    )
    yield Verdict(
        "scheduler: lease renewals and reports alone", leases / 1000, limit, "KB/s"
    )
    streams = slopes["relays reader_bytes"].at(size.entry_vms) / 1000
    yield Verdict("relay: streams without the VM list", streams, limit, "KB/s")


def _scheduler(
    data: Measurements, size: TwoYearSize, bounds: Bounds, load: RoleLoad
) -> Iterator[Verdict]:
    second_mb = (load.resident_mb or 0) + shard_peak(data, size).memory_mb
    yield Verdict(
        "scheduler: resident memory with a second shard",
        second_mb,
        bounds.daemon_resident_mb,
        "MB",
    )
    yield Verdict(
        "scheduler: processor without task starts",
        scheduler_cores(data, size, starts=0) * 100,
        bounds.daemon_cores * 100,
        "% of a core",
    )


def _times(data: Measurements, size: TwoYearSize, bounds: Bounds) -> Iterator[Verdict]:
    wait = data.slopes["urgent wait"].at(size.workers_per_shard)
    yield Verdict(
        "urgent work, owner killed at its arrival", wait, bounds.urgent_wait_s, "s"
    )
    change = data.slopes["configuration change in_force_ms"].at(size.entry_vms) / 1000
    yield Verdict("configuration change in force", change, bounds.config_change_s, "s")


def _store(data: Measurements, size: TwoYearSize, bounds: Bounds) -> Iterator[Verdict]:
    peak, slopes = shard_peak(data, size), data.slopes
    relays = slopes["relays store_operations"].at(size.entry_vms)
    directory = size.entry_vms * DIRECTORY_READS_PER_S
    idle = slopes["idle store writes"].at(size.shards)
    yield Verdict(
        "store writes at 3,000 placements/s",
        data.placement_writes_per_s,
        bounds.store_writes_at_3000,
        "/s",
    )
    yield Verdict(
        "idle store writes, relay operations included",
        idle + relays,
        bounds.idle_store_writes,
        "/s",
    )
    yield Verdict(
        "store writes at peak, without keyed requests",
        peak.store_writes * size.shards + size.starts_per_s / TASKS_PER_JOB,
        bounds.store_writes_per_s,
        "/s",
    )
    yield Verdict(
        "store reads at peak",
        peak.store_reads * size.shards + relays + directory,
        bounds.store_reads_per_s,
        "/s",
    )


def verdicts(
    data: Measurements, size: TwoYearSize, bounds: Bounds
) -> tuple[Verdict, ...]:
    """Return every bound with its figure."""
    loads = [load for load in role_loads(data, size) if load.role in DAEMON_ROLES]
    daemons = (verdict for load in loads for verdict in _daemon(load, bounds))
    return (
        *daemons,
        *_scheduler(data, size, bounds, loads[1]),
        *_idle_traffic(data, size, bounds),
        *_times(data, size, bounds),
        *_store(data, size, bounds),
    )
