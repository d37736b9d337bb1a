"""What becomes of a keyed request when its record is looked at."""

import msgspec

from basilhold.core import RequestKey
from basilhold.requests import OnceAnswer, OnceRecord, Outcome, Problem, ProblemKind

__all__ = [
    "OnceLimits",
    "OnceOpening",
    "OnceClaim",
    "Replay",
    "not_run_problem",
    "store_unavailable_problem",
    "unknown_problem",
]

STORE_RETRY_AFTER_S = 2


class OnceLimits(msgspec.Struct, frozen=True):
    """Bounds of the at-most-once records.

    Parameters
    ----------
    retention_ms : int
        How long a record is kept, in milliseconds.
    records_max : int
        New keyed requests are refused above this number of records in the cell.
    unrecorded_max, unrecorded_bytes_max : int
        Results that wait for the store to return.
    """

    retention_ms: int = 24 * 3600 * 1000
    records_max: int = 2_000_000
    unrecorded_max: int = 500
    unrecorded_bytes_max: int = 4 << 20


class OnceClaim(msgspec.Struct, frozen=True):
    """The right to run a keyed request."""

    key: RequestKey
    version: int
    record: OnceRecord


class Replay(msgspec.Struct, frozen=True):
    """The stored answer of a finished request."""

    key: RequestKey
    write_id: str
    answer: OnceAnswer


OnceOpening = OnceClaim | Replay | Problem


def not_run_problem(kind: ProblemKind, detail: str) -> Problem:
    """Return the answer to a submission that was certainly not run."""
    retry_after_s = STORE_RETRY_AFTER_S if kind.status == 503 else None
    return Problem(kind, Outcome.NOT_RUN, detail, retry_after_s)


def store_unavailable_problem() -> Problem:
    """Return the answer to a submission whose record could not be looked up.

    The submission itself was not run, but an earlier one with the same key may have
    been, and both are the same request to the caller.
    """
    return Problem(
        ProblemKind.STORE_UNAVAILABLE,
        Outcome.UNKNOWN,
        "this submission was not run, but whether an earlier one with the same"
        " Idempotency-Key has run cannot be looked up now; repeat it with the same key",
        STORE_RETRY_AFTER_S,
    )


def unknown_problem(detail: str) -> Problem:
    """Return the answer to a repeat of a request that may have run."""
    return Problem(ProblemKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail)
