"""Metrics of a scheduler."""

from collections import Counter, deque

from basilhold.core import (
    ClassName,
    Clock,
    Epoch,
    Resources,
    RestartPolicy,
    TaskId,
    TaskState,
    ZoneName,
    make_task_id,
)
from basilhold.nodes.commit_watch import CommitWatch, TaskWait
from basilhold.nodes.directory import CellDirectory
from basilhold.nodes.slot_lending import SlotLending
from basilhold.observability import Metrics, MetricSource, metric
from basilhold.ports import StoreErrorKind, VmState
from basilhold.sharding import ShardOwner, ShardScheduler, ShardState

__all__ = ["SchedulerMetrics", "ShardHistory"]

_FAILURES = (
    StoreErrorKind.CONFLICT,
    StoreErrorKind.NOT_APPLIED,
    StoreErrorKind.UNKNOWN,
)
_WORKER_STATES = ("live", "leaving", "unreachable", "quarantined")


class ShardHistory:
    """Totals over all shards that a process has owned.

    An owner counts from zero at each takeover; these totals only grow.

    Parameters
    ----------
    scheduler : ShardScheduler

    Attributes
    ----------
    takeovers, placements : Counter of ZoneName
    unknown : Counter of ClassName
    """

    def __init__(self, scheduler: ShardScheduler):
        self._scheduler = scheduler
        self._epochs: dict[ZoneName, Epoch] = {}
        self._counted: dict[ZoneName, int] = {}
        self._unknown_seen: dict[ZoneName, set[TaskId]] = {}
        self.takeovers: Counter[ZoneName] = Counter()
        self.placements: Counter[ZoneName] = Counter()
        self.unknown: Counter[ClassName] = Counter()

    def update(self) -> None:
        """Add what is new in the owned shards."""
        for zone in self._scheduler.owned_zones():
            owner = self._scheduler.owner(zone)
            if self._epochs.get(zone) != owner.epoch:
                self._epochs[zone] = owner.epoch
                self._counted[zone] = 0
                self._unknown_seen.pop(zone, None)
                self.takeovers[zone] += 1
            if owner.recovered.is_set():
                self._count(zone, owner)

    def _count(self, zone: ZoneName, owner: ShardOwner) -> None:
        total = owner.committer.placement_count
        self.placements[zone] += total - self._counted[zone]
        self._counted[zone] = total
        if zone not in self._unknown_seen:
            # Outcomes that an earlier owner lost were counted by that owner.
            self._unknown_seen[zone] = set(_unknown_tasks(owner))

    def update_unknown(self) -> None:
        """Count tasks whose outcome became unknown.

        It looks at all jobs of a day, so it is called only when metrics are read.
        """
        for zone, seen in self._unknown_seen.items():
            owner = self._scheduler.owner(zone)
            if owner is None or not owner.recovered.is_set():
                continue
            unknown = _unknown_tasks(owner)
            for task_id in unknown.keys() - seen:
                self.unknown[unknown[task_id]] += 1
            self._unknown_seen[zone] = set(unknown)


def _unknown_tasks(owner: ShardOwner) -> dict[TaskId, ClassName]:
    """Return the tasks whose outcome is unknown; only such without restart can be."""
    return {
        make_task_id(job_id, index): job.record.spec.class_name
        for job_id, job in owner.tables.jobs.items()
        if job.record.spec.restart is RestartPolicy.FORBIDDEN
        for index, task in enumerate(job.record.tasks)
        if task.state is TaskState.UNKNOWN
    }


