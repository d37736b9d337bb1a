"""One request on its way through a gateway, and the checks at its start."""

import msgspec

from basilhold.core import ClassKind, RestartPolicy, UpstreamId, WorkClass
from basilhold.gateway.answers import CallerSink
from basilhold.gateway.once_results import OnceTicket
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


class ActiveRequest:
    """One request on its way through the service."""

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
        self.ticket: OnceTicket | None = None
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
    """Return why a request is refused before it is queued, or ``None``."""
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
    """Return the refusal of a request whose at-most-once record was not looked up.

    A keyed submission can be the repeat of one that has run, so that ``not-run`` is
    not certain for the request.
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
    """Return a request at its start; its deadline is that of the class at most."""
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
    """Return a sentence for the caller."""
    return _REFUSAL_DETAILS.get(kind, "the request can't be served")
