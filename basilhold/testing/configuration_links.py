"""Links of machines to the store and to each other, on the virtual clock.

Links fail, and large replies take turns on what they pass.
"""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from expression import Error, Result

from basilhold.ports import ChangeFeed, StoreError, StoreErrorKind, TableService
from basilhold.standins.feed_table import FeedTable

__all__ = ["Bandwidth", "FaultKind", "Link", "LinkedTable", "now_ms"]

DIRECT_TIMEOUT_MS = 1_200
"""Time in which a reply of the store has to begin, and after which it has stalled."""

CHUNK_BYTES = 16_000
"""Part of a reply; replies on the same link take turns with parts of this size."""


def now_ms() -> float:
    """Return the time of the loop's clock, in milliseconds."""
    return asyncio.get_running_loop().time() * 1000


class FaultKind(Enum):
    """Fault of a machine's links.

    `CUT` separates a machine from the store and from all machines, `REFUSED` and
    `IGNORED` make the store reject or not answer its calls, and `DEAD` kills a machine
    for the rest of the run while its peers still list it.
    """

    CUT = "cut"
    REFUSED = "refused"
    IGNORED = "ignored"
    DEAD = "dead"


class Bandwidth:
    """Bandwidth for which transfers queue, in Mbit/s."""

    def __init__(self, mbps: float):
        self._mbps = mbps
        self._free_ms = 0.0

    def reserve(self, size_bytes: int) -> float:
        """Queue a transfer; return the time at which it ends, in milliseconds."""
        duration_ms = size_bytes * 8 / (self._mbps * 1_000)
        self._free_ms = max(self._free_ms, now_ms()) + duration_ms
        return self._free_ms


class Link:
    """Connection of a machine to the store or to a peer.

    Parameters
    ----------
    faults : callable
        Returns the kinds of the faults that concern the link now.
    path : tuple of Bandwidth
        What a reply passes.
    document_bytes : int
        Size of the document in a reply, in bytes.
    """

    def __init__(
        self,
        faults: Callable[[], set[FaultKind]],
        path: tuple[Bandwidth, ...] = (),
        document_bytes: int = 0,
    ):
        self._faults = faults
        self._path = path
        self._document_bytes = document_bytes

    async def run(
        self, call: Coroutine[Any, Any, Result], latency_ms: float, timeout_ms: float
    ) -> Result:
        """Execute a call, or fail after its timeout if the link loses a packet."""
        end_ms = now_ms() + timeout_ms
        if self._faults():
            # The call does not reach the other side.
            call.close()
            return await self._fail(latency_ms, end_ms)
        task = asyncio.create_task(call)
        try:
            while not task.done():
                if self._faults():
                    # A long poll whose connection is cut gets no reply either.
                    task.cancel()
                    return await self._fail(latency_ms, end_ms)
                await asyncio.wait([task], timeout=0.02)
            await asyncio.sleep(latency_ms / 1000)
            return await self._transfer(task.result(), end_ms)
        finally:
            task.cancel()

    async def _fail(self, latency_ms: float, end_ms: float) -> Result:
        if FaultKind.REFUSED in self._faults():
            await asyncio.sleep(latency_ms / 1000)
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "refused"))
        await asyncio.sleep(max(0.0, end_ms - now_ms()) / 1000)
        return Error(StoreError(StoreErrorKind.UNKNOWN, "timed out"))

    async def _transfer(self, result: Result, end_ms: float) -> Result:
        """Wait for the reply to arrive, or until nothing arrives any more."""
        remaining = self._document_bytes if self._path and _has_document(result) else 0
        while remaining > 0:
            arrival_ms = max(part.reserve(CHUNK_BYTES) for part in self._path)
            await asyncio.sleep((min(arrival_ms, end_ms) - now_ms()) / 1000)
            if arrival_ms > end_ms or self._faults():
                return await self._fail(0.0, end_ms)
            remaining -= CHUNK_BYTES
            end_ms = max(end_ms, now_ms() + DIRECT_TIMEOUT_MS)
        return result


def _has_document(result: Result) -> bool:
    """Return whether a reply contains the document, the only row of the table."""
    return result.is_ok() and bool(getattr(result.ok, "rows", ()))


class LinkedTable(TableService, ChangeFeed):
    """The store as one machine reaches it."""

    def __init__(self, table: FeedTable, link: Link, latency_ms: float):
        self._table = table
        self._link = link
        self._latency_ms = latency_ms

    def _run(self, call, wait_ms: int = 0):
        return self._link.run(call, self._latency_ms, DIRECT_TIMEOUT_MS + wait_ms)

    async def read(self, keys):
        """Read rows."""
        return await self._run(self._table.read(keys))

    async def scan(self, prefix, after="", limit=500):
        """Scan rows."""
        return await self._run(self._table.scan(prefix, after, limit))

    async def transact(self, transaction):
        """Apply a transaction."""
        return await self._run(self._table.transact(transaction))

    async def changes(self, prefix, after, wait_ms):
        """Read changes."""
        return await self._run(self._table.changes(prefix, after, wait_ms), wait_ms)
