"""Problem documents (RFC 9457)."""

from enum import Enum

import msgspec

from basilhold.operators_api.backend import OperatorError, OperatorErrorKind

__all__ = [
    "PROBLEM_TYPE_PREFIX",
    "Outcome",
    "Problem",
    "ProblemKind",
    "make_problem",
    "problem_of",
]

PROBLEM_TYPE_PREFIX = "urn:basilhold:problem:"


class Outcome(Enum):
    """Whether the requested change was made."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ProblemKind(Enum):
    """Name, status, title and usual remedy of a problem."""

    UNAUTHENTICATED = (
        "unauthenticated",
        401,
        "No valid token",
        "Send the token of an operator, for example with --token-file.",
    )
    FORBIDDEN = (
        "forbidden",
        403,
        "Not allowed for this office",
        "Ask an operator of the office that owns it; other offices can only read it.",
    )
    NOT_FOUND = ("not-found", 404, "Not found", "Check the name with a list command.")
    METHOD = ("method", 405, "Method not allowed", "See docs/operators-api.md.")
    INVALID = ("invalid", 400, "Invalid request", "Correct the value and repeat.")
    KEY_REQUIRED = (
        "key-required",
        400,
        "Idempotency-Key missing",
        "Send an Idempotency-Key of 1 to 255 printable characters; repeat with the"
        " same key after a lost reply.",
    )
    VERSION_REQUIRED = (
        "version-required",
        428,
        "If-Match missing",
        "Send the version that the change is based on, as If-Match.",
    )
    STALE_VERSION = (
        "stale-version",
        412,
        "Changed by someone else",
        "Look at the difference, merge it into your file, and apply it with the"
        " current version.",
    )
    TOO_LARGE = (
        "too-large",
        413,
        "Body too large",
        "Make the body smaller, or raise limits.operator_body_bytes.",
    )
    REJECTED = (
        "rejected",
        422,
        "Cannot be run or applied",
        "Change the job or document as the detail says.",
    )
    QUEUE_FULL = (
        "queue-full",
        429,
        "Too much is waiting",
        "Wait for queued work to finish, or cancel some.",
    )
    UNAVAILABLE = (
        "unavailable",
        503,
        "Not possible now",
        "Repeat later; nothing was changed.",
    )
    UNKNOWN = (
        "unknown",
        504,
        "Outcome unknown",
        "Read the current state before you decide; a repeat with the same key or"
        " version is safe.",
    )
    INTERNAL = (
        "internal",
        500,
        "Internal error",
        "Read the current state, then report this with the gateway's log.",
    )

    def __init__(self, slug: str, status: int, title: str, action: str):
        self.slug = slug
        self.status = status
        self.title = title
        self.action = action

    @property
    def outcome(self) -> Outcome:
        """Whether the change was certainly not made."""
        unknown = self in (ProblemKind.UNKNOWN, ProblemKind.INTERNAL)
        return Outcome.UNKNOWN if unknown else Outcome.NOT_RUN


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document.

    Parameters
    ----------
    type : str
        `PROBLEM_TYPE_PREFIX` and the slug.
    title : str
    status : int
    detail : str
    action : str
        What the operator can do.
    outcome : str
        ``not-run`` or ``unknown``, also sent as ``Basilhold-Outcome``.
    retry_after_s : int
        Also sent as ``Retry-After``, in seconds.
    current_version : int
    difference : tuple of str
    """

    type: str
    title: str
    status: int
    detail: str
    action: str
    outcome: str
    retry_after_s: int = 0
    current_version: int = 0
    difference: tuple[str, ...] = ()


def make_problem(kind: ProblemKind, detail: str) -> Problem:
    """Return the problem document of a kind."""
    return Problem(
        PROBLEM_TYPE_PREFIX + kind.slug,
        kind.title,
        kind.status,
        detail,
        kind.action,
        kind.outcome.value,
    )


_KIND_OF_ERROR = {
    OperatorErrorKind.INVALID: ProblemKind.INVALID,
    OperatorErrorKind.REJECTED: ProblemKind.REJECTED,
    OperatorErrorKind.NOT_FOUND: ProblemKind.NOT_FOUND,
    OperatorErrorKind.STALE_VERSION: ProblemKind.STALE_VERSION,
    OperatorErrorKind.QUEUE_FULL: ProblemKind.QUEUE_FULL,
    OperatorErrorKind.UNAVAILABLE: ProblemKind.UNAVAILABLE,
    OperatorErrorKind.UNKNOWN: ProblemKind.UNKNOWN,
}


def problem_of(error: OperatorError) -> Problem:
    """Return the problem document of a backend's error."""
    kind = _KIND_OF_ERROR[error.kind]
    return msgspec.structs.replace(
        make_problem(kind, error.detail),
        action=error.action or kind.action,
        retry_after_s=error.retry_after_s,
        current_version=error.current_version,
        difference=error.difference,
    )
