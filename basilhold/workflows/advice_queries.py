"""Which workers the questions to the external service name. Pure.

This answers policies that admit a part of the workers, and answer more slowly the more
of them a question names. Workers with room are named first, and enough of them that a
step need not ask again. A gang needs several whole workers at a time, so it asks about
many more than it needs, in questions that are answered side by side.
"""

import math
from collections.abc import Callable

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import StepAdmission
from basilhold.workflows.model import WORKERS_PER_QUERY, AdvicePolicy
from basilhold.workflows.pool import Worker
from basilhold.workflows.preemption import count_fitting
from basilhold.workflows.ready_steps import ReadyStep

__all__ = ["AdviceQuery", "make_queries"]

QUERY_WORKERS_MAX = 100
"""Most workers that the external service takes in one question."""

OPEN_QUERIES_MAX = 5
"""Most questions of one step that are open at a time."""

SPLIT_ANSWER_FRACTION = 0.6
"""A question is divided while its names lengthen the answer by more than this share of
the fixed part, which each further question costs again."""

GANG_CANDIDATES_FACTOR = 8
"""Admitted workers for each one that a gang needs, among which those are chosen that
have room or lose least by a stop."""

SPARE_ANSWER_FRACTION = 0.15
"""How much longer an answer may take for workers beyond those that are needed. Asking
again after a refusal takes the whole answering time."""


class AdviceQuery(msgspec.Struct):
    """A step and the workers that the external service is asked about."""

    step: ReadyStep
    workers: tuple[WorkerId, ...]


def make_queries(
    step: ReadyStep,
    workers: list[Worker],
    spares: list[Worker],
    room_of: Callable[[Worker], Resources],
    known: StepAdmission,
    admitted_share: float,
    now_ms: float,
) -> list[AdviceQuery]:
    """Return the questions to send now; none if all workers have tickets that last.

    Parameters
    ----------
    step : ReadyStep
    workers : list of Worker
        Those that the step wants to use.
    spares : list of Worker
        Others that are named in case those are refused.
    room_of : callable
        Returns what is free on a worker for the step.
    known : StepAdmission
    admitted_share : float
        Share of the workers that the queue's policy admits.
    now_ms : float
        Time of the loop's clock, in milliseconds.
    """
    policy = step.workflow.spec.policy.advice
    # A ticket that expires before an answer can arrive is renewed now.
    until_ms = now_ms + policy.answer_ms(1)
    unticketed = [w for w in workers if not known.ticket(w.worker_id, until_ms)]
    if not unticketed:
        return []
    size, needed = step.spec.reserved(), len(step.keys)
    slots = {w.worker_id: count_fitting(room_of(w), size, needed) for w in unticketed}
    unticketed.sort(key=lambda w: (-slots[w.worker_id], -w.free.cores_milli))
    names = [w.worker_id for w in unticketed]
    named = set(names)
    others = [
        w
        for w in spares
        if w.worker_id not in named and not known.ticket(w.worker_id, now_ms)
    ]
    names += _spare_worker_ids(step, others, room_of, known)
    most = _name_count(step, unticketed, slots, admitted_share)
    return [AdviceQuery(step, part) for part in _divide(names[:most], policy)]


def _divide(names: list[WorkerId], policy: AdvicePolicy) -> list[tuple[WorkerId, ...]]:
    """Return the names in parts of about equal size, the first ones first.

    Examples
    --------
    >>> policy = AdvicePolicy(decide_ms=500.0, each_ms=5.0)
    >>> [len(part) for part in _divide([f"w{i}" for i in range(176)], policy)]
    [59, 59, 58]
    >>> [len(part) for part in _divide(["w1", "w2"], policy)]
    [2]
    """
    part_size = QUERY_WORKERS_MAX
    if policy.each_ms > 0:
        part_size = int(SPLIT_ANSWER_FRACTION * policy.decide_ms / policy.each_ms)
    part_size = min(max(part_size, WORKERS_PER_QUERY), QUERY_WORKERS_MAX)
    count = min(math.ceil(len(names) / part_size), OPEN_QUERIES_MAX)
    size = math.ceil(len(names) / count)
    return [tuple(names[i : i + size]) for i in range(0, len(names), size)]


def _name_count(
    step: ReadyStep,
    workers: list[Worker],
    slots: dict[WorkerId, int],
    admitted_share: float,
) -> int:
    """Return how many workers to name, so that enough of them are admitted.

    Parameters
    ----------
    step : ReadyStep
    workers : list of Worker
        In the order in which they are named.
    slots : dict
        How many tasks fit on each worker now.
    admitted_share : float
    """
    size = step.spec.reserved()
    missing = len(step.keys)
    count = 0
    for worker in workers:
        if missing <= 0:
            break
        fitting = slots[worker.worker_id]
        # A gang waits for room on workers that are full now.
        if not fitting and step.spec.gang:
            fitting = count_fitting(worker.info.capacity, size, missing)
        missing -= fitting
        count += fitting > 0
    if step.spec.gang:
        wanted = math.ceil(GANG_CANDIDATES_FACTOR * count / admitted_share)
        return min(max(wanted, WORKERS_PER_QUERY), OPEN_QUERIES_MAX * QUERY_WORKERS_MAX)
    wanted = math.ceil(count / admitted_share)
    return min(max(wanted, WORKERS_PER_QUERY), QUERY_WORKERS_MAX)


def _spare_worker_ids(
    step: ReadyStep,
    workers: list[Worker],
    room_of: Callable[[Worker], Resources],
    known: StepAdmission,
) -> list[WorkerId]:
    """Return more workers, as many as cost little beside the answer.

    Which workers are admitted does not change, so those without room come last.
    """
    policy = step.workflow.spec.policy.advice
    most = WORKERS_PER_QUERY
    if policy.each_ms > 0:
        share_ms = SPARE_ANSWER_FRACTION * policy.decide_ms
        most = min(most, int(share_ms / policy.each_ms))
    size = step.spec.reserved()
    ranked = sorted(
        workers,
        key=lambda w: (
            not size.fits_in(room_of(w)),
            w.worker_id not in known.admitted,
            -w.free.cores_milli,
        ),
    )
    return [w.worker_id for w in ranked[:most]]
