"""Results of looking up or claiming a keyed request, and the limits of its records."""

import msgspec

from basilhold.core import RequestKey
from basilhold.requests import OnceAnswer, OnceRecord, Outcome, Problem, ProblemKind

__all__ = [
    "ClaimResult",
    "OnceClaim",
    "OnceLimits",
    "Replay",
    "not_run_problem",
    "store_unavailable_problem",
    "unknown_problem",
]

STORE_RETRY_AFTER_S = 2
"""Value of ``Retry-After`` while the store is unavailable, in seconds."""


class OnceLimits(msgspec.Struct, frozen=True):
    """Limits of the at-most-once records.

    Parameters
    ----------
    retention_ms : int
        Time for which a record is kept, in milliseconds.
    records_max : int
        Number of records in the cell at which new keyed requests are rejected.
    unrecorded_max, unrecorded_bytes_max : int
        Maximum number and total size in bytes of the results that a gateway keeps in
        memory until the store accepts them. Further results are discarded.
    """

    retention_ms: int = 24 * 3600 * 1000
    records_max: int = 2_000_000
    unrecorded_max: int = 500
    unrecorded_bytes_max: int = 4 << 20


class OnceClaim(msgspec.Struct, frozen=True):
    """The right to run a keyed request.

    Parameters
    ----------
    key : RequestKey
    version : int
        Version of the record's row; later writes are conditional on it.
    record : OnceRecord
        The record as it was written.
    """

    key: RequestKey
    version: int
    record: OnceRecord


class Replay(msgspec.Struct, frozen=True):
    """The stored answer of a finished request.

    Parameters
    ----------
    key : RequestKey
    write_id : str
        Identifies the submission that has run; part of the names of its objects.
    answer : OnceAnswer
    """

    key: RequestKey
    write_id: str
    answer: OnceAnswer


ClaimResult = OnceClaim | Replay | Problem


def not_run_problem(kind: ProblemKind, detail: str) -> Problem:
    """Return the problem of a submission that was certainly not run.

    It has a ``Retry-After`` if its status is 503.
    """
    retry_after_s = STORE_RETRY_AFTER_S if kind.status == 503 else None
    return Problem(kind, Outcome.NOT_RUN, detail, retry_after_s)


def store_unavailable_problem() -> Problem:
    """Return the problem of a submission whose record could not be looked up.

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
    """Return the problem of a repeat whose request may have run."""
    return Problem(ProblemKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail)
