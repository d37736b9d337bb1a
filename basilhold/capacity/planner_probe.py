"""Memory and processor time of the planner of one shard."""

import time
import tracemalloc

import msgspec

from basilhold.benchmarks.placement_workload import (
    DEPLOYMENTS,
    Deployment,
    WorkloadGenerator,
)
from basilhold.placement import TargetPlanner

__all__ = ["PlannerCost", "measure_planner"]

NOW_MS = 10_000_000
LIMIT = 200
GPU_SHARE = 675 / 2400


class PlannerCost(msgspec.Struct, frozen=True):
    """Cost of one planner.

    Parameters
    ----------
    workers_kb : float
        Memory of the empty workers.
    waiting_kb : float
        Further memory of the waiting tasks.
    waiting : int
    placed : int
    plan_ms : float
        Processor time to plan and confirm the placements.
    """

    workers_kb: float
    waiting_kb: float
    waiting: int
    placed: int
    plan_ms: float


def _deployment(workers: int) -> Deployment:
    gpu = round(workers * GPU_SHARE)
    base = DEPLOYMENTS["two-year"]
    return msgspec.structs.replace(base, plain_count=workers - gpu, gpu_count=gpu)


def _traced_kb() -> float:
    return tracemalloc.get_traced_memory()[0] / 1000


def _fill(planner: TargetPlanner) -> int:
    placed = 0
    while placements := planner.plan(NOW_MS, LIMIT).placements:
        planner.confirm(placements)
        placed += len(placements)
    return placed


def _load(workers: int, tasks: int) -> tuple[TargetPlanner, float, float, int]:
    deployment = _deployment(workers)
    rows = deployment.workers()
    jobs = WorkloadGenerator(deployment, 3).backlog(tasks, NOW_MS) if tasks else []
    tracing = tracemalloc.is_tracing()
    before_kb = _traced_kb() if tracing else 0.0
    planner = TargetPlanner()
    for row in rows:
        planner.upsert_worker(row, True)
    workers_kb = _traced_kb() - before_kb if tracing else 0.0
    for job in jobs:
        planner.upsert_job(job)
    planner.plan(NOW_MS, 0)
    waiting_kb = _traced_kb() - before_kb - workers_kb if tracing else 0.0
    return planner, workers_kb, waiting_kb, sum(j.spec.task_count for j in jobs)


def measure_planner(workers: int, tasks: int) -> PlannerCost:
    """Measure one planner; memory and time in separate runs, as tracing slows it."""
    tracemalloc.start()
    _, workers_kb, waiting_kb, waiting = _load(workers, tasks)
    tracemalloc.stop()
    planner, _, _, _ = _load(workers, tasks)
    began_s = time.process_time()
    placed = _fill(planner)
    plan_ms = (time.process_time() - began_s) * 1000
    return PlannerCost(workers_kb, waiting_kb, waiting, placed, plan_ms)
