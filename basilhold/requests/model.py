"""Data types of requests, their outcomes and problem documents."""

from enum import Enum

import msgspec

from basilhold.core import ClassName, ProcessId, RegionName, TeamName, VmId, ZoneName

__all__ = [
    "CallerRequest",
    "GatewayIdentity",
    "Outcome",
    "Problem",
    "ProblemKind",
    "RequestEnd",
]


class Outcome(Enum):
    """Whether an upstream has run a request, as reported to the caller.

    ``NOT_RUN`` is certain: no byte of the request was written to an upstream.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ProblemKind(Enum):
    """Reason for an error response that the gateway itself generates.

    The value is the last part of the problem document's ``type``.
    """

    MALFORMED = "malformed-request"
    UNAUTHENTICATED = "wrong-token"
    UNKNOWN_CLASS = "unknown-class"
    UNKNOWN_SERVICE = "unknown-service"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_INVALID = "idempotency-key-invalid"
    KEY_REUSED = "idempotency-key-reused"
    STILL_RUNNING = "still-running"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    SENDER_TOO_SLOW = "sender-too-slow"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    STORE_UNAVAILABLE = "store-unavailable"
    TOO_MANY_RECORDS = "too-many-records"
    STOPPING = "gateway-stopping"
    TIMED_OUT = "timed-out"
    UPSTREAM_FAILED = "upstream-failed"

    @property
    def status(self) -> int:
        """HTTP status code of the response; 503 unless listed otherwise."""
        return _STATUS.get(self, 503)


_STATUS = {
    ProblemKind.MALFORMED: 400,
    ProblemKind.UNAUTHENTICATED: 401,
    ProblemKind.UNKNOWN_CLASS: 404,
    ProblemKind.UNKNOWN_SERVICE: 404,
    ProblemKind.KEY_REQUIRED: 400,
    ProblemKind.KEY_INVALID: 400,
    ProblemKind.KEY_REUSED: 422,
    ProblemKind.STILL_RUNNING: 409,
    ProblemKind.OUTCOME_UNKNOWN: 409,
    ProblemKind.ANSWER_NOT_KEPT: 409,
    ProblemKind.BODY_TOO_LARGE: 413,
    ProblemKind.HEADERS_TOO_LARGE: 431,
    ProblemKind.SENDER_TOO_SLOW: 408,
    ProblemKind.TIMED_OUT: 504,
    ProblemKind.UPSTREAM_FAILED: 502,
}


class Problem(msgspec.Struct, frozen=True):
    """Error response that the gateway itself generates.

    Parameters
    ----------
    kind : ProblemKind
    outcome : Outcome
        Whether the request may have run.
    detail : str
        Explanation for the caller, in one sentence.
    retry_after_s : int, optional
        Value of the header ``Retry-After``, in seconds.
    """

    kind: ProblemKind
    outcome: Outcome
    detail: str
    retry_after_s: int | None = None


class CallerRequest(msgspec.Struct, frozen=True):
    """Complete request of an authenticated caller.

    Parameters
    ----------
    class_name : ClassName
    team : TeamName
    method, path : str
        Method and path that are sent to the upstream.
    headers : tuple of (str, str)
        End-to-end headers that are forwarded to the upstream.
    body : bytes
    timeout_ms : int, optional
        Timeout requested by the caller, in milliseconds. The timeout of the class is
        the upper limit.
    idempotency_key : str, optional
        Key by which the gateway recognizes a repeat of the request.
    """

    class_name: ClassName
    team: TeamName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_ms: int | None = None
    idempotency_key: str | None = None


class RequestEnd(msgspec.Struct, frozen=True):
    """Result of handling a request.

    Parameters
    ----------
    outcome : Outcome
    problem : Problem, optional
        Error response that is still to be written to the caller. If an answer has
        already been started, it is incomplete, and the caller's connection must be
        aborted.
    replayed : bool
        Whether the answer was read from an at-most-once record.
    """

    outcome: Outcome
    problem: Problem | None = None
    replayed: bool = False


class GatewayIdentity(msgspec.Struct, frozen=True):
    """Identity and location of a gateway process.

    Parameters
    ----------
    process_id : ProcessId
        Unique for each start of a gateway.
    vm_id : VmId
    zone : ZoneName
    region : RegionName
    started_unix_ms : int
        Start of the process as Unix time in milliseconds. Orders the processes that
        have run on a VM.
    """

    process_id: ProcessId
    vm_id: VmId
    zone: ZoneName
    region: RegionName
    started_unix_ms: int = 0
