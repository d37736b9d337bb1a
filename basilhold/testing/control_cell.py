"""The control processes of a cell on an in-memory network, for tests and benchmarks."""

import asyncio
import random
from collections.abc import Iterable

import msgspec
from expression import Error, Result

from basilhold.accounting import (
    CountingTableService,
    CountingTransport,
    Distance,
    HostLocator,
    OperationCounter,
    Place,
    Purpose,
    TrafficCounter,
)
from basilhold.config import ConfigInForce, ConfigStore
from basilhold.core import (
    Clock,
    OfficeName,
    ProcessId,
    RegionName,
    Resources,
    VmId,
    ZoneName,
)
from basilhold.ports import (
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    VmKind,
    VmRecord,
    VmState,
)
from basilhold.relay import (
    ProcessIdentity,
    ReaderSettings,
    RegionSubscription,
    Relay,
    RelaySettings,
    ShardLocation,
)
from basilhold.rpc import Address
from basilhold.standins import MemoryNetwork, MemoryTable, MemoryVmList
from basilhold.testing.virtual_time import VIRTUAL_EPOCH_UNIX_MS

__all__ = [
    "TODAY",
    "TWO_YEARS",
    "CellLayout",
    "ControlCell",
    "ControlProcess",
    "EntryVm",
    "ShardRow",
    "all_at",
    "decode_shard",
]

RELAY_PORT = 7000
STORE_HOST = "store"


class EntryVm(msgspec.Struct, frozen=True):
    """An entry VM; its id is its host name on the network."""

    vm_id: VmId
    zone: ZoneName
    region: RegionName


class CellLayout(msgspec.Struct, frozen=True):
    """Entry VMs, store and offices of a cell."""

    vms: tuple[EntryVm, ...]
    store_region: RegionName
    offices: tuple[OfficeName, ...]
    zone_latency_ms: float = 1.0
    region_latency_ms: float = 30.0

    @property
    def regions(self) -> tuple[RegionName, ...]:
        """Regions with entry VMs, in order."""
        return tuple(sorted({vm.region for vm in self.vms}))


def _layout(zones: dict[str, tuple[str, ...]], counts: dict[str, int]) -> CellLayout:
    vms = tuple(
        EntryVm(VmId(f"{zone}-{index}"), ZoneName(zone), RegionName(region))
        for region, names in zones.items()
        for zone in names
        for index in range(counts[zone])
    )
    store_region = RegionName(next(iter(zones)))
    return CellLayout(vms, store_region, (OfficeName("north"), OfficeName("south")))


TODAY = _layout(
    {"thrace": ("plovdiv", "haskovo"), "danube": ("ruse",)},
    {"plovdiv": 3, "haskovo": 2, "ruse": 2},
)
"""3 zones, 2 regions, 7 entry VMs."""

_ZONES = {
    f"region-{number}": tuple(f"zone-{number}{letter}" for letter in letters)
    for number, letters in enumerate(("abc", "ab", "ab", "ab", "ab"))
}
TWO_YEARS = _layout(
    _ZONES,
    {zone: 4 if zone < "zone-3a" else 3 for zones in _ZONES.values() for zone in zones},
)
"""5 regions, 11 zones, 40 entry VMs."""


class ShardRow(msgspec.Struct, frozen=True):
    """Value of the ``shard/`` rows that tests write."""

    zone: ZoneName
    owner: ProcessId
    host: str
    port: int
    epoch: int


def decode_shard(row: Row) -> ShardLocation | None:
    """Return the location that a test's ``shard/`` row holds."""
    value = msgspec.json.decode(row.value, type=ShardRow)
    return ShardLocation(
        value.zone, value.owner, Address(value.host, value.port), value.epoch
    )


