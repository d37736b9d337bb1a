"""Costs of sharding: ``python -m basilhold.benchmarks.sharding``.

Counts are taken on the virtual clock over the stand-ins; the planner is the baseline.
"""

import asyncio
import gc
import sys
import tracemalloc
from collections.abc import Callable

import msgspec
from absl import logging

from basilhold.core import Resources
from basilhold.sharding.intake import Submission
from basilhold.testing import run_virtual
from basilhold.testing.cell import CellHarness, make_spec

__all__ = [
    "Figure",
    "measure_idle",
    "measure_memory",
    "measure_placements",
    "measure_recovery",
]

SHARDS = 11
WORKERS_PER_SHARD = 220
TASKS_PER_SHARD = 1_750
PLACEMENTS_PER_SECOND = 3_000
MEMORY_BOUND_KB = 20_000 / 19
"""A daemon's 20 MB, shared by the 19,000 tasks of the two-year size."""


class Figure(msgspec.Struct, frozen=True):
    """A measured value and the bound that the design states; 0 if none."""

    name: str
    value: float
    bound: float = 0.0

    @property
    def holds(self) -> bool:
        """Whether the value is within its bound."""
        return not self.bound or self.value <= self.bound


def _zones(count: int, workers: int) -> dict[str, int]:
    return {f"zone-{number:02}": workers for number in range(count)}


async def _until(condition: Callable[[], bool], step_s: float) -> None:
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(step_s)
    raise TimeoutError


async def _submit_many(cell: CellHarness, zone: str, jobs: int, tasks: int) -> None:
    size = Resources(250, 1 << 28, 0)
    for number in range(jobs):
        spec = make_spec(f"{zone}-{number}", tasks, size=size)
        result = await cell.intake.submit(Submission(spec, {zone: tasks}))
        assert result.is_ok()
        cell.job_ids.append(spec.job_id)


async def _idle() -> tuple[Figure, ...]:
    cell = CellHarness(0, _zones(SHARDS, 2), {"s0": "a", "s1": "b", "s2": "c"})
    await cell.start()
    await asyncio.sleep(60)
    writes, reads = cell.table.write_count, cell.table.read_count
    await asyncio.sleep(300)
    write_rate = (cell.table.write_count - writes) / 300
    read_rate = (cell.table.read_count - reads) / 300
    await cell.close()
    return (
        Figure("idle store writes per second, 11 shards", write_rate, 4.0),
        Figure(
            "idle store operations per second, 11 shards", write_rate + read_rate, 20
        ),
    )


def measure_idle() -> tuple[Figure, ...]:
    """Measure the store operations of an idle cell with 11 shards."""
    return run_virtual(_idle())


