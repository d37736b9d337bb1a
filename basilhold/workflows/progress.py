"""Progress of a workflow: the stages of its tasks and the effects of runs' outcomes.

The module performs no I/O.
"""

from collections.abc import Iterator
from enum import Enum

import msgspec

from basilhold.core import (
    JobId,
    JsonDecoder,
    WorkerId,
)
from basilhold.workflows.crash_blame import CrashEvidence, CrashHistory, judge
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
"""Number of tasks in one row of progress. A task takes 500 bytes with the longest ids
and checkpoints, so a chunk fits into the smallest row that a store has to accept."""

ROW_BYTES_MAX = 49_152
"""Largest value of a row that every store accepts, in bytes: 65,536 as base64."""


class TaskStage(Enum):
    """Stage of a task. `ASSIGNED` is stored before the start request is sent."""

    PENDING = 0
    ASSIGNED = 1
    DONE = 2


class WorkflowState(Enum):
    """State of a workflow that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the workflow has ended, so that none of its tasks starts again."""
        return self not in (WorkflowState.QUEUED, WorkflowState.RUNNING)


class EndKind(Enum):
    """How a run ended on its worker.

    Only `FAILED` counts as a failure of the task. `LAPSED` means that the worker ended
    the run because its lease had expired. `BROKEN` and `ALONE` are outcomes of gang
    tasks whose gang was incomplete.

    The last three are concluded by the owner and not reported by the worker:
    `UNSTARTED` means that the run never began, `CRASHED` that its worker crashed while
    it may have been at work, and `LOST` that it can no longer run for another reason.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    UNSTARTED = "unstarted"
    CRASHED = "crashed"

    @property
    def is_reported(self) -> bool:
        """Whether workers report this outcome themselves."""
        return self not in (EndKind.LOST, EndKind.UNSTARTED, EndKind.CRASHED)


class RunEnd(msgspec.Struct, frozen=True):
    """Outcome of one run.

    Parameters
    ----------
    key : TaskKey
    run : RunNumber
    kind : EndKind
    checkpoint : str
        Newest checkpoint of the run; empty if there is none.
    crash : CrashEvidence
        What the crash says about the run, if the kind is `EndKind.CRASHED`.
    """

    key: TaskKey
    run: RunNumber
    kind: EndKind
    checkpoint: str = ""
    crash: CrashEvidence = CrashEvidence()


class TaskProgress(msgspec.Struct, array_like=True):
    """Progress of one task.

    Parameters
    ----------
    stage : TaskStage
    run : RunNumber
        Number of the last run; 0 before the first.
    failures : int
        Number of failed runs.
    worker_id : WorkerId
        Worker to which the task is assigned.
    checkpoint : str
        Newest known checkpoint; empty if there is none.
    avoided : list of WorkerId
        Workers on which runs failed or were too slow; other ones are preferred.
    failed_run : RunNumber
        Last run that was counted as failed; that of a gang is set on its first task.
    crash : CrashHistory, optional
        Crashes of workers for which the task may be to blame; ``None`` if there are
        none.
    endpoint : str
        ``host:port`` of the worker to which the task is assigned. The next owner may
        not find the worker's registration any more.
    assigned_ms : int
        Time of the store's clock at which the task was assigned, in milliseconds.
    born_unix_ms : int
        Unix time at which the worker's incarnation started to which the task is
        assigned, in milliseconds; 0 if unknown.
    confirmed_run : RunNumber
        Last run that its worker has confirmed or listed, as far as it was stored.
    """

    stage: TaskStage = TaskStage.PENDING
    run: RunNumber = RunNumber(0)
    failures: int = 0
    worker_id: WorkerId = WorkerId("")
    checkpoint: str = ""
    avoided: list[WorkerId] = []
    failed_run: RunNumber = RunNumber(0)
    crash: CrashHistory | None = None
    endpoint: str = ""
    assigned_ms: int = 0
    born_unix_ms: int = 0
    confirmed_run: RunNumber = RunNumber(0)

    @property
    def is_confirmed(self) -> bool:
        """Whether the worker of the current run has confirmed it."""
        return self.confirmed_run == self.run


class _StoredTask(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    task: TaskProgress


class _StoredWorkflow(msgspec.Struct, omit_defaults=True):
    state: WorkflowState = WorkflowState.QUEUED
    tasks: list[_StoredTask] = []
    ended_ms: float = 0.0
    is_set_aside: bool = False
    has_begun: bool = False


_DECODER = JsonDecoder(_StoredWorkflow)


class Workflow:
    """A workflow and the progress of its tasks.

    The progress is stored in chunks of `CHUNK_TASKS` tasks, one row each, so that a
    commit writes only the chunks that have changed.

    Parameters
    ----------
    spec : WorkflowSpec

    Attributes
    ----------
    state : WorkflowState
    ended_ms : float
        Time of the store's clock at the end; 0 while the workflow is active.
    is_surplus : bool
        Whether its tenant had submitted more workflows than its rate allows.
    is_set_aside : bool
        Whether an owner has failed on it, so that none of its tasks starts again.
    """

    def __init__(self, spec: WorkflowSpec):
        self.spec = spec
        self.is_surplus = False
        self.is_set_aside = False
        self.state = WorkflowState.QUEUED
        self.ended_ms = 0.0
        self._has_begun = False
        self._restored_runs: dict[TaskKey, RunNumber] = {}
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
        """Return the progress of a task, creating it at first use."""
        task = self._tasks.get(key)
        if task is None:
            task = TaskProgress(avoided=[])
            self._add_task(key, task)
        return task

    def _add_task(self, key: TaskKey, task: TaskProgress) -> None:
        self._tasks[key] = task
        self._chunk_keys.setdefault(self.chunk_of(key), []).append(key)

    def chunk_of(self, key: TaskKey) -> int:
        """Return the number of the chunk that stores a task's progress."""
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
        """Return the chunks that changed since the last call, in ascending order."""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def avoid_worker(self, key: TaskKey, worker_id: WorkerId) -> None:
        """Prefer other workers for the next runs of a task."""
        avoided = self.task(key).avoided
        if worker_id not in avoided:
            avoided.append(worker_id)
            self._changed.add(self.chunk_of(key))

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the specification contains the task."""
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
        """Yield occurrence and number of the unfinished steps that may run now."""
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
        """Return the keys of a step's tasks that wait for a worker."""
        return [
            key
            for key in self.task_keys(occurrence, step)
            if self.task(key).stage is TaskStage.PENDING
        ]

    def assigned(self) -> list[tuple[TaskKey, TaskProgress]]:
        """Return the tasks that are assigned to a worker, with their progress."""
        return [
            (key, task)
            for key, task in self._tasks.items()
            if task.stage is TaskStage.ASSIGNED
        ]

    def has_started(self) -> bool:
        """Return whether a run of any task has begun, as far as is known.

        An assignment alone is no start: the worker may refuse it, or its commit may
        stall. Only an assignment that an earlier owner has stored counts as one until
        its run ends, as the start request is sent right after the commit.
        """
        return self._has_begun or any(
            self._tasks[key].stage is TaskStage.ASSIGNED and self._tasks[key].run == run
            for key, run in self._restored_runs.items()
        )

    def note_begun(self) -> None:
        """Record that a run of one of the tasks has begun on its worker.

        It is stored with the next change of the progress. Until then the next owner
        finds the assignment of the run.
        """
        self._has_begun = True

    def confirm_run(self, key: TaskKey, run: RunNumber) -> bool:
        """Record that a worker has confirmed or listed a run of a task.

        Returns
        -------
        bool
            Whether it is to be stored at once. A task that lasts has to run again soon
            after its worker is lost, also if the next owner finds that out; other tasks
            are stored with the next change of the progress.
        """
        task = self.task(key)
        if task.run != run or task.is_confirmed:
            return False
        task.confirmed_run = run
        if not self.spec.steps[key.step].long_running:
            return False
        self._changed.add(self.chunk_of(key))
        return True

    def assign(
        self,
        key: TaskKey,
        run: RunNumber,
        worker_id: WorkerId,
        endpoint: str = "",
        now_ms: float = 0.0,
        born_unix_ms: int = 0,
    ) -> None:
        """Assign a task to a worker, on which the given run is about to start.

        Parameters
        ----------
        key : TaskKey
        run : RunNumber
        worker_id : WorkerId
        endpoint : str
            ``host:port`` of the worker.
        now_ms : float
            Time of the store's clock, in milliseconds.
        born_unix_ms : int
            Unix time at which the worker's incarnation started, in milliseconds.
        """
        task = self.task(key)
        task.stage = TaskStage.ASSIGNED
        task.run = run
        task.worker_id = worker_id
        task.endpoint = endpoint
        task.assigned_ms = round(now_ms)
        task.born_unix_ms = born_unix_ms
        self._changed.add(self.chunk_of(key))
        if self.state is WorkflowState.QUEUED:
            self.state = WorkflowState.RUNNING
            self._changed.add(0)

    def next_run_number(self, keys: list[TaskKey]) -> RunNumber:
        """Return a number above those of all earlier runs of the given tasks."""
        return RunNumber(max(self.task(key).run for key in keys) + 1)

    def apply_end(self, end: RunEnd, now_ms: float) -> bool:
        """Apply the outcome of a run; return whether anything changed."""
        if end.kind.is_reported:
            self.note_begun()
        task = self.task(end.key)
        if task.stage is not TaskStage.ASSIGNED or task.run != end.run:
            return self._apply_late_end(end, now_ms)
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
        task.endpoint = ""
        if end.kind is EndKind.FAILED:
            self.clear_suspicion(end.key)
            self._count_failure(end, worker_id, now_ms)
        elif end.kind is EndKind.CRASHED:
            self._count_crash(end, now_ms)
        return True

    def _count_crash(self, end: RunEnd, now_ms: float) -> None:
        """Count the crash of a worker for which the task may be to blame."""
        judgement = judge(self.task(end.key).crash, end.crash)
        self.task(end.key).crash = judgement.history
        self._changed.add(self.chunk_of(end.key))
        if judgement.is_guilty and not self._step(end.key).long_running:
            self._end(WorkflowState.FAILED, now_ms)

    def count_late_crash(self, end: RunEnd, now_ms: float) -> bool:
        """Count a crash that was confirmed after its run had been given up.

        Returns
        -------
        bool
            Whether it was counted, which it is not once the task has ended.
        """
        task = self.task(end.key)
        if self.state.is_final or task.stage is TaskStage.DONE or task.run < end.run:
            return False
        self._count_crash(end, now_ms)
        return True

    def is_suspect(self, key: TaskKey) -> bool:
        """Return whether a task has to run apart from others that may crash workers."""
        task = self._tasks.get(key)
        return task is not None and task.crash is not None and task.crash.is_suspect

    def clear_suspicion(self, key: TaskKey) -> None:
        """Record that a run of a task has not crashed its worker."""
        if self.is_suspect(key):
            task = self.task(key)
            task.crash = msgspec.structs.replace(task.crash, is_suspect=False)
            self._changed.add(self.chunk_of(key))

    def forget_crashes(self, key: TaskKey) -> None:
        """Forget the crashes under a long-running task that has been at work since."""
        self.task(key).crash = None
        self._changed.add(self.chunk_of(key))

    def _apply_late_end(self, end: RunEnd, now_ms: float) -> bool:
        """Apply the outcome of a run that had been given up.

        Its worker reported it only after the task had become pending again. A run that
        was done or failed counts all the same, as the worker is told that the report
        has been received.
        """
        task = self.task(end.key)
        is_settled = self.state.is_final or task.stage is TaskStage.DONE
        if is_settled or end.run > task.run or self._step(end.key).long_running:
            return False
        if end.kind is EndKind.DONE:
            self._complete_task(end, now_ms)
            return True
        if end.kind is EndKind.FAILED:
            return self._count_failure(end, WorkerId(""), now_ms)
        return False

    def _complete_task(self, end: RunEnd, now_ms: float) -> None:
        # A gang is done as soon as one of its tasks is.
        keys = [end.key]
        if self._step(end.key).gang:
            keys = self.task_keys(end.key.occurrence, end.key.step)
        for key in keys:
            task = self.task(key)
            if task.stage is not TaskStage.DONE:
                task.stage = TaskStage.DONE
                task.worker_id = WorkerId("")
                task.endpoint = ""
                task.checkpoint = ""
                self._changed.add(self.chunk_of(key))
                self._unfinished[key.occurrence, key.step] -= 1
        if not any(self._unfinished.values()):
            self._end(WorkflowState.COMPLETED, now_ms)

    def _count_failure(self, end: RunEnd, worker_id: WorkerId, now_ms: float) -> bool:
        """Count a failed run, unless it is counted already; return whether it was.

        Several tasks of a gang may fail in one run, which counts as one failure.
        """
        step = self._step(end.key)
        key = end.key
        if step.gang:
            key = TaskKey(key.occurrence, key.step, 0)
        task = self.task(key)
        if worker_id:
            self.avoid_worker(key, worker_id)
        if end.run <= task.failed_run:
            return False
        task.failed_run = end.run
        task.failures += 1
        self._changed.add(self.chunk_of(key))
        if not step.long_running and task.failures >= self.spec.policy.failures_max:
            self._end(WorkflowState.FAILED, now_ms)
        return True

    def set_aside(self) -> None:
        """Record that an owner has failed on the workflow."""
        self.is_set_aside = True
        self._changed.add(0)

    def cancel(self, now_ms: float) -> bool:
        """Cancel the workflow; return false if it had already ended."""
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
        """Return the encoded row of one chunk of the progress.

        Parameters
        ----------
        chunk : int
            Number of the chunk; chunk 0 also stores the state.
        bytes_max : int
            Row size above which the lists of avoided workers are left out.

        Returns
        -------
        bytes
            May still exceed `bytes_max` without these lists.
        """
        stored = _StoredWorkflow(has_begun=self._has_begun)
        if not chunk:
            stored.state, stored.ended_ms = self.state, self.ended_ms
            stored.is_set_aside = self.is_set_aside
        for key in self._chunk_keys.get(chunk, ()):
            task = self._tasks[key]
            # Assignments of an ended workflow are stored too, as the next owner has to
            # stop their runs.
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
        """Return a workflow with stored progress.

        Parameters
        ----------
        spec : WorkflowSpec
        rows : list of bytes
            Rows of progress in ascending order of their chunks.

        Raises
        ------
        msgspec.DecodeError
            If a row cannot be decoded.
        """
        workflow = cls(spec)
        for row in rows:
            stored = _DECODER.decode(row)
            workflow.is_set_aside = workflow.is_set_aside or stored.is_set_aside
            workflow._has_begun = workflow._has_begun or stored.has_begun
            if stored.state is not WorkflowState.QUEUED:
                workflow.state = stored.state
                workflow.ended_ms = stored.ended_ms
            for entry in stored.tasks:
                key = TaskKey(entry.occurrence, entry.step, entry.index)
                if not workflow.has_task(key):
                    continue
                workflow._add_task(key, entry.task)
                workflow._restore_start(key, entry.task)
                if entry.task.stage is TaskStage.DONE:
                    workflow._unfinished[key.occurrence, key.step] -= 1
        return workflow

    def _restore_start(self, key: TaskKey, task: TaskProgress) -> None:
        """Conclude from the stored progress of a task whether a run has begun.

        Rows that an earlier build has written do not say so themselves.
        """
        if task.stage is TaskStage.ASSIGNED:
            self._restored_runs[key] = task.run
        elif task.stage is TaskStage.DONE or task.failures or task.checkpoint:
            self._has_begun = True


def decode_state(row: bytes) -> WorkflowState:
    """Return the state stored in the row of chunk 0.

    Raises
    ------
    msgspec.DecodeError
        If the row cannot be decoded.
    """
    return _DECODER.decode(row).state
