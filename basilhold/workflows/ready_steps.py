"""Steps that are ready to run, their deadlines and the order in which they are placed.

The module performs no I/O.
"""

import math

import msgspec

from basilhold.tenants import TenantName
from basilhold.workflows.admissions import StepKey
from basilhold.workflows.model import StepSpec, TaskKey, objective_ms
from basilhold.workflows.progress import Workflow

__all__ = [
    "SURPLUS_RANK",
    "START_BY_TOLERANCE_MS",
    "WORTHLESS_RANK",
    "ReadyStep",
    "is_in_time",
    "late_after_ms",
    "make_ready_step",
    "rank",
]

START_BY_TOLERANCE_MS = 250.0
"""Delay after its latest start time up to which a step still counts as on time."""

ESTIMATE_ERROR = 0.25
"""Assumed relative error of estimated run times. A step that is late by this share of
its critical path may still end in time."""

LATE_FACTOR = 3.0
"""A workflow that takes longer than this multiple of the time that its objective allows
has no value."""

LATE_RANK = 1.5
SURPLUS_RANK = 100.0
WORTHLESS_RANK = 1_000.0
"""Added to the priority of a step that will miss its objective, of one that its tenant
submitted beyond its rate, and of one that will end too late to have any value."""


class ReadyStep(msgspec.Struct):
    """A step that may run now and has waiting tasks.

    Parameters
    ----------
    workflow : Workflow
    occurrence, number : int
        Occurrence of a repeated workflow, and index of the step in the workflow.
    keys : list of TaskKey
        Waiting tasks of the step.
    begin_ms : float
        Time at which the workflow was submitted or, if it is repeated, at which the
        occurrence may start. This and the following times are of the store's clock, in
        milliseconds.
    due_ms : float
        Time by which the workflow has to end to meet its objective.
    start_by_ms : float
        Latest start of the step with which the workflow can end by `due_ms`.
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
        """Specification of the step."""
        return self.workflow.spec.steps[self.number]

    @property
    def key(self) -> StepKey:
        """Key of this occurrence of the step."""
        return StepKey(self.workflow.job_id, self.occurrence, self.number)

    @property
    def tenant(self) -> TenantName:
        """Tenant that submitted the workflow."""
        return self.workflow.spec.tenant

    @property
    def priority(self) -> int:
        """Priority of the workflow's queue; 0 is the highest."""
        return self.workflow.spec.policy.priority


def make_ready_step(
    workflow: Workflow,
    occurrence: int,
    number: int,
    keys: list[TaskKey],
    unix_offset_ms: float = 0.0,
) -> ReadyStep:
    """Return a ready step with its deadlines.

    Parameters
    ----------
    workflow : Workflow
    occurrence, number : int
    keys : list of TaskKey
        Waiting tasks of the step.
    unix_offset_ms : float
        Unix time minus the time of the store's clock, in milliseconds.
    """
    spec = workflow.spec
    begin_ms = spec.submitted_ms
    if spec.repeat_count:
        begin_ms = spec.due_unix_ms(occurrence) - unix_offset_ms
    due_ms = begin_ms + objective_ms(spec)
    critical_path_ms = _critical_path_ms(spec.steps, number)
    return ReadyStep(
        workflow, occurrence, number, keys, begin_ms, due_ms, due_ms - critical_path_ms
    )


def _critical_path_ms(steps: tuple[StepSpec, ...], number: int) -> float:
    """Return the estimated time of the longest path of dependent steps from a step."""
    path_times = [step.estimate_ms for step in steps]
    for successor in range(len(steps) - 1, -1, -1):
        for predecessor in steps[successor].after:
            path_ms = steps[predecessor].estimate_ms + path_times[successor]
            path_times[predecessor] = max(path_times[predecessor], path_ms)
    return path_times[number]


def rank(step: ReadyStep, now_ms: float) -> float:
    """Return the sort key of a step; lower ranks are placed first.

    A step that can no longer end in time has only a fraction of its value per core, so
    steps of the next lower priority that are on time are placed first. What a tenant
    submits beyond its rate comes after all work that still has a value for others.

    Parameters
    ----------
    step : ReadyStep
    now_ms : float
        Time of the store's clock, in milliseconds.
    """
    surplus_rank = SURPLUS_RANK if step.workflow.is_surplus else 0.0
    return step.priority + surplus_rank + _lateness_rank(step, now_ms)


def late_after_ms(step: ReadyStep) -> float:
    """Return the time after which a start of the step is late.

    It is a time of the store's clock in milliseconds, infinite for a long-running task,
    which has a value for as long as it runs, whenever it starts.
    """
    if step.spec.long_running:
        return math.inf
    critical_path_ms = step.due_ms - step.start_by_ms
    tolerance_ms = START_BY_TOLERANCE_MS + ESTIMATE_ERROR * critical_path_ms
    return step.start_by_ms + tolerance_ms


def is_in_time(step: ReadyStep, now_ms: float) -> bool:
    """Return whether a step that starts now can end in time."""
    return now_ms <= late_after_ms(step)


def _lateness_rank(step: ReadyStep, now_ms: float) -> float:
    if is_in_time(step, now_ms):
        return 0.0
    objective_time_ms = step.due_ms - step.begin_ms
    worthless_after_ms = step.start_by_ms + (LATE_FACTOR - 1) * objective_time_ms
    if now_ms <= worthless_after_ms:
        return LATE_RANK
    return WORTHLESS_RANK
