"""Chooses the zones of a new job."""

from collections.abc import Mapping, Sequence

from basilhold.core import ClassKind, JobSpec, Resources, ZoneName
from basilhold.placement import split_over_zones
from basilhold.ports import VmRecord, VmState
from basilhold.sharding import ShardSummary

__all__ = ["choose_zones"]


def choose_zones(
    spec: JobSpec,
    workers: Sequence[VmRecord],
    summaries: Mapping[ZoneName, ShardSummary],
) -> dict[ZoneName, int]:
    """Return how many tasks of a job each zone gets.

    A service is spread over the zones that can run its tasks. Any other job goes
    whole to the zone with the shortest queue for its free room; a gang only to zones
    that can hold all of it.

    Parameters
    ----------
    spec : JobSpec
        Must have passed the admission check.
    workers : sequence of VmRecord
    summaries : mapping of ZoneName to ShardSummary
        What the owners published last; zones may be missing.
    """
    slots: dict[ZoneName, int] = {}
    for record in workers:
        if record.state is VmState.LIVE and spec.task_resources.fits_in(
            record.capacity
        ):
            count = slots_within(record.capacity, spec.task_resources)
            slots[record.zone] = slots.get(record.zone, 0) + count
    free = {
        zone: slots_within(summaries[zone].free, spec.task_resources)
        if zone in summaries
        else 0
        for zone in slots
    }
    if spec.kind is ClassKind.SERVICE and spec.task_count > 1:
        return split_over_zones(spec.task_count, free)
    if spec.kind is ClassKind.GANG:
        slots = {z: count for z, count in slots.items() if count >= spec.task_count}

    def preference(zone: ZoneName) -> tuple[int, float, ZoneName]:
        summary = summaries.get(zone)
        waiting = summary.waiting_tasks if summary else 0
        room = min(free[zone], spec.task_count)
        return (-room, waiting / slots[zone], zone)

    return {min(slots, key=preference): spec.task_count}


def slots_within(free: Resources, size: Resources) -> int:
    """Return how many tasks of a size fit in an amount of resources.

    Examples
    --------
    >>> slots_within(Resources(4000, 8 << 30, 0), Resources(1000, 4 << 30, 0))
    2
    """
    counts = [
        have // need
        for have, need in (
            (free.cores_milli, size.cores_milli),
            (free.memory_bytes, size.memory_bytes),
            (free.gpus_milli, size.gpus_milli),
        )
        if need
    ]
    return max(0, min(counts, default=0))
