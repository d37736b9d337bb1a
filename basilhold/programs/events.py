"""Log events of the programs."""

from basilhold.observability import Event, EventLevel

__all__ = [
    "CLOCK_MOVED",
    "TLS_PROBLEM",
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
CLOCK_MOVED = Event(
    4906,
    EventLevel.WARNING,
    "{name}: the clock moved by {moved_ms} ms",
    "Check the VM's time synchronisation; leases rely on the configured clock error.",
)
TLS_PROBLEM = Event(
    4907,
    EventLevel.ERROR,
    "{name}: the new key files cannot be used: {reason}",
    "Replace the key files; the process goes on with the old ones until they expire.",
)
