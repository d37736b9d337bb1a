"""Detection of tasks that use more resources than they declared."""

from basilhold.core import Resources, RestartPolicy
from basilhold.placement.plan import Eviction, EvictionAction
from basilhold.placement.shard_state import ShardState
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["EVICTION_TIMEOUT_MS", "OveruseDetector"]

_CORES_TOLERANCE = 1.05
"""Factor by which a task may exceed its declared cores. Reports are averages over an
interval, so they include short bursts above the declaration."""

_NEARLY_FULL_SHARE = 0.95
"""A worker that uses more than this share of its cores or memory is the last choice for
new work. If it is memory, the worker is considered about to run out of it."""

EVICTION_TIMEOUT_MS = 30_000
"""Time in milliseconds after which a task that still runs no longer counts as evicted,
because the message may have been lost."""


class OveruseDetector:
    """Throttles tasks that exceed their cores, and evicts those that exceed memory.

    A task that must not be restarted is stopped only if the whole worker is about to
    run out of memory, because it cannot run again.

    Parameters
    ----------
    state : ShardState
    """

    def __init__(self, state: ShardState):
        self._state = state
        self._evictions: list[Eviction] = []

    def inspect(self, worker: WorkerState) -> None:
        """Compare the latest usage reports of a worker with the declarations."""
        used = Resources()
        for live in worker.tasks.values():
            if live.used is not None and not live.finished:
                used = used + live.used
        capacity = worker.capacity
        memory_short = used.memory_bytes > capacity.memory_bytes * _NEARLY_FULL_SHARE
        worker.nearly_full = memory_short or (
            used.cores_milli > capacity.cores_milli * _NEARLY_FULL_SHARE
        )
        for live in list(worker.tasks.values()):
            if live.used is not None and not live.finished and not live.held:
                self._inspect_task(live, memory_short)

    def take_evictions(self) -> tuple[Eviction, ...]:
        """Return the evictions since the last call whose attempts are still live."""
        found, self._evictions = self._evictions, []
        return tuple(eviction for eviction in found if self._is_current(eviction))

    def _is_current(self, eviction: Eviction) -> bool:
        live = self._state.tasks.get(eviction.task_id)
        return (
            live is not None
            and live.attempt == eviction.attempt
            and live.worker_id == eviction.worker_id
        )

    def _inspect_task(self, live: LiveTask, memory_short: bool) -> None:
        if live.used.memory_bytes > live.size.memory_bytes:
            if live.evicted_unix_ms:
                return
            action = _memory_overuse_action(live, memory_short)
            if action is not None:
                self._state.mark_evicted(live, live.size)
                self._add_eviction(live, action, 0)
            return
        cores_milli = live.size.cores_milli
        if live.used.cores_milli <= cores_milli * _CORES_TOLERANCE:
            live.throttled = False
        elif not live.throttled and not live.evicted_unix_ms:
            live.throttled = True
            self._add_eviction(live, EvictionAction.THROTTLE, cores_milli)

    def _add_eviction(
        self, live: LiveTask, action: EvictionAction, cores_limit_milli: int
    ) -> None:
        self._evictions.append(
            Eviction(
                live.task_id,
                live.attempt,
                live.worker_id,
                action,
                None,
                cores_limit_milli,
            )
        )


def _memory_overuse_action(live: LiveTask, memory_short: bool) -> EvictionAction | None:
    job = live.job
    if job is None:
        return EvictionAction.STOP if memory_short else None
    if job.spec.restart is RestartPolicy.FORBIDDEN:
        return EvictionAction.STOP if memory_short else None
    return EvictionAction.CHECKPOINT if job.spec.checkpoint else EvictionAction.STOP
