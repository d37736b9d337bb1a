"""Keys and values of the rows that sharding reads and writes."""

from typing import TypeVar

import msgspec

from basilhold.core import (
    Epoch,
    JobId,
    ProcessId,
    WorkerId,
    ZoneName,
    decode_json,
)

__all__ = [
    "CommitRecord",
    "JobIndexRecord",
    "ShardRecord",
    "commit_key",
    "decode",
    "encode",
    "job_index_key",
    "job_key",
    "job_prefix",
    "shard_key",
    "worker_key",
    "worker_prefix",
]

T = TypeVar("T")


class ShardRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a ``shard/<zone>`` row.

    Parameters
    ----------
    zone : ZoneName
    owner : ProcessId
    epoch : Epoch
        Increases with each change of owner.
    horizon_unix_ms : int
        Latest lease expiry that this owner or an earlier one may grant.
    renewed_unix_ms, taken_unix_ms : int
        Time of the last renewal and of the last change of owner.
    claim_id : str
        Random id of the takeover, by which a lost reply is resolved.
    host, port
        Where the owner answers.
    successor : ProcessId
        Set by an owner that stops as planned.
    """

    zone: ZoneName
    owner: ProcessId
    epoch: Epoch
    horizon_unix_ms: int
    renewed_unix_ms: int
    taken_unix_ms: int
    claim_id: str
    host: str = ""
    port: int = 0
    successor: ProcessId = ProcessId("")


class CommitRecord(msgspec.Struct, frozen=True):
    """Value of a ``commit/<zone>`` row."""

    transaction_id: str
    sequence: int


class JobIndexRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a ``jobid/<job>`` row.

    `parts` names the jobs of the single zones if the job was split; `zone` is then
    empty.
    """

    zone: ZoneName = ZoneName("")
    parts: tuple[JobId, ...] = ()


def shard_key(zone: ZoneName) -> str:
    """Return the key of a shard's row."""
    return f"shard/{zone}"


def commit_key(zone: ZoneName) -> str:
    """Return the key of a shard's commit row."""
    return f"commit/{zone}"


def worker_prefix(zone: ZoneName) -> str:
    """Return the prefix of the keys of a zone's workers."""
    return f"worker/{zone}/"


def worker_key(zone: ZoneName, worker_id: WorkerId) -> str:
    """Return the key of a worker's row."""
    return worker_prefix(zone) + worker_id


def job_prefix(zone: ZoneName) -> str:
    """Return the prefix of the keys of a shard's jobs."""
    return f"job/{zone}/"


def job_key(zone: ZoneName, job_id: JobId) -> str:
    """Return the key of a job's row."""
    return job_prefix(zone) + job_id


def job_index_key(job_id: JobId) -> str:
    """Return the key of the row that names a job's zone."""
    return f"jobid/{job_id}"


def encode(record: msgspec.Struct) -> bytes:
    """Return a row's value."""
    return msgspec.json.encode(record)


def decode(value: bytes, record_type: type[T]) -> T:
    """Return the record in a row's value."""
    return decode_json(value, record_type)