async def _placements(shards: int, seconds: int) -> tuple[Figure, ...]:
    """Offer each shard its part of 3,000 placements a second, in one-task jobs."""
    rate = PLACEMENTS_PER_SECOND // SHARDS
    cell = CellHarness(0, _zones(shards, 120), {"s0": "a"})
    await cell.start()
    await asyncio.sleep(5)
    table, intake_writes = cell.table, 0
    writes, written_bytes = table.write_count, table.written_bytes
    starts = cell.monitor.starts.total()
    intake_bytes = 0
    for second in range(seconds * 10):
        before = table.write_count, table.written_bytes
        for zone in _zones(shards, 0):
            await _offer(cell, zone, second, rate // 10 + (second % 10 < rate % 10))
        intake_writes += table.write_count - before[0]
        intake_bytes += table.written_bytes - before[1]
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    placed = cell.monitor.starts.total() - starts
    own_writes = table.write_count - writes - intake_writes
    own_bytes = table.written_bytes - written_bytes - intake_bytes
    await cell.close()
    scale = SHARDS / shards
    return (
        Figure("placements measured", placed),
        Figure(
            "store writes per second at 3,000 placements per second",
            own_writes / (seconds + 1) * scale,
            300.0,
        ),
        Figure("store writes per placement", own_writes / placed, 0.1),
        Figure("store bytes per placement", own_bytes / placed),
    )


async def _offer(cell: CellHarness, zone: str, tick: int, count: int) -> None:
    """Store jobs without latency, so that only the owner's work takes time."""
    latency_ms, cell.table.faults.latency_ms = cell.table.faults.latency_ms, 0.0
    size = Resources(100, 1 << 25, 0)
    specs = [make_spec(f"{zone}-{tick}-{n}", 1, size=size) for n in range(count)]
    await asyncio.gather(
        *(cell.intake.submit(Submission(spec, {zone: 1})) for spec in specs)
    )
    cell.table.faults.latency_ms = latency_ms
    cell.notify(*(spec.job_id for spec in specs))


def measure_placements(shards: int = 2, seconds: int = 5) -> tuple[Figure, ...]:
    """Measure the store load of group commit, scaled to 11 shards."""
    return run_virtual(_placements(shards, seconds))


async def _recovery() -> tuple[Figure, ...]:
    zone = "zone-00"
    cell = CellHarness(0, {zone: WORKERS_PER_SHARD}, {"s0": "a", "s1": "b"})
    await cell.start("s0")
    await asyncio.sleep(15)
    await _submit_many(cell, zone, TASKS_PER_SHARD // 5, 5)
    cell.notify(*cell.job_ids)
    await _until(lambda: cell.monitor.starts.total() >= TASKS_PER_SHARD, 1)
    await cell.kill("s0")
    # Round trips between regions: 60 ms to the store and to each worker.
    cell.table.faults.latency_ms = 60.0
    await cell.start("s1")
    process = cell.processes["s1"]
    process.agents.latency_ms = 60.0
    await _until(lambda: process.scheduler.owner(zone) is not None, 0.01)
    began_s = asyncio.get_running_loop().time()
    reads, messages = cell.table.read_count, process.agents.message_count
    owner = process.scheduler.owner(zone)
    await owner.recovered.wait()
    await asyncio.gather(*(owner.session(w).contacted.wait() for w in cell.workers))
    took_s = asyncio.get_running_loop().time() - began_s
    figures = (
        Figure("recovery: seconds until every worker is fenced", took_s, 2.0),
        Figure("recovery: store reads", cell.table.read_count - reads, 20),
        Figure(
            "recovery: worker messages per worker",
            (process.agents.message_count - messages) / WORKERS_PER_SHARD,
            2.0,
        ),
        Figure("recovery: calls in flight", process.agents.in_flight_max, 64),
    )
    await cell.close()
    return figures


def measure_recovery() -> tuple[Figure, ...]:
    """Measure a takeover with 220 workers, 1,750 tasks and 60 ms round trips."""
    return run_virtual(_recovery())


async def _memory(tasks: int) -> tuple[Figure, ...]:
    zone = "zone-00"
    cell = CellHarness(0, {zone: WORKERS_PER_SHARD}, {"s0": "a", "s1": "b"})
    await cell.start("s0")
    await asyncio.sleep(15)
    await _submit_many(cell, zone, tasks // 5, 5)
    cell.notify(*cell.job_ids)
    await _until(lambda: cell.monitor.starts.total() >= tasks, 1)
    await cell.kill("s0")
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    await cell.start("s1")
    await _until(lambda: cell.owner_name(zone) is not None, 0.1)
    await asyncio.sleep(5)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await cell.close()
    return (Figure(f"KB for a shard of {tasks} tasks", (after - before) / 1000),)


def measure_memory() -> tuple[Figure, ...]:
    """Measure the memory of one shard and of 1,000 more tasks."""
    small = run_virtual(_memory(500))[0]
    large = run_virtual(_memory(1_500))[0]
    slope = Figure("KB per 1,000 tasks", large.value - small.value, MEMORY_BOUND_KB)
    return small, large, slope


def main() -> int:
    """Print all figures beside their bounds."""
    logging.set_verbosity(logging.FATAL)
    failed = 0
    for measure in (measure_idle, measure_placements, measure_recovery, measure_memory):
        for figure in measure():
            bound = f"  (at most {figure.bound:g})" if figure.bound else ""
            state = "" if figure.holds else "  EXCEEDED"
            print(f"{figure.name}: {figure.value:.3f}{bound}{state}", flush=True)
            failed += not figure.holds
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
