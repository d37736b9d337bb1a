"""Log events of the relay and of its watchers."""

from basilhold.observability import Event, EventLevel

__all__ = [
    "READER_CHANGED",
    "READER_CLAIMED",
    "READER_SUSPECTED",
    "STORE_UNREADABLE",
    "STREAM_LOST",
]

READER_CLAIMED = Event(
    3000,
    EventLevel.INFO,
    "this relay is the reader of region {region}, term {term}",
)

READER_CHANGED = Event(
    3001,
    EventLevel.INFO,
    "reader of region {region} is {process_id}, term {term}",
)

READER_SUSPECTED = Event(
    3002,
    EventLevel.WARNING,
    "reader {process_id} of region {region} does not answer: {reason}",
    "check the relay on that VM if the event repeats",
)

STREAM_LOST = Event(
    3003,
    EventLevel.WARNING,
    "stream to relay {host}:{port} ended: {reason}",
    "none if it reconnects; otherwise check the link and the relay",
)

STORE_UNREADABLE = Event(
    3004,
    EventLevel.WARNING,
    "reader cannot read the store: {reason}",
    "check the table service; configuration stays in force meanwhile",
)
