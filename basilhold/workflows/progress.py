"""Progress of one workflow: the state of its tasks and how ends change it. Pure."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.model import RunNumber, TaskKey, WorkflowSpec

__all__ = [
    "EndKind",
    "RunEnd",
    "TaskProgress",
    "TaskStage",
    "Workflow",
    "WorkflowState",
]


class TaskStage(Enum):
    """Where a task stands. `ASSIGNED` is stored before the start is sent."""

    PENDING = 0
    ASSIGNED = 1
    DONE = 2


class WorkflowState(Enum):
    """State of a workflow as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether no task of the workflow will start again."""
        return self not in (WorkflowState.QUEUED, WorkflowState.RUNNING)


class EndKind(Enum):
    """How a run ended on its worker.

    `FAILED` counts against the task; `BROKEN` and `ALONE` are ends of gang members
    whose gang was not whole; `LOST` is concluded by the owner, not reported.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class RunEnd(msgspec.Struct, frozen=True):
    """The end of one run."""

    key: TaskKey
    run: RunNumber
    kind: EndKind
    checkpoint: str = ""


class TaskProgress(msgspec.Struct, array_like=True):
    """Progress of one task.

    Parameters
    ----------
    stage : TaskStage
    run : RunNumber
        Number of the last run; 0 before the first.
    failures : int
    worker_id : WorkerId
        Where the task is assigned.
    checkpoint : str
        Newest known checkpoint; empty if there is none.
    avoided : list of WorkerId
        Workers on which runs failed or were too slow.
    failed_run : RunNumber
        Last run of a gang that counted as failed; kept by its first task.
    """

    stage: TaskStage = TaskStage.PENDING
    run: RunNumber = RunNumber(0)
    failures: int = 0
    worker_id: WorkerId = WorkerId("")
    checkpoint: str = ""
    avoided: list[WorkerId] = []
    failed_run: RunNumber = RunNumber(0)


