"""Data model of workflows, which are jobs with dependent steps."""

from typing import NewType

import msgspec

from basilhold.core import JobId, Resources, ServiceName
from basilhold.tenants import NO_TENANT, TenantName

__all__ = [
    "AdvicePolicy",
    "QueueName",
    "QueuePolicy",
    "RunNumber",
    "StepSpec",
    "TaskKey",
    "WorkflowSpec",
    "find_step_above_quota",
    "objective_ms",
    "task_name",
]

WORKERS_PER_QUERY = 30
"""Number of workers in the advice query that the objective allows for per step."""

QueueName = NewType("QueueName", str)
RunNumber = NewType("RunNumber", int)


class AdvicePolicy(msgspec.Struct, frozen=True):
    """Response time of the advice service, which decides on admissible workers.

    Parameters
    ----------
    decide_ms : float
        Fixed part of the response time, in milliseconds.
    each_ms : float
        Additional response time per worker in the request, in milliseconds.
    valid_ms : float
        Time for which a ticket from a response is valid, in milliseconds.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0

    def answer_ms(self, worker_count: int) -> float:
        """Return the response time for a number of workers, in milliseconds."""
        return self.decide_ms + self.each_ms * worker_count


class QueuePolicy(msgspec.Struct, frozen=True):
    """Scheduling policy of the workflows of a queue.

    Parameters
    ----------
    name : QueueName
        Name of the queue.
    service : ServiceName
        Pool of workers that run the queue's tasks.
    priority : int
        Priority of the workflows; 0 is the highest.
    failures_max : int
        Number of failures of one task after which its workflow fails.
    stretch, target_latency_ms : float
        The latency objective of a workflow is `stretch` times the run time of its
        critical path plus `target_latency_ms`, in milliseconds.
    advice : AdvicePolicy, optional
        Set if an external service decides which workers may run a step.
    """

    name: QueueName
    service: ServiceName
    priority: int = 0
    failures_max: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: AdvicePolicy | None = None


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Group of identical tasks that start after other steps have completed.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    size : Resources
        Resources that each task uses.
    estimate_ms : float
        Rough run time of a task as declared by the caller, in milliseconds.
    after : tuple of int
        Indices of the steps that have to complete first.
    gang : bool
        Whether the tasks make progress only while all of them run, and end together.
    same_rack_preferred : bool
        Whether the tasks are slower if they are spread over racks.
    label : str
        Label that the worker must have; empty for any worker.
    rack : str
        Rack that holds the step's data; empty if there is none.
    per_worker_max : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    copies_allowed : bool
        Whether several runs of one task may execute at the same time.
    long_running : bool
        Whether the tasks run until the workflow is cancelled.
    checkpointing : bool
        Whether the tasks save a checkpoint when they are stopped, so that no work is
        lost.
    image : str
        Image that the tasks run.
    latency_target_ms : float
        Upper bound of the tail latency of requests served by a long-running task, in
        milliseconds; 0 for none.
    uses_spare_cores : bool
        Whether the cores of the tasks do not count against a worker's capacity.
    unavailable_max : int
        Maximum number of tasks that may be interrupted at a time; 0 for no limit.
    """

    task_count: int
    size: Resources
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack_preferred: bool = False
    label: str = ""
    rack: str = ""
    per_worker_max: int = 0
    copies_allowed: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    uses_spare_cores: bool = False
    unavailable_max: int = 0

    def reserved(self) -> Resources:
        """Return the part of a worker's capacity that a task reserves."""
        if self.uses_spare_cores:
            return Resources(0, self.size.memory_bytes, self.size.gpus_milli)
        return self.size


class WorkflowSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Submitted workflow, as stored.

    Parameters
    ----------
    job_id : JobId
        Unique identifier of the workflow.
    policy : QueuePolicy
        Policy of the queue at submission.
    payload : str
        Data passed to the workers unchanged.
    steps : tuple of StepSpec
        Steps of the workflow.
    submitted_ms : float
        Store's time at submission, in milliseconds; 0 if the process that accepted the
        workflow did not know it.
    first_due_unix_ms, interval_ms : float
        Unix time at which the first occurrence of a repeated workflow is due, and the
        interval between occurrences, in milliseconds.
    repeat_count : int
        Number of occurrences; 0 for a workflow that runs once, immediately.
    tenant : TenantName
        Tenant that submitted the workflow; empty if it has none.
    """

    job_id: JobId
    policy: QueuePolicy
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_ms: float = 0.0
    first_due_unix_ms: float = 0.0
    interval_ms: float = 0.0
    repeat_count: int = 0
    tenant: TenantName = NO_TENANT

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeat_count)

    def due_unix_ms(self, occurrence: int) -> float:
        """Return the Unix time in milliseconds at which an occurrence is due.

        Returns 0 if it may start immediately.
        """
        if not self.repeat_count:
            return 0.0
        return self.first_due_unix_ms + occurrence * self.interval_ms


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Identifies one task of a workflow.

    Parameters
    ----------
    occurrence : int
        Occurrence of a repeated workflow, from 0.
    step : int
        Index of the step.
    index : int
        Index of the task in the step.
    """

    occurrence: int
    step: int
    index: int


def task_name(job_id: JobId, key: TaskKey) -> str:
    """Return the name that identifies a task to workers.

    Examples
    --------
    >>> task_name(JobId("00ff"), TaskKey(0, 1, 17))
    '00ff.0.1.17'
    """
    return f"{job_id}.{key.occurrence}.{key.step}.{key.index}"


def objective_ms(spec: WorkflowSpec) -> float:
    """Return the latency objective of a workflow, in milliseconds.

    Examples
    --------
    >>> policy = QueuePolicy("q", "s", stretch=2.0, target_latency_ms=500)
    >>> first = StepSpec(1, Resources(), 100)
    >>> second = StepSpec(1, Resources(), 300, (0,))
    >>> objective_ms(WorkflowSpec("1", policy, "", (first, second), 0))
    1300.0
    """
    policy = spec.policy
    return policy.stretch * _critical_path_ms(spec) + policy.target_latency_ms


def find_step_above_quota(steps: tuple[StepSpec, ...], quota: Resources) -> int | None:
    """Return the first step that a quota can never admit, or ``None``.

    Tasks of a gang start together. Other steps may run in several waves, so only one of
    their tasks has to fit.

    Parameters
    ----------
    steps : tuple of StepSpec
    quota : Resources
        A component of 0 is not limited.

    Examples
    --------
    >>> gang = StepSpec(4, Resources(1_000), gang=True)
    >>> find_step_above_quota((gang,), Resources(3_000))
    0
    >>> waves = StepSpec(4, Resources(1_000))
    >>> find_step_above_quota((waves,), Resources(3_000)) is None
    True
    """
    limits = msgspec.structs.astuple(quota)
    for number, step in enumerate(steps):
        unit = step.size.scaled(step.task_count) if step.gang else step.size
        amounts = msgspec.structs.astuple(unit)
        if any(
            limit and amount > limit
            for amount, limit in zip(amounts, limits, strict=True)
        ):
            return number
    return None


def _critical_path_ms(spec: WorkflowSpec) -> float:
    """Return the estimated run time of the critical path, in milliseconds.

    It includes one advice query per step, if the queue requires advice.
    """
    advice = spec.policy.advice
    advice_ms = advice.answer_ms(WORKERS_PER_QUERY) if advice else 0.0
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        start_ms = max((ends[i] for i in step.after if i < number), default=0.0)
        ends.append(start_ms + advice_ms + step.estimate_ms)
    return max(ends, default=0.0)
