"""Progress of one workflow: the state of its tasks and how ends change it. Pure."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from basilhold.core import JobId, WorkerId
from basilhold.workflows.model import RunNumber, TaskKey, WorkflowSpec

__all__ = [
    "CHUNK_TASKS",
    "ROW_BYTES_MAX",
    "EndKind",
    "RunEnd",
    "TaskProgress",
    "TaskStage",
    "Workflow",
    "WorkflowState",
]


CHUNK_TASKS = 64
"""Tasks in one row of progress. At 500 bytes a task, with the longest ids and
checkpoints, a chunk stays below the smallest row that a store must take."""

ROW_BYTES_MAX = 49_152
"""Largest value of a row that every store takes: 65,536 bytes as base64."""


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
    ended_ms: float = 0.0


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
        self.ended_ms = 0.0
        self._tasks: dict[TaskKey, TaskProgress] = {}
        self._chunk_keys: dict[int, list[TaskKey]] = {}
        self._changed: set[int] = set()
        self._offsets: list[int] = []
        self._tasks_per_occurrence = 0
        for step in spec.steps:
            self._offsets.append(self._tasks_per_occurrence)
            self._tasks_per_occurrence += step.task_count
        self._unfinished: dict[tuple[int, int], int] = {}
        for occurrence in range(spec.occurrence_count):
            for number, step in enumerate(spec.steps):
                self._unfinished[occurrence, number] = step.task_count

    @property
    def job_id(self) -> JobId:
        """Id of the workflow."""
        return self.spec.job_id

    def task(self, key: TaskKey) -> TaskProgress:
        """Return the progress of a task."""
        task = self._tasks.get(key)
        if task is None:
            task = TaskProgress(avoided=[])
            self._add_task(key, task)
        return task

    def _add_task(self, key: TaskKey, task: TaskProgress) -> None:
        self._tasks[key] = task
        self._chunk_keys.setdefault(self.chunk_of(key), []).append(key)

    def chunk_of(self, key: TaskKey) -> int:
        """Return the chunk of the progress that holds a task."""
        position = (
            key.occurrence * self._tasks_per_occurrence
            + self._offsets[key.step]
            + key.index
        )
        return position // CHUNK_TASKS

    @property
    def chunk_count(self) -> int:
        """Number of chunks of the progress."""
        return -(
            -self._tasks_per_occurrence * self.spec.occurrence_count // CHUNK_TASKS
        )

    def take_changed_chunks(self) -> list[int]:
        """Return the chunks that changed since the last call, the first one first."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def avoid_worker(self, key: TaskKey, worker_id: WorkerId) -> None:
        """Let a task's next runs start elsewhere if another worker can run it."""
        avoided = self.task(key).avoided
        if worker_id not in avoided:
            avoided.append(worker_id)
            self._changed.add(self.chunk_of(key))

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the specification names the task."""
        steps = self.spec.steps
        return (
            0 <= key.occurrence < self.spec.occurrence_count
            and 0 <= key.step < len(steps)
            and 0 <= key.index < steps[key.step].task_count
        )

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return self._unfinished[occurrence, step] == 0

    def ready_steps(self, now_unix_ms: float) -> Iterator[tuple[int, int]]:
        """Yield occurrence and number of the steps whose tasks may run now."""
        if self.state.is_final:
            return
        for occurrence in range(self.spec.occurrence_count):
            if now_unix_ms < self.spec.due_unix_ms(occurrence):
                return
            for number, step in enumerate(self.spec.steps):
                if self.is_step_done(occurrence, number):
                    continue
                if all(self.is_step_done(occurrence, before) for before in step.after):
                    yield occurrence, number

    def task_keys(self, occurrence: int, step: int) -> list[TaskKey]:
        """Return the keys of all tasks of a step."""
        count = self.spec.steps[step].task_count
        return [TaskKey(occurrence, step, index) for index in range(count)]

    def pending_task_keys(self, occurrence: int, step: int) -> list[TaskKey]:
        """Return the tasks of a step that wait for a worker."""
        return [
            key
            for key in self.task_keys(occurrence, step)
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
        self._changed.add(self.chunk_of(key))
        if self.state is WorkflowState.QUEUED:
            self.state = WorkflowState.RUNNING
            self._changed.add(0)

    def next_run_number(self, keys: list[TaskKey]) -> RunNumber:
        """Return a run number above all earlier runs of the tasks."""
        return RunNumber(max(self.task(key).run for key in keys) + 1)

    def apply_end(self, end: RunEnd, now_ms: float) -> bool:
        """Apply the end of a task's current run; return whether anything changed.

        Ends of earlier runs are ignored: their outcome was decided when the task was
        released from them.
        """
        task = self.task(end.key)
        if task.stage is not TaskStage.ASSIGNED or task.run != end.run:
            return False
        self._changed.add(self.chunk_of(end.key))
        if self.state.is_final:
            task.stage = TaskStage.PENDING
            return True
        if end.kind is EndKind.DONE and not self._step(end.key).long_running:
            self._complete_task(end, now_ms)
            return True
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        worker_id = task.worker_id
        task.stage = TaskStage.PENDING
        task.worker_id = WorkerId("")
        if end.kind is EndKind.FAILED:
            self._count_failure(end, worker_id, now_ms)
        return True

    def _complete_task(self, end: RunEnd, now_ms: float) -> None:
        # One member's end as done stands for its whole gang.
        keys = [end.key]
        if self._step(end.key).gang:
            keys = self.task_keys(end.key.occurrence, end.key.step)
        for key in keys:
            task = self.task(key)
            if task.stage is not TaskStage.DONE:
                task.stage = TaskStage.DONE
                task.worker_id = WorkerId("")
                task.checkpoint = ""
                self._changed.add(self.chunk_of(key))
                self._unfinished[key.occurrence, key.step] -= 1
        if not any(self._unfinished.values()):
            self._end(WorkflowState.COMPLETED, now_ms)

    def _count_failure(self, end: RunEnd, worker_id: WorkerId, now_ms: float) -> None:
        step = self._step(end.key)
        key = end.key
        if step.gang:
            key = TaskKey(key.occurrence, key.step, 0)
        task = self.task(key)
        self.avoid_worker(key, worker_id)
        # Several members of a gang may fail in one run, which counts once.
        if step.gang and task.failed_run == end.run:
            return
        task.failed_run = end.run
        task.failures += 1
        self._changed.add(self.chunk_of(key))
        if not step.long_running and task.failures >= self.spec.policy.failures_max:
            self._end(WorkflowState.FAILED, now_ms)

    def cancel(self, now_ms: float) -> bool:
        """Cancel the workflow; return whether it had not ended."""
        if self.state.is_final:
            return False
        self._end(WorkflowState.CANCELLED, now_ms)
        return True

    def _end(self, state: WorkflowState, now_ms: float) -> None:
        self.state = state
        self.ended_ms = now_ms
        self._changed.add(0)

    def _step(self, key: TaskKey):
        return self.spec.steps[key.step]

    def encode(self, chunk: int = 0, bytes_max: int = ROW_BYTES_MAX) -> bytes:
        """Return the row that holds a chunk of the progress.

        Parameters
        ----------
        chunk : int
            The first one also holds the state.
        bytes_max : int
            A longer row leaves out which workers the tasks avoid.
        """
        stored = _StoredWorkflow()
        if not chunk:
            stored.state, stored.ended_ms = self.state, self.ended_ms
        for key in self._chunk_keys.get(chunk, ()):
            task = self._tasks[key]
            # Tasks that still run have to be stopped, also by a successor.
            if task.stage is TaskStage.ASSIGNED or (
                task.run and not self.state.is_final
            ):
                entry = _StoredTask(key.occurrence, key.step, key.index, task)
                stored.tasks.append(entry)
        row = msgspec.json.encode(stored)
        if len(row) <= bytes_max:
            return row
        for entry in stored.tasks:
            entry.task = msgspec.structs.replace(entry.task, avoided=[])
        return msgspec.json.encode(stored)

    @classmethod
    def decode(cls, spec: WorkflowSpec, rows: list[bytes]) -> "Workflow":
        """Return the workflow with the progress of its rows, the first one first."""
        workflow = cls(spec)
        for row in rows:
            stored = _DECODER.decode(row)
            if stored.state is not WorkflowState.QUEUED:
                workflow.state = stored.state
                workflow.ended_ms = stored.ended_ms
            for entry in stored.tasks:
                key = TaskKey(entry.occurrence, entry.step, entry.index)
                if not workflow.has_task(key):
                    continue
                workflow._add_task(key, entry.task)
                if entry.task.stage is TaskStage.DONE:
                    workflow._unfinished[key.occurrence, key.step] -= 1
        return workflow


def decode_state(row: bytes) -> WorkflowState:
    """Return the state in a progress row."""
    return _DECODER.decode(row).state
