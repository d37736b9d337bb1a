"""Log events of the program that runs on the platform's machines."""

from basilhold.observability.events import Event, EventLevel

CONFIGURATION_CHANGED = Event(
    6100, EventLevel.INFO, "configuration version={version} applied"
)
CONFIGURATION_INVALID = Event(
    6101,
    EventLevel.ERROR,
    "configuration is invalid: {reason}; keeping the previous one",
    "Correct the configuration document.",
)
SETTINGS_READ = Event(6102, EventLevel.INFO, "settings file of {node} was read again")
SETTINGS_INVALID = Event(
    6103,
    EventLevel.ERROR,
    "settings file is invalid: {reason}; keeping the previous settings",
    "Correct the settings file.",
)
