"""Encoding of problem documents (RFC 9457)."""

import msgspec

from basilhold.requests import Outcome, Problem

__all__ = [
    "OUTCOME_HEADER",
    "PROBLEM_TYPE",
    "ProblemDocument",
    "encode_problem",
    "encode_raw_problem",
]

OUTCOME_HEADER = "Basilhold-Outcome"
PROBLEM_TYPE = "application/problem+json"


class ProblemDocument(msgspec.Struct, frozen=True):
    """Body of an answer that the gateway itself generates.

    The members are those of RFC 9457, and `outcome` as an extension.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: Outcome


def encode_problem(problem: Problem) -> bytes:
    """Return the problem document of a problem, as JSON.

    Examples
    --------
    >>> from basilhold.requests import ProblemKind
    >>> encode_problem(Problem(ProblemKind.QUEUE_FULL, Outcome.NOT_RUN, "full"))[:43]
    b'{"type":"urn:basilhold:problem:queue-full",'
    """
    return msgspec.json.encode(
        ProblemDocument(
            f"urn:basilhold:problem:{problem.kind.value}",
            problem.kind.value.replace("-", " ").capitalize(),
            problem.kind.status,
            problem.detail,
            problem.outcome,
        )
    )


def encode_raw_problem(problem: Problem, reason: str) -> bytes:
    """Return a complete HTTP/1.1 response, for a connection without a parsed request.

    Parameters
    ----------
    problem : Problem
    reason : str
        Reason phrase of the status line.
    """
    body = encode_problem(problem)
    head = (
        f"HTTP/1.1 {problem.kind.status} {reason}\r\n"
        f"Content-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{OUTCOME_HEADER}: {problem.outcome.value}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
