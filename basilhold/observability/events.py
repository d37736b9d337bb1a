"""Numbered log events."""

from collections import Counter
from enum import Enum

from absl import logging

__all__ = [
    "CHECK_FAILED",
    "STATE_SOURCE_FAILED",
    "Event",
    "EventLevel",
    "event_counts",
    "log_event",
    "registered_events",
]


class EventLevel(Enum):
    """Severity of an event."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


_REGISTRY: dict[int, "Event"] = {}
_COUNTS: Counter[int] = Counter()


class Event:
    """A kind of log line with a number that does not change between releases.

    Parameters
    ----------
    number : int
        Unique among all events.
    level : EventLevel
    template : str
        ``str.format`` template; its fields are the keyword arguments of `log_event`.
    action : str
        What an operator does about it; empty if nothing.

    Raises
    ------
    ValueError
        If the number is taken.
    """

    def __init__(self, number: int, level: EventLevel, template: str, action: str = ""):
        if number in _REGISTRY:
            raise ValueError(f"event number {number} is used twice")
        self.number = number
        self.level = level
        self.template = template
        self.action = action
        _REGISTRY[number] = self


def log_event(event: Event, **fields: object) -> None:
    """Write one log line for an event.

    Parameters
    ----------
    event : Event
    **fields
        Values for the event's template.
    """
    _COUNTS[event.number] += 1
    text = event.template.format(**fields)
    logging.log(event.level.value, "BH%04d %s", event.number, text)


def registered_events() -> tuple[Event, ...]:
    """Return all declared events in the order of their numbers."""
    return tuple(_REGISTRY[number] for number in sorted(_REGISTRY))


def event_counts() -> dict[Event, int]:
    """Return how often each event was logged by this process."""
    return {_REGISTRY[number]: count for number, count in _COUNTS.items()}


CHECK_FAILED = Event(
    4300,
    EventLevel.ERROR,
    "readiness check {check} failed with {error}; the process is not ready",
    "Report it; restart the process if it persists.",
)
STATE_SOURCE_FAILED = Event(
    4301,
    EventLevel.ERROR,
    "state source {source} failed with {error}; the dump lacks it",
    "Report it.",
)
