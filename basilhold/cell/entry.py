"""Processes of one entry VM."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Self

import msgspec

from basilhold.accounting import (
    CountingTransport,
    Distance,
    HostLocator,
    OperationCounter,
    Place,
    StoreBudget,
    TrafficCounter,
    TrafficCountingTableService,
)
from basilhold.cell.shape import CellShape
from basilhold.config import ConfigInForce
from basilhold.core import Clock, InvariantError, ProcessId
from basilhold.nodes.base import NodeContext, NodePart
from basilhold.nodes.context import follow_changes, make_context
from basilhold.nodes.directory import EntryPorts, make_process_id
from basilhold.nodes.gateway_node import GatewayNode, GatewayPorts
from basilhold.nodes.operator_backend import (
    GatewayOperatorBackend,
    make_operator_backend,
)
from basilhold.nodes.relay_node import RelayNode
from basilhold.nodes.scheduler_node import SchedulerNode
from basilhold.nodes.store import ProcessStore
from basilhold.ports import (
    ObjectStore,
    TableService,
    UpstreamClient,
    VmList,
    WorkerAgent,
)
from basilhold.relay import ProcessIdentity, ReaderSettings, RelaySettings
from basilhold.rpc import Address, Transport

__all__ = ["EntryNodes", "EntryPlatform"]


READY_INTERVAL_S = 0.1


class EntryPlatform(msgspec.Struct):
    """The platform as the processes of an entry VM reach it.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    vm_list : VmList
    agents : WorkerAgent
    make_upstream_client : callable
        Returns the client of a gateway.
    make_transport : callable
        Returns the transport of one process.
    """

    table: TableService
    objects: ObjectStore
    vm_list: VmList
    agents: WorkerAgent
    make_upstream_client: Callable[[], UpstreamClient]
    make_transport: Callable[[], Transport]


class EntryNodes:
    """Relay, scheduler and gateway of one entry VM; an asynchronous context manager.

    Parameters
    ----------
    entry : EntryPorts
    shape : CellShape
    platform : EntryPlatform
    clock : Clock
    seed : int
        Seed of all random choices.
    start_number : int
        Number of this start, so that ids of earlier starts are not used again.

    Attributes
    ----------
    traffic : TrafficCounter
    operations : OperationCounter
    gateway : GatewayNode
    scheduler : SchedulerNode
    relay : RelayNode
    """

    def __init__(
        self,
        entry: EntryPorts,
        shape: CellShape,
        platform: EntryPlatform,
        clock: Clock,
        seed: int,
        start_number: int,
    ):
        self.entry = entry
        self._shape = shape
        self._platform = platform
        self._clock = clock
        self._rng = random.Random(f"{seed}:{entry.vm_id}:{start_number}")
        self._start_number = start_number
        self._transports: list[Transport] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.budgets: dict[str, StoreBudget] = {}
        self.traffic = TrafficCounter()
        self.operations = OperationCounter()
        self.relay = self._make_relay()
        self.scheduler = self._make_scheduler()
        self.gateway = self._make_gateway()
        self.operators = self._make_operators()
        self._nodes: tuple[NodePart, ...] = (self.relay, self.scheduler, self.gateway)

    async def __aenter__(self) -> Self:
        for node in self._nodes:
            await node.__aenter__()
            self._tasks.append(asyncio.create_task(node.run()))
        scheduler, gateway = self._scheduler_context, self._gateway_context
        followers = (
            follow_changes(scheduler, self.scheduler.lending.refresh),
            follow_changes(gateway, self.gateway.vms_changed),
        )
        self._tasks.extend(asyncio.create_task(follower) for follower in followers)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        """Stop as planned, or at once if an exception is given."""
        if exc_type is None:
            await self.gateway.slots.return_all()
        for node in reversed(self._nodes):
            await node.__aexit__(exc_type, exc, traceback)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for transport in self._transports:
            await transport.close()

    async def kill(self) -> None:
        """End all processes at once, as the death of the VM does."""
        for transport in self._transports:
            await transport.close()
        await self.__aexit__(ConnectionAbortedError, None, None)

    def check(self) -> None:
        """Raise what has ended a process.

        Raises
        ------
        InvariantError
        """
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise InvariantError(f"{self.entry.vm_id}: {task.exception()!r}")

    @property
    def contexts(self) -> tuple[NodeContext, ...]:
        """What the scheduler and the gateway know about the cell."""
        return (self._scheduler_context, self._gateway_context)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        return self._gateway_context.in_force.is_ready

    def configurations(self) -> tuple[ConfigInForce, ...]:
        """Return the configuration in force in each process."""
        return (self._gateway_context.in_force, self._scheduler_context.in_force)

    async def wait_ready(self) -> None:
        """Wait until the load balancer may send callers here."""
        while not self.is_ready:  # noqa: ASYNC110
            await asyncio.sleep(READY_INTERVAL_S)

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {
            "relay": self.relay.state(),
            "scheduler": self.scheduler.state(),
            "gateway": self.gateway.state(),
        }

    def _transport(self) -> Transport:
        own = Place(self.entry.zone, self.entry.region)
        places = {e.host: Place(e.zone, e.region) for e in self._shape.entries}
        inner = self._platform.make_transport()
        transport = CountingTransport(inner, self.traffic, HostLocator(own, places))
        self._transports.append(transport)
        return transport

    def _store(self, program: str, purpose: str) -> TableService:
        budget = self.budgets.setdefault(program, StoreBudget(rng=self._rng))
        near = self.entry.region == self._shape.store_region
        distance = Distance.SAME_REGION if near else Distance.OTHER_REGION
        table = TrafficCountingTableService(
            self._platform.table, self.traffic, distance
        )
        return ProcessStore(table, budget, self.operations, purpose)

    def _context(self, program: str, process_id: ProcessId):
        return make_context(
            program,
            process_id,
            self.entry,
            self._shape.entries,
            self._transport(),
            self._clock,
            self._rng,
        )

    def _make_relay(self) -> RelayNode:
        entry, shape = self.entry, self._shape
        process_id = make_process_id("relay", entry.vm_id)
        settings = RelaySettings(
            ProcessIdentity(process_id, "relay", entry.vm_id, entry.zone, entry.region),
            Address(entry.host, entry.relay_port),
            shape.store_region,
            ReaderSettings(shape.offices, shape.regions),
        )
        return RelayNode(
            settings,
            self._transport(),
            self._store("relay", "relay"),
            self._platform.vm_list,
            self._clock,
            self._rng,
        )

    def _make_scheduler(self) -> SchedulerNode:
        entry = self.entry
        process_id = make_process_id("scheduler", entry.vm_id)
        self._scheduler_context = self._context("scheduler", process_id)
        return SchedulerNode(
            self._scheduler_context,
            Address(entry.host, entry.scheduler_port),
            self._store("scheduler", "sharding"),
            self._platform.agents,
            self._shape.store_region,
            seed=self._rng.getrandbits(32),
        )

    def _make_operators(self) -> GatewayOperatorBackend:
        return make_operator_backend(
            self._gateway_context,
            self._store("gateway", "operators"),
            self._shape.services,
            self._shape.store_region,
            lambda: msgspec.json.encode(self.state()),
        )

    def _make_gateway(self) -> GatewayNode:
        entry = self.entry
        process_id = make_process_id("gateway", entry.vm_id)
        unique_id = ProcessId(f"{process_id}+{self._start_number}")
        self._gateway_context = self._context("gateway", unique_id)
        client = self._platform.make_upstream_client()
        ports = GatewayPorts(
            self._store("gateway", "requests"),
            self._platform.objects,
            client,
            getattr(client, "set_connection_limit", None),
            sweeps_records=entry.region == self._shape.store_region,
        )
        address = Address(entry.host, entry.gateway_port)
        return GatewayNode(self._gateway_context, address, ports, self._rng)
