"""Log events of the program that runs on the platform's machines."""

from basilhold.observability.events import Event, EventLevel

SETTINGS_READ = Event(6102, EventLevel.INFO, "settings file of {node} was read again")
SETTINGS_INVALID = Event(
    6103,
    EventLevel.ERROR,
    "settings file is invalid: {reason}; keeping the previous settings",
    "Correct the settings file.",
)
CALLER_REJECTED = Event(
    6104,
    EventLevel.INFO,
    "queue={queue} call rejected: {reason}; configuration version={version} "
    "age_ms={age_ms}",
)
CLIENTS_LIMITED = Event(
    6110,
    EventLevel.WARNING,
    "server={server} limit={reason} ended {count} connections or requests since the "
    "last such line; held_bytes={held_bytes} of {limit_bytes} "
    "connections={connections}",
    "Look for clients that send slowly, or for too many of them; see OPERATIONS.md.",
)
DESCRIPTORS_SHORT = Event(
    6045,
    EventLevel.WARNING,
    "descriptors={descriptors} allow connections={connections} for polls of workers; "
    "this process claims services later than others",
    "Raise the limit of open files of the process.",
)
