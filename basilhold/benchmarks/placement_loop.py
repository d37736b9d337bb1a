"""Closed loop of arrivals, ends and evictions around a planner, on an event list."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from basilhold.benchmarks.placement_workload import Deployment, WorkloadGenerator
from basilhold.core import (
    Assignment,
    ClassKind,
    ClassName,
    JobId,
    JobRecord,
    Resources,
    RestartPolicy,
    TaskId,
    TaskState,
    WorkerId,
    WorkerRecord,
    make_task_id,
    split_task_id,
)
from basilhold.placement import Eviction, EvictionAction, Placement, Planner
from basilhold.ports import TaskReport

__all__ = ["ClosedLoop", "LoopResult", "packing_shares"]

_PASS_MS = 500
_EVICTION_MS = {
    EvictionAction.CHECKPOINT: 2_000,
    EvictionAction.STOP: 500,
    EvictionAction.THROTTLE: 100,
}
_PASSES_PER_TICK = 4
_NEVER = 1 << 62


class LoopResult(msgspec.Struct):
    """What a run measured.

    Parameters
    ----------
    waits_ms : dict of ClassName to list of int
        Wait of each task until its first start, in milliseconds; tasks that still
        wait at the end count with their age.
    met : dict of ClassName to float
        Share of the tasks that started within the class's target.
    victims, urgent_starts : int
    packing : Resources
        Mean amounts of tasks that run, in thousandths of the capacity; see
        `packing_shares`.
    gangs_partial : int
        Gangs that started in part.
    """

    waits_ms: dict[ClassName, list[int]]
    met: dict[ClassName, float]
    victims: int
    urgent_starts: int
    packing: Resources
    gangs_partial: int

    def mean_met(self) -> float:
        """Return the mean over classes of the share that met its target."""
        return sum(self.met.values()) / len(self.met)

    def mean_packing(self) -> float:
        """Return the mean of the committed shares of cores, memory and GPUs."""
        packing = self.packing
        total = packing.cores_milli + packing.memory_bytes + packing.gpus_milli
        return total / 3_000


class _Running(msgspec.Struct):
    placement: Placement
    started_ms: int
    ends_ms: int


def packing_shares(
    rows: Iterable[WorkerRecord], idle: frozenset[TaskId] = frozenset()
) -> tuple[float, float, float]:
    """Return the committed shares of cores, memory and GPUs, without idle tasks.

    Cores and memory count on workers without GPUs, and GPUs on the others: that is
    what each kind of worker is there for.
    """
    used, plain, gpu = Resources(), Resources(), Resources()
    gpu_used = Resources()
    for row in rows:
        busy = row.committed()
        if idle:
            for assignment in row.assignments:
                if assignment.task_id in idle:
                    busy = busy - assignment.resources
        if row.capacity.gpus_milli:
            gpu, gpu_used = gpu + row.capacity, gpu_used + busy
        else:
            plain, used = plain + row.capacity, used + busy
    return (
        used.cores_milli / max(1, plain.cores_milli),
        used.memory_bytes / max(1, plain.memory_bytes),
        gpu_used.gpus_milli / max(1, gpu.gpus_milli),
    )


class ClosedLoop:
    """Runs a planner against generated arrivals.

    The loop plays the shard's owner with commits that succeed. It checks that no
    worker is committed beyond its capacity and that no task runs twice.

    Parameters
    ----------
    planner : Planner
    deployment : Deployment
    seed : int
    load : float
        Offered load as a share of the capacity.
    duration_ms : int
    """

    def __init__(
        self,
        planner: Planner,
        deployment: Deployment,
        seed: int,
        load: float,
        duration_ms: int,
    ):
        self._planner = planner
        self._duration_ms = duration_ms
        planner.set_teams(deployment.quotas(), {})
        generator = WorkloadGenerator(deployment, seed)
        self._arrivals = list(generator.arrivals(load, duration_ms))
        self._rows = {row.worker_id: row for row in deployment.workers()}
        self._free = {row.worker_id: row.capacity for row in self._rows.values()}
        self._jobs: dict[JobId, JobRecord] = {}
        self._run_ms: dict[JobId, int] = {}
        self._left_ms: dict[TaskId, int] = {}
        self._first_start: dict[TaskId, int] = {}
        self._running: dict[TaskId, _Running] = {}
        self._events: list[tuple[int, int, str, TaskId, int, Eviction | None]] = []
        self._sequence = 0
        self._victims = 0
        self._gangs_partial = 0
        self._touched: set[WorkerId] = set()
        self._packing = [0.0, 0.0, 0.0]
        self._samples = 0

    def run(self) -> LoopResult:
        """Run to the end and return what was measured."""
        for row in self._rows.values():
            self._planner.upsert_worker(row, True)
        next_arrival = 0
        for now in range(0, self._duration_ms, _PASS_MS):
            while next_arrival < len(self._arrivals):
                record, run_ms = self._arrivals[next_arrival]
                if record.spec.submitted_unix_ms > now:
                    break
                next_arrival += 1
                self._jobs[record.spec.job_id] = record
                self._run_ms[record.spec.job_id] = run_ms
                self._planner.upsert_job(record)
            self._handle_events(now)
            self._plan(now)
            if now >= self._duration_ms // 4:
                self._sample_packing()
        return self._result()

    def _plan(self, now: int) -> None:
        for _ in range(_PASSES_PER_TICK):
            plan = self._planner.plan(now, 200)
            self._commit(plan.placements, now)
            for eviction in plan.evictions:
                self._victims += eviction.for_task_id is not None
                at = now + _EVICTION_MS[eviction.action]
                self._push(at, "evict", eviction.task_id, eviction.attempt, eviction)
            if len(plan.placements) < 200:
                return

    def _commit(self, placements: tuple[Placement, ...], now: int) -> None:
        gangs: dict[JobId, int] = defaultdict(int)
        for placement in placements:
            task_id, size = placement.task_id, placement.resources
            assert task_id not in self._running, task_id
            free = self._free[placement.worker_id] - size
            assert not free.is_negative(), placement
            self._free[placement.worker_id] = free
            row = self._rows[placement.worker_id]
            added = Assignment(task_id, placement.attempt, size)
            row.assignments = (*row.assignments, added)
            job_id, index = split_task_id(task_id)
            record = self._jobs[job_id]
            record.tasks[index].attempt = placement.attempt
            if record.spec.kind is ClassKind.GANG:
                gangs[job_id] += 1
            self._first_start.setdefault(task_id, now)
            self._running[task_id] = _Running(placement, now, _NEVER)
            if record.spec.kind is not ClassKind.GANG:
                self._begin(task_id, now)
        for job_id, count in gangs.items():
            record = self._jobs[job_id]
            self._begin_gang(record, now)
            first = all(task.attempt <= 1 for task in record.tasks)
            self._gangs_partial += first and count != record.spec.task_count
        self._planner.confirm(placements)

    def _begin(self, task_id: TaskId, now: int) -> None:
        """Let a task that has all it needs run to its end."""
        running = self._running[task_id]
        job_id, _ = split_task_id(task_id)
        running.ends_ms = now + self._left_ms.get(task_id, self._run_ms[job_id])
        self._push(running.ends_ms, "end", task_id, running.placement.attempt)

    def _begin_gang(self, record: JobRecord, now: int) -> None:
        """Let a gang run once all its tasks have started; until then they wait."""
        job_id = record.spec.job_id
        task_ids = [make_task_id(job_id, n) for n in range(record.spec.task_count)]
        if all(task_id in self._first_start for task_id in task_ids):
            for task_id in task_ids:
                running = self._running.get(task_id)
                if running is not None and running.ends_ms == _NEVER:
                    self._begin(task_id, now)

    def _handle_events(self, now: int) -> None:
        while self._events and self._events[0][0] <= now:
            at, _, what, task_id, attempt, eviction = heapq.heappop(self._events)
            running = self._running.get(task_id)
            if running is None or running.placement.attempt != attempt:
                continue
            if what == "end":
                if running.ends_ms > at:
                    self._push(running.ends_ms, "end", task_id, attempt)
                else:
                    self._finish(running, now)
            else:
                self._evict(running, eviction, now)
        for worker_id in sorted(self._touched):
            self._planner.upsert_worker(self._rows[worker_id], True)
        self._touched.clear()

    def _finish(self, running: _Running, now: int) -> None:
        placement = running.placement
        job_id, index = split_task_id(placement.task_id)
        record = self._jobs[job_id]
        report = TaskReport(placement.task_id, placement.attempt, False, True)
        self._planner.record_usage(placement.worker_id, (report,), now)
        record.tasks[index].state = TaskState.SUCCEEDED
        self._drop(running)
        if all(task.state.is_final for task in record.tasks):
            self._planner.remove_job(job_id)
        else:
            self._planner.upsert_job(record)

    def _evict(self, running: _Running, eviction: Eviction, now: int) -> None:
        placement = running.placement
        spec = self._jobs[split_task_id(placement.task_id)[0]].spec
        assert spec.restart is RestartPolicy.ALLOWED, eviction
        assert spec.class_name != "urgent", eviction
        if eviction.action is EvictionAction.THROTTLE:
            self._throttle(running, eviction.cores_limit_milli, now)
            return
        if eviction.action is EvictionAction.CHECKPOINT and running.ends_ms != _NEVER:
            self._left_ms[placement.task_id] = max(1, running.ends_ms - now)
        self._drop(running)
        job_id, _ = split_task_id(placement.task_id)
        self._planner.upsert_job(self._jobs[job_id])

    def _throttle(self, running: _Running, limit: int, now: int) -> None:
        old = running.placement
        size = msgspec.structs.replace(old.resources, cores_milli=limit)
        slower = old.resources.cores_milli / limit
        if running.ends_ms != _NEVER:
            running.ends_ms = now + int((running.ends_ms - now) * slower)
        running.placement = msgspec.structs.replace(old, resources=size)
        row = self._rows[old.worker_id]
        row.assignments = tuple(
            Assignment(a.task_id, a.attempt, size) if a.task_id == old.task_id else a
            for a in row.assignments
        )
        self._free[old.worker_id] = self._free[old.worker_id] + old.resources - size
        self._touched.add(old.worker_id)

    def _drop(self, running: _Running) -> None:
        placement = running.placement
        del self._running[placement.task_id]
        row: WorkerRecord = self._rows[placement.worker_id]
        row.assignments = tuple(
            a for a in row.assignments if a.task_id != placement.task_id
        )
        free = self._free[placement.worker_id]
        self._free[placement.worker_id] = free + placement.resources
        self._touched.add(placement.worker_id)

    def _push(
        self,
        at: int,
        what: str,
        task_id: TaskId,
        attempt: int,
        eviction: Eviction | None = None,
    ) -> None:
        self._sequence += 1
        heapq.heappush(
            self._events, (at, self._sequence, what, task_id, attempt, eviction)
        )

    def _starts(self, record: JobRecord) -> list[int | None]:
        """Return when each task started; a gang has started with its last task."""
        spec = record.spec
        starts = [
            self._first_start.get(make_task_id(spec.job_id, index))
            for index in range(spec.task_count)
        ]
        if spec.kind is not ClassKind.GANG:
            return starts
        last = None if None in starts else max(starts)
        return [last] * len(starts)

    def _sample_packing(self) -> None:
        self._samples += 1
        # Tasks of a gang that has started in part hold their workers idle.
        idle = frozenset(
            task_id
            for task_id, running in self._running.items()
            if running.ends_ms == _NEVER
        )
        shares = packing_shares(self._rows.values(), idle)
        self._packing = [a + b for a, b in zip(self._packing, shares, strict=True)]

    def _result(self) -> LoopResult:
        waits: dict[ClassName, list[int]] = defaultdict(list)
        met: dict[ClassName, list[int]] = defaultdict(lambda: [0, 0])
        urgent_starts = 0
        for record, _ in self._arrivals:
            spec = record.spec
            for start in self._starts(record):
                ended = self._duration_ms if start is None else start
                wait = ended - spec.submitted_unix_ms
                if start is None and wait <= spec.wait_target_ms:
                    continue
                waits[spec.class_name].append(wait)
                met[spec.class_name][0] += wait <= spec.wait_target_ms
                met[spec.class_name][1] += 1
                urgent_starts += start is not None and spec.class_name == "urgent"
        mean = [round(1000 * total / max(1, self._samples)) for total in self._packing]
        return LoopResult(
            dict(waits),
            {name: good / count for name, (good, count) in met.items()},
            self._victims,
            urgent_starts,
            Resources(*mean),
            self._gangs_partial,
        )
