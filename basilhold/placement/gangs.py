"""Choice of the workers on which a whole gang starts."""

from collections.abc import Iterable

from basilhold.core import Resources
from basilhold.placement.lanes import LaneKey
from basilhold.placement.selection import fitting_workers
from basilhold.placement.shapes import count_fitting
from basilhold.placement.shard_state import ShardState
from basilhold.placement.workers import WorkerState

__all__ = ["choose_gang_workers"]

_CANDIDATE_SLOTS_RATIO = 4
"""The search for workers stops once they have room for this multiple of the gang's
tasks, and racks are chosen among them. This bounds the search on an empty shard."""


def choose_gang_workers(
    state: ShardState,
    key: LaneKey,
    count: int,
    reserved: Iterable[WorkerState],
    starving: bool,
) -> list[WorkerState] | None:
    """Choose workers on which all tasks of a gang can start now, on few racks.

    Parameters
    ----------
    state : ShardState
    key : LaneKey
        The gang's lane.
    count : int
        Number of tasks that start together.
    reserved : iterable of WorkerState
        Workers that are reserved for this gang.
    starving : bool
        Whether the gang has waited longer than `STARVING_RATIO` times its target.

    Returns
    -------
    list of WorkerState or None
        One worker per task, in which a worker may occur repeatedly. ``None`` if the
        gang does not fit.
    """
    racks: dict[str, list[tuple[int, WorkerState]]] = {}
    found = 0
    for worker in _candidates(state, key, reserved, starving):
        slots = count_fitting(
            _usable_resources(state, worker, key.size, starving), key.size
        )
        if slots > 0:
            racks.setdefault(worker.rack, []).append((slots, worker))
            found += slots
        if found >= count * _CANDIDATE_SLOTS_RATIO:
            break
    if found < count:
        return None
    return _assign_to_racks(racks, count)


def _candidates(
    state: ShardState,
    key: LaneKey,
    reserved: Iterable[WorkerState],
    starving: bool,
) -> Iterable[WorkerState]:
    for worker in reserved:
        if worker.worker_id not in key.avoid and worker.schedulable:
            yield worker
    yield from fitting_workers(state, key, starving)


def _usable_resources(
    state: ShardState, worker: WorkerState, size: Resources, starving: bool
) -> Resources:
    if size.gpus_milli == 0 and worker.capacity.gpus_milli:
        return state.gpu_guard.spare(worker, starving)
    return worker.free()


def _assign_to_racks(
    racks: dict[str, list[tuple[int, WorkerState]]], count: int
) -> list[WorkerState]:
    """Return one worker per task from candidates, given as slots and worker by rack.

    The whole gang goes to the rack with the fewest slots that suffice for it. If no
    rack suffices, racks with the most slots are filled first.
    """
    totals = {rack: sum(s for s, _ in members) for rack, members in racks.items()}
    sufficient = [rack for rack, total in totals.items() if total >= count]
    if sufficient:
        order = [min(sufficient, key=lambda rack: (totals[rack], rack))]
    else:
        order = sorted(totals, key=lambda rack: (-totals[rack], rack))
    chosen: list[WorkerState] = []
    for rack in order:
        for slots, worker in sorted(racks[rack], key=lambda pair: -pair[0]):
            chosen.extend([worker] * min(slots, count - len(chosen)))
            if len(chosen) == count:
                return chosen
    return chosen