class _RemoteTable(TableService):
    """Table service as seen from one host, behind the network's cuts.

    Counts the bytes that the operations send, both ways, as HTTP with JSON bodies.
    """

    def __init__(self, cell: "ControlCell", host: str):
        self._cell = cell
        self._host = host
        self.bytes_sent = 0

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        return await self._run(lambda: self._cell.table.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        return await self._run(lambda: self._cell.table.scan(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        self.bytes_sent += len(msgspec.json.encode(transaction))
        return await self._run(lambda: self._cell.table.transact(transaction))

    async def _run(self, operation) -> Result:
        cell = self._cell
        timeout_s = cell.table.faults.timeout_ms / 1000
        if not cell.can_reach_store(self._host):
            await asyncio.sleep(timeout_s)
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        latency_s = cell.network.latency_s(self._host, STORE_HOST)
        await asyncio.sleep(latency_s)
        result = await operation()
        if not cell.can_reach_store(self._host):
            await asyncio.sleep(timeout_s)
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        await asyncio.sleep(latency_s)
        return result


class ControlProcess:
    """One process on an entry VM, with its counters."""

    def __init__(self, cell: "ControlCell", vm: EntryVm, program: str):
        self.vm = vm
        self.program = program
        self.started_at_ms = cell.clock.monotonic_ms()
        self.traffic = TrafficCounter()
        self.operations = OperationCounter()
        self.remote_table = _RemoteTable(cell, vm.vm_id)
        self.table = CountingTableService(self.remote_table, self.operations, program)
        places = {other.vm_id: Place(other.zone, other.region) for other in cell.vms}
        self.locator = HostLocator(Place(vm.zone, vm.region), places)
        self._inner = cell.network.transport(vm.vm_id)
        self.transport = CountingTransport(self._inner, self.traffic, self.locator)
        self.identity = ProcessIdentity(
            ProcessId(f"{program}@{vm.vm_id}"), program, vm.vm_id, vm.zone, vm.region
        )
        self.in_force = ConfigInForce()
        self.relay: Relay | None = None
        self.subscription: RegionSubscription | None = None
        self.task: asyncio.Task[None] | None = None

    def run(self, work) -> None:
        """Start the process's task."""
        self.task = asyncio.ensure_future(work)

    async def kill(self) -> None:
        """End the process as a crash does."""
        self.task.cancel()
        await self._inner.close()
        await asyncio.gather(self.task, return_exceptions=True)

    def check(self) -> None:
        """Raise what ended the process's task, if it ended."""
        if self.task.done() and not self.task.cancelled():
            self.task.result()


class ControlCell:
    """Relays, gateways and schedulers of a cell, with store, VM list and network.

    Parameters
    ----------
    layout : CellLayout
    seed : int

    Attributes
    ----------
    network : MemoryNetwork
    table : MemoryTable
    vm_list : MemoryVmList
    processes : dict of (VmId, str) to ControlProcess
    """

    relay_class = Relay
    in_force_class = ConfigInForce
    store_class = ConfigStore

    def __init__(self, layout: CellLayout, seed: int = 0):
        self.layout = layout
        self.vms = layout.vms
        self.clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        self.random = random.Random(seed)
        self._vm_by_host = {vm.vm_id: vm for vm in layout.vms}
        self.network = MemoryNetwork(seed, self._latency_ms)
        self.table = MemoryTable()
        self.vm_list = MemoryVmList(self.clock, lag_ms=1000)
        self.vm_list.put(*(self._record(vm) for vm in layout.vms))
        self.processes: dict[tuple[VmId, str], ControlProcess] = {}

    async def __aenter__(self) -> "ControlCell":
        return self

    async def __aexit__(self, *_exception) -> None:
        for process in list(self.processes.values()):
            await process.kill()

    def start_all(self) -> None:
        """Start a relay, a gateway and a scheduler on every VM."""
        for vm in self.vms:
            for program in ("relay", "gateway", "scheduler"):
                self.start(vm, program)

    def start(self, vm: EntryVm, program: str) -> ControlProcess:
        """Start a process from nothing."""
        process = ControlProcess(self, vm, program)
        process.in_force = self.in_force_class()
        self.processes[vm.vm_id, program] = process
        if program == "relay":
            process.relay = self._make_relay(process)
            process.run(process.relay.run())
        else:
            process.subscription = RegionSubscription(
                process.identity,
                process.transport,
                lambda: self.candidates(vm),
                process.in_force,
                self.clock,
                random.Random(self.random.random()),
            )
            process.run(process.subscription.run())
        return process

    async def kill(self, vm: EntryVm, program: str) -> None:
        """End a process as a crash does."""
        await self.processes.pop((vm.vm_id, program)).kill()

    def candidates(self, vm: EntryVm) -> list[Address]:
        """Return the relays of a VM's region, the VM's own first."""
        others = [
            other
            for other in self.vms
            if other.region == vm.region and other.vm_id != vm.vm_id
        ]
        return [Address(each.vm_id, RELAY_PORT) for each in (vm, *others)]

    def watchers(self) -> list[ControlProcess]:
        """Return the gateways and schedulers that run."""
        return [p for p in self.processes.values() if p.subscription is not None]

    def relays(self) -> list[Relay]:
        """Return the relays that run."""
        return [p.relay for p in self.processes.values() if p.relay is not None]

    def store_from(self, vm: EntryVm, program: str = "gateway") -> ConfigStore:
        """Return the store of configuration as a process sees it."""
        return self.store_class(self.processes[vm.vm_id, program].table, self.clock)

    def cut_region(self, region: RegionName) -> None:
        """Cut a region off from all others and from the store."""
        inside = [vm.vm_id for vm in self.vms if vm.region == region]
        outside = [vm.vm_id for vm in self.vms if vm.region != region]
        self.network.cut(inside, [*outside, STORE_HOST])

    def can_reach_store(self, host: str) -> bool:
        """Whether no cut lies between a host and the store."""
        return not self.network.is_cut(host, STORE_HOST)

    def paid_bytes(self) -> int:
        """Return the bytes that all processes sent to other regions."""
        return self._total(lambda p: p.traffic.total_bytes(Distance.OTHER_REGION))

    def relay_bytes(self) -> int:
        """Return the bytes of relay streams that all processes sent."""
        return self._total(lambda p: p.traffic.total_bytes(purpose=Purpose.RELAY))

    def store_operations(self) -> int:
        """Return the store operations of all processes."""
        return self._total(lambda p: p.operations.total())

    def check(self) -> None:
        """Raise what ended a process or a handler unexpectedly."""
        for process in self.processes.values():
            process.check()
        for error in self.network.handler_errors:
            raise error

    def _total(self, count) -> int:
        return sum(count(process) for process in self.processes.values())

    def _make_relay(self, process: ControlProcess) -> Relay:
        settings = RelaySettings(
            process.identity,
            Address(process.vm.vm_id, RELAY_PORT),
            self.layout.store_region,
            ReaderSettings(self.layout.offices, self.layout.regions),
        )
        return self.relay_class(
            settings,
            process.transport,
            process.table,
            self.vm_list,
            decode_shard,
            self.clock,
            random.Random(self.random.random()),
        )

    def _record(self, vm: EntryVm) -> VmRecord:
        return VmRecord(
            vm.vm_id,
            VmKind.ENTRY,
            VmState.LIVE,
            vm.region,
            vm.zone,
            f"{vm.zone}-rack",
            vm.vm_id,
            RELAY_PORT,
            Resources(2000, 4 << 30, 0),
        )

    def _latency_ms(self, one: str, other: str) -> float:
        zones, regions = zip(*map(self._place, (one, other)), strict=True)
        if regions[0] != regions[1]:
            return self.layout.region_latency_ms
        if zones[0] != zones[1]:
            return self.layout.zone_latency_ms
        return 0.05

    def _place(self, host: str) -> tuple[str, str]:
        vm = self._vm_by_host.get(VmId(host))
        return (vm.zone, vm.region) if vm else ("", self.layout.store_region)


def all_at(
    processes: Iterable[ControlProcess], office: OfficeName, version: int
) -> bool:
    """Whether all processes have a version, or a later one, in force."""
    return all(p.in_force.version(office) >= version for p in processes)
