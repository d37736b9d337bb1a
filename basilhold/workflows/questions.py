"""Which workers a question to the external service names. Pure.

This answers policies that admit a part of the workers: a question names those with
room first, enough of them that a wide step need not ask again, and some spare ones.
"""

import math
from collections.abc import Callable

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import StepAdmission
from basilhold.workflows.model import WORKERS_PER_QUESTION
from basilhold.workflows.pool import Worker
from basilhold.workflows.preemption import count_fitting
from basilhold.workflows.ready_steps import ReadyStep

__all__ = ["Question", "make_question"]

NAMES_MAX = 100
"""Most workers that the external service takes in one question."""

SPARE_ANSWER_SHARE = 0.15
"""How much longer an answer may take for workers beyond those that are needed. Asking
again after a refusal takes the whole answering time."""


class Question(msgspec.Struct):
    """A step and the workers that the external service is asked about."""

    step: ReadyStep
    workers: tuple[WorkerId, ...]


def make_question(
    step: ReadyStep,
    workers: list[Worker],
    spares: list[Worker],
    room_of: Callable[[Worker], Resources],
    known: StepAdmission,
    admitted_share: float,
    now_ms: float,
) -> Question | None:
    """Return a question, or ``None`` if all workers have tickets that last.

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
    # A ticket that expires before an answer can arrive is renewed now.
    until_ms = now_ms + step.workflow.spec.policy.advice.answer_ms(1)
    unticketed = [w for w in workers if not known.ticket(w.worker_id, until_ms)]
    if not unticketed:
        return None
    size, needed = step.spec.reserved(), len(step.keys)
    slots = {w.worker_id: count_fitting(room_of(w), size, needed) for w in unticketed}
    unticketed.sort(key=lambda w: (-slots[w.worker_id], -w.free.cores_milli))
    most = _question_size(step, unticketed, slots, admitted_share)
    names = [w.worker_id for w in unticketed]
    named = set(names)
    others = [
        w
        for w in spares
        if w.worker_id not in named and not known.ticket(w.worker_id, now_ms)
    ]
    names += _spare_names(step, others, room_of, known)
    return Question(step, tuple(names[:most]))


def _question_size(
    step: ReadyStep,
    workers: list[Worker],
    slots: dict[WorkerId, int],
    admitted_share: float,
) -> int:
    """Return how many workers to name, so that enough of them are admitted.

    A wide step that names too few asks again, and each question costs the fixed part
    of the answering time.

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
    wanted = math.ceil(count / admitted_share)
    return min(max(wanted, WORKERS_PER_QUESTION), NAMES_MAX)


def _spare_names(
    step: ReadyStep,
    workers: list[Worker],
    room_of: Callable[[Worker], Resources],
    known: StepAdmission,
) -> list[WorkerId]:
    """Return more workers, as many as cost little beside the answer.

    Which workers are admitted does not change, so those without room come last.
    """
    policy = step.workflow.spec.policy.advice
    most = WORKERS_PER_QUESTION
    if policy.each_ms > 0:
        share_ms = SPARE_ANSWER_SHARE * policy.decide_ms
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
