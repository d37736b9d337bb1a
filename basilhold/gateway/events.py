"""Log events of the request path."""

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
    1001, EventLevel.INFO, "stop requested, {count} requests in flight"
)
DRAIN_ENDED = Event(1002, EventLevel.INFO, "stopped, no request was cut")
DRAIN_INCOMPLETE = Event(
    1003,
    EventLevel.WARNING,
    "stopped with {count} requests cut, reason: {reason}",
    action="Raise the drain bound, or wait before a second stop request.",
)
REQUEST_CANCELLED = Event(
    1004,
    EventLevel.WARNING,
    "request was cut: {request}",
)
UPSTREAM_LEAVING = Event(
    1005, EventLevel.INFO, "upstream {upstream} reports that it is leaving"
)
UPSTREAM_BREAKER_OPENED = Event(
    1006,
    EventLevel.WARNING,
    "circuit breaker of upstream {upstream} is open",
    action="Look at the upstream's own log; the gateway probes it by itself.",
)
RESULT_NOT_RECORDED = Event(
    1007,
    EventLevel.ERROR,
    "result of a keyed request was not recorded: {reason}",
    action="Check the table service; repeats of the request get the outcome unknown.",
)
ANSWER_NOT_KEPT = Event(
    1008,
    EventLevel.WARNING,
    "answer of a keyed request was not kept: {reason}",
    action="Check the object store; repeats of the request get 409.",
)
SLOT_EXCHANGE_FAILED = Event(
    1009,
    EventLevel.WARNING,
    "owner of zone {zone} does not answer slot reports",
    action="Check the zone's scheduler; the gateway goes on with the slots it holds.",
)
SLOTS_NOT_CONFIRMED = Event(
    1010,
    EventLevel.WARNING,
    "owners did not confirm the slots within {wait_ms} ms after a pause",
    action="Check the schedulers, and why this process stood still.",
)
