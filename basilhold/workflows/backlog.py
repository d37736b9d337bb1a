"""Steps of active workflows with tasks that wait. Pure."""

from collections.abc import Iterable

from basilhold.core import JobId
from basilhold.workflows.model import TaskKey
from basilhold.workflows.progress import Workflow
from basilhold.workflows.ready_steps import ReadyStep, ready_step
from basilhold.workflows.shared_time import Instant

__all__ = ["Backlog"]


class Backlog:
    """Active workflows and which of their tasks wait for a worker."""

    def __init__(self):
        self._active: dict[JobId, Workflow] = {}
        self._waiting: dict[JobId, dict[tuple[int, int], set[int]]] = {}

    def add(self, workflow: Workflow) -> None:
        """Add a workflow that has not ended."""
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
        self._active.pop(workflow.job_id, None)
        self._waiting.pop(workflow.job_id, None)

    def taken(self, workflow: Workflow, key: TaskKey) -> None:
        """Note that a task was assigned."""
        waiting = self._waiting.get(workflow.job_id)
        if waiting is not None:
            waiting[key.occurrence, key.step].discard(key.index)

    def returned(self, workflow: Workflow, key: TaskKey) -> None:
        """Note that a task waits again."""
        waiting = self._waiting.get(workflow.job_id)
        if waiting is not None:
            waiting[key.occurrence, key.step].add(key.index)

    def active(self) -> Iterable[Workflow]:
        """Return the workflows that have not ended."""
        return self._active.values()

    def has_waiting(self) -> bool:
        """Return whether any task waits, ready or not."""
        return any(any(steps.values()) for steps in self._waiting.values())

    def ready(self, instant: Instant) -> list[ReadyStep]:
        """Return the steps that have waiting tasks and may run now.

        A gang is ready only while none of its tasks is assigned.
        """
        steps: list[ReadyStep] = []
        for job_id, workflow in self._active.items():
            waiting = self._waiting[job_id]
            for occurrence, number in workflow.ready_steps(instant.unix_ms):
                indexes = waiting[occurrence, number]
                spec = workflow.spec.steps[number]
                if not indexes or (spec.gang and len(indexes) < spec.task_count):
                    continue
                keys = [TaskKey(occurrence, number, i) for i in sorted(indexes)]
                steps.append(
                    ready_step(
                        workflow, occurrence, number, keys, instant.unix_offset_ms
                    )
                )
        return steps
