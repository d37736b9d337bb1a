"""Measurements of one shard: steady state, churn, recovery and memory."""

import asyncio
import gc
import time
import tracemalloc

import msgspec

from basilhold.capacity.shard_cell import ZONE, CountedShard, wait_until
from basilhold.testing import run_virtual
from basilhold.testing.cell import CellHarness

__all__ = [
    "Recovery",
    "ShardLoad",
    "measure_churn",
    "measure_idle_writes",
    "measure_job_rows",
    "measure_recovery",
    "measure_shard_memory",
    "measure_steady",
    "measure_urgent_wait",
]

SETTLE_S = 15
REGION_ROUND_TRIP_MS = 60.0


class ShardLoad(msgspec.Struct, frozen=True):
    """Load of one shard's owner, per second.

    Parameters
    ----------
    exchanges, sent_bytes, received_bytes : float
        Exchanges with workers.
    store_writes, store_reads : float
    written_bytes : float
        Bytes of keys and values in the owner's transactions.
    cpu_ms : float
        Processor time of owner, workers and store together.
    starts : float
    """

    exchanges: float
    sent_bytes: float
    received_bytes: float
    store_writes: float
    store_reads: float
    written_bytes: float
    cpu_ms: float
    starts: float


class Recovery(msgspec.Struct, frozen=True):
    """Work of a takeover.

    Parameters
    ----------
    seconds : float
        From ownership until every worker is fenced, on the virtual clock.
    store_reads, exchanges, received_bytes : int
    cpu_ms : float
    """

    seconds: float
    store_reads: int
    exchanges: int
    received_bytes: int
    cpu_ms: float


def _job_row_bytes(cell: CountedShard) -> int:
    rows = cell.table.scan_now(f"job/{ZONE}/", limit=1_000_000).ok.rows
    return sum(len(row.key) + len(row.value) for row in rows)


async def _submit(
    cell: CountedShard, name: str, tasks: int
) -> tuple[int, int, int, float]:
    """Submit without latency; return its writes, reads, written bytes and seconds."""
    table, faults = cell.table, cell.table.faults
    latency_ms, faults.latency_ms = faults.latency_ms, 0.0
    writes, reads, written = table.write_count, table.read_count, table.written_bytes
    cpu_s = time.process_time()
    await cell.submit_tasks(name, tasks, "short")
    faults.latency_ms = latency_ms
    return (
        table.write_count - writes,
        table.read_count - reads,
        table.written_bytes - written,
        time.process_time() - cpu_s,
    )


async def _load(cell: CountedShard, seconds: int, starts_per_s: int) -> ShardLoad:
    """Return the load of the owner alone; jobs are stored without being counted."""
    count, table = cell.messages, cell.table
    first = msgspec.structs.replace(count)
    writes, reads = table.write_count, table.read_count
    written = table.written_bytes
    started, cpu_s = cell.monitor.starts.total(), time.process_time()
    for second in range(seconds):
        if starts_per_s:
            taken = await _submit(cell, f"churn-{second}", starts_per_s)
            writes, reads = writes + taken[0], reads + taken[1]
            written, cpu_s = written + taken[2], cpu_s + taken[3]
        await asyncio.sleep(1)
    cpu_s = time.process_time() - cpu_s
    return ShardLoad(
        (count.exchanges - first.exchanges) / seconds,
        (count.sent_bytes - first.sent_bytes) / seconds,
        (count.received_bytes - first.received_bytes) / seconds,
        (table.write_count - writes) / seconds,
        (table.read_count - reads) / seconds,
        (table.written_bytes - written) / seconds,
        cpu_s * 1000 / seconds,
        (cell.monitor.starts.total() - started) / seconds,
    )


async def _steady(workers: int, tasks: int, seconds: int, rate: int) -> ShardLoad:
    cell = CountedShard(workers)
    await cell.start()
    await asyncio.sleep(SETTLE_S)
    await cell.fill(tasks)
    await asyncio.sleep(SETTLE_S)
    load = await _load(cell, seconds, rate)
    await cell.close()
    return load


def measure_steady(workers: int, tasks: int, seconds: int = 120) -> ShardLoad:
    """Measure an owner whose tasks all run on.

    Full reports come once a minute, so the time is a multiple of that.
    """
    return run_virtual(_steady(workers, tasks, seconds, 0))


def measure_churn(workers: int, starts_per_s: int, seconds: int = 30) -> ShardLoad:
    """Measure an owner that starts tasks of 3 s at a rate, in jobs of five."""
    return run_virtual(_steady(workers, 0, seconds, starts_per_s))


