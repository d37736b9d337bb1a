"""Bodies of the platform protocol, which ``docs/platform-protocol.md`` describes."""

from typing import Literal

import msgspec

from basilhold.core import Attempt, Epoch, TaskId
from basilhold.ports import Row

__all__ = [
    "AbsentReply",
    "ForgetEntry",
    "ReadBody",
    "ReadReply",
    "ReportBody",
    "ScanBody",
    "TaskBody",
    "ThrottleBody",
    "TransactReply",
]


class AbsentReply(msgspec.Struct, frozen=True):
    """Reply with status 404 to the read of an object that does not exist."""

    absent: Literal["object"]


class ReadBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request of ``POST /v1/table/read``."""

    keys: tuple[str, ...]


class ReadReply(msgspec.Struct, frozen=True):
    """Rows that exist among the requested keys."""

    rows: tuple[Row, ...]


class ScanBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request of ``POST /v1/table/scan``."""

    prefix: str
    after: str = ""
    limit: int = 500


class TransactReply(msgspec.Struct, frozen=True):
    """New version of each written row; 0 for a deleted row."""

    versions: dict[str, int]


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request that names one attempt: ``stop`` and ``checkpoint``."""

    epoch: Epoch
    task_id: TaskId
    attempt: Attempt


class ThrottleBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request of ``throttle``."""

    epoch: Epoch
    task_id: TaskId
    attempt: Attempt
    cores_milli: int


class ForgetEntry(msgspec.Struct, frozen=True, array_like=True):
    """A finished attempt that the worker need not report any more."""

    task_id: TaskId
    attempt: Attempt


class ReportBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request of ``report``."""

    epoch: Epoch
    forget: tuple[ForgetEntry, ...] = ()
