"""At-most-once records of keyed requests, and what a repeat of a request gets."""

import hashlib
from enum import Enum

import msgspec

from basilhold.core import CLOCK_ERROR_MS, ClassName, ProcessId, RequestKey, TeamName
from basilhold.requests.model import CallerRequest

__all__ = [
    "INLINE_ANSWER_BYTES_MAX",
    "OnceAnswer",
    "OnceRecord",
    "OnceState",
    "RepeatAction",
    "bucket_prefix",
    "chunk_name",
    "fingerprint",
    "is_expired",
    "choose_repeat_action",
    "make_request_key",
    "may_send",
    "record_key",
]

INLINE_ANSWER_BYTES_MAX = 32 << 10
"""Larger answers are kept in the object store."""

BUCKET_COUNT = 256


class OnceState(Enum):
    """Progress of a keyed request."""

    RUNNING = "running"
    FINISHED = "finished"


class OnceAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
        The body, if it is not in the object store.
    length_bytes : int
    chunk_count : int
        Number of objects that hold the body; 0 if it is in `body`.
    kept : bool
        Whether the body could be stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    length_bytes: int = 0
    chunk_count: int = 0
    kept: bool = True


class OnceRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a ``once/<bucket>/<key>`` row.

    Parameters
    ----------
    holder : ProcessId
        Gateway that may send the request.
    write_id : str
        Random; tells the holder that a row is its own after a lost reply.
    fingerprint : str
    deadline_unix_ms : int
        The holder sends nothing from then on.
    expires_unix_ms : int
        The row can be removed from then on.
    state : OnceState
    answer : OnceAnswer, optional
    """

    holder: ProcessId
    write_id: str
    fingerprint: str
    deadline_unix_ms: int
    expires_unix_ms: int
    state: OnceState = OnceState.RUNNING
    answer: OnceAnswer | None = None


class RepeatAction(Enum):
    """What a gateway does with a request whose key has a record."""

    REJECT_REUSE = "reject-reuse"
    REPLAY = "replay"
    REPORT_NOT_KEPT = "report-not-kept"
    ASK_HOLDER = "ask-holder"
    REPORT_UNKNOWN = "report-unknown"


def make_request_key(team: TeamName, class_name: ClassName, key: str) -> RequestKey:
    """Return the id of a keyed request.

    Keys of different teams and classes never collide, whatever characters they hold.

    Examples
    --------
    >>> len(make_request_key(TeamName("quotes"), ClassName("order"), "order-17"))
    64
    """
    parts = msgspec.json.encode((team, class_name, key))
    return RequestKey(hashlib.sha256(parts).hexdigest())


def fingerprint(request: CallerRequest) -> str:
    """Return a digest of what makes two requests with the same key the same."""
    parts = msgspec.json.encode((request.method, request.path))
    return hashlib.sha256(parts + request.body).hexdigest()[:32]


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of the rows of one bucket.

    Examples
    --------
    >>> bucket_prefix(10)
    'once/0a/'
    """
    return f"once/{bucket % BUCKET_COUNT:02x}/"


def record_key(key: RequestKey) -> str:
    """Return the key of a record's row."""
    return f"once/{key[:2]}/{key}"


def chunk_name(key: RequestKey, write_id: str, index: int) -> str:
    """Return the name of the object that holds part of an answer."""
    return f"once-answer/{key}/{write_id}/{index}"


def may_send(record: OnceRecord, now_unix_ms: int) -> bool:
    """Return whether the holder may still send the request."""
    return now_unix_ms < record.deadline_unix_ms - CLOCK_ERROR_MS


def is_expired(record: OnceRecord, now_unix_ms: int) -> bool:
    """Return whether a record can be removed."""
    return now_unix_ms > record.expires_unix_ms + 2 * CLOCK_ERROR_MS


def choose_repeat_action(
    record: OnceRecord, repeat_fingerprint: str, now_unix_ms: int
) -> RepeatAction:
    """Return what to do with a request whose key has a record.

    No action ever runs the request again.
    """
    if record.fingerprint != repeat_fingerprint:
        return RepeatAction.REJECT_REUSE
    if record.state is OnceState.FINISHED:
        if record.answer is not None and record.answer.kept:
            return RepeatAction.REPLAY
        return RepeatAction.REPORT_NOT_KEPT
    if now_unix_ms > record.deadline_unix_ms + 2 * CLOCK_ERROR_MS:
        return RepeatAction.REPORT_UNKNOWN
    return RepeatAction.ASK_HOLDER
