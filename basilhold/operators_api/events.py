"""Log events of the operators' API."""

from basilhold.observability import Event, EventLevel

__all__ = ["OPERATOR_CHANGE", "OPERATOR_FAILURE", "OPERATOR_REFUSED"]

OPERATOR_CHANGE = Event(
    4200,
    EventLevel.INFO,
    "operator {operator} of {office}: {method} {path}, status {status}",
)
OPERATOR_REFUSED = Event(
    4201,
    EventLevel.WARNING,
    "request without a valid token from {host}: {method} {path}",
    "If it recurs, find out who uses an old or wrong token.",
)
OPERATOR_FAILURE = Event(
    4202,
    EventLevel.ERROR,
    "operators' API failed in {method} {path}: {error}",
    "Report it with the log lines that follow.",
)
