"""Log events of workflows."""

from basilhold.observability.events import Event, EventLevel

OWNER_CLAIMED = Event(
    6000,
    EventLevel.INFO,
    "service={service} epoch={epoch} claimed: {reason}; workflows={workflows} "
    "assigned={assigned}",
)
OWNER_LOST = Event(
    6001,
    EventLevel.WARNING,
    "service={service} epoch={epoch} no longer owned: {reason}",
)
OWNER_RELEASED = Event(
    6002, EventLevel.INFO, "service={service} epoch={epoch} released at shutdown"
)
OWNER_FAILED = Event(
    6003,
    EventLevel.ERROR,
    "service={service} owner failed: {error}; another process takes over",
    "Report it.",
)
HOLDER_GONE = Event(
    6004,
    EventLevel.INFO,
    "service={service} epoch={epoch} may be claimed: presence={presence} at "
    "{endpoint}, lease not renewed for {unchanged_ms} ms",
)
WORKFLOW_ACCEPTED = Event(
    6010,
    EventLevel.INFO,
    "job={job} queue={queue} service={service} tenant={tenant} stored",
)
WORKFLOW_REFUSED = Event(
    6011, EventLevel.INFO, "job={job} queue={queue} refused status={status}: {reason}"
)
WORKFLOW_ENDED = Event(
    6012, EventLevel.INFO, "job={job} ended state={state} after_ms={after_ms}"
)
RUN_ASSIGNED = Event(
    6020,
    EventLevel.INFO,
    "task={task} run={run} worker={worker} free_cores_milli={free} "
    "queued_ms={queued_ms}",
)
RUN_NOT_STARTED = Event(
    6021, EventLevel.INFO, "task={task} run={run} worker={worker} start {outcome}"
)
RUN_ENDED = Event(
    6022, EventLevel.INFO, "task={task} run={run} worker={worker} ended {kind}"
)
RUN_UNKNOWN = Event(
    6023,
    EventLevel.WARNING,
    "task={task} run={run} worker={worker} listed but not assigned; stopping it",
)
RUN_PREEMPTED = Event(
    6024, EventLevel.INFO, "task={task} run={run} worker={worker} stopped for {reason}"
)
RUN_PACED = Event(
    6026,
    EventLevel.INFO,
    "task={task} worker={worker} pace set to {percent} percent: {outcome}",
)
RUN_OVERDUE = Event(
    6025,
    EventLevel.INFO,
    "task={task} run={run} worker={worker} overdue after_ms={after_ms}; restarting it",
)
RUN_EVACUATED = Event(
    6027,
    EventLevel.INFO,
    "task={task} run={run} worker={worker} is draining; moving the task",
)
ADVICE_RECEIVED = Event(
    6030,
    EventLevel.INFO,
    "job={job} step={step} asked={asked} admitted={admitted} after_ms={after_ms}",
)
ADVICE_FAILED = Event(
    6031, EventLevel.INFO, "job={job} step={step} advice request failed: {reason}"
)
WORKER_LOST = Event(
    6040,
    EventLevel.WARNING,
    "worker={worker} lost: {reason}; endpoint={endpoint} silent_ms={silent_ms} "
    "runs={runs}",
)
WORKER_SILENT = Event(
    6042,
    EventLevel.INFO,
    "worker={worker} does not answer: endpoint={endpoint} "
    "disconnected={disconnected} heard_ms={heard_ms} runs={runs} "
    "youngest={youngest} age_ms={age_ms}",
)
WORKER_AVOIDED = Event(
    6041,
    EventLevel.WARNING,
    "worker={worker} avoided after {failures} consecutive failed runs",
)
TASK_SUSPECTED = Event(
    6043,
    EventLevel.WARNING,
    "task={task} run={run} may have crashed its worker: crashes={crashes} "
    "age_ms={age_ms} alone={alone} correlated={correlated} guilty={guilty}",
)
RENEWAL_REACHED_SUCCESSOR = Event(
    6044,
    EventLevel.INFO,
    "worker={worker} a later incarnation answered a poll sent {age_ms} ms ago: "
    "clock_ms={clock_ms} until_clock_ms={until_clock_ms} acknowledged={acknowledged}",
)
RUNS_HELD = Event(
    6046,
    EventLevel.WARNING,
    "worker={worker} silent for longer than its lease: ended={ended} runs; held={held} "
    "whose starts may still be carried out, for up to {held_ms} ms",
    "None. Look at the worker if there are many.",
)
DEPENDENCY_LOST = Event(6050, EventLevel.WARNING, "{dependency} does not answer")
DEPENDENCY_BACK = Event(
    6051, EventLevel.INFO, "{dependency} answers again after {after_ms} ms"
)
STORE_RELAYED = Event(
    6052,
    EventLevel.WARNING,
    "store unreachable from this machine, relaying through {peer}: {reason}",
)
STORE_DIRECT = Event(
    6053, EventLevel.INFO, "store reachable from this machine again after {after_ms} ms"
)
BAD_ROW = Event(
    6060,
    EventLevel.ERROR,
    "row {key} cannot be decoded and is skipped: {reason}",
    "Report it.",
)
LOOP_FAILED = Event(
    6062,
    EventLevel.ERROR,
    "{loop} failed and is restarted: {error}",
    "Report it with the lines before it.",
)
WORKFLOW_SET_ASIDE = Event(
    6063,
    EventLevel.ERROR,
    "job={job} set aside: {action} failed: {error}; none of its tasks starts again",
    "Report it. The workflow can be cancelled.",
)
COMMIT_INVALID = Event(
    6061,
    EventLevel.ERROR,
    "service={service} the store rejected a commit of {rows} rows as invalid: "
    "{reason}; the lease is given up",
    "Report it.",
)
QUOTA_GIVEN = Event(
    6070,
    EventLevel.INFO,
    "service={service} gave parts of quotas to {receiver}: tenants={tenants}",
)
QUOTA_RECEIVED = Event(
    6071,
    EventLevel.INFO,
    "service={service} received parts of quotas from {giver}: tenants={tenants}",
)
QUOTA_MISSING = Event(
    6072,
    EventLevel.INFO,
    "service={service} tenant={tenant} job={job} waits for quota: used={used} "
    "allotment={allotment} quota={quota} version={version}",
)
TENANT_WEIGHT_INVALID = Event(
    6075,
    EventLevel.WARNING,
    "service={service} version={version}: the weights of {count} tenants are not "
    "positive numbers: {tenants}; they get the default",
    "Correct the weights in the configuration document.",
)
TENANT_STARVED = Event(
    6076,
    EventLevel.WARNING,
    "service={service} tenant={tenant} work has waited behind that of other tenants "
    "for {waited_ms} ms: steps={steps} share={share} due_share={due_share}",
    "Compare share and due_share; if the tenant is above its share, its load exceeds "
    "what it is due, else add workers.",
)
GROUPING_BEGUN = Event(
    6080,
    EventLevel.INFO,
    "service={service} submissions are stored in groups: arrivals={arrivals} a second "
    "read_ms={read_ms} transaction_ms={transaction_ms}",
)
GROUPING_ENDED = Event(
    6081,
    EventLevel.INFO,
    "service={service} submissions are stored one by one again: arrivals={arrivals} a "
    "second read_ms={read_ms} transaction_ms={transaction_ms}",
)
RUN_SPARED = Event(
    6090,
    EventLevel.INFO,
    "task={task} run={run} worker={worker} overdue after_ms={after_ms}, not restarted: "
    "{reason}",
)
CONFIGURATION_CHANGED = Event(
    6100,
    EventLevel.INFO,
    "configuration version={version} applied; tenants={tenants}",
)
CONFIGURATION_INVALID = Event(
    6101,
    EventLevel.ERROR,
    "configuration is invalid: {reason}; keeping the previous one",
    "Correct the configuration document.",
)
CONFIGURATION_FOLLOWED = Event(
    6107, EventLevel.INFO, "the configuration is followed through {source}"
)
CONFIGURATION_UNCONFIRMED = Event(
    6105,
    EventLevel.WARNING,
    "callers are rejected until the configuration is confirmed; age_ms={age_ms}",
)
CONFIGURATION_CONFIRMED = Event(
    6106,
    EventLevel.WARNING,
    "configuration version={version} confirmed after age_ms={age_ms}; before it "
    "previous={previous}",
)
