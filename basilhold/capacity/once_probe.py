"""Store operations of the at-most-once records of keyed requests."""

import asyncio
import random

from basilhold.core import ClassName, Clock, ProcessId, TeamName
from basilhold.gateway import OnceRegistry, RequestCounters
from basilhold.gateway.once_results import OnceClaim
from basilhold.requests import OnceAnswer, RequestPeers
from basilhold.requests.once import make_request_key
from basilhold.standins import MemoryObjectStore, MemoryTable
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, run_virtual

__all__ = ["measure_once_writes"]

STORE_LATENCY_MS = 4.0


class _NoPeers(RequestPeers):
    async def ask(self, holder, key, wait_ms):
        raise NotImplementedError


async def _request(registry: OnceRegistry, number: int) -> None:
    loop = asyncio.get_running_loop()
    key = make_request_key(TeamName("team"), ClassName("order"), f"key-{number}")
    opening = await registry.claim(key, "digest", loop.time() * 1000 + 30_000)
    if not isinstance(opening, OnceClaim):
        raise RuntimeError(f"request was not opened: {opening}")
    registry.record_answer(opening, OnceAnswer(200, (), b"x" * 256, 256))


async def _run(requests_per_s: int, requests: int) -> float:
    table = MemoryTable()
    table.faults.latency_ms = STORE_LATENCY_MS
    registry = OnceRegistry(
        ProcessId("gateway"),
        Clock(VIRTUAL_EPOCH_UNIX_MS),
        table,
        MemoryObjectStore(),
        _NoPeers(),
        random.Random(0),
        RequestCounters(),
    )
    tasks = []
    async with registry:
        writes = table.write_count
        for number in range(requests):
            tasks.append(asyncio.create_task(_request(registry, number)))
            await asyncio.sleep(1 / requests_per_s)
        await asyncio.gather(*tasks)
        await registry.wait_recorded()
        return (table.write_count - writes) / requests


def measure_once_writes(requests_per_s: int, requests: int = 400) -> float:
    """Return the store writes per keyed request at an even rate of one gateway."""
    return run_virtual(_run(requests_per_s, requests))
