"""Keys of the rows that store workflows and their owners, and the owner record."""

from typing import NewType

import msgspec

from basilhold.core import Epoch, JobId, ProcessId, ServiceName, WorkerId

__all__ = [
    "QUOTA_HOME_KEY",
    "Incarnation",
    "JobLocation",
    "OwnerRecord",
    "allotments_key",
    "allotments_prefix",
    "cancel_key",
    "is_jobs_key",
    "jobs_prefix",
    "jobs_prefixes",
    "location_key",
    "owner_key",
    "parse_allotments_key",
    "parse_progress_key",
    "progress_key",
    "progress_prefix",
    "run_times_key",
    "spec_key",
]

Incarnation = NewType("Incarnation", str)
"""Random id of one lifetime of a process, which changes when it restarts."""

OWNERS_PREFIX = "owners/"
JOBS_PREFIX = "jobs/"
LOCATIONS_PREFIX = "locations/"
JOB_SHARDS = 16
"""Number of shards over which a service's submissions are spread."""

QUOTA_HOME_KEY = "quotas//home"
"""Key of the row that names the service which first holds all quotas."""

_CANCEL_SUFFIX = ".cancel"


class OwnerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored lease on the ownership of a service.

    Parameters
    ----------
    holder : ProcessId
        Process that owns the service.
    endpoint : str
        ``host:port`` at which the holder serves its peers.
    epoch : Epoch
        Highest fencing token of the holder, which increases with each claim.
    sequence : int
        Number of the holder's last commit.
    incarnation : Incarnation
        Lifetime of the holder in which it claimed the service.
    released : bool
        The holder has released the lease and sends no further requests.
    member_count : int
        Number of processes of the deployment that the holder knows.
    silent_workers : dict of WorkerId to int
        Workers that do not answer, and for how long their leases may last from this
        commit on, in milliseconds. The holder extends no lease of these workers before
        it has stored a record without them.
    leases_left_ms : int, optional
        Longest time for which the lease of any other worker may last from this commit
        on, in milliseconds. Before a release only given if it is longer than leases
        that the holder may still extend.
    task_units : int
        What the active workflows count against the limit of tasks.
    """

    holder: ProcessId
    endpoint: str
    epoch: Epoch
    sequence: int
    incarnation: Incarnation
    released: bool = False
    member_count: int = 0
    silent_workers: dict[WorkerId, int] = {}
    leases_left_ms: int | None = None
    task_units: int = 0


class JobLocation(msgspec.Struct, frozen=True):
    """Where the rows of a workflow are.

    Parameters
    ----------
    service : ServiceName
        Service that the workflow's queue had when the workflow was submitted.
    """

    service: ServiceName


def owner_key(service: ServiceName) -> str:
    """Return the key of a service's owner record."""
    return f"{OWNERS_PREFIX}{service}/owner"


def jobs_prefix(service: ServiceName) -> str:
    """Return the common prefix of a service's submissions and cancellations."""
    return f"{JOBS_PREFIX}{service}."


def jobs_prefixes(service: ServiceName) -> list[str]:
    """Return the prefixes of all shards with a service's submissions.

    The store applies transactions on one shard one after another. In a slow store,
    submissions in a single shard would wait for each other and for the owner's commits.
    """
    return [f"{jobs_prefix(service)}{shard:x}/" for shard in range(JOB_SHARDS)]


def is_jobs_key(service: ServiceName, key: str) -> bool:
    """Return whether a key under `jobs_prefix` is one of the service.

    The prefix also matches services whose names continue with a dot.

    Examples
    --------
    >>> is_jobs_key("inspect", "jobs/inspect.f/00ff")
    True
    >>> is_jobs_key("inspect", "jobs/inspect.gpu.f/00ff")
    False
    """
    shard = key.removeprefix(jobs_prefix(service)).split("/", 1)[0]
    return len(shard) == 1 and key.startswith(jobs_prefix(service))


def spec_key(service: ServiceName, job_id: JobId) -> str:
    """Return the key of a workflow's stored specification."""
    return f"{jobs_prefix(service)}{_shard_of(job_id)}/{job_id}"


def location_key(job_id: JobId) -> str:
    """Return the key of a workflow's location, which is the same for all services.

    Examples
    --------
    >>> location_key("00fc")
    'locations/c/00fc'
    """
    return f"{LOCATIONS_PREFIX}{_shard_of(job_id)}/{job_id}"


def _shard_of(job_id: JobId) -> str:
    return f"{int(job_id[-1], 16) % JOB_SHARDS:x}"


def cancel_key(service: ServiceName, job_id: JobId) -> str:
    """Return the key of the row that marks a workflow as cancelled."""
    return spec_key(service, job_id) + _CANCEL_SUFFIX


def allotments_prefix(service: ServiceName) -> str:
    """Return the common prefix of a service's rows of quota allotments."""
    return f"quotas/{service}/"


def allotments_key(service: ServiceName, bucket: int) -> str:
    """Return the key of one bucket of a service's quota allotments."""
    return f"{allotments_prefix(service)}{bucket}"


def parse_allotments_key(key: str) -> int:
    """Return the bucket of a key under `allotments_prefix`.

    Raises
    ------
    ValueError
        If the key does not end in the number of a bucket.
    """
    return int(key.rsplit("/", 1)[1])


def run_times_key(service: ServiceName) -> str:
    """Return the key of the row with what owners of a service learn of run times."""
    return f"run_times/{service}/model"


def progress_prefix(service: ServiceName) -> str:
    """Return the common prefix of a service's progress rows."""
    return f"progress/{service}/"


def progress_key(service: ServiceName, job_id: JobId, chunk: int = 0) -> str:
    """Return the key of one chunk of a workflow's progress.

    Chunk 0 also stores the state of the workflow.

    Examples
    --------
    >>> progress_key("inspect", "00ff", 2)
    'progress/inspect/00ff.2'
    """
    key = f"progress/{service}/{job_id}"
    return f"{key}.{chunk}" if chunk else key


def parse_progress_key(key: str) -> tuple[JobId, int]:
    """Return the workflow and the chunk of a key under `progress_prefix`.

    Raises
    ------
    ValueError
        If the key does not end in the number of a chunk.
    """
    job_id, _, chunk = key.rsplit("/", 1)[1].partition(".")
    return JobId(job_id), int(chunk or 0)


def parse_jobs_key(key: str) -> tuple[JobId, bool]:
    """Return the workflow of a key under `jobs_prefix`, and if it is a cancellation.

    Examples
    --------
    >>> parse_jobs_key("jobs/inspect.f/00ff.cancel")
    ('00ff', True)
    """
    name = key.rsplit("/", 1)[1]
    return JobId(name.removesuffix(_CANCEL_SUFFIX)), name.endswith(_CANCEL_SUFFIX)
