"""Choice of victims: the tasks that are evicted for an urgent task."""

from collections.abc import Callable

import msgspec

from basilhold.core import Resources
from basilhold.placement.estimates import ClassEstimates
from basilhold.placement.plan import Eviction, EvictionAction
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["VictimSet", "choose_victims", "lost_work"]

_THROTTLED_CORES_SHARE_MIN = 0.25
"""A throttled task keeps at least this share of its declared cores, so that it still
makes progress."""


_CHECKPOINT_COST_MS = 5_000
"""Work that a task loses at most if it is checkpointed when it is evicted, in
milliseconds of its run time."""


class VictimSet(msgspec.Struct):
    """Victims on one worker that together make room for an urgent task.

    Parameters
    ----------
    worker : WorkerState
    evictions : list of Eviction
        Without `for_task_id`, which the caller adds.
    freed : list of Resources
        What each eviction frees, in the same order.
    cost : tuple
        Lost work of the victims within quota, lost work of all victims, and the
        negative of the shortest target wait in milliseconds. Sets that compare lower
        are preferred.
    """

    worker: WorkerState
    evictions: list[Eviction]
    freed: list[Resources]
    cost: tuple[float, float, int]


_NO_RESOURCES = Resources()


class _Candidate:
    """A task that may become a victim, and how it would be evicted."""

    __slots__ = (
        "action",
        "cores_limit_milli",
        "freed",
        "live",
        "lost_work",
        "within_quota",
    )

    def __init__(self, live: LiveTask, within_quota: bool, lost: float):
        self.live = live
        self.within_quota = within_quota
        self.lost_work = lost
        self.action = EvictionAction.STOP
        self.freed = _NO_RESOURCES
        self.cores_limit_milli = 0

    def rank(self) -> tuple[bool, float, int]:
        """Return the sort key of the candidates, the cheapest first.

        Tasks above quota come first, then those that lose the least work, then those
        with the longest target wait.
        """
        return (self.within_quota, self.lost_work, -self.live.job.spec.wait_target_ms)


def lost_work(live: LiveTask, estimates: ClassEstimates, now_unix_ms: int) -> float:
    """Return the work that is lost if a task is evicted.

    This is the time since the start or the last checkpoint in milliseconds, multiplied
    by the resources that the task is expected to use. These are weighted so that 4 MiB
    of memory count as much as a thousandth of a core, and a GPU as much as four cores.
    Evicting one task of a gang loses the work of the whole gang.

    Parameters
    ----------
    live : LiveTask
        A task whose job is known.
    estimates : ClassEstimates
        Predicts the use of the class.
    now_unix_ms : int
    """
    job = live.job
    since = max(live.started_unix_ms, live.checkpoint_unix_ms)
    if job.spec.checkpoint:
        since = max(since, now_unix_ms - _CHECKPOINT_COST_MS)
    use = estimates.expected_use(job.spec.class_name, live.size)
    share = use.cores_milli + (use.memory_bytes >> 22) + 4 * use.gpus_milli
    members = len(job.live) if job.is_gang else 1
    return max(1, now_unix_ms - since) * share * members


def choose_victims(
    worker: WorkerState,
    missing: Resources,
    estimates: ClassEstimates,
    is_within_quota: Callable[[LiveTask], bool],
    only_above_quota: bool,
    now_unix_ms: int,
) -> VictimSet | None:
    """Choose victims on a worker that free what is missing at a low cost.

    Victims are taken in order of their cost until they suffice, and those that the
    others make unnecessary are dropped again.

    Parameters
    ----------
    worker : WorkerState
    missing : Resources
        What the urgent task needs beyond the worker's free resources. Components are
        negative where more is free than needed.
    estimates : ClassEstimates
        Predicts the use of each class.
    is_within_quota : callable
        Whether the team of a task is within quota.
    only_above_quota : bool
        Whether victims must belong to teams above quota.
    now_unix_ms : int

    Returns
    -------
    VictimSet or None
        ``None`` if the worker has too few tasks that may be evicted.
    """
    candidates = _ranked_candidates(
        worker, estimates, is_within_quota, only_above_quota, now_unix_ms
    )
    chosen: list[_Candidate] = []
    for candidate in candidates:
        if missing.fits_in(_NO_RESOURCES):
            break
        action, freed, limit = _eviction_action(candidate.live, missing)
        if _frees_missing(freed, missing):
            candidate.action, candidate.freed = action, freed
            candidate.cores_limit_milli = limit
            chosen.append(candidate)
            missing = missing - freed
    if not missing.fits_in(_NO_RESOURCES):
        return None
    return _build_victim_set(worker, _drop_unneeded(chosen, missing))


def _ranked_candidates(
    worker: WorkerState,
    estimates: ClassEstimates,
    is_within_quota: Callable[[LiveTask], bool],
    only_above_quota: bool,
    now_unix_ms: int,
) -> list[_Candidate]:
    """Return the tasks that may become victims, the cheapest first."""
    candidates = []
    for live in worker.tasks.values():
        if not live.reclaimable:
            continue
        within_quota = is_within_quota(live)
        if not (within_quota and only_above_quota):
            lost = lost_work(live, estimates, now_unix_ms)
            candidates.append(_Candidate(live, within_quota, lost))
    candidates.sort(key=_Candidate.rank)
    return candidates


def _build_victim_set(worker: WorkerState, chosen: list[_Candidate]) -> VictimSet:
    cost = (
        sum(victim.lost_work for victim in chosen if victim.within_quota),
        sum(victim.lost_work for victim in chosen),
        max((-victim.live.job.spec.wait_target_ms for victim in chosen), default=0),
    )
    evictions = [
        Eviction(
            victim.live.task_id,
            victim.live.attempt,
            worker.worker_id,
            victim.action,
            None,
            victim.cores_limit_milli,
        )
        for victim in chosen
    ]
    return VictimSet(worker, evictions, [victim.freed for victim in chosen], cost)


def _eviction_action(
    live: LiveTask, missing: Resources
) -> tuple[EvictionAction, Resources, int]:
    """Return how to evict a task, what that frees, and its new limit of cores.

    A task that can save a checkpoint does so. Otherwise it is throttled if that frees
    enough, which needs only cores to be missing, and is stopped if not. The limit is in
    thousandths of a core, and 0 unless the task is throttled.
    """
    if live.job.spec.checkpoint:
        return EvictionAction.CHECKPOINT, live.size, 0
    declared = live.job.spec.task_resources
    kept = max(1, int(declared.cores_milli * _THROTTLED_CORES_SHARE_MIN))
    if (
        missing.memory_bytes <= 0
        and missing.gpus_milli <= 0
        and 0 < missing.cores_milli <= live.size.cores_milli - kept
    ):
        freed = Resources(missing.cores_milli, 0, 0)
        limit = live.size.cores_milli - missing.cores_milli
        return EvictionAction.THROTTLE, freed, limit
    return EvictionAction.STOP, live.size, 0


def _frees_missing(freed: Resources, missing: Resources) -> bool:
    return (
        (missing.cores_milli > 0 and freed.cores_milli > 0)
        or (missing.memory_bytes > 0 and freed.memory_bytes > 0)
        or (missing.gpus_milli > 0 and freed.gpus_milli > 0)
    )


def _drop_unneeded(chosen: list[_Candidate], missing: Resources) -> list[_Candidate]:
    """Drop victims that the others make unnecessary, the most expensive first."""
    kept = list(chosen)
    for candidate in reversed(chosen):
        without = missing + candidate.freed
        if len(kept) > 1 and without.fits_in(_NO_RESOURCES):
            kept.remove(candidate)
            missing = without
    return kept
