"""State of a request while a gateway serves it, and the validation on arrival."""

import msgspec

from basilhold.core import ClassKind, RestartPolicy, UpstreamId, WorkClass
from basilhold.gateway.answers import CallerSink
from basilhold.gateway.once_results import OnceClaim
from basilhold.requests import (
    CallerRequest,
    Outcome,
    Problem,
    ProblemKind,
    QueuedRequest,
    Router,
)

__all__ = [
    "ActiveRequest",
    "check_request",
    "make_active_request",
    "refusal_detail",
    "adjust_outcome_without_lookup",
]

IDEMPOTENCY_KEY_LENGTH_MAX = 200
"""Longest accepted ``Idempotency-Key``, in characters."""


class ActiveRequest:
    """State of a request from its arrival until it has ended.

    Parameters
    ----------
    request : CallerRequest
    work_class : WorkClass
        Work class that the request names.
    queued : QueuedRequest
        Entry of the request in the queue of its service; holds the deadline.
    sink : CallerSink
        Receives the answer for the caller.

    Attributes
    ----------
    claim : OnceClaim or None
        At-most-once record of a non-idempotent request, once it is open.
    attempts : int
        Number of attempts started so far.
    was_sent : bool
        Whether an upstream may have received part of the request.
    last_reason : str
        Reason reported for the failure of the last attempt; empty if there is none.
    upstream_id : UpstreamId or None
        Upstream of the last attempt.
    """

    def __init__(
        self,
        request: CallerRequest,
        work_class: WorkClass,
        queued: QueuedRequest,
        sink: CallerSink,
    ):
        self.request = request
        self.work_class = work_class
        self.queued = queued
        self.sink = sink
        self.claim: OnceClaim | None = None
        self.attempts = 0
        self.was_sent = False
        self.last_reason = ""
        self.upstream_id: UpstreamId | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.work_class.restart is RestartPolicy.ALLOWED


def check_request(
    request: CallerRequest,
    work_class: WorkClass | None,
    router: Router,
    stopping: bool,
) -> Problem | None:
    """Validate a request on arrival, before it is queued.

    Parameters
    ----------
    request : CallerRequest
    work_class : WorkClass or None
        Declared class that the request names; ``None`` if no class has that name.
    router : Router
        Tells which services have upstreams.
    stopping : bool
        Whether the gateway is shutting down.

    Returns
    -------
    Problem or None
        Why the request is refused, or ``None`` if it is valid.
    """
    if stopping:
        return _refusal(ProblemKind.STOPPING, "this gateway is stopping", 1)
    if work_class is None or work_class.kind is not ClassKind.REQUEST:
        return _refusal(
            ProblemKind.UNKNOWN_CLASS,
            f"no office declares a request class {request.class_name!r}",
        )
    service = work_class.service
    if service is None or not router.knows_service(service):
        return _refusal(
            ProblemKind.UNKNOWN_SERVICE,
            f"no upstream serves the service {service!r} of the class",
        )
    key = request.idempotency_key
    if work_class.restart is RestartPolicy.ALLOWED:
        return None
    if not key:
        return _refusal(
            ProblemKind.KEY_REQUIRED,
            "requests of this class need an Idempotency-Key",
        )
    if len(key) > IDEMPOTENCY_KEY_LENGTH_MAX or not key.isprintable():
        return _refusal(
            ProblemKind.KEY_INVALID,
            f"the Idempotency-Key is not printable or longer than "
            f"{IDEMPOTENCY_KEY_LENGTH_MAX} characters",
        )
    return None


def adjust_outcome_without_lookup(
    problem: Problem, idempotency_key: str | None
) -> Problem:
    """Correct the outcome of a refusal made without reading the at-most-once record.

    A submission with an idempotency key may repeat a request that has already run.
    Without its record the outcome ``not-run`` is not certain, so it is replaced by
    ``unknown``, except if the key itself is missing or invalid.

    Parameters
    ----------
    problem : Problem
        The refusal.
    idempotency_key : str or None
        Key of the refused request.

    Returns
    -------
    Problem
        The refusal with the outcome to report.
    """
    certain_kinds = (ProblemKind.KEY_REQUIRED, ProblemKind.KEY_INVALID)
    if not idempotency_key or problem.kind in certain_kinds:
        return problem
    return msgspec.structs.replace(problem, outcome=Outcome.UNKNOWN)


def make_active_request(
    request: CallerRequest,
    work_class: WorkClass,
    sink: CallerSink,
    arrived_ms: float,
) -> ActiveRequest:
    """Return the state of a valid request that has just arrived.

    The deadline follows from the timeout of the class, or from that of the request if
    it is shorter.

    Parameters
    ----------
    request : CallerRequest
    work_class : WorkClass
    sink : CallerSink
    arrived_ms : float
        Monotonic time of arrival, in milliseconds.
    """
    timeout_ms = work_class.timeout_ms
    if request.timeout_ms is not None:
        timeout_ms = min(timeout_ms, request.timeout_ms)
    queued = QueuedRequest(
        work_class.name,
        request.team,
        arrived_ms,
        work_class.wait_target_ms,
        arrived_ms + timeout_ms,
        len(request.body),
    )
    return ActiveRequest(request, work_class, queued, sink)


_REFUSAL_DETAILS = {
    ProblemKind.QUEUE_FULL: "the queue of the service is full",
    ProblemKind.DEADLINE_UNREACHABLE: "the request can't be served by its deadline",
    ProblemKind.OVERLOADED: "the service is overloaded and the class target is missed",
    ProblemKind.TIMED_OUT: "the deadline has passed",
}


def _refusal(
    kind: ProblemKind, detail: str, retry_after_s: int | None = None
) -> Problem:
    return Problem(kind, Outcome.NOT_RUN, detail, retry_after_s)


def refusal_detail(kind: ProblemKind) -> str:
    """Return the detail text of a problem document for a refused request."""
    return _REFUSAL_DETAILS.get(kind, "the request can't be served")
