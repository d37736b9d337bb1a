"""Log events of the program on the platform."""

from basilhold.observability.events import Event, EventLevel

CONFIGURATION_CHANGED = Event(
    6100, EventLevel.INFO, "configuration version={version} in force"
)
CONFIGURATION_BAD = Event(
    6101,
    EventLevel.ERROR,
    "the configuration cannot be read: {reason}; the last one stays in force",
    "Correct the document.",
)
SETTINGS_READ = Event(6102, EventLevel.INFO, "settings read again for {node}")
SETTINGS_BAD = Event(
    6103,
    EventLevel.ERROR,
    "the settings cannot be read: {reason}; the last ones stay in force",
    "Correct the settings file.",
)
