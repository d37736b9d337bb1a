"""Log events of workflows."""

from basilhold.observability.events import Event, EventLevel

OWNER_CLAIMED = Event(
    5000,
    EventLevel.INFO,
    "service={service} epoch={epoch} owned after {reason}; workflows={workflows} "
    "assigned={assigned}",
)
OWNER_LOST = Event(
    5001,
    EventLevel.WARNING,
    "service={service} epoch={epoch} not owned any more: {reason}",
)
OWNER_RELEASED = Event(
    5002, EventLevel.INFO, "service={service} epoch={epoch} released before a stop"
)
OWNER_FAILED = Event(
    5003,
    EventLevel.ERROR,
    "service={service} the owner stopped with {error}; another process takes over",
    "Report it.",
)
WORKFLOW_ACCEPTED = Event(
    5010, EventLevel.INFO, "job={job} queue={queue} service={service} stored"
)
WORKFLOW_REFUSED = Event(
    5011, EventLevel.INFO, "job={job} queue={queue} refused status={status}: {reason}"
)
WORKFLOW_ENDED = Event(
    5012, EventLevel.INFO, "job={job} ended state={state} after_ms={after_ms}"
)
RUN_ASSIGNED = Event(
    5020,
    EventLevel.INFO,
    "task={task} run={run} worker={worker} free_cores_milli={free} "
    "queued_ms={queued_ms}",
)
RUN_NOT_STARTED = Event(
    5021, EventLevel.INFO, "task={task} run={run} worker={worker} start {outcome}"
)
RUN_ENDED = Event(
    5022, EventLevel.INFO, "task={task} run={run} worker={worker} ended {kind}"
)
RUN_UNKNOWN = Event(
    5023,
    EventLevel.WARNING,
    "task={task} run={run} worker={worker} listed but not assigned; stopping it",
)
RUN_PREEMPTED = Event(
    5024, EventLevel.INFO, "task={task} run={run} worker={worker} stopped for {reason}"
)
RUN_OVERDUE = Event(
    5025,
    EventLevel.INFO,
    "task={task} run={run} worker={worker} overdue after_ms={after_ms}; restarting it",
)
ADVICE_RECEIVED = Event(
    5030,
    EventLevel.INFO,
    "job={job} step={step} asked={asked} admitted={admitted} after_ms={after_ms}",
)
ADVICE_FAILED = Event(
    5031, EventLevel.INFO, "job={job} step={step} no advice: {reason}"
)
WORKER_LOST = Event(
    5040, EventLevel.WARNING, "worker={worker} lost: {reason}; runs={runs}"
)
WORKER_AVOIDED = Event(
    5041, EventLevel.WARNING, "worker={worker} avoided: {failures} failed runs in a row"
)
DEPENDENCY_LOST = Event(
    5050, EventLevel.WARNING, "{dependency} does not answer: {reason}"
)
DEPENDENCY_BACK = Event(
    5051, EventLevel.INFO, "{dependency} answers again after {after_ms} ms"
)
BAD_ROW = Event(
    5060,
    EventLevel.ERROR,
    "row {key} cannot be read: {reason}; it is left alone",
    "Report it.",
)
