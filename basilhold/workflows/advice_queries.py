"""Choice of the workers that queries to the external advice service name.

A policy admits only a part of the workers, and its answer takes longer the more workers
a query names. Queries name workers with free capacity first, and enough workers that a
step rarely needs a second query. A gang needs several whole workers at the same time,
so it asks about many more than it needs, in queries that are answered in parallel. The
module performs no I/O.
"""

import math
from collections.abc import Callable
from heapq import nsmallest

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import StepAdmission
from basilhold.workflows.model import WORKERS_PER_QUERY, AdvicePolicy
from basilhold.workflows.pool import Worker
from basilhold.workflows.preemption import count_fitting
from basilhold.workflows.ready_steps import ReadyStep

__all__ = ["AdviceQuery", "make_queries"]

QUERY_WORKERS_MAX = 100
"""Maximum number of workers that the external service accepts in one query."""

OPEN_QUERIES_MAX = 5
"""Maximum number of open queries of one step."""

SPLIT_ANSWER_FRACTION = 0.6
"""A query is split while its workers lengthen the answering time by more than this
share of the fixed part, which every further query costs again."""

GANG_CANDIDATES_FACTOR = 8
"""Number of admitted workers wanted for each worker that a gang needs. From these, the
planner picks those with free capacity or with the lowest cost of preemption."""

SPARE_ANSWER_FRACTION = 0.15
"""Share of the fixed answering time by which workers beyond those needed may lengthen
an answer. A second query after a refusal takes the whole answering time again."""


class AdviceQuery(msgspec.Struct):
    """A query to the advice service: which of the workers may run a step."""

    step: ReadyStep
    workers: tuple[WorkerId, ...]


def make_queries(
    step: ReadyStep,
    workers: list[Worker],
    spares: list[Worker],
    available_on: Callable[[Worker], Resources],
    admission: StepAdmission,
    admitted_share: float,
    now_ms: float,
) -> list[AdviceQuery]:
    """Return the queries to send now.

    Parameters
    ----------
    step : ReadyStep
    workers : list of Worker
        Workers that the step wants to use.
    spares : list of Worker
        Further workers to name in case the others are refused.
    available_on : callable
        Returns the capacity of a worker that is available to the step.
    admission : StepAdmission
        Answers about the step so far.
    admitted_share : float
        Estimated share of workers that the queue's policy admits.
    now_ms : float
        Time of the event loop's clock, in milliseconds.

    Returns
    -------
    list of AdviceQuery
        Empty if all wanted workers have tickets that last until an answer arrives.
    """
    policy = step.workflow.spec.policy.advice
    # Tickets that expire before an answer can arrive are renewed now.
    until_ms = now_ms + policy.answer_ms(1)
    unticketed = [w for w in workers if not admission.ticket(w.worker_id, until_ms)]
    if not unticketed:
        return []
    size, needed = step.spec.reserved(), len(step.keys)
    slots = {
        w.worker_id: count_fitting(available_on(w), size, needed) for w in unticketed
    }
    unticketed.sort(key=lambda w: (-slots[w.worker_id], -w.free.cores_milli))
    worker_ids = [w.worker_id for w in unticketed]
    included = set(worker_ids)
    others = [
        w
        for w in spares
        if w.worker_id not in included and not admission.ticket(w.worker_id, now_ms)
    ]
    worker_ids += _spare_worker_ids(step, others, available_on, admission)
    limit = _worker_count(step, unticketed, slots, admitted_share)
    return [AdviceQuery(step, part) for part in _split(worker_ids[:limit], policy)]


def _split(
    worker_ids: list[WorkerId], policy: AdvicePolicy
) -> list[tuple[WorkerId, ...]]:
    """Return the workers in parts of about equal size, in the same order.

    Examples
    --------
    >>> policy = AdvicePolicy(decide_ms=500.0, each_ms=5.0)
    >>> [len(part) for part in _split([f"w{i}" for i in range(176)], policy)]
    [59, 59, 58]
    >>> [len(part) for part in _split(["w1", "w2"], policy)]
    [2]
    """
    size_max = QUERY_WORKERS_MAX
    if policy.each_ms > 0:
        size_max = int(SPLIT_ANSWER_FRACTION * policy.decide_ms / policy.each_ms)
    size_max = min(max(size_max, WORKERS_PER_QUERY), QUERY_WORKERS_MAX)
    count = min(math.ceil(len(worker_ids) / size_max), OPEN_QUERIES_MAX)
    size = math.ceil(len(worker_ids) / count)
    return [tuple(worker_ids[i : i + size]) for i in range(0, len(worker_ids), size)]


def _worker_count(
    step: ReadyStep,
    workers: list[Worker],
    slots: dict[WorkerId, int],
    admitted_share: float,
) -> int:
    """Return how many workers to name so that enough of them are likely admitted.

    Parameters
    ----------
    step : ReadyStep
    workers : list of Worker
        Workers in the order in which they will be named.
    slots : dict of WorkerId to int
        Number of tasks that fit on each worker now.
    admitted_share : float
        Estimated share of workers that the queue's policy admits.
    """
    size = step.spec.reserved()
    missing = len(step.keys)
    count = 0
    for worker in workers:
        if missing <= 0:
            break
        fitting = slots[worker.worker_id]
        # A gang can wait for capacity on workers that are busy now.
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
    available_on: Callable[[Worker], Resources],
    admission: StepAdmission,
) -> list[WorkerId]:
    """Return as many further workers as hardly lengthen the answering time.

    Decisions about workers do not change, so an answer about a worker without free
    capacity is useful later too; such workers come last.
    """
    policy = step.workflow.spec.policy.advice
    limit = WORKERS_PER_QUERY
    if policy.each_ms > 0:
        extra_ms = SPARE_ANSWER_FRACTION * policy.decide_ms
        limit = min(limit, int(extra_ms / policy.each_ms))
    size = step.spec.reserved()
    ranked = nsmallest(
        limit,
        workers,
        key=lambda w: (
            not size.fits_in(available_on(w)),
            w.worker_id not in admission.admitted,
            -w.free.cores_milli,
        ),
    )
    return [w.worker_id for w in ranked]
