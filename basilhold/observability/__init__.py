"""Log events, metrics, state dumps and health endpoints."""

from basilhold.observability.events import (
    Event,
    EventLevel,
    log_event,
    registered_events,
)

__all__ = ["Event", "EventLevel", "log_event", "registered_events"]