class SchedulerMetrics(MetricSource):
    """Sets the metrics of the shards of a scheduler.

    Parameters
    ----------
    scheduler : ShardScheduler
    history : ShardHistory
    commits : CommitWatch
    waits : deque of TaskWait
        Emptied with each collection.
    lending : SlotLending
    directory : CellDirectory
    clock : Clock
    """

    def __init__(
        self,
        scheduler: ShardScheduler,
        history: ShardHistory,
        commits: CommitWatch,
        waits: deque[TaskWait],
        lending: SlotLending,
        directory: CellDirectory,
        clock: Clock,
    ):
        self._scheduler = scheduler
        self._history = history
        self._commits = commits
        self._waits = waits
        self._lending = lending
        self._directory = directory
        self._clock = clock
        self._zones: set[ZoneName] = set()
        self._services: set[str] = set()

    def collect(self, metrics: Metrics) -> None:
        """Set the current values."""
        self._history.update()
        self._history.update_unknown()
        self._collect_totals(metrics)
        owned = set(self._scheduler.owned_zones())
        self._zones |= owned | {shard.zone for shard in self._directory.shards()}
        for zone in sorted(self._zones):
            is_owned = int(zone in owned)
            metrics.set(metric("basilhold_shard_owned"), is_owned, zone=zone)
            state = self._scheduler.shard_state(zone)
            if state is not None and state.recovered:
                self._collect_shard(metrics, state)
            else:
                self._clear_shard(metrics, zone)
        self._collect_slots(metrics)

    def _collect_totals(self, metrics: Metrics) -> None:
        history, failures = self._history, self._commits.failures
        for zone, count in history.takeovers.items():
            metrics.set(metric("basilhold_takeovers_total"), count, zone=zone)
            placed = history.placements[zone]
            metrics.set(metric("basilhold_placements_total"), placed, zone=zone)
            for kind in _FAILURES:
                metrics.set(
                    metric("basilhold_commit_failures_total"),
                    failures[zone, kind],
                    zone=zone,
                    reason=kind.value,
                )
        for name, count in history.unknown.items():
            declared = metric("basilhold_tasks_unknown_total")
            metrics.set(declared, count, class_name=name)
        durations = self._commits.durations
        while durations:
            entry = durations.popleft()
            declared = metric("basilhold_commit_seconds")
            metrics.observe(declared, entry.duration_s, zone=entry.zone)
        while self._waits:
            wait = self._waits.popleft()
            declared = metric("basilhold_task_wait_ratio")
            metrics.observe(declared, wait.ratio, class_name=wait.class_name)

    def _collect_shard(self, metrics: Metrics, state: ShardState) -> None:
        zone = state.zone
        left_ms = state.horizon_unix_ms - self._clock.unix_ms()
        declared = metric("basilhold_lease_horizon_seconds")
        metrics.set(declared, left_ms / 1000, zone=zone)
        running = sum(worker.running for worker in state.workers)
        placed = sum(worker.tasks for worker in state.workers)
        tasks = {
            TaskState.PENDING: state.waiting_tasks,
            TaskState.ASSIGNED: max(placed - running, 0),
            TaskState.RUNNING: running,
        }
        for name, count in tasks.items():
            declared = metric("basilhold_tasks")
            metrics.set(declared, count, zone=zone, state=name.value)
        names = self._worker_states(state)
        counts = Counter(names.values())
        for name in _WORKER_STATES:
            declared = metric("basilhold_workers")
            metrics.set(declared, counts[name], zone=zone, state=name)
        live = [w for w in state.workers if names[w.worker_id] == "live"]
        committed = sum((w.committed for w in live), Resources())
        capacity = sum((w.capacity for w in live), Resources())
        _set_packing(metrics, zone, committed, capacity)

    def _worker_states(self, state: ShardState) -> dict[str, str]:
        now_ms = self._clock.unix_ms()
        names = {}
        for worker in state.workers:
            listed = self._directory.worker(worker.worker_id)
            name = "live"
            if not worker.reachable:
                name = "unreachable"
            elif listed is not None and listed.state is VmState.LEAVING:
                name = "leaving"
            elif worker.quarantined_until_unix_ms > now_ms:
                name = "quarantined"
            names[worker.worker_id] = name
        return names

    def _clear_shard(self, metrics: Metrics, zone: ZoneName) -> None:
        """Set the gauges of a shard that was owned before to zero.

        The alert on a short lease horizon would fire for a shard that has another
        owner, so its horizon becomes infinite.
        """
        if zone not in self._history.takeovers:
            return
        horizon = metric("basilhold_lease_horizon_seconds")
        metrics.set(horizon, float("inf"), zone=zone)
        for state in (TaskState.PENDING, TaskState.ASSIGNED, TaskState.RUNNING):
            metrics.set(metric("basilhold_tasks"), 0, zone=zone, state=state.value)
        for name in _WORKER_STATES:
            metrics.set(metric("basilhold_workers"), 0, zone=zone, state=name)
        _set_packing(metrics, zone, Resources(), Resources())

    def _collect_slots(self, metrics: Metrics) -> None:
        frozen = self._lending.frozen_by_service()
        self._services |= frozen.keys()
        for service in self._services:
            metrics.set(
                metric("basilhold_slot_tokens"),
                frozen.get(service, 0),
                service=service,
                state="frozen",
            )


def _set_packing(
    metrics: Metrics, zone: ZoneName, committed: Resources, capacity: Resources
) -> None:
    shares = {
        "cores": (committed.cores_milli, capacity.cores_milli),
        "memory": (committed.memory_bytes, capacity.memory_bytes),
        "gpus": (committed.gpus_milli, capacity.gpus_milli),
    }
    for resource, (used, size) in shares.items():
        metrics.set(
            metric("basilhold_packing_ratio"),
            used / size if size else 0.0,
            zone=zone,
            resource=resource,
        )
