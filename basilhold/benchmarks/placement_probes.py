"""Single measurements of a planner: decision time, packing and memory."""

import random
import time
import tracemalloc

import msgspec

from basilhold.benchmarks.placement_loop import packing_shares
from basilhold.benchmarks.placement_workload import Deployment, WorkloadGenerator
from basilhold.core import (
    Assignment,
    JobRecord,
    TaskId,
    TaskState,
    WorkerId,
    WorkerRecord,
    split_task_id,
)
from basilhold.placement import (
    Eviction,
    EvictionAction,
    Placement,
    Planner,
    TargetPlanner,
)

__all__ = [
    "DecisionTimes",
    "Saturation",
    "cancellation_ms",
    "decision_times",
    "memory_per_1000_tasks",
    "saturate",
]

_NOW_MS = 10_000_000
_LIMIT = 200
_FULL = 0.95


class DecisionTimes(msgspec.Struct):
    """Times of passes.

    Parameters
    ----------
    decision_s : list of float
        One entry per decision, which is a placement or a choice of victims: the
        pass's time divided by its decisions. A pass without any counts as one entry.
    single_s : list of float
        Times of passes limited to one placement, after at most one task ended.
    placements : int
    total_s : float
        Time of all calls into the planner, with confirmations and updates, without
        those around passes limited to one placement.
    longest_pass_s : float
    filled : float
        Share of the cores of plain workers that is committed once nothing more fits.
    """

    decision_s: list[float] = []
    single_s: list[float] = []
    placements: int = 0
    total_s: float = 0.0
    longest_pass_s: float = 0.0
    filled: float = 0.0

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the time per decision, in milliseconds."""
        return _quantile_ms(self.decision_s, quantile)

    def single_quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the time of a pass of one placement, in ms."""
        return _quantile_ms(self.single_s, quantile)

    def placements_per_s(self) -> float:
        """Return placements per second of time spent in the planner."""
        return self.placements / max(1e-9, self.total_s)


class _Cell:
    """Rows and jobs around one planner, with commits that succeed."""

    def __init__(self, planner: Planner, deployment: Deployment, seed: int):
        self.planner = planner
        self.generator = WorkloadGenerator(deployment, seed)
        self.rows = {row.worker_id: row for row in deployment.workers()}
        self.jobs: dict[str, JobRecord] = {}
        self.running: list[tuple[TaskId, WorkerId]] = []
        self._used_milli = 0
        self._plain_milli = deployment.plain_count * deployment.plain.cores_milli
        for row in self.rows.values():
            planner.upsert_worker(row, True)

    def submit(self, tasks: int) -> None:
        for record in self.generator.backlog(tasks, _NOW_MS):
            self.jobs[record.spec.job_id] = record
            self.planner.upsert_job(record)

    def commit(self, placements: tuple[Placement, ...]) -> None:
        for placement in placements:
            row = self.rows[placement.worker_id]
            added = Assignment(
                placement.task_id, placement.attempt, placement.resources
            )
            self._replace(row, (*row.assignments, added))
            self.running.append((placement.task_id, placement.worker_id))

    def filled(self) -> float:
        """Return the committed share of the cores of workers without GPUs."""
        return self._used_milli / self._plain_milli

    def end(self, chosen: random.Random) -> float:
        """End a random task and return the time spent in the planner."""
        at = chosen.randrange(len(self.running))
        self.running[at], self.running[-1] = self.running[-1], self.running[at]
        task_id, worker_id = self.running.pop()
        return self._drop(task_id, worker_id, TaskState.SUCCEEDED)

    def evict(self, evictions: tuple[Eviction, ...]) -> float:
        """Carry out evictions and return the time spent in the planner."""
        spent = 0.0
        for eviction in evictions:
            pair = (eviction.task_id, eviction.worker_id)
            if eviction.action is EvictionAction.THROTTLE:
                spent += self._shrink(eviction)
            elif pair in self.running:
                self.running.remove(pair)
                spent += self._drop(*pair, TaskState.PENDING)
        return spent

    def _drop(self, task_id: TaskId, worker_id: WorkerId, state: TaskState) -> float:
        job_id, index = split_task_id(task_id)
        record, row = self.jobs[job_id], self.rows[worker_id]
        record.tasks[index].state = state
        self._replace(row, tuple(a for a in row.assignments if a.task_id != task_id))
        begin = time.thread_time()
        self.planner.upsert_job(record)
        self.planner.upsert_worker(row, True)
        return time.thread_time() - begin

    def _shrink(self, eviction: Eviction) -> float:
        row = self.rows[eviction.worker_id]
        self._replace(
            row,
            tuple(
                msgspec.structs.replace(
                    a,
                    resources=msgspec.structs.replace(
                        a.resources, cores_milli=eviction.cores_limit_milli
                    ),
                )
                if a.task_id == eviction.task_id
                else a
                for a in row.assignments
            ),
        )
        begin = time.thread_time()
        self.planner.upsert_worker(row, True)
        return time.thread_time() - begin

    def _replace(self, row: WorkerRecord, assignments: tuple[Assignment, ...]) -> None:
        before = row.committed().cores_milli
        row.assignments = assignments
        if row.capacity.gpus_milli == 0:
            self._used_milli += row.committed().cores_milli - before


