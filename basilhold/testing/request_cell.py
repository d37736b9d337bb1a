"""A cell of gateways, owners and upstreams in one process, for randomised runs."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    Epoch,
    InvariantError,
    ProcessId,
    RegionName,
    RestartPolicy,
    ServiceName,
    UpstreamId,
    VmId,
    WorkClass,
    ZoneName,
)
from basilhold.gateway import (
    OnceRegistry,
    RequestCounters,
    RequestService,
    ServiceParts,
    SlotReporter,
)
from basilhold.ports import (
    TableService,
    UpstreamClient,
    VmKind,
    VmRecord,
    VmState,
)
from basilhold.requests import (
    ClassDirectory,
    GatewayIdentity,
    Router,
    SlotAllocator,
    SlotHolder,
    SlotReportHandler,
    SlotToken,
    Takeover,
)
from basilhold.standins import (
    MemoryObjectStore,
    MemoryTable,
    MemoryUpstream,
    MemoryUpstreamClient,
    MemoryUpstreams,
)
from basilhold.testing.request_links import (
    CellExchange,
    CellPeers,
    Gate,
    GatedClient,
    GatedTable,
)
from basilhold.testing.virtual_time import VIRTUAL_EPOCH_UNIX_MS

__all__ = ["ORDER", "QUOTE", "SERVICE", "CellGateway", "CellShape", "RequestCell"]

SERVICE = ServiceName("order-desk")
QUOTE = WorkClass(
    ClassName("quote"), ClassKind.REQUEST, 200, service=SERVICE, timeout_ms=2000
)
ORDER = WorkClass(
    ClassName("order"),
    ClassKind.REQUEST,
    500,
    restart=RestartPolicy.FORBIDDEN,
    service=SERVICE,
    timeout_ms=3000,
)
HORIZON_MS = 75 * 60_000


class CellShape(msgspec.Struct, frozen=True):
    """Sizes of a cell.

    Parameters
    ----------
    zones : tuple of (str, str)
        Zone and region of each.
    gateways : int
    upstreams : int
    slots : int
    """

    zones: tuple[tuple[str, str], ...] = (
        ("plovdiv", "thrace"),
        ("haskovo", "thrace"),
        ("ruse", "danube"),
    )
    gateways: int = 3
    upstreams: int = 4
    slots: int = 2


class CellClasses(ClassDirectory):
    """Classes of the cell."""

    def __init__(self, classes: tuple[WorkClass, ...] = (QUOTE, ORDER)):
        self._classes = {c.name: c for c in classes}

    def find(self, name: ClassName) -> WorkClass | None:
        """Return a class."""
        return self._classes.get(name)


class CellGateway:
    """One gateway of a cell."""

    def __init__(self, cell: "RequestCell", name: str, vm_id: VmId, zone_index: int):
        zone, region = cell.shape.zones[zone_index % len(cell.shape.zones)]
        self.cell = cell
        self.process_id = ProcessId(name)
        self.vm_id = vm_id
        self.gate = Gate()
        self.owners: dict[ZoneName, SlotReportHandler] = dict(cell.owners)
        self.clock = cell.clock
        rng = random.Random(f"{cell.seed}/{name}")
        identity = GatewayIdentity(
            self.process_id,
            vm_id,
            ZoneName(zone),
            RegionName(region),
            cell.clock.unix_ms(),
        )
        self.identity = identity
        counters = RequestCounters()
        self.once_registry = OnceRegistry(
            self.process_id,
            self.clock,
            cell.wrap_table(GatedTable(cell.table, self.gate)),
            cell.objects,
            CellPeers(cell),
            rng,
            counters,
        )
        self.holder = SlotHolder(identity)
        client = MemoryUpstreamClient(cell.upstreams, identity.zone, identity.region)
        router = Router(identity.zone, identity.region, rng)
        parts = ServiceParts(
            identity,
            self.clock,
            cell.classes,
            router,
            self.holder,
            cell.wrap_client(GatedClient(client, self.gate)),
            self.once_registry,
            rng,
            counters,
        )
        self.service = RequestService(parts)
        self.loop = SlotReporter(
            identity,
            self.clock,
            router,
            self.holder,
            self.service,
            CellExchange(cell, self),
            rng,
        )
        self.calls: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start the gateway with the lists that are in force."""
        await self.once_registry.__aenter__()
        self.service.update_upstreams(self.cell.records.values())
        await self.loop.__aenter__()

    def pause(self) -> None:
        """Hold all messages back, as if the process stood still."""
        self.gate.close()
        self.service.dispatcher.suspend()

    def resume(self) -> None:
        """Let the process run on."""
        self.loop.reconfirm_slots()
        self.gate.open()

    async def stop(self) -> None:
        """End the gateway's tasks."""
        await self.loop.__aexit__()
        await self.service.cancel_requests()
        await self.once_registry.__aexit__()


