"""Choice of workers for a whole gang."""

from collections.abc import Iterable

from basilhold.core import Resources
from basilhold.placement.lanes import LaneKey
from basilhold.placement.selection import fitting_workers
from basilhold.placement.shapes import count_fitting
from basilhold.placement.shard_state import ShardState
from basilhold.placement.workers import WorkerState

__all__ = ["choose_gang_workers"]

_CANDIDATE_SLOTS_RATIO = 4
"""Slots are collected up to this multiple of the gang's size before racks are chosen,
which bounds the search on an empty shard."""


def choose_gang_workers(
    state: ShardState,
    key: LaneKey,
    count: int,
    reserved: Iterable[WorkerState],
    starving: bool,
) -> list[WorkerState] | None:
    """Return one worker per task of a gang on few racks, or ``None``.

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
        Whether the gang is past the starvation limit.
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
    """Fill the smallest rack that holds the gang, or else the largest racks first."""
    totals = {rack: sum(s for s, _ in members) for rack, members in racks.items()}
    enough = [rack for rack, total in totals.items() if total >= count]
    if enough:
        order = [min(enough, key=lambda rack: (totals[rack], rack))]
    else:
        order = sorted(totals, key=lambda rack: (-totals[rack], rack))
    chosen: list[WorkerState] = []
    for rack in order:
        for slots, worker in sorted(racks[rack], key=lambda pair: -pair[0]):
            chosen.extend([worker] * min(slots, count - len(chosen)))
            if len(chosen) == count:
                return chosen
    return chosen
