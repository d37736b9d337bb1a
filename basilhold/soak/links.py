"""Connections of one entry VM to the platform and to upstreams, with faults."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import msgspec
from expression import Error, Result

from basilhold.cell.entry import EntryPlatform
from basilhold.core import RegionName, UpstreamId, WorkerId
from basilhold.nodes.directory import EntryPorts
from basilhold.ports import (
    ObjectStore,
    ResponseHead,
    ResponseSink,
    Row,
    ScanPage,
    SendError,
    SendPhase,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    UpstreamClient,
    UpstreamRequest,
    VmList,
    VmSnapshot,
)
from basilhold.standins import MemoryWorkers
from basilhold.testing.links import ProcessGate, WorkerLink

__all__ = ["EntryLink", "Partition"]

REPLY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
"""Time after which the HTTP client gives up on a connection."""


class Partition:
    """Regions that are cut off from all others."""

    def __init__(self):
        self._cut: set[RegionName] = set()
        self._healed = asyncio.Event()

    def cut(self, region: RegionName) -> None:
        """Cut a region off."""
        self._cut.add(region)

    def heal(self) -> None:
        """Connect all regions."""
        self._cut.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    def is_cut(self, one: RegionName, other: RegionName) -> bool:
        """Whether nothing passes between two regions."""
        return one != other and (one in self._cut or other in self._cut)

    def is_cut_off(self, region: RegionName) -> bool:
        """Whether a region was cut off."""
        return region in self._cut

    async def wait_for_path(self, one: RegionName, other: RegionName) -> None:
        """Wait until something passes between two regions."""
        while self.is_cut(one, other):
            await self._healed.wait()


class EntryLink:
    """Everything that the processes of one start of an entry VM reach by HTTP.

    Parameters
    ----------
    entry : EntryPorts
    store_region : RegionName
    store_latency_ms : float
        One-way latency to the store.
    partition : Partition
    counts : collections.Counter
        How often each fault of a message took effect.
    rng : random.Random
    region_of_upstream : callable
    on_send : callable
        Called with this link and the request when a request is sent.

    Attributes
    ----------
    is_dead : bool
        Whether the VM has died: what it does from now on has no effect.
    agents : WorkerLink
    """

    def __init__(
        self,
        entry: EntryPorts,
        store_region: RegionName,
        store_latency_ms: float,
        partition: Partition,
        counts: Counter,
        rng: random.Random,
        region_of_upstream: Callable[[UpstreamId], RegionName],
        on_send: Callable[["EntryLink", UpstreamRequest], None],
    ):
        self.entry = entry
        self.partition = partition
        self.is_dead = False
        self.agents: WorkerLink | None = None
        self.on_send = on_send
        self.region_of_upstream = region_of_upstream
        self._store_region = store_region
        self._worker_ids: tuple[WorkerId, ...] = ()
        self._store_latency_s = store_latency_ms / 1000
        self._counts = counts
        self._rng = rng

    def adapt(self, platform: EntryPlatform) -> EntryPlatform:
        """Return the platform as it is seen through this link."""
        inner = platform.agents
        assert isinstance(inner, MemoryWorkers)
        self._worker_ids = tuple(inner.workers)
        # Pauses are those of the event loop, so the gate is never closed.
        self.agents = WorkerLink(inner.workers, ProcessGate(self._counts), self._rng)
        return msgspec.structs.replace(
            platform,
            table=_LinkedTable(self, platform.table),
            objects=_LinkedObjects(self, platform.objects),
            vm_list=_LinkedVmList(self, platform.vm_list),
            agents=self.agents,
            make_upstream_client=lambda: _LinkedUpstreams(
                self, platform.make_upstream_client()
            ),
        )

    def die(self) -> None:
        """Let nothing that the VM sends have an effect any more."""
        self.is_dead = True
        self.agents.cut = set(self._worker_ids)

    @property
    def reaches_store(self) -> bool:
        """Whether the store's region can be reached."""
        region = self.entry.region
        return not (self.is_dead or self.partition.is_cut(region, self._store_region))

    async def call_store(self, call):
        """Carry out an operation of table service or object store."""
        latency_s = self._store_latency_s
        await asyncio.sleep(latency_s)
        result = await call() if self.reaches_store else None
        if result is None or not self.reaches_store:
            self._counts["store message cut"] += 1
            await asyncio.sleep(REPLY_TIMEOUT_S)
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        await asyncio.sleep(latency_s)
        return result


class _LinkedTable(TableService):
    def __init__(self, link: EntryLink, inner: TableService):
        self._link = link
        self._inner = inner

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        return await self._link.call_store(lambda: self._inner.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        return await self._link.call_store(
            lambda: self._inner.scan(prefix, after, limit)
        )

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        return await self._link.call_store(lambda: self._inner.transact(transaction))


class _LinkedObjects(ObjectStore):
    def __init__(self, link: EntryLink, inner: ObjectStore):
        self._link = link
        self._inner = inner

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        return await self._link.call_store(lambda: self._inner.put(name, data))

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        return await self._link.call_store(lambda: self._inner.get(name))

    async def delete(self, name: str) -> Result[None, StoreError]:
        return await self._link.call_store(lambda: self._inner.delete(name))


class _LinkedVmList(VmList):
    def __init__(self, link: EntryLink, inner: VmList):
        self._link = link
        self._inner = inner

    async def read(self) -> Result[VmSnapshot, StoreError]:
        return await self._link.call_store(self._inner.read)


class _LinkedSink(ResponseSink):
    """Holds an answer back while its path is cut."""

    def __init__(self, link: EntryLink, region: RegionName, inner: ResponseSink):
        self._link = link
        self._region = region
        self._inner = inner

    async def start(self, head: ResponseHead) -> None:
        await self._pass()
        await self._inner.start(head)

    async def write(self, data: bytes) -> None:
        await self._pass()
        await self._inner.write(data)

    async def _pass(self) -> None:
        link = self._link
        await link.partition.wait_for_path(link.entry.region, self._region)


class _LinkedUpstreams(UpstreamClient):
    def __init__(self, link: EntryLink, inner: UpstreamClient):
        self._link = link
        self._inner = inner

    async def send(
        self, request: UpstreamRequest, sink: ResponseSink
    ) -> Result[ResponseHead, SendError]:
        link = self._link
        region = link.region_of_upstream(request.upstream_id)
        if link.is_dead or link.partition.is_cut(link.entry.region, region):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return Error(SendError(SendPhase.NOT_SENT, "connection took too long"))
        link.on_send(link, request)
        return await self._inner.send(request, _LinkedSink(link, region, sink))
