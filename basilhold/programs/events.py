"""Log events of the programs."""

from basilhold.observability import Event, EventLevel

__all__ = [
    "DAEMON_DRAINING",
    "DAEMON_STARTED",
    "DAEMON_STOPPED",
    "DRAIN_CUT",
    "INVARIANT_BROKEN",
]

DAEMON_STARTED = Event(4901, EventLevel.INFO, "{name} started")
DAEMON_DRAINING = Event(4902, EventLevel.INFO, "{name} stops after a drain")
DAEMON_STOPPED = Event(4903, EventLevel.INFO, "{name} stopped")
DRAIN_CUT = Event(
    4904,
    EventLevel.WARNING,
    "{name} cut at the end of the drain: {item}",
    "Raise the drain bound in the settings if this happens without a second signal.",
)
INVARIANT_BROKEN = Event(
    4905,
    EventLevel.ERROR,
    "{name} stops because an invariant does not hold: {error}",
    "Keep the state dump that follows in the log and report it as a fault.",
)
