"""What follows from what is known about one attempt. Pure."""

from enum import Enum

import msgspec

from basilhold.core import Assignment, RestartPolicy, TaskRecord, TaskState, WorkerId
from basilhold.sharding.batch import NOT_RUN
from basilhold.sharding.changes import Release

__all__ = [
    "FAILED_WORKERS_MAX",
    "AttemptPhase",
    "MissingAction",
    "after_end",
    "after_lease_expiry",
    "after_outgrowing",
    "after_stop",
    "when_missing",
]

FAILED_WORKERS_MAX = 3
"""A task that failed on this many different workers fails for good."""


class AttemptPhase(Enum):
    """What an owner knows about a committed attempt.

    ``FRESH``: committed by this owner, which has not sent a start. ``SENT``: a start
    was sent by this owner or perhaps by an earlier one. ``RUNNING``: the worker
    confirmed it. ``RELEASING``: does not run any more; its release is to be
    committed.
    """

    FRESH = "fresh"
    SENT = "sent"
    RUNNING = "running"
    RELEASING = "releasing"


class MissingAction(Enum):
    """What to do about an attempt that a worker does not report."""

    NONE = "none"
    START = "start"
    CONFIRM_STOP = "confirm-stop"
    RELEASE = "release"


def when_missing(phase: AttemptPhase, restart: RestartPolicy) -> MissingAction:
    """Return what to do about a committed attempt that its worker does not report.

    The worker's report fences the starts of earlier owners, so an attempt that can
    be restarted is simply started, with the same number. A start of an at-most-once
    task is sent once only: a second one could run it again on a restarted worker.
    """
    if phase is AttemptPhase.RELEASING:
        return MissingAction.NONE
    if phase is AttemptPhase.RUNNING:
        return MissingAction.RELEASE
    if phase is AttemptPhase.SENT and restart is RestartPolicy.FORBIDDEN:
        return MissingAction.CONFIRM_STOP
    return MissingAction.START


def after_end(
    assignment: Assignment,
    worker_id: WorkerId,
    task: TaskRecord,
    restart: RestartPolicy,
    succeeded: bool,
    failures_max: int,
    workers_max: int = FAILED_WORKERS_MAX,
) -> Release:
    """Return the release of an attempt that ended by itself.

    Parameters
    ----------
    failures_max : int
        Failures, on any workers, after which the task fails for good.
    workers_max : int
        Different workers on which the task may fail: fewer than usual if it fits on
        fewer, since the planner does not try a worker again.
    """
    release = Release(
        assignment.task_id, assignment.attempt, worker_id, TaskState.SUCCEEDED
    )
    if succeeded:
        return release
    failed_on = (*task.failed_on, worker_id)
    for_good = (
        restart is RestartPolicy.FORBIDDEN
        or len(set(failed_on)) >= workers_max
        or len(failed_on) >= failures_max
    )
    state = TaskState.FAILED if for_good else TaskState.PENDING
    reason = f"failed on {len(set(failed_on))} workers" if for_good else "failed"
    return msgspec.structs.replace(release, state=state, reason=reason, failed=True)


def after_outgrowing(
    assignment: Assignment,
    worker_id: WorkerId,
    task: TaskRecord,
    restart: RestartPolicy,
    failures_max: int,
    workers_max: int,
) -> Release:
    """Return the release of a started attempt that was stopped for its memory.

    It counts like a failure of the task, so that the task does not start for ever.
    """
    if restart is RestartPolicy.FORBIDDEN:
        return after_stop(assignment, worker_id, restart, False, "outgrew its memory")
    release = after_end(
        assignment, worker_id, task, restart, False, failures_max, workers_max
    )
    return msgspec.structs.replace(release, reason="outgrew its memory", outgrew=True)


def after_stop(
    assignment: Assignment,
    worker_id: WorkerId,
    restart: RestartPolicy,
    never_started: bool,
    reason: str,
    state: TaskState = TaskState.PENDING,
) -> Release:
    """Return the release of an attempt that the worker confirmed not to run.

    Parameters
    ----------
    never_started : bool
        The worker is certain that the attempt did not start.
    state : TaskState
        ``CANCELLED`` if the stop serves a cancellation, otherwise ``PENDING``.
    """
    if never_started:
        reason = NOT_RUN
    elif state is TaskState.PENDING and restart is RestartPolicy.FORBIDDEN:
        state = TaskState.UNKNOWN
    return Release(
        assignment.task_id,
        assignment.attempt,
        worker_id,
        state,
        reason,
        never_started=never_started,
    )


def after_lease_expiry(
    assignment: Assignment,
    worker_id: WorkerId,
    phase: AttemptPhase,
    restart: RestartPolicy,
) -> Release:
    """Return the release of an attempt on a worker whose lease has expired."""
    never_started = phase is AttemptPhase.FRESH
    return after_stop(
        assignment, worker_id, restart, never_started, "worker lease expired"
    )
