"""Admission check of submitted jobs, and distribution of services over zones."""

from collections.abc import Mapping
from enum import Enum

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    ClassKind,
    ClassName,
    JobSpec,
    Resources,
    Team,
    WorkClass,
    ZoneName,
)
from basilhold.placement.shapes import count_fitting

__all__ = [
    "GANG_TASKS_MAX",
    "Rejection",
    "RejectionKind",
    "WorkerShape",
    "check_admission",
    "split_over_zones",
]

GANG_TASKS_MAX = 200
"""Largest number of tasks in a gang. A gang is committed in one transaction, which
holds at most 200 placements."""

_QUEUED_TASKS_MAX = 10_000
"""Largest number of waiting tasks of a team that the configuration does not name."""


class WorkerShape(msgspec.Struct, frozen=True):
    """Number of workers of one capacity in one zone, from the VM list.

    Parameters
    ----------
    zone : ZoneName
    capacity : Resources
        Resources that each of the workers offers to tasks.
    count : int
    """

    zone: ZoneName
    capacity: Resources
    count: int = 1


class RejectionKind(Enum):
    """Reason for which a job is rejected, as reported to the client."""

    UNKNOWN_CLASS = "unknown-class"
    INVALID = "invalid"
    TASK_TOO_LARGE = "task-too-large"
    GANG_TOO_LARGE = "gang-too-large"
    QUEUE_FULL = "queue-full"


class Rejection(msgspec.Struct, frozen=True):
    """Result of the admission check of a rejected job.

    No task of the job was started and nothing was stored.

    Parameters
    ----------
    kind : RejectionKind
    reason : str
        Explanation for the person who submitted the job.
    """

    kind: RejectionKind
    reason: str


def check_admission(
    spec: JobSpec,
    shapes: tuple[WorkerShape, ...],
    classes: Mapping[ClassName, WorkClass],
    team: Team | None,
    queued_tasks: int,
) -> Result[None, Rejection]:
    """Check whether a submitted job may be queued.

    A job is rejected if it could never start on the present workers, or if its team
    already has too many waiting tasks.

    Parameters
    ----------
    spec : JobSpec
    shapes : tuple of WorkerShape
        All live workers, in every zone.
    classes : mapping of ClassName to WorkClass
        The configured classes.
    team : Team, optional
        The job's team, if the configuration names it.
    queued_tasks : int
        Number of the team's tasks that wait already.

    Returns
    -------
    Result of None or Rejection
        ``Ok`` if the job is admitted.
    """
    if spec.class_name not in classes:
        return _rejected(RejectionKind.UNKNOWN_CLASS, f"no class {spec.class_name}")
    if classes[spec.class_name].kind is ClassKind.REQUEST:
        return _rejected(
            RejectionKind.INVALID,
            f"class {spec.class_name} is for requests and not for jobs",
        )
    limit = team.queued_tasks_max if team is not None else _QUEUED_TASKS_MAX
    size_check = _check_size(spec, shapes)
    if size_check.is_error() or queued_tasks + spec.task_count <= limit:
        return size_check
    return _rejected(
        RejectionKind.QUEUE_FULL,
        f"team {spec.team} has {queued_tasks} waiting tasks of at most {limit}",
    )


def _check_size(
    spec: JobSpec, shapes: tuple[WorkerShape, ...]
) -> Result[None, Rejection]:
    size = spec.task_resources
    if spec.task_count < 1 or size.is_negative() or size == Resources():
        return _rejected(
            RejectionKind.INVALID,
            "a job needs at least one task of a positive size",
        )
    if not any(size.fits_in(shape.capacity) for shape in shapes):
        return _rejected(RejectionKind.TASK_TOO_LARGE, _too_large_reason(size, shapes))
    if spec.kind is ClassKind.GANG:
        largest = min(GANG_TASKS_MAX, largest_gang(size, shapes))
        if spec.task_count > largest:
            return _rejected(
                RejectionKind.GANG_TOO_LARGE,
                f"a gang of {spec.task_count} such tasks is larger than the "
                f"{largest} that start together in any zone",
            )
    return Ok(None)


def largest_gang(size: Resources, shapes: tuple[WorkerShape, ...]) -> int:
    """Return how many tasks of a size the largest zone could run if it were empty."""
    by_zone: dict[ZoneName, int] = {}
    for shape in shapes:
        slots = count_fitting(shape.capacity, size) * shape.count
        by_zone[shape.zone] = by_zone.get(shape.zone, 0) + slots
    return max(by_zone.values(), default=0)


def split_over_zones(
    task_count: int, slots_by_zone: Mapping[ZoneName, int]
) -> dict[ZoneName, int]:
    """Distribute the tasks of a service over zones as evenly as possible.

    A zone with too few free slots gets only as many tasks as it has slots, and the
    others get the rest. Tasks beyond the free slots of all zones are again distributed
    evenly, and wait there.

    Parameters
    ----------
    task_count : int
    slots_by_zone : mapping of ZoneName to int
        Number of the service's tasks for which each zone has room now.

    Returns
    -------
    dict of ZoneName to int
        Number of tasks per zone, without the zones that get none.

    Examples
    --------
    >>> split_over_zones(5, {"plovdiv": 10, "haskovo": 1, "ruse": 10})
    {'plovdiv': 2, 'haskovo': 1, 'ruse': 2}
    """
    shares = dict.fromkeys(slots_by_zone, 0)
    for _ in range(task_count):
        open_zones = [z for z in shares if shares[z] < slots_by_zone[z]] or list(shares)
        shares[min(open_zones, key=shares.__getitem__)] += 1
    return {zone: share for zone, share in shares.items() if share}


def _rejected(kind: RejectionKind, reason: str) -> Result[None, Rejection]:
    return Error(Rejection(kind, reason))


def _too_large_reason(size: Resources, shapes: tuple[WorkerShape, ...]) -> str:
    if not shapes:
        return "the VM list names no worker"
    limits = (
        ("cores", size.cores_milli, max(s.capacity.cores_milli for s in shapes), 1000),
        ("GPUs", size.gpus_milli, max(s.capacity.gpus_milli for s in shapes), 1000),
        (
            "GiB of memory",
            size.memory_bytes,
            max(s.capacity.memory_bytes for s in shapes),
            1 << 30,
        ),
    )
    exceeded = [
        f"{need / unit:g} {name} (largest worker: {most / unit:g})"
        for name, need, most, unit in limits
        if need > most
    ]
    if not exceeded:
        return "no single worker has the cores, memory and GPUs of a task together"
    return f"a task needs {', '.join(exceeded)}"
