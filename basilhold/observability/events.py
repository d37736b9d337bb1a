"""Log events, each with a stable number."""

from collections import Counter
from enum import Enum

from absl import logging

__all__ = [
    "READINESS_CHECK_FAILED",
    "STATE_SOURCE_FAILED",
    "Event",
    "EventLevel",
    "event_counts",
    "log_event",
    "registered_events",
]


class EventLevel(Enum):
    """Severity of a log event."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


_REGISTRY: dict[int, "Event"] = {}
_COUNTS: Counter[int] = Counter()


class Event:
    """A type of log line, with a number that does not change between releases.

    Parameters
    ----------
    number : int
        Unique among all events.
    level : EventLevel
    template : str
        ``str.format`` template of the text. Its fields are passed to `log_event` as
        keyword arguments.
    action : str
        What an operator should do about the event; empty if nothing.

    Raises
    ------
    ValueError
        If another event has the same number.
    """

    def __init__(self, number: int, level: EventLevel, template: str, action: str = ""):
        if number in _REGISTRY:
            raise ValueError(f"event number {number} is already in use")
        self.number = number
        self.level = level
        self.template = template
        self.action = action
        _REGISTRY[number] = self


def log_event(event: Event, **fields: object) -> None:
    """Log one line for an event and count it.

    Parameters
    ----------
    event : Event
    **fields
        Values for the fields of the event's template.

    Raises
    ------
    KeyError
        If a value for a field of the template is missing.
    """
    _COUNTS[event.number] += 1
    text = event.template.format(**fields)
    logging.log(event.level.value, "BH%04d %s", event.number, text)


def registered_events() -> tuple[Event, ...]:
    """Return all declared events, sorted by number."""
    return tuple(_REGISTRY[number] for number in sorted(_REGISTRY))


def event_counts() -> dict[Event, int]:
    """Return how often this process has logged each event."""
    return {_REGISTRY[number]: count for number, count in _COUNTS.items()}


READINESS_CHECK_FAILED = Event(
    4300,
    EventLevel.ERROR,
    "readiness check {check} failed with {error}; the process is not ready",
    "Report it; restart the process if it persists.",
)
STATE_SOURCE_FAILED = Event(
    4301,
    EventLevel.ERROR,
    "state source {source} failed with {error}; it is missing from the dump",
    "Report it.",
)