class RequestCell:
    """Gateways, owners, upstreams and the store of one run.

    Parameters
    ----------
    seed : int
    shape : CellShape, optional
    make_allocator, wrap_client, wrap_table : callable
        Tests put broken variants in here.
    classes : tuple of WorkClass
    """

    def __init__(
        self,
        seed: int,
        shape: CellShape | None = None,
        make_allocator: Callable[..., SlotAllocator] = SlotAllocator,
        wrap_client: Callable[[UpstreamClient], UpstreamClient] = lambda c: c,
        wrap_table: Callable[[TableService], TableService] = lambda t: t,
        classes: tuple[WorkClass, ...] = (QUOTE, ORDER),
    ):
        self.seed = seed
        self.shape = shape or CellShape()
        self.make_allocator = make_allocator
        self.wrap_client = wrap_client
        self.wrap_table = wrap_table
        self.rng = random.Random(seed)
        self.clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        self.classes = CellClasses(classes)
        self.table = MemoryTable()
        self.table.faults.latency_ms = 4
        self.objects = MemoryObjectStore()
        self.upstreams = MemoryUpstreams(seed)
        self.records: dict[UpstreamId, VmRecord] = {}
        self.owners: dict[ZoneName, SlotReportHandler] = {}
        self.gateways: dict[ProcessId, CellGateway] = {}
        self.entry_vms: set[VmId] = set()
        self.unreachable_owners: set[ZoneName] = set()
        self.peers_unreachable = False
        self.exchange_loss_ratio = 0.0
        self.other_region_reports = 0
        self.leaving_since_s: dict[UpstreamId, float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._failures: list[BaseException] = []
        self._gateway_count = 0

    async def start(self) -> None:
        """Start owners and gateways."""
        for index in range(self.shape.upstreams):
            self._add_upstream(index)
        for zone, region in self.shape.zones:
            allocator = self.make_allocator(
                ZoneName(zone),
                RegionName(region),
                Epoch(1),
                longest_deadline_ms=ORDER.timeout_ms,
            )
            self.owners[ZoneName(zone)] = SlotReportHandler(allocator, self.clock)
        self._renew_horizons()
        self.publish_records()
        for index in range(self.shape.gateways):
            await self.add_gateway(VmId(f"entry-{index}"))
        self.spawn(self._watch())

    async def stop(self) -> None:
        """End everything."""
        for gateway in list(self.gateways.values()):
            await gateway.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine until the cell stops."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.append(task.exception())

    async def add_gateway(self, vm_id: VmId) -> CellGateway:
        """Start a gateway on a VM."""
        name = f"gw-{self._gateway_count}"
        gateway = CellGateway(self, name, vm_id, self._gateway_count)
        self._gateway_count += 1
        self.gateways[gateway.process_id] = gateway
        self.entry_vms.add(vm_id)
        self._publish_entry_vms()
        await gateway.start()
        return gateway

    async def kill(self, gateway: CellGateway) -> None:
        """End a gateway's process without a farewell."""
        gateway.gate.close()
        del self.gateways[gateway.process_id]
        for task in list(gateway.calls):
            task.cancel()
        await gateway.stop()

    def lose_vm(self, vm_id: VmId) -> None:
        """Remove an entry VM from the VM list."""
        self.entry_vms.discard(vm_id)
        self._publish_entry_vms()

    def take_over(self, zone: ZoneName) -> None:
        """Replace the owner of a zone; gateways learn of it up to 4 s later."""
        old = self.owners[zone].allocator
        now_unix_ms = self.clock.unix_ms()
        horizon = now_unix_ms + HORIZON_MS
        takeover = Takeover(now_unix_ms, horizon, frozenset(self.entry_vms))
        allocator = self.make_allocator(
            zone,
            RegionName(dict(self.shape.zones)[zone]),
            Epoch(old.epoch + 1),
            takeover,
            longest_deadline_ms=ORDER.timeout_ms,
        )
        handler = SlotReportHandler(allocator, self.clock)
        self.owners[zone] = handler
        self._renew_horizons()
        allocator.update_upstreams(self.records.values())
        allocator.update_entry_vms(frozenset(self.entry_vms), now_unix_ms)
        for gateway in self.gateways.values():
            self.spawn(self._tell_owner(gateway, zone, handler))

    async def _tell_owner(
        self, gateway: CellGateway, zone: ZoneName, handler: SlotReportHandler
    ) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        if handler.allocator.epoch > gateway.owners[zone].allocator.epoch:
            gateway.owners[zone] = handler
            gateway.holder.observe_epoch(zone, handler.allocator.epoch)

    def mark_leaving(self, upstream_id: UpstreamId, listed: bool) -> None:
        """Let an upstream leave, as seen in the VM list or as it says itself."""
        if not listed:
            # Counted from its first answer that says so; nobody knows before.
            self.upstreams.members[upstream_id].behaviour.leaving = True
            return
        self.leaving_since_s[upstream_id] = asyncio.get_running_loop().time()
        record = self.records[upstream_id]
        self.records[upstream_id] = msgspec.structs.replace(
            record, state=VmState.LEAVING
        )
        self.publish_records()

    def publish_records(self) -> None:
        """Bring the list of upstreams to owners and gateways, up to 1 s later."""
        records = tuple(self.records.values())
        for handler in self.owners.values():
            handler.allocator.update_upstreams(records)
            handler.notify()
        for gateway in self.gateways.values():
            self.spawn(self._tell_records(gateway, records))

    async def _tell_records(
        self, gateway: CellGateway, records: tuple[VmRecord, ...]
    ) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        gateway.service.update_upstreams(records)
        gateway.loop.refresh()

    def _publish_entry_vms(self) -> None:
        present = frozenset(self.entry_vms)
        for handler in self.owners.values():
            handler.allocator.update_entry_vms(present, self.clock.unix_ms())

    def _add_upstream(self, index: int) -> None:
        zone, region = self.shape.zones[index % len(self.shape.zones)]
        upstream_id = UpstreamId(f"up-{index}")
        self.upstreams.add(
            MemoryUpstream(
                upstream_id, ZoneName(zone), RegionName(region), self.shape.slots
            )
        )
        self.records[upstream_id] = VmRecord(
            VmId(upstream_id),
            VmKind.UPSTREAM,
            VmState.LIVE,
            RegionName(region),
            ZoneName(zone),
            "rack",
            "127.0.0.1",
            8000,
            service=SERVICE,
            slots=self.shape.slots,
            connections=64,
        )

    def _renew_horizons(self) -> None:
        for handler in self.owners.values():
            handler.allocator.set_horizon(self.clock.unix_ms() + HORIZON_MS)

    async def _watch(self) -> None:
        while True:
            self._renew_horizons()
            await asyncio.sleep(5)

    def check(self) -> None:
        """Check what holds at every moment.

        Raises
        ------
        InvariantError
            If an upstream handled more requests than it has slots, or if two gateways
            hold one token.
        """
        self.upstreams.check()
        for gateway in self.gateways.values():
            self._failures.extend(gateway.loop.failures())
        if self._failures:
            raise self._failures[0]
        holders: dict[SlotToken, ProcessId] = {}
        for gateway in self.gateways.values():
            for zone in self.owners:
                for token in gateway.holder.held(zone):
                    other = holders.setdefault(token, gateway.process_id)
                    if other != gateway.process_id:
                        raise InvariantError(
                            f"slot token {token} is held by {other} and by "
                            f"{gateway.process_id}"
                        )


@contextlib.asynccontextmanager
async def running_cell(cell: RequestCell):
    """Run a cell inside a ``with`` block."""
    await cell.start()
    try:
        yield cell
    finally:
        await cell.stop()
