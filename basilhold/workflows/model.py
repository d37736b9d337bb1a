"""Workflows: jobs whose steps depend on each other."""

from typing import NewType

import msgspec

from basilhold.core import JobId, Resources, ServiceName

__all__ = [
    "AdvicePolicy",
    "QueueName",
    "QueuePolicy",
    "RunNumber",
    "StepSpec",
    "TaskKey",
    "WorkflowSpec",
    "objective_ms",
    "task_name",
]

WORKERS_PER_QUERY = 30
"""Workers named in the question that an objective allows for each step."""

QueueName = NewType("QueueName", str)
RunNumber = NewType("RunNumber", int)


class AdvicePolicy(msgspec.Struct, frozen=True):
    """What a question about admissible workers costs, in milliseconds.

    Parameters
    ----------
    decide_ms : float
        Fixed part of the answering time.
    each_ms : float
        Part for each worker that is named.
    valid_ms : float
        How long a ticket can be used.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0

    def answer_ms(self, worker_count: int) -> float:
        """Return the answering time for a number of workers, in milliseconds."""
        return self.decide_ms + self.each_ms * worker_count


class QueuePolicy(msgspec.Struct, frozen=True):
    """How a queue's workflows are treated.

    Parameters
    ----------
    name : QueueName
    service : ServiceName
        Pool of workers that run the queue's tasks.
    priority : int
        0 comes first.
    failures_max : int
        A task that failed this often fails its workflow.
    stretch, target_latency_ms : float
        The objective is `stretch` times the longest chain of work plus the target.
    advice : AdvicePolicy, optional
        Set where an external service decides which workers may run a step.
    """

    name: QueueName
    service: ServiceName
    priority: int = 0
    failures_max: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: AdvicePolicy | None = None


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Equal tasks that start once the steps named in `after` are done.

    Parameters
    ----------
    task_count : int
    size : Resources
    estimate_ms : float
        Declared run time of a task; rough.
    after : tuple of int
    gang : bool
        The tasks work only while all of them run, and end together.
    same_rack_preferred : bool
        The tasks are slower if they are spread over racks.
    label : str
        Label that the worker must have; empty for any worker.
    rack : str
        Rack that holds the step's data; empty if there is none.
    per_worker_max : int
        Most tasks of the step on one worker; 0 for no limit.
    copies_allowed : bool
        Several runs of one task may run at a time.
    long_running : bool
        The tasks run until the workflow is cancelled.
    checkpointing : bool
    image : str
    latency_target_ms : float
        Bound of the tail latency of what a long-running task serves; 0 for none.
    uses_spare_cores : bool
        The cores of the tasks do not count against a worker's capacity.
    unavailable_max : int
        Most tasks that may be interrupted at a time; 0 for no limit.
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
        """Return what a task takes of a worker's capacity."""
        if self.uses_spare_cores:
            return Resources(0, self.size.memory_bytes, self.size.gpus_milli)
        return self.size


class WorkflowSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submitted workflow, as stored.

    Parameters
    ----------
    job_id : JobId
    policy : QueuePolicy
        Policy of the queue at submission.
    payload : str
        Passed to the workers as it is.
    steps : tuple of StepSpec
    submitted_ms : float
        Time of the store's clock at submission; 0 if that was not known there.
    first_due_unix_ms, interval_ms : float
        Due times of a repeated workflow.
    repeat_count : int
        Number of occurrences; 0 for a workflow that runs once, at once.
    """

    job_id: JobId
    policy: QueuePolicy
    payload: str
    steps: tuple[StepSpec, ...]
    submitted_ms: float = 0.0
    first_due_unix_ms: float = 0.0
    interval_ms: float = 0.0
    repeat_count: int = 0

    @property
    def occurrence_count(self) -> int:
        """How often the steps run."""
        return max(1, self.repeat_count)

    def due_unix_ms(self, occurrence: int) -> float:
        """Return when an occurrence may start; 0 if it may start at once."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_unix_ms + occurrence * self.interval_ms


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Names one task of a workflow."""

    occurrence: int
    step: int
    index: int


def task_name(job_id: JobId, key: TaskKey) -> str:
    """Return the name under which workers know a task.

    Examples
    --------
    >>> task_name(JobId("00ff"), TaskKey(0, 1, 17))
    '00ff.0.1.17'
    """
    return f"{job_id}.{key.occurrence}.{key.step}.{key.index}"


def objective_ms(spec: WorkflowSpec) -> float:
    """Return the time within which a workflow should end, in milliseconds.

    Examples
    --------
    >>> policy = QueuePolicy("q", "s", stretch=2.0, target_latency_ms=500)
    >>> first = StepSpec(1, Resources(), 100)
    >>> second = StepSpec(1, Resources(), 300, (0,))
    >>> objective_ms(WorkflowSpec("1", policy, "", (first, second), 0))
    1300.0
    """
    policy = spec.policy
    return policy.stretch * _chain_ms(spec) + policy.target_latency_ms


def _chain_ms(spec: WorkflowSpec) -> float:
    """Return the longest chain of estimates, with a question about each step."""
    advice = spec.policy.advice
    advice_ms = advice.answer_ms(WORKERS_PER_QUERY) if advice else 0.0
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        start_ms = max((ends[i] for i in step.after if i < number), default=0.0)
        ends.append(start_ms + advice_ms + step.estimate_ms)
    return max(ends, default=0.0)
