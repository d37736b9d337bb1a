"""A gateway process without its HTTP ports."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Self

import msgspec

from basilhold.core import (
    Epoch,
    InvariantError,
    ProcessId,
    RequestKey,
    UpstreamId,
)
from basilhold.gateway import (
    OnceLimits,
    OnceRegistry,
    OnceSweeper,
    RequestCounters,
    RequestMetrics,
    RequestService,
    RequestState,
    ServiceParts,
    SlotReporter,
)
from basilhold.nodes.base import NodeContext, NodePart
from basilhold.nodes.control_metrics import ConfigMetrics
from basilhold.nodes.directory import ConfiguredClasses
from basilhold.nodes.peers import GrpcRequestPeers, GrpcSlotExchange
from basilhold.observability import MetricSource
from basilhold.ports import ObjectStore, TableService, UpstreamClient
from basilhold.requests import (
    GatewayIdentity,
    QueueLimits,
    RequestProgress,
    Router,
    SlotHolder,
)
from basilhold.rpc import Address, messages_pb2
from basilhold.rpc.messages_grpc import GatewayBase

__all__ = ["GatewayNode", "GatewayPorts"]

CHECK_INTERVAL_S = 1.0

_PROGRESS = {
    RequestProgress.NOT_HELD: messages_pb2.REQUEST_PROGRESS_NOT_HELD,
    RequestProgress.RUNNING: messages_pb2.REQUEST_PROGRESS_RUNNING,
    RequestProgress.FINISHED: messages_pb2.REQUEST_PROGRESS_FINISHED,
}


class GatewayPorts(msgspec.Struct):
    """Platform and upstreams as a gateway reaches them.

    Parameters
    ----------
    store : TableService
    objects : ObjectStore
    upstreams : UpstreamClient
    set_connection_limit : callable, optional
        Bounds the connections to an upstream.
    sweeps_records : bool
        Whether this gateway removes expired at-most-once records. Only gateways in
        the store's region do, because sweeping reads whole records.
    """

    store: TableService
    objects: ObjectStore
    upstreams: UpstreamClient
    set_connection_limit: Callable[[UpstreamId, int], None] | None = None
    sweeps_records: bool = False


class _GatewayService(GatewayBase):
    """Tells other gateways about the keyed requests of this one."""

    def __init__(self, process_id: ProcessId, once: OnceRegistry):
        self._process_id = process_id
        self._once = once

    async def AskRequest(self, stream: Any) -> None:  # noqa: N802
        """Wait for the end of a request, up to the time that the other waits."""
        message = await stream.recv_message()
        if message is None:
            return
        progress = RequestProgress.NOT_HELD
        # A gateway that was started again does not hold what its predecessor held.
        if message.holder_id == self._process_id:
            key = RequestKey(message.key)
            progress = await self._once.wait_for_progress(key, message.wait_ms)
        reply = messages_pb2.AskRequestReply(progress=_PROGRESS[progress])
        await stream.send_message(reply)


class GatewayNode(NodePart):
    """Routes callers' requests to upstreams.

    Parameters
    ----------
    context : NodeContext
        Its process id must differ for each start of a gateway.
    address : Address
        Where other gateways reach this one.
    ports : GatewayPorts
    rng : random.Random
    once_limits : OnceLimits, optional
    queue_limits : QueueLimits, optional

    Attributes
    ----------
    service : RequestService
    slots : SlotReporter
    once : OnceRegistry
    """

    def __init__(
        self,
        context: NodeContext,
        address: Address,
        ports: GatewayPorts,
        rng: random.Random,
        once_limits: OnceLimits | None = None,
        queue_limits: QueueLimits | None = None,
    ):
        self._context = context
        self._address = address
        self._ports = ports
        self._rng = rng
        self.counters = RequestCounters()
        self._identity = GatewayIdentity(
            context.process_id,
            context.vm_id,
            context.zone,
            context.region,
            context.clock.unix_ms(),
        )
        self._router = Router(context.zone, context.region, rng)
        self._holder = SlotHolder(self._identity)
        self.once = self._make_once(once_limits)
        self._sweeper: OnceSweeper | None = None
        if ports.sweeps_records:
            self._sweeper = OnceSweeper(
                self.once, ports.store, ports.objects, context.clock, rng
            )
        self.service = self._make_service(queue_limits or QueueLimits())
        self.slots = self._make_slots()
        self._vms_revision = 0
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def _make_once(self, limits: OnceLimits | None) -> OnceRegistry:
        context, ports = self._context, self._ports
        return OnceRegistry(
            context.process_id,
            context.clock,
            ports.store,
            ports.objects,
            GrpcRequestPeers(context.transport, context.directory),
            self._rng,
            self.counters,
            limits,
        )

    def _make_service(self, queue_limits: QueueLimits) -> RequestService:
        parts = ServiceParts(
            identity=self._identity,
            clock=self._context.clock,
            classes=ConfiguredClasses(self._context.in_force),
            router=self._router,
            holder=self._holder,
            client=self._ports.upstreams,
            once=self.once,
            rng=self._rng,
            counters=self.counters,
            queue_limits=queue_limits,
        )
        return RequestService(parts)

    def _make_slots(self) -> SlotReporter:
        context = self._context
        return SlotReporter(
            self._identity,
            context.clock,
            self._router,
            self._holder,
            self.service,
            GrpcSlotExchange(context.transport, context.directory),
            self._rng,
            self._ports.set_connection_limit,
        )

    async def __aenter__(self) -> Self:
        service = _GatewayService(self._context.process_id, self.once)
        served = await self._context.transport.serve([service], self._address)
        if served.is_error():
            raise OSError(served.error.reason)
        await self.once.__aenter__()
        await self.slots.__aenter__()
        if self._sweeper is not None:
            await self._sweeper.__aenter__()
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        if self._sweeper is not None:
            await self._sweeper.__aexit__(exc_type, exc, traceback)
        await self.slots.__aexit__(exc_type, exc, traceback)
        await self.once.__aexit__(exc_type, exc, traceback)

    def vms_changed(self) -> None:
        """Take the shard directory, and the upstreams of a new VM list."""
        for zone, shard in self._context.subscription.state.shards.items():
            self._holder.observe_epoch(zone, Epoch(shard.epoch))
        revision = self._context.directory.revision
        if revision == self._vms_revision:
            return
        self._vms_revision = revision
        self.service.update_upstreams(self._context.directory.upstreams())
        self.slots.refresh()

    @property
    def held_slots(self) -> int:
        """Number of slots that the gateway holds."""
        held = (self._holder.held_count(u) for u in self._holder.upstream_ids())
        return sum(held)

    def invariant_broken(self, error: InvariantError) -> None:
        """Let `run` raise an error that a request has met."""
        if not self._failure.done():
            self._failure.set_exception(error)

    async def run(self) -> None:
        """Run until an invariant is broken."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_slots())
            group.create_task(self._wait_failed())

    async def _wait_failed(self) -> None:
        await asyncio.shield(self._failure)

    async def _watch_slots(self) -> None:
        """Raise what has ended an exchange of slots."""
        while True:
            for failure in self.slots.failures():
                raise failure
            await asyncio.sleep(CHECK_INTERVAL_S)

    def metric_sources(self) -> tuple[MetricSource, ...]:
        """Return the sources of the metrics of requests and configuration."""
        requests = RequestMetrics(self.service, self._router, self._holder, self.once)
        return (ConfigMetrics(self._context), requests)

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        return RequestState(self.service, self._router, self._holder).state()
