"""Keys and records of the rows that hold workflows and their owners."""

from typing import NewType

import msgspec

from basilhold.core import Epoch, JobId, ProcessId, ServiceName

__all__ = [
    "Incarnation",
    "OwnerRecord",
    "cancel_key",
    "jobs_prefix",
    "jobs_prefixes",
    "owner_key",
    "parse_progress_key",
    "progress_key",
    "progress_prefix",
    "spec_key",
]

Incarnation = NewType("Incarnation", str)
"""Random id of one run of a process."""

OWNERS_PREFIX = "owners/"
JOBS_PREFIX = "jobs/"
JOB_SHARDS = 16
"""Parts over which a service's submissions are spread."""

_CANCEL_SUFFIX = ".cancel"


class OwnerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who decides about a service's workflows.

    Parameters
    ----------
    holder : ProcessId
    endpoint : str
        ``host:port`` at which the holder serves its peers.
    epoch : Epoch
        Fencing token; rises with each change of the holder.
    sequence : int
        Number of the holder's last commit.
    incarnation : Incarnation
    released : bool
        The holder has stopped and sends nothing any more.
    member_count : int
        Processes of the deployment that the holder knows.
    """

    holder: ProcessId
    endpoint: str
    epoch: Epoch
    sequence: int
    incarnation: Incarnation
    released: bool = False
    member_count: int = 0


def owner_key(service: ServiceName) -> str:
    """Return the key of a service's owner record."""
    return f"{OWNERS_PREFIX}{service}/owner"


def jobs_prefix(service: ServiceName) -> str:
    """Return what all keys of a service's submissions and cancellations begin with."""
    return f"{JOBS_PREFIX}{service}."


def jobs_prefixes(service: ServiceName) -> list[str]:
    """Return the prefixes of all parts with submissions of a service.

    Transactions of one part are applied one after another, so submissions are spread:
    in a slow store they would wait for each other and for the owner's commits.
    """
    return [f"{jobs_prefix(service)}{shard:x}/" for shard in range(JOB_SHARDS)]


def spec_key(service: ServiceName, job_id: JobId) -> str:
    """Return the key of a submitted workflow."""
    shard = int(job_id[-1], 16) % JOB_SHARDS
    return f"{jobs_prefix(service)}{shard:x}/{job_id}"


def cancel_key(service: ServiceName, job_id: JobId) -> str:
    """Return the key that marks a workflow as cancelled."""
    return spec_key(service, job_id) + _CANCEL_SUFFIX


def progress_prefix(service: ServiceName) -> str:
    """Return the prefix of the progress rows of a service."""
    return f"progress/{service}/"


def progress_key(service: ServiceName, job_id: JobId, chunk: int = 0) -> str:
    """Return the key of a chunk of a workflow's progress; the first holds its state.

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
        If the key is none of ours.
    """
    job_id, _, chunk = key.rsplit("/", 1)[1].partition(".")
    return JobId(job_id), int(chunk or 0)


def parse_jobs_key(key: str) -> tuple[JobId, bool]:
    """Return the workflow of a key under `jobs_prefix`, and whether it is a mark.

    Examples
    --------
    >>> parse_jobs_key("jobs/inspect.f/00ff.cancel")
    ('00ff', True)
    """
    name = key.rsplit("/", 1)[1]
    return JobId(name.removesuffix(_CANCEL_SUFFIX)), name.endswith(_CANCEL_SUFFIX)
