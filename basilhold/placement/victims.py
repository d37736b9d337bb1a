"""Choice of the victims that give way to urgent work."""

from collections.abc import Callable

import msgspec

from basilhold.core import Resources
from basilhold.placement.estimates import ClassEstimates
from basilhold.placement.plan import Eviction, EvictionAction
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["VictimSet", "choose_victims", "lost_work"]

_THROTTLED_SHARE_MIN = 0.25
"""A victim keeps at least this share of its cores, so that it still makes progress."""


class VictimSet(msgspec.Struct):
    """Victims on one worker.

    Parameters
    ----------
    worker : WorkerState
    evictions : list of Eviction
        Without `for_task_id`.
    freed : list of Resources
        What each eviction gives back.
    cost : tuple
        Sets with a lower cost are preferred.
    """

    worker: WorkerState
    evictions: list[Eviction]
    freed: list[Resources]
    cost: tuple[float, float, int]


def lost_work(live: LiveTask, estimates: ClassEstimates, now_unix_ms: int) -> float:
    """Return the work since the last checkpoint, in worker-milliseconds.

    The size is the share of the worker that the class is expected to use. One task of
    a gang costs the work of the whole gang.
    """
    job = live.job
    since = max(live.started_unix_ms, live.checkpoint_unix_ms)
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
    """Return the cheapest victims on a worker that free what is missing.

    Parameters
    ----------
    worker : WorkerState
    missing : Resources
        What the urgent task lacks on the worker; components may be negative.
    estimates : ClassEstimates
    is_within_quota : callable
        Whether the team of a task is within quota.
    only_above_quota : bool
        Whether victims must belong to teams above quota.
    now_unix_ms : int
    """
    ranked = []
    for live in worker.tasks.values():
        if not live.reclaimable:
            continue
        within = is_within_quota(live)
        if within and only_above_quota:
            continue
        lost = lost_work(live, estimates, now_unix_ms)
        ranked.append((within, lost, -live.job.spec.wait_target_ms, live))
    ranked.sort(key=lambda item: item[:3])
    chosen = []
    for item in ranked:
        if missing.fits_in(Resources()):
            break
        action, freed, limit = _action(item[3], missing)
        if _helps(freed, missing):
            chosen.append((item, action, freed, limit))
            missing = missing - freed
    if not missing.fits_in(Resources()):
        return None
    chosen = _without_surplus(chosen, missing)
    cost = (
        sum(item[1] for item, *_ in chosen if item[0]),
        sum(item[1] for item, *_ in chosen),
        max((item[2] for item, *_ in chosen), default=0),
    )
    evictions = [
        Eviction(
            item[3].task_id,
            item[3].attempt,
            worker.worker_id,
            action,
            None,
            limit,
        )
        for item, action, _, limit in chosen
    ]
    return VictimSet(worker, evictions, [freed for _, _, freed, _ in chosen], cost)


def _action(
    live: LiveTask, missing: Resources
) -> tuple[EvictionAction, Resources, int]:
    """Return how a victim gives way, what that frees and its limit of cores."""
    if live.job.spec.checkpoint:
        return EvictionAction.CHECKPOINT, live.size, 0
    declared = live.job.spec.task_resources
    kept = max(1, int(declared.cores_milli * _THROTTLED_SHARE_MIN))
    if (
        missing.memory_bytes <= 0
        and missing.gpus_milli <= 0
        and 0 < missing.cores_milli <= live.size.cores_milli - kept
    ):
        freed = Resources(missing.cores_milli, 0, 0)
        limit = live.size.cores_milli - missing.cores_milli
        return EvictionAction.THROTTLE, freed, limit
    return EvictionAction.STOP, live.size, 0


def _helps(freed: Resources, missing: Resources) -> bool:
    return (
        (missing.cores_milli > 0 and freed.cores_milli > 0)
        or (missing.memory_bytes > 0 and freed.memory_bytes > 0)
        or (missing.gpus_milli > 0 and freed.gpus_milli > 0)
    )


def _without_surplus(chosen: list, missing: Resources) -> list:
    """Drop victims, the dearest first, that the others make unnecessary."""
    kept = list(chosen)
    for candidate in reversed(chosen):
        without = missing + candidate[2]
        if len(kept) > 1 and without.fits_in(Resources()):
            kept.remove(candidate)
            missing = without
    return kept
