"""Log events of a gateway's request processing."""

from basilhold.observability import Event, EventLevel

__all__ = [
    "ANSWER_NOT_KEPT",
    "DRAIN_INCOMPLETE",
    "DRAIN_ENDED",
    "DRAIN_STARTED",
    "REQUEST_CANCELLED",
    "RESULT_NOT_RECORDED",
    "SLOTS_NOT_CONFIRMED",
    "SLOT_EXCHANGE_FAILED",
    "UPSTREAM_BREAKER_OPENED",
    "UPSTREAM_LEAVING",
]

DRAIN_STARTED = Event(
    1001, EventLevel.INFO, "shutdown requested with {count} requests in flight"
)
DRAIN_ENDED = Event(1002, EventLevel.INFO, "shutdown complete, all requests finished")
DRAIN_INCOMPLETE = Event(
    1003,
    EventLevel.WARNING,
    "shutdown cancelled {count} requests, reason: {reason}",
    action="Raise the drain time limit, or do not send a second stop request early.",
)
REQUEST_CANCELLED = Event(
    1004,
    EventLevel.WARNING,
    "request cancelled by shutdown: {request}",
)
UPSTREAM_LEAVING = Event(
    1005, EventLevel.INFO, "upstream {upstream} announced that it is shutting down"
)
UPSTREAM_BREAKER_OPENED = Event(
    1006,
    EventLevel.WARNING,
    "circuit breaker of upstream {upstream} opened",
    action="Check the upstream's log; the gateway probes it automatically.",
)
RESULT_NOT_RECORDED = Event(
    1007,
    EventLevel.ERROR,
    "result of a keyed request was not recorded: {reason}",
    action="Check the table service; repeated requests get the outcome unknown.",
)
ANSWER_NOT_KEPT = Event(
    1008,
    EventLevel.WARNING,
    "answer to a keyed request was not stored: {reason}",
    action="Check the object store; repeated requests get status 409.",
)
SLOT_EXCHANGE_FAILED = Event(
    1009,
    EventLevel.WARNING,
    "slot report to the owner of zone {zone} failed",
    action="Check the zone's scheduler; the gateway keeps using its current slots.",
)
SLOTS_NOT_CONFIRMED = Event(
    1010,
    EventLevel.WARNING,
    "zone owners did not confirm the slots within {wait_ms} ms after a stall",
    action="Check the schedulers, and what stalled this process.",
)
