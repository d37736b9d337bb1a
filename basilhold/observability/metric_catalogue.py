"""Declarations of all metrics.

The table of ``docs/operators/runbook.md`` and the rules of ``examples/alerts.yaml``
are tested against this module.
"""

from basilhold.observability.metrics import Metric, MetricKind

__all__ = ["METRICS", "metric"]

_COUNTER, _GAUGE, _HISTOGRAM = (
    MetricKind.COUNTER,
    MetricKind.GAUGE,
    MetricKind.HISTOGRAM,
)

_RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)
_SECONDS_BUCKETS = (0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 2.0, 4.0, 10.0, 30.0)

METRICS = (
    # Requests and gateway.
    Metric(
        "basilhold_requests_total",
        _COUNTER,
        "Finished requests of callers; outcome is ran, not-run or unknown",
        ("class_name", "outcome"),
    ),
    Metric(
        "basilhold_request_wait_ratio",
        _HISTOGRAM,
        "Time a request waited, relative to the target of its class",
        ("class_name",),
        _RATIO_BUCKETS,
    ),
    Metric(
        "basilhold_requests_queued",
        _GAUGE,
        "Requests that wait in this gateway",
        ("class_name",),
    ),
    Metric("basilhold_requests_in_flight", _GAUGE, "Requests sent to upstreams"),
    Metric(
        "basilhold_requests_rejected_total",
        _COUNTER,
        "Requests refused without running, by reason",
        ("reason",),
    ),
    Metric(
        "basilhold_bad_input_total",
        _COUNTER,
        "Requests answered with a 4xx problem document",
        ("reason",),
    ),
    Metric("basilhold_retries_total", _COUNTER, "Requests sent again"),
    Metric(
        "basilhold_circuits_open",
        _GAUGE,
        "Upstreams whose circuit breaker is open",
        ("service",),
    ),
    Metric(
        "basilhold_slot_tokens",
        _GAUGE,
        "Slot tokens by state: busy, idle (gateway), frozen (scheduler)",
        ("service", "state"),
    ),
    Metric("basilhold_once_records", _GAUGE, "At-most-once records in the store"),
    # Placement and sharding.
    Metric(
        "basilhold_shard_owned",
        _GAUGE,
        "1 if this scheduler owns the shard of the zone",
        ("zone",),
    ),
    Metric(
        "basilhold_takeovers_total",
        _COUNTER,
        "Shards that this scheduler took over",
        ("zone",),
    ),
    Metric(
        "basilhold_lease_horizon_seconds",
        _GAUGE,
        "Time until the lease horizon of the shard",
        ("zone",),
    ),
    Metric("basilhold_placements_total", _COUNTER, "Committed placements", ("zone",)),
    Metric(
        "basilhold_commit_seconds",
        _HISTOGRAM,
        "Duration of a commit",
        ("zone",),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_commit_failures_total",
        _COUNTER,
        "Commits without success; reason is conflict, not-applied or unknown",
        ("zone", "reason"),
    ),
    Metric(
        "basilhold_tasks",
        _GAUGE,
        "Tasks of the shard by state",
        ("zone", "state"),
    ),
    Metric(
        "basilhold_tasks_unknown_total",
        _COUNTER,
        "Tasks whose outcome can no longer be established",
        ("class_name",),
    ),
    Metric(
        "basilhold_task_wait_ratio",
        _HISTOGRAM,
        "Time a task waited until its first placement, relative to its class's target",
        ("class_name",),
        _RATIO_BUCKETS,
    ),
    Metric(
        "basilhold_workers",
        _GAUGE,
        "Workers by state: live, leaving, unreachable, quarantined",
        ("zone", "state"),
    ),
    Metric(
        "basilhold_packing_ratio",
        _GAUGE,
        "Committed share of the live workers' cores, memory, gpus",
        ("zone", "resource"),
    ),
    # Configuration, membership and relay.
    Metric(
        "basilhold_config_version",
        _GAUGE,
        "Version of each office's document in force in this process",
        ("office",),
    ),
    Metric(
        "basilhold_config_current",
        _GAUGE,
        "1 if the relay confirmed currency within the last 4 s",
    ),
    Metric(
        "basilhold_config_spread_seconds",
        _HISTOGRAM,
        "Time until a change was in force everywhere (active relay)",
        (),
        _SECONDS_BUCKETS,
    ),
    Metric("basilhold_relay_active", _GAUGE, "1 if this relay serves its region"),
    Metric(
        "basilhold_vm_list_suspect",
        _GAUGE,
        "1 while the VM list is ignored because it lost too many VMs at once",
    ),
    # Accounting.
    Metric(
        "basilhold_sent_bytes_total",
        _COUNTER,
        "Bytes sent; distance is same-zone, same-region or other-region",
        ("purpose", "distance"),
    ),
    Metric(
        "basilhold_store_operations_total",
        _COUNTER,
        "Store operations; kind is read or write",
        ("purpose", "kind", "outcome"),
    ),
    Metric(
        "basilhold_store_seconds",
        _HISTOGRAM,
        "Duration of a store operation",
        ("kind",),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_store_budget_per_second",
        _GAUGE,
        "Store operations per second that the budget allows now",
    ),
    # Every program.
    Metric("basilhold_ready", _GAUGE, "1 if /readyz answers 200"),
    Metric(
        "basilhold_loop_lag_seconds",
        _HISTOGRAM,
        "Lateness of a timer of the event loop",
        (),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_clock_adjustment_seconds",
        _GAUGE,
        "Last difference between the process's and the system's clock",
    ),
    # Workflows on the users' platform.
    Metric(
        "basilhold_workflow_seconds",
        _HISTOGRAM,
        "Time from the submission of a workflow to its end, by state",
        ("service", "state"),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_workflow_start_wait_seconds",
        _HISTOGRAM,
        "Time from the submission of a workflow to the assignment of a task",
        ("service",),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_workflow_runs_total",
        _COUNTER,
        "Ended runs of tasks; outcome is done, failed, stopped, lapsed, broken, alone "
        "or lost",
        ("service", "outcome"),
    ),
    Metric(
        "basilhold_workflow_overdue_runs_total",
        _COUNTER,
        "Runs that took far longer than expected; decision is restarted, step_long or "
        "task_long, of which the last two were left alone",
        ("service", "decision"),
    ),
    Metric(
        "basilhold_workflow_run_time_ratio",
        _GAUGE,
        "Run time over estimate of a queue's tasks; quantile is median or high (95%)",
        ("service", "queue", "quantile"),
    ),
    Metric(
        "basilhold_workflow_advice_seconds",
        _HISTOGRAM,
        "Time until a question about admissible workers was answered",
        ("service",),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_workflow_commit_seconds",
        _HISTOGRAM,
        "Duration of a commit of an owner",
        ("service",),
        _SECONDS_BUCKETS,
    ),
    Metric(
        "basilhold_outgoing_connections",
        _GAUGE,
        "Connections that the process has opened and not closed, by kind of call",
        ("kind",),
    ),
    Metric(
        "basilhold_outgoing_connections_opened_total",
        _COUNTER,
        "Connections that the process has opened",
        ("kind",),
    ),
    Metric(
        "basilhold_outgoing_connections_reset_total",
        _COUNTER,
        "Connections that the peer closed before its first byte, as a full one does",
        ("kind",),
    ),
    Metric(
        "basilhold_worker_polls_waiting",
        _GAUGE,
        "Polls that wait at workers for the ends of runs",
    ),
    Metric(
        "basilhold_worker_polls_refused_total",
        _COUNTER,
        "Polls that could not wait at workers for want of connections",
    ),
    Metric(
        "basilhold_tenants_waiting_for_quota",
        _GAUGE,
        "Tenants with work that waits for nothing but quota",
        ("service",),
    ),
    Metric(
        "basilhold_tenant_quota_used_ratio",
        _GAUGE,
        "Largest share of a tenant's allotment in the service that its runs use",
        ("service",),
    ),
    Metric(
        "basilhold_submission_groups_total",
        _COUNTER,
        "Group transactions that the owner has sent to a slow store, with repeats",
        ("service",),
    ),
    Metric(
        "basilhold_submission_group_writes_total",
        _COUNTER,
        "Submissions and cancellations that were stored in groups",
        ("service",),
    ),
    Metric(
        "basilhold_submissions_refused_total",
        _COUNTER,
        "Submissions and cancellations that the owner did not send in a group; reason "
        "is deadline (too late from the start) or late (not sent in time)",
        ("service", "reason"),
    ),
    Metric(
        "basilhold_tenant_share",
        _GAUGE,
        "Largest share of a resource that a tenant uses, or used in the last seconds",
        ("service", "tenant"),
    ),
    Metric(
        "basilhold_tenant_due_share",
        _GAUGE,
        "Share of the service that a tenant is due; 1 while there is enough capacity",
        ("service", "tenant"),
    ),
    Metric(
        "basilhold_tenant_steps_behind",
        _GAUGE,
        "Steps of a tenant that wait behind those of others, as capacity is short",
        ("service", "tenant"),
    ),
    Metric(
        "basilhold_callers_rejected_total",
        _COUNTER,
        "Calls without a valid API key",
    ),
    Metric(
        "basilhold_clients_limited_total",
        _COUNTER,
        "Connections closed and requests refused by a limit, by server and reason",
        ("server", "reason"),
    ),
    Metric(
        "basilhold_clients_held_bytes",
        _GAUGE,
        "Memory that the clients of all servers hold",
    ),
    Metric(
        "basilhold_clients_connections",
        _GAUGE,
        "Open incoming connections",
        ("server",),
    ),
    Metric(
        "basilhold_configuration_age_seconds",
        _GAUGE,
        "Time since the configuration in force was last confirmed by the store",
    ),
    Metric(
        "basilhold_log_lines_dropped_total",
        _COUNTER,
        "Log lines dropped because the log was not read or grew too fast",
    ),
    Metric("basilhold_resident_bytes", _GAUGE, "Resident memory"),
    Metric("basilhold_processor_seconds_total", _COUNTER, "Processor time used"),
    Metric(
        "basilhold_events_total",
        _COUNTER,
        "Logged events by number, see docs/events.md",
        ("number", "level"),
    ),
)

_BY_NAME = {entry.name: entry for entry in METRICS}


def metric(name: str) -> Metric:
    """Return the declared metric with the given name.

    Raises
    ------
    KeyError
        If no such metric is declared.

    Examples
    --------
    >>> metric("basilhold_requests_total").labels
    ('class_name', 'outcome')
    """
    return _BY_NAME[name]