class _StoredTask(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    task: TaskProgress


class _StoredWorkflow(msgspec.Struct, omit_defaults=True):
    state: WorkflowState = WorkflowState.QUEUED
    tasks: list[_StoredTask] = []
    ended_unix_ms: float = 0.0


_DECODER = msgspec.json.Decoder(_StoredWorkflow)


class Workflow:
    """A workflow and the progress of its tasks.

    Parameters
    ----------
    spec : WorkflowSpec
    """

    def __init__(self, spec: WorkflowSpec):
        self.spec = spec
        self.state = WorkflowState.QUEUED
        self.ended_unix_ms = 0.0
        self._tasks: dict[TaskKey, TaskProgress] = {}
        self._open: dict[tuple[int, int], int] = {}
        for occurrence in range(spec.occurrence_count):
            for number, step in enumerate(spec.steps):
                self._open[occurrence, number] = step.task_count

    @property
    def job_id(self) -> JobId:
        """Id of the workflow."""
        return self.spec.job_id

    def task(self, key: TaskKey) -> TaskProgress:
        """Return the progress of a task, which callers may change."""
        task = self._tasks.get(key)
        if task is None:
            task = self._tasks[key] = TaskProgress(avoided=[])
        return task

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the specification names the task."""
        steps = self.spec.steps
        return (
            0 <= key.occurrence < self.spec.occurrence_count
            and 0 <= key.step < len(steps)
            and 0 <= key.index < steps[key.step].task_count
        )

    def step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return self._open[occurrence, step] == 0

    def done_steps(self, occurrence: int) -> frozenset[int]:
        """Return the steps of an occurrence whose tasks are all done."""
        count = len(self.spec.steps)
        return frozenset(i for i in range(count) if self.step_done(occurrence, i))

    def ready_steps(self, now_unix_ms: float) -> Iterator[tuple[int, int]]:
        """Yield occurrence and number of the steps whose tasks may run now."""
        if self.state.is_final:
            return
        for occurrence in range(self.spec.occurrence_count):
            if now_unix_ms < self.spec.due_unix_ms(occurrence):
                return
            for number, step in enumerate(self.spec.steps):
                if self.step_done(occurrence, number):
                    continue
                if all(self.step_done(occurrence, before) for before in step.after):
                    yield occurrence, number

    def step_keys(self, occurrence: int, step: int) -> list[TaskKey]:
        """Return the keys of all tasks of a step."""
        count = self.spec.steps[step].task_count
        return [TaskKey(occurrence, step, index) for index in range(count)]

    def pending_keys(self, occurrence: int, step: int) -> list[TaskKey]:
        """Return the tasks of a step that wait for a worker."""
        return [
            key
            for key in self.step_keys(occurrence, step)
            if self.task(key).stage is TaskStage.PENDING
        ]

    def assigned(self) -> list[tuple[TaskKey, TaskProgress]]:
        """Return the tasks that may run on a worker."""
        return [
            (key, task)
            for key, task in self._tasks.items()
            if task.stage is TaskStage.ASSIGNED
        ]

    def has_started(self) -> bool:
        """Return whether a run of any task was ever assigned."""
        return any(task.run for task in self._tasks.values())

    def assign(self, key: TaskKey, run: RunNumber, worker_id: WorkerId) -> None:
        """Note that a run is about to start on a worker."""
        task = self.task(key)
        task.stage = TaskStage.ASSIGNED
        task.run = run
        task.worker_id = worker_id
        if self.state is WorkflowState.QUEUED:
            self.state = WorkflowState.RUNNING

    def next_run(self, keys: list[TaskKey]) -> RunNumber:
        """Return a run number above all earlier runs of the tasks."""
        return RunNumber(max(self.task(key).run for key in keys) + 1)

    def apply_end(self, end: RunEnd, now_unix_ms: float) -> bool:
        """Apply the end of a task's current run; return whether anything changed.

        Ends of earlier runs are ignored: their outcome was decided when the task was
        released from them.
        """
        task = self.task(end.key)
        if task.stage is not TaskStage.ASSIGNED or task.run != end.run:
            return False
        if self.state.is_final:
            task.stage = TaskStage.PENDING
            return True
        if end.kind is EndKind.DONE and not self._step(end.key).long_running:
            self._finish(end, now_unix_ms)
            return True
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        worker_id = task.worker_id
        task.stage = TaskStage.PENDING
        task.worker_id = WorkerId("")
        if end.kind is EndKind.FAILED:
            self._count_failure(end, worker_id, now_unix_ms)
        return True

    def _finish(self, end: RunEnd, now_unix_ms: float) -> None:
        # One member's end as done stands for its whole gang.
        keys = [end.key]
        if self._step(end.key).gang:
            keys = self.step_keys(end.key.occurrence, end.key.step)
        for key in keys:
            task = self.task(key)
            if task.stage is not TaskStage.DONE:
                task.stage = TaskStage.DONE
                task.worker_id = WorkerId("")
                task.checkpoint = ""
                self._open[key.occurrence, key.step] -= 1
        if not any(self._open.values()):
            self._end(WorkflowState.COMPLETED, now_unix_ms)

    def _count_failure(
        self, end: RunEnd, worker_id: WorkerId, now_unix_ms: float
    ) -> None:
        step = self._step(end.key)
        key = end.key
        if step.gang:
            key = TaskKey(key.occurrence, key.step, 0)
        task = self.task(key)
        if worker_id not in task.avoided:
            task.avoided.append(worker_id)
        # Several members of a gang may fail in one run, which counts once.
        if step.gang and task.failed_run == end.run:
            return
        task.failed_run = end.run
        task.failures += 1
        if not step.long_running and task.failures >= self.spec.policy.failures_max:
            self._end(WorkflowState.FAILED, now_unix_ms)

    def cancel(self, now_unix_ms: float) -> bool:
        """Cancel the workflow; return whether it had not ended."""
        if self.state.is_final:
            return False
        self._end(WorkflowState.CANCELLED, now_unix_ms)
        return True

    def _end(self, state: WorkflowState, now_unix_ms: float) -> None:
        self.state = state
        self.ended_unix_ms = now_unix_ms

    def _step(self, key: TaskKey):
        return self.spec.steps[key.step]

    def encode(self) -> bytes:
        """Return the row that holds the progress."""
        stored = _StoredWorkflow(self.state, [], self.ended_unix_ms)
        if not self.state.is_final:
            stored.tasks = [
                _StoredTask(key.occurrence, key.step, key.index, task)
                for key, task in self._tasks.items()
                if task.run
            ]
        else:
            # Tasks that still run have to be stopped, also by a successor.
            stored.tasks = [
                _StoredTask(key.occurrence, key.step, key.index, task)
                for key, task in self.assigned()
            ]
        return msgspec.json.encode(stored)

    @classmethod
    def decode(cls, spec: WorkflowSpec, row: bytes) -> "Workflow":
        """Return the workflow with the progress of a row."""
        stored = _DECODER.decode(row)
        workflow = cls(spec)
        workflow.state = stored.state
        workflow.ended_unix_ms = stored.ended_unix_ms
        for entry in stored.tasks:
            key = TaskKey(entry.occurrence, entry.step, entry.index)
            workflow._tasks[key] = entry.task
            if entry.task.stage is TaskStage.DONE:
                workflow._open[key.occurrence, key.step] -= 1
        return workflow


def decode_state(row: bytes) -> WorkflowState:
    """Return the state in a progress row."""
    return _DECODER.decode(row).state
