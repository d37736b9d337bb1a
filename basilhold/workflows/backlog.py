"""Waiting tasks of the active workflows of a service.

The module performs no I/O.
"""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet

from basilhold.core import JobId
from basilhold.workflows.model import TaskKey
from basilhold.workflows.pool import RunKey
from basilhold.workflows.progress import Workflow
from basilhold.workflows.ready_steps import ReadyStep, make_ready_step
from basilhold.workflows.shared_time import Instant
from basilhold.workflows.task_limit import task_units

__all__ = ["Backlog"]


class Backlog:
    """Active workflows and the tasks of them that wait for a worker.

    Attributes
    ----------
    units : int
        What the active workflows count against the limit of tasks.
    """

    def __init__(self):
        self.units = 0
        self._active: dict[JobId, Workflow] = {}
        self._waiting: dict[JobId, dict[tuple[int, int], set[int]]] = {}

    def add(self, workflow: Workflow) -> None:
        """Add an active workflow with its pending tasks."""
        if workflow.job_id not in self._active:
            self.units += task_units(workflow.spec)
        self._active[workflow.job_id] = workflow
        self._waiting[workflow.job_id] = {
            (occurrence, number): {
                key.index for key in workflow.pending_task_keys(occurrence, number)
            }
            for occurrence in range(workflow.spec.occurrence_count)
            for number in range(len(workflow.spec.steps))
        }

    def remove(self, workflow: Workflow) -> None:
        """Remove a workflow that has ended."""
        if self._active.pop(workflow.job_id, None) is not None:
            self.units -= task_units(workflow.spec)
        self._waiting.pop(workflow.job_id, None)

    def mark_not_waiting(self, workflow: Workflow, key: TaskKey) -> None:
        """Record that a task was assigned to a worker, or is done."""
        waiting = self._waiting.get(workflow.job_id)
        if waiting is not None:
            waiting[key.occurrence, key.step].discard(key.index)

    def mark_waiting(self, workflow: Workflow, key: TaskKey) -> None:
        """Record that a task waits for a worker again."""
        waiting = self._waiting.get(workflow.job_id)
        if waiting is not None:
            waiting[key.occurrence, key.step].add(key.index)

    def active_workflows(self) -> Iterable[Workflow]:
        """Return the workflows that have not ended."""
        return self._active.values()

    def has_waiting(self) -> bool:
        """Return whether any task waits, even if its step may not run yet."""
        return any(any(steps.values()) for steps in self._waiting.values())

    def ready_steps(
        self, workflow: Workflow, instant: Instant, unassigned: AbstractSet[RunKey]
    ) -> list[ReadyStep]:
        """Return the steps of a workflow that may run now and have waiting tasks.

        A gang step is ready only while none of its tasks is assigned or at work.

        Parameters
        ----------
        workflow : Workflow
            An active workflow.
        instant : Instant
            Current time.
        unassigned : set of RunKey
            Tasks with runs at work that are not assigned; these tasks have to wait.
        """
        steps: list[ReadyStep] = []
        waiting = self._waiting[workflow.job_id]
        for occurrence, number in workflow.ready_steps(instant.unix_ms):
            keys = [
                TaskKey(occurrence, number, index)
                for index in sorted(waiting[occurrence, number])
            ]
            if unassigned:
                keys = [k for k in keys if RunKey(workflow.job_id, k) not in unassigned]
            spec = workflow.spec.steps[number]
            if not keys or (spec.gang and len(keys) < spec.task_count):
                continue
            steps.append(
                make_ready_step(
                    workflow, occurrence, number, keys, instant.unix_offset_ms
                )
            )
        return steps
