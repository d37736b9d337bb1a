"""Log events of sharding."""

from basilhold.observability import Event, EventLevel

__all__ = [
    "COMMIT_CONFLICT",
    "COMMIT_RESOLVED",
    "JOB_ROW_MISSING",
    "PLACEMENT_REFUSED",
    "RECOVERED",
    "SHARD_HANDED_OVER",
    "SHARD_LOST",
    "SHARD_TAKEN",
    "STORE_ANSWERS",
    "STORE_SILENT",
    "TASK_OUTCOME_UNKNOWN",
    "VM_LIST_UNRELIABLE",
    "WORKER_ATTESTED_LOST",
    "WORKER_CONTACT_LOST",
    "WORKER_QUARANTINED",
    "WORKER_REACHED",
    "WORKER_RELEASED",
]

SHARD_TAKEN = Event(
    2100,
    EventLevel.INFO,
    "took over shard {zone} at epoch {epoch} from {previous}",
)
SHARD_LOST = Event(
    2101, EventLevel.WARNING, "lost shard {zone} at epoch {epoch}: {reason}"
)
SHARD_HANDED_OVER = Event(
    2102, EventLevel.INFO, "handed shard {zone} over to {successor}"
)
RECOVERED = Event(
    2103,
    EventLevel.INFO,
    "recovered shard {zone}: {workers} workers, {tasks} tasks, {unreached} unreached",
    "Workers that stay unreached hold their tasks until the predecessor's horizon; "
    "run `basilholdctl workers attest-lost` if their VMs are destroyed.",
)
COMMIT_RESOLVED = Event(
    2104,
    EventLevel.INFO,
    "commit {transaction_id} of shard {zone} had no reply: {verdict}",
)
COMMIT_CONFLICT = Event(
    2105, EventLevel.INFO, "commit of shard {zone} conflicts on {keys}; built again"
)
STORE_SILENT = Event(
    2106,
    EventLevel.WARNING,
    "store does not answer shard {zone}: {reason}",
    "Running tasks continue until the lease horizon; nothing new is placed.",
)
STORE_ANSWERS = Event(
    2107, EventLevel.INFO, "store answers shard {zone} again after {silent_ms} ms"
)
WORKER_CONTACT_LOST = Event(
    2108,
    EventLevel.WARNING,
    "worker {worker_id} of shard {zone} does not answer",
)
WORKER_REACHED = Event(
    2109, EventLevel.INFO, "worker {worker_id} of shard {zone} answers"
)
WORKER_RELEASED = Event(
    2110,
    EventLevel.WARNING,
    "lease of worker {worker_id} has expired; {tasks} tasks are placed again",
)
WORKER_QUARANTINED = Event(
    2111,
    EventLevel.WARNING,
    "worker {worker_id} is in quarantine until {until_unix_ms}",
    "Check the VM; it is probed with one task after the delay.",
)
WORKER_ATTESTED_LOST = Event(
    2112, EventLevel.WARNING, "worker {worker_id} was attested to be destroyed"
)
TASK_OUTCOME_UNKNOWN = Event(
    2113,
    EventLevel.WARNING,
    "outcome of task {task_id} attempt {attempt} is unknown: {reason}",
    "The task is not run again. Find out what it did and submit a new job if needed.",
)
VM_LIST_UNRELIABLE = Event(
    2114,
    EventLevel.WARNING,
    "VM list lost {lost} of {known} workers of zone {zone} at once; not used",
)
PLACEMENT_REFUSED = Event(
    2115,
    EventLevel.WARNING,
    "placement of {task_id} on {worker_id} contradicts the rows",
)
JOB_ROW_MISSING = Event(2116, EventLevel.WARNING, "job {job_id} has no row in {zone}")
