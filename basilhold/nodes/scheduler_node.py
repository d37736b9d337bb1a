"""A scheduler process without its program."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Self

import msgspec

from basilhold.core import Clock, RegionName
from basilhold.nodes.base import NodeContext, NodePart
from basilhold.nodes.commit_watch import (
    KEPT_MAX,
    CommitWatch,
    ObservedPlanner,
    TaskWait,
)
from basilhold.nodes.control_metrics import ConfigMetrics
from basilhold.nodes.peers import GrpcSchedulerPeers
from basilhold.nodes.scheduler_metrics import SchedulerMetrics, ShardHistory
from basilhold.nodes.scheduler_service import SchedulerService
from basilhold.nodes.slot_lending import SlotLending
from basilhold.observability import MetricSource
from basilhold.placement import Planner
from basilhold.ports import TableService, WorkerAgent
from basilhold.rpc import Address
from basilhold.sharding import (
    ProcessInfo,
    ShardInfo,
    ShardingSettings,
    ShardScheduler,
)

__all__ = ["SchedulerNode"]

REFRESH_INTERVAL_S = 0.5


class SchedulerNode(NodePart):
    """Owns shards, places tasks and lends slots.

    Parameters
    ----------
    context : NodeContext
    address : Address
        Where other processes reach this one.
    store : TableService
    agents : WorkerAgent
    store_region : RegionName
        Elsewhere the store is used less often, as its traffic is paid for.
    sharding : ShardingSettings, optional
    longest_deadline_ms : int
        Longest timeout of any class, in milliseconds.
    seed : int
    """

    def __init__(
        self,
        context: NodeContext,
        address: Address,
        store: TableService,
        agents: WorkerAgent,
        store_region: RegionName,
        sharding: ShardingSettings | None = None,
        longest_deadline_ms: int = 60_000,
        seed: int = 0,
    ):
        self._context = context
        self._address = address
        sharding = sharding or ShardingSettings()
        if context.region != store_region:
            sharding = sharding.outside_store_region()
        me = ProcessInfo(
            context.process_id,
            context.zone,
            context.region,
            address.host,
            address.port,
        )
        self._commits = CommitWatch(store, context.clock)
        self._waits: deque[TaskWait] = deque(maxlen=KEPT_MAX)
        self.scheduler = ShardScheduler(
            me,
            self._commits,
            agents,
            context.clock,
            GrpcSchedulerPeers(context.transport, context.directory),
            context.directory,
            make_planner(context.clock, self._waits),
            sharding,
            seed=seed,
        )
        self.lending = SlotLending(
            self.scheduler, context.directory, context.clock, longest_deadline_ms
        )
        self._history = ShardHistory(self.scheduler)
        self._service = SchedulerService(
            context.process_id, self.scheduler, self.lending
        )

    async def __aenter__(self) -> Self:
        served = await self._context.transport.serve([self._service], self._address)
        if served.is_error():
            raise OSError(served.error.reason)
        await self.scheduler.__aenter__()
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        await self.scheduler.__aexit__(exc_type, exc, traceback)

    async def run(self) -> None:
        """Run until an invariant is broken."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refresh())
            group.create_task(self.scheduler.wait_failed())

    async def drain(self) -> None:
        """Hand all shards over."""
        await self.scheduler.stop()

    def metric_sources(self) -> tuple[MetricSource, ...]:
        """Return the sources of the metrics of shards and configuration."""
        context = self._context
        shards = SchedulerMetrics(
            self.scheduler,
            self._history,
            self._commits,
            self._waits,
            self.lending,
            context.directory,
            context.clock,
        )
        return (ConfigMetrics(context), shards)

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        return {
            "owned_zones": self.scheduler.owned_zones(),
            "shards": {
                zone: msgspec.to_builtins(self.scheduler.shard_state(zone))
                for zone in self.scheduler.owned_zones()
            },
            "summaries": msgspec.to_builtins(self.scheduler.summaries()),
            "frozen_slot_tokens": self.lending.frozen_count(),
        }

    async def _refresh(self) -> None:
        while True:
            self.lending.refresh()
            self._history.update()
            await asyncio.sleep(REFRESH_INTERVAL_S)


def make_planner(
    clock: Clock, waits: deque[TaskWait]
) -> Callable[[ShardInfo], Planner]:
    """Return the maker of shards' planners."""

    def make(shard: ShardInfo) -> Planner:
        return ObservedPlanner(clock, waits)

    return make
