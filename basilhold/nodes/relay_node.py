"""A relay process without its program."""

import asyncio
import random
from typing import Any, Self

import msgspec

from basilhold.core import (
    Clock,
    InvariantError,
    decode_json,
)
from basilhold.nodes.base import NodePart
from basilhold.nodes.control_metrics import RelayMetrics, SpreadWatch
from basilhold.observability import MetricSource
from basilhold.ports import Row, TableService, VmList
from basilhold.relay import Relay, RelaySettings, ShardLocation
from basilhold.rpc import Address, Transport
from basilhold.sharding import ShardRecord

__all__ = ["RelayNode", "decode_shard"]

SPREAD_INTERVAL_S = 0.25
"""Precision of the measured time until a version is in force everywhere."""


def decode_shard(row: Row) -> ShardLocation | None:
    """Return the location in a ``shard/`` row, or ``None`` if it has none."""
    try:
        record = decode_json(row.value, ShardRecord)
    except msgspec.DecodeError:
        return None
    if not record.host:
        return None
    address = Address(record.host, record.port)
    return ShardLocation(record.zone, record.owner, address, record.epoch)


class RelayNode(NodePart):
    """Passes configuration, VM list and shard directory on inside a region.

    Parameters
    ----------
    settings : RelaySettings
    transport : Transport
    store : TableService
    vm_list : VmList
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        settings: RelaySettings,
        transport: Transport,
        store: TableService,
        vm_list: VmList,
        clock: Clock,
        rng: random.Random,
    ):
        self.relay = Relay(
            settings, transport, store, vm_list, decode_shard, clock, rng
        )
        self._clock = clock
        self._spread = SpreadWatch(self.relay, clock)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self.relay.run())
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def run(self) -> None:
        """Run until the relay ends, which it does only by an error."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_spread())
            group.create_task(self._watch_relay())

    def metric_sources(self) -> tuple[MetricSource, ...]:
        """Return the source of the metrics of the relay."""
        return (RelayMetrics(self.relay, self._spread, self._clock),)

    async def _watch_relay(self) -> None:
        await asyncio.shield(self._task)
        raise InvariantError("the relay ended by itself")

    async def _watch_spread(self) -> None:
        while True:
            self._spread.update()
            await asyncio.sleep(SPREAD_INTERVAL_S)

    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
        state = self.relay.state
        return {
            "is_reader": self.relay.is_reader,
            "versions": state.versions(),
            "in_force_everywhere": dict(state.everywhere),
            "shards": msgspec.to_builtins(tuple(state.shards.values())),
            "readers": msgspec.to_builtins(tuple(state.readers.values())),
            "vm_list_version": state.vms.version,
            "vm_count": len(state.vms.records),
            "subscribers": self.relay.service.subscriber_count,
        }