async def _take_over(cell: CountedShard) -> Recovery:
    process = cell.processes["s1"]
    await wait_until(lambda: process.scheduler.owner(ZONE) is not None, 0.01)
    began_s, cpu_s = asyncio.get_running_loop().time(), time.process_time()
    reads, first = cell.table.read_count, msgspec.structs.replace(cell.messages)
    owner = process.scheduler.owner(ZONE)
    await owner.recovered.wait()
    await asyncio.gather(*(owner.session(w).contacted.wait() for w in cell.workers))
    return Recovery(
        asyncio.get_running_loop().time() - began_s,
        cell.table.read_count - reads,
        cell.messages.exchanges - first.exchanges,
        cell.messages.received_bytes - first.received_bytes,
        (time.process_time() - cpu_s) * 1000,
    )


async def _recovery(workers: int, tasks: int) -> Recovery:
    cell = CountedShard(workers, spare=True)
    await cell.start("s0")
    await asyncio.sleep(SETTLE_S)
    await cell.fill(tasks)
    await cell.kill("s0")
    cell.table.faults.latency_ms = REGION_ROUND_TRIP_MS
    await cell.start("s1")
    cell.processes["s1"].agents.latency_ms = REGION_ROUND_TRIP_MS
    recovery = await _take_over(cell)
    await cell.close()
    return recovery


def measure_recovery(workers: int, tasks: int) -> Recovery:
    """Measure a takeover with round trips of 60 ms to the store and the workers."""
    return run_virtual(_recovery(workers, tasks))


async def _memory(workers: int, tasks: int, finished: int) -> float:
    cell = CountedShard(workers, spare=True)
    await cell.start("s0")
    await asyncio.sleep(SETTLE_S)
    await cell.fill(tasks)
    if finished:
        await cell.submit_tasks("done", 5 * finished, "short")
        await wait_until(lambda: not set(cell.unfinished()) - set(_long(cell)), 5)
    await cell.kill("s0")
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    await cell.start("s1")
    await wait_until(lambda: cell.owner_name(ZONE) is not None, 0.1)
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await cell.close()
    return (after - before) / 1000


async def _job_rows(jobs: int) -> int:
    cell = CountedShard(20)
    await cell.start()
    await asyncio.sleep(SETTLE_S)
    await cell.submit_tasks("done", 5 * jobs, "short")
    await wait_until(lambda: not cell.unfinished(), 5)
    size_bytes = _job_row_bytes(cell)
    await cell.close()
    return size_bytes


def measure_job_rows(jobs: int) -> int:
    """Return the bytes of the rows of finished jobs with five tasks each."""
    return run_virtual(_job_rows(jobs))


async def _idle_writes(shards: int, seconds: int) -> float:
    zones = {f"zone-{number:02}": 2 for number in range(shards)}
    cell = CellHarness(0, zones, {"s0": "a", "s1": "b", "s2": "c"})
    await cell.start()
    await asyncio.sleep(60)
    writes = cell.table.write_count
    await asyncio.sleep(seconds)
    rate = (cell.table.write_count - writes) / seconds
    await cell.close()
    return rate


def measure_idle_writes(shards: int, seconds: int = 100) -> float:
    """Return the store writes per second of idle shards."""
    return run_virtual(_idle_writes(shards, seconds))


def _long(cell: CountedShard) -> list[str]:
    return [job for job in cell.job_ids if not cell.job(job).spec.command]


def measure_shard_memory(workers: int, tasks: int, finished_jobs: int = 0) -> float:
    """Return the memory of a new owner of a shard with its planner, in KB."""
    return run_virtual(_memory(workers, tasks, finished_jobs))


async def _urgent_wait(workers: int, tasks: int) -> float:
    cell = CountedShard(workers, spare=True)
    await cell.start()
    await asyncio.sleep(SETTLE_S)
    await cell.fill(tasks)
    await cell.kill(cell.owner_name(ZONE))
    cell.table.faults.latency_ms = REGION_ROUND_TRIP_MS
    for process in cell.processes.values():
        process.agents.latency_ms = REGION_ROUND_TRIP_MS
    loop = asyncio.get_running_loop()
    began_s, started = loop.time(), cell.monitor.starts.total()
    await cell.submit_tasks("urgent", 1)
    await wait_until(lambda: cell.monitor.starts.total() > started, 0.01)
    waited_s = loop.time() - began_s
    await cell.close()
    return waited_s


def measure_urgent_wait(workers: int, tasks: int) -> float:
    """Return how long a task waits that arrives as its shard's owner dies, in s."""
    return run_virtual(_urgent_wait(workers, tasks))
