"""A cell over in-memory stand-ins of the platform."""

import asyncio
import random
from collections.abc import Callable
from typing import Self

import msgspec

from basilhold.cell.entry import EntryNodes, EntryPlatform
from basilhold.cell.shape import CellShape
from basilhold.config import ChangeRequest, ConfigStore
from basilhold.core import (
    Clock,
    InvariantError,
    OfficeDocument,
    RegionName,
    UpstreamId,
    VmId,
    WorkerId,
    ZoneName,
)
from basilhold.nodes.directory import EntryPorts
from basilhold.ports import UpstreamClient, VmKind, VmRecord
from basilhold.rpc import Transport
from basilhold.standins import (
    MemoryNetwork,
    MemoryObjectStore,
    MemoryTable,
    MemoryUpstream,
    MemoryUpstreamClient,
    MemoryUpstreams,
    MemoryVmList,
    MemoryWorker,
    MemoryWorkers,
    StoreFaults,
)

__all__ = ["Cell", "CellParts"]

VM_LIST_LAG_MS = 1000


class CellParts(msgspec.Struct):
    """Parts of a cell that programs replace by ones with sockets.

    Parameters
    ----------
    make_upstream_client : callable, optional
        Returns the client of a gateway in a zone and a region.
    make_transport : callable, optional
        Returns the transport of a process on a host.
    adapt_platform : callable, optional
        Returns the platform as the processes of an entry VM reach it, for faults of
        single VMs; called for each start.
    """

    make_upstream_client: Callable[[ZoneName, RegionName], UpstreamClient] | None = None
    make_transport: Callable[[str], Transport] | None = None
    adapt_platform: Callable[[EntryPorts, EntryPlatform], EntryPlatform] | None = None


class Cell:
    """All processes and VMs of a cell; an asynchronous context manager.

    Parameters
    ----------
    shape : CellShape
    clock : Clock
    seed : int
    parts : CellParts, optional

    Attributes
    ----------
    table, objects, vm_list, agents, upstreams, network
        The stand-ins.
    entries : dict of VmId to EntryNodes
        Entry VMs that run now.
    """

    def __init__(
        self,
        shape: CellShape,
        clock: Clock,
        seed: int = 0,
        parts: CellParts | None = None,
    ):
        self.shape = shape
        self.clock = clock
        self._seed = seed
        self._rng = random.Random(f"{seed}:documents")
        self._parts = parts or CellParts()
        self._start_count = 0
        self.table = MemoryTable(StoreFaults(seed))
        self.objects = MemoryObjectStore(StoreFaults(seed + 1))
        self.vm_list = MemoryVmList(clock)
        self.agents = MemoryWorkers()
        self.upstreams = MemoryUpstreams(seed)
        self._regions = {entry.host: entry.region for entry in shape.entries}
        self.network = MemoryNetwork(seed, self._latency_ms)
        self.entries: dict[VmId, EntryNodes] = {}
        self.vm_list.put(*shape.vms)
        self.vm_list.lag_ms = VM_LIST_LAG_MS
        for record in shape.vms:
            self._add_vm(record)

    async def __aenter__(self) -> Self:
        for entry in self.shape.entries:
            await self.start_entry(entry.vm_id)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        for vm_id in list(self.entries):
            if exc_type is None:
                await self.stop_entry(vm_id)
            else:
                await self.kill_entry(vm_id)

    async def start_entry(self, vm_id: VmId) -> EntryNodes:
        """Start the processes of an entry VM from nothing."""
        entry = next(entry for entry in self.shape.entries if entry.vm_id == vm_id)
        self._start_count += 1
        nodes = EntryNodes(
            entry,
            self.shape,
            self._platform(entry),
            self.clock,
            self._seed,
            self._start_count,
        )
        self.entries[vm_id] = nodes
        return await nodes.__aenter__()

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until every entry VM takes callers.

        Raises
        ------
        TimeoutError
        """
        waits = (nodes.wait_ready() for nodes in self.entries.values())
        async with asyncio.timeout(timeout_s):
            await asyncio.gather(*waits)

    async def stop_entry(self, vm_id: VmId) -> None:
        """Stop the processes of an entry VM as planned."""
        await self.entries.pop(vm_id).__aexit__(None, None, None)

    async def kill_entry(self, vm_id: VmId) -> None:
        """Let an entry VM die."""
        await self.entries.pop(vm_id).kill()

    async def set_document(self, document: OfficeDocument) -> int:
        """Store an office's document as its operator would and return its version."""
        store = ConfigStore(self.table, self.clock, self._make_write_id)
        current = (await store.read(document.office)).ok
        base = current.info.version if current else 0
        request = ChangeRequest(document.office, "cell", base, document)
        return (await store.change(request)).ok.info.version

    def _make_write_id(self) -> str:
        # Stored versions are compressed, so their size depends on the id.
        return f"{self._rng.getrandbits(64):016x}"

    def check(self) -> None:
        """Raise what has ended a process or was violated at an upstream.

        Raises
        ------
        InvariantError
        """
        for nodes in self.entries.values():
            nodes.check()
        for error in (*self.upstreams.errors, *self.network.handler_errors):
            raise InvariantError(repr(error)) from error

    def _add_vm(self, record: VmRecord) -> None:
        if record.kind is VmKind.WORKER:
            worker_id = WorkerId(record.vm_id)
            worker = MemoryWorker(worker_id, record.capacity, self.clock)
            self.agents.workers[worker_id] = worker
        elif record.kind is VmKind.UPSTREAM:
            upstream_id = UpstreamId(record.vm_id)
            self.upstreams.add(MemoryUpstream(upstream_id, record.zone, record.region))

    def _platform(self, entry: EntryPorts) -> EntryPlatform:
        make_client = self._parts.make_upstream_client or self._memory_client
        make_transport = self._parts.make_transport or self.network.transport
        platform = EntryPlatform(
            self.table,
            self.objects,
            self.vm_list,
            self.agents,
            lambda: make_client(entry.zone, entry.region),
            lambda: make_transport(entry.host),
        )
        adapt = self._parts.adapt_platform
        return adapt(entry, platform) if adapt else platform

    def _memory_client(self, zone: ZoneName, region: RegionName) -> UpstreamClient:
        return MemoryUpstreamClient(
            self.upstreams,
            zone,
            region,
            self.shape.zone_latency_ms,
            self.shape.region_latency_ms,
        )

    def _latency_ms(self, one: str, other: str) -> float:
        if one == other:
            return 0.0
        if self._regions.get(one) == self._regions.get(other):
            return self.shape.zone_latency_ms
        return self.shape.region_latency_ms
