"""At-most-once records of requests with idempotency keys, and rules for repeats."""

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
"""Maximum size of a body in the record; larger ones go to the object store."""

BUCKET_COUNT = 256
"""Number of key prefixes over which the rows are distributed."""


class OnceState(Enum):
    """State of a request with an idempotency key, as recorded in the table."""

    RUNNING = "running"
    FINISHED = "finished"


class OnceAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Recorded answer to a request.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
        The body, if it is not in the object store.
    length_bytes : int
        Length of the body, in bytes.
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
        Gateway that may send the request to an upstream.
    write_id : str
        Random id by which the holder recognizes its own row if the reply to the write
        was lost.
    fingerprint : str
        Digest of the request, see `fingerprint`.
    deadline_unix_ms : int
        Unix time in milliseconds from which the holder no longer sends the request.
    expires_unix_ms : int
        Unix time in milliseconds from which the row may be removed.
    state : OnceState
    answer : OnceAnswer, optional
        Answer of a finished request.
    """

    holder: ProcessId
    write_id: str
    fingerprint: str
    deadline_unix_ms: int
    expires_unix_ms: int
    state: OnceState = OnceState.RUNNING
    answer: OnceAnswer | None = None


class RepeatAction(Enum):
    """Action of a gateway on a request whose key already has a record."""

    REJECT_REUSE = "reject-reuse"
    REPLAY = "replay"
    REPORT_NOT_KEPT = "report-not-kept"
    ASK_HOLDER = "ask-holder"
    REPORT_UNKNOWN = "report-unknown"


def make_request_key(team: TeamName, class_name: ClassName, key: str) -> RequestKey:
    """Return the id of a request with an idempotency key.

    Equal keys of different teams or classes have different ids, whatever characters the
    names contain.

    Examples
    --------
    >>> len(make_request_key(TeamName("quotes"), ClassName("order"), "order-17"))
    64
    """
    parts = msgspec.json.encode((team, class_name, key))
    return RequestKey(hashlib.sha256(parts).hexdigest())


def fingerprint(request: CallerRequest) -> str:
    """Return a digest of method, path and body, to detect the reuse of a key."""
    parts = msgspec.json.encode((request.method, request.path))
    return hashlib.sha256(parts + request.body).hexdigest()[:32]


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of the row keys of one bucket.

    Examples
    --------
    >>> bucket_prefix(10)
    'once/0a/'
    """
    return f"once/{bucket % BUCKET_COUNT:02x}/"


def record_key(key: RequestKey) -> str:
    """Return the row key of a record."""
    return f"once/{key[:2]}/{key}"


def chunk_name(key: RequestKey, write_id: str, index: int) -> str:
    """Return the name of the object that holds one chunk of an answer's body."""
    return f"once-answer/{key}/{write_id}/{index}"


def may_send(record: OnceRecord, now_unix_ms: int) -> bool:
    """Return whether the holder may still send the request to an upstream."""
    return now_unix_ms < record.deadline_unix_ms - CLOCK_ERROR_MS


def is_expired(record: OnceRecord, now_unix_ms: int) -> bool:
    """Return whether a record may be removed."""
    return now_unix_ms > record.expires_unix_ms + 2 * CLOCK_ERROR_MS


def choose_repeat_action(
    record: OnceRecord, repeat_fingerprint: str, now_unix_ms: int
) -> RepeatAction:
    """Return the action on a request whose key already has a record.

    No action runs the request again.

    Parameters
    ----------
    record : OnceRecord
    repeat_fingerprint : str
        Fingerprint of the repeated request.
    now_unix_ms : int
        Unix time in milliseconds.
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
