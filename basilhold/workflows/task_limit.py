"""Limit of the unfinished tasks that the owner of a service has to hold.

The module performs no I/O. The owner of a service keeps all its unfinished workflows in
memory, however small the requests were that submitted them. It stores their number with
each commit, and every process refuses submissions that would exceed the limit.
"""

from collections import deque

from basilhold.core import ServiceName
from basilhold.workflows.model import WorkflowSpec

__all__ = ["TASK_BYTES", "TaskLimit", "task_units"]

TASK_BYTES = 512
"""Memory of an owner for a waiting task."""

STEP_UNITS = 2
"""Tasks for which a step of an occurrence takes as much memory."""

SMALL_UNITS = 1_000
"""Up to this size a workflow is small. Those of the platform have up to 420 tasks."""

LARGE_RATIO = 0.5
"""Part of the limit up to which larger workflows may fill it, so that they leave
capacity to small ones."""

RECENT_MS = 4_000.0
"""Time after which a submission is part of the owner's number as other processes know
it: the owner may learn of it late, and its record is polled once a second."""


def task_units(spec: WorkflowSpec) -> int:
    """Return what a workflow counts against the limit of its service.

    Examples
    --------
    >>> from basilhold.core import Resources
    >>> from basilhold.workflows.model import QueuePolicy, StepSpec
    >>> step = StepSpec(10, Resources(), 100)
    >>> task_units(WorkflowSpec("1", QueuePolicy("q", "s"), "", (step, step)))
    24
    """
    units = sum(STEP_UNITS + step.task_count for step in spec.steps)
    return units * spec.occurrence_count


class TaskLimit:
    """Decides which submissions a process accepts.

    What the other processes have accepted since the owner's last known count is assumed
    to be as much as this one has. If all of them accept a workflow at the same moment,
    the limit is exceeded by the workflows of all but one.

    Parameters
    ----------
    units_max : int
        Most units of all services together, see `task_units`.

    Examples
    --------
    >>> limit = TaskLimit(3_000)
    >>> limit.admits("s", 500, 0, 2, 0.0)
    True
    >>> limit.note_accepted("s", 500, 0.0)
    >>> limit.admits("s", 500, 1_800, 2, 1.0), limit.admits("s", 500, 1_800, 2, 9e3)
    (False, True)
    """

    def __init__(self, units_max: int):
        self.units_max = units_max
        self._recent: dict[ServiceName, deque[tuple[float, int]]] = {}
        self._recent_units: dict[ServiceName, int] = {}

    def admits(
        self,
        service: ServiceName,
        units: int,
        owner_units: int,
        process_count: int,
        now_ms: float,
        service_count: int = 1,
    ) -> bool:
        """Return whether a submission may be accepted.

        Parameters
        ----------
        service : ServiceName
        units : int
            Units of the submission.
        owner_units : int
            Last known number of the owner of the service.
        process_count : int
            Number of processes that accept submissions.
        now_ms : float
            Time of the monotonic clock.
        service_count : int
            Number of services, each of which has the same part of the limit.
        """
        self._forget(service, now_ms)
        ratio = 1.0 if units <= SMALL_UNITS else LARGE_RATIO
        recent_units = self._recent_units.get(service, 0) * max(1, process_count)
        limit_units = ratio * self.units_max / max(1, service_count)
        return owner_units + recent_units + units <= limit_units

    def note_accepted(self, service: ServiceName, units: int, now_ms: float) -> None:
        """Count a submission until its owner does."""
        self._recent.setdefault(service, deque()).append((now_ms, units))
        self._recent_units[service] = self._recent_units.get(service, 0) + units

    def _forget(self, service: ServiceName, now_ms: float) -> None:
        recent = self._recent.get(service)
        while recent and now_ms - recent[0][0] >= RECENT_MS:
            _, units = recent.popleft()
            self._recent_units[service] -= units