def decision_times(
    planner: Planner, deployment: Deployment, full: bool, passes: int = 60
) -> DecisionTimes:
    """Measure passes on an empty cell, or on one that is 95% full before each pass.

    The full cell is filled until a backlog of several times its size no longer fits;
    then tasks end before each pass until 95% of the cores are committed. Victims give
    way before the next pass.
    """
    cell = _Cell(planner, deployment, seed=7)
    workers = len(cell.rows)
    cell.submit(workers * (40 if full else 8))
    chosen = random.Random(7)
    times = DecisionTimes([], [])
    if full:
        _fill(cell)
        times.filled = cell.filled()
    for number in range(passes):
        if full:
            while cell.filled() > _FULL:
                times.total_s += cell.end(chosen)
            if number % 4 == 0:
                cell.submit(max(4, workers // 5))
        if not _timed_pass(cell, times, single=False) and not full:
            break
        if full:
            cell.end(chosen)
        _timed_pass(cell, times, single=True)
    return times


def _timed_pass(cell: _Cell, times: DecisionTimes, single: bool) -> int:
    begin = time.thread_time()
    plan = cell.planner.plan(_NOW_MS, 1 if single else _LIMIT)
    spent = time.thread_time() - begin
    begin = time.thread_time()
    cell.planner.confirm(plan.placements)
    confirmed = time.thread_time() - begin
    cell.commit(plan.placements)
    evicted = cell.evict(plan.evictions)
    times.longest_pass_s = max(times.longest_pass_s, spent)
    # A choice of victims for an urgent task is a decision too.
    claims = {e.for_task_id for e in plan.evictions if e.for_task_id}
    decisions = len(plan.placements) + len(claims)
    each = spent / max(1, decisions)
    if single:
        # A gang is placed whole, even above the limit.
        times.single_s.append(each)
        return decisions
    times.total_s += spent + confirmed + evicted
    times.placements += len(plan.placements)
    times.decision_s.extend([each] * max(1, decisions))
    return decisions


def _fill(cell: _Cell, passes: int = 10_000) -> None:
    for _ in range(passes):
        plan = cell.planner.plan(_NOW_MS, _LIMIT)
        cell.planner.confirm(plan.placements)
        cell.commit(plan.placements)
        if not plan.placements:
            return


class Saturation(msgspec.Struct):
    """Committed shares when a backlog no longer fits.

    Parameters
    ----------
    cores, memory : float
        Of workers without GPUs.
    gpus : float
        Of workers with GPUs.
    fullest : float
        Mean over workers without GPUs of the fuller of cores and memory. A worker is
        full when either runs out, so this is what packing can influence.
    """

    cores: float
    memory: float
    gpus: float
    fullest: float


def saturate(
    planner: Planner, deployment: Deployment, seed: int, tasks_per_worker: int = 60
) -> Saturation:
    """Place a backlog larger than the cell and return the committed shares."""
    cell = _Cell(planner, deployment, seed)
    cell.submit(len(cell.rows) * tasks_per_worker)
    _fill(cell)
    plain = [row for row in cell.rows.values() if row.capacity.gpus_milli == 0]
    fullest = 0.0
    for row in plain:
        used = row.committed()
        fullest += max(
            used.cores_milli / row.capacity.cores_milli,
            used.memory_bytes / row.capacity.memory_bytes,
        )
    return Saturation(*packing_shares(cell.rows.values()), fullest / len(plain))


def memory_per_1000_tasks(deployment: Deployment) -> tuple[float, float]:
    """Return the planner's memory per 1,000 waiting and live tasks, in KB.

    The records belong to the caller and are not counted.
    """
    cell = _Cell(TargetPlanner(), deployment, seed=3)
    records = cell.generator.backlog(10_000, _NOW_MS)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for record in records:
        cell.planner.upsert_job(record)
    cell.planner.explain(records[0].spec.job_id, _NOW_MS)
    waiting = tracemalloc.get_traced_memory()[0] - before
    count = sum(record.spec.task_count for record in records)
    before = tracemalloc.get_traced_memory()[0]
    placed = 0
    while plan := cell.planner.plan(_NOW_MS, _LIMIT).placements:
        cell.planner.confirm(plan)
        placed += len(plan)
    live = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del plan
    # A live task's job stays known, so its part of the queue's memory counts too.
    return waiting / count, (live + waiting * placed / count) / max(1, placed)


def cancellation_ms(deployment: Deployment, jobs: int) -> float:
    """Return the time to remove many waiting jobs and to make the next pass."""
    cell = _Cell(TargetPlanner(), deployment, seed=5)
    cell.submit(len(cell.rows) * 40)
    _fill(cell)
    started = {split_task_id(task_id)[0] for task_id, _ in cell.running}
    waiting = [job_id for job_id in cell.jobs if job_id not in started][:jobs]
    begin = time.thread_time()
    for job_id in waiting:
        cell.planner.remove_job(job_id)
    cell.planner.plan(_NOW_MS, _LIMIT)
    return 1000 * (time.thread_time() - begin)


def _quantile_ms(samples: list[float], quantile: float) -> float:
    ordered = sorted(samples)
    if not ordered:
        return 0.0
    return 1000 * ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]
