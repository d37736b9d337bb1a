"""Steps that wait, their deadlines and their order. Pure."""

import msgspec

from basilhold.workflows.admissions import StepKey
from basilhold.workflows.model import StepSpec, TaskKey, objective_ms
from basilhold.workflows.progress import Workflow

__all__ = ["START_BY_TOLERANCE_MS", "ReadyStep", "rank", "make_ready_step"]

START_BY_TOLERANCE_MS = 250.0
ESTIMATE_ERROR = 0.25
"""Estimates of run times are rough; a step that is late by this share of its chain may
still end in time."""

LATE_FACTOR = 3.0
"""A workflow that ends later than this many objectives earns nothing."""

LATE_RANK = 1.5
WORTHLESS_RANK = 10.0


class ReadyStep(msgspec.Struct):
    """A step with tasks that wait.

    Parameters
    ----------
    workflow : Workflow
    occurrence, number : int
    keys : list of TaskKey
        Its waiting tasks.
    begin_ms, due_ms : float
        When the workflow was submitted or due, and when it has to end to meet its
        objective; times of the store's clock.
    start_by_ms : float
        When the step has to start for that.
    """

    workflow: Workflow
    occurrence: int
    number: int
    keys: list[TaskKey]
    begin_ms: float
    due_ms: float
    start_by_ms: float

    @property
    def spec(self) -> StepSpec:
        """The step."""
        return self.workflow.spec.steps[self.number]

    @property
    def key(self) -> StepKey:
        """Name of the step."""
        return StepKey(self.workflow.job_id, self.occurrence, self.number)

    @property
    def priority(self) -> int:
        """Priority of the queue."""
        return self.workflow.spec.policy.priority


def make_ready_step(
    workflow: Workflow,
    occurrence: int,
    number: int,
    keys: list[TaskKey],
    unix_offset_ms: float = 0.0,
) -> ReadyStep:
    """Return a step with its deadlines.

    Parameters
    ----------
    workflow : Workflow
    occurrence, number : int
    keys : list of TaskKey
    unix_offset_ms : float
        Unix time minus the store's.
    """
    spec = workflow.spec
    begin_ms = spec.submitted_ms
    if spec.repeat_count:
        begin_ms = spec.due_unix_ms(occurrence) - unix_offset_ms
    due_ms = begin_ms + objective_ms(spec)
    chain_ms = _chain_from(spec.steps, number)
    return ReadyStep(
        workflow, occurrence, number, keys, begin_ms, due_ms, due_ms - chain_ms
    )


def _chain_from(steps: tuple[StepSpec, ...], number: int) -> float:
    """Return the longest chain of estimates that begins with a step."""
    tails = [step.estimate_ms for step in steps]
    for later in range(len(steps) - 1, -1, -1):
        for before in steps[later].after:
            length = steps[before].estimate_ms + tails[later]
            tails[before] = max(tails[before], length)
    return tails[number]


def rank(step: ReadyStep, now_ms: float) -> float:
    """Return the place of a step in the order; lower comes first.

    A step that cannot end in time any more is worth a fraction per core of what it
    was, so it yields to timely work of the next priorities.
    """
    chain_ms = step.due_ms - step.start_by_ms
    tolerance_ms = START_BY_TOLERANCE_MS + ESTIMATE_ERROR * chain_ms
    if now_ms <= step.start_by_ms + tolerance_ms:
        return step.priority
    objective = step.due_ms - step.begin_ms
    too_late = step.start_by_ms + (LATE_FACTOR - 1) * objective
    if now_ms <= too_late:
        return step.priority + LATE_RANK
    return step.priority + WORTHLESS_RANK
