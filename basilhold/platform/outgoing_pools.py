"""Pools of the connections that a process opens, one for each kind of call."""

from types import TracebackType
from typing import Self

from basilhold.adapters import HttpLimits, HttpPool
from basilhold.observability import Metrics, MetricSource, metric
from basilhold.platform.connection_limits import (
    CallKind,
    ConnectionLimits,
    ReceiveLimits,
)
from basilhold.platform.runners import PlatformRunnerClient

__all__ = ["OutgoingPools"]

CONNECT_TIMEOUT_MS = 500
CONNECTION_IDLE_MS = 20_000

SURPLUS_IDLE_MS = 500
"""Time after which an unused connection to a worker is closed while there is another
one. Starts come in bursts, one per commit."""

PER_WORKER_MAX = {CallKind.COMMANDS: 4, CallKind.POLLS: 3}
"""Most connections of an owner to one worker. A worker accepts a limited number, in all
deployments 64, and keeps those of an owner that has lost power. At rest, an owner has
one connection of each kind. One poll waits at the worker while another one reads its
runs at once, and a third one may still wait for the worker's former incarnation."""


class OutgoingPools(MetricSource):
    """Pools of the connections that a process opens; a context manager.

    Parameters
    ----------
    connections : ConnectionLimits
    receive : ReceiveLimits
    """

    def __init__(self, connections: ConnectionLimits, receive: ReceiveLimits):
        self._pools: dict[CallKind, HttpPool] = {}
        for kind in CallKind:
            per_worker_max = PER_WORKER_MAX.get(kind, 0)
            limits = HttpLimits(
                getattr(connections, kind.value),
                CONNECT_TIMEOUT_MS,
                idle_ms=CONNECTION_IDLE_MS,
                connections_per_address=per_worker_max,
                surplus_idle_ms=SURPLUS_IDLE_MS if per_worker_max else 0,
                receive_bytes=getattr(receive, kind.value),
            )
            self._pools[kind] = HttpPool(limits)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close all unused connections."""
        for pool in self._pools.values():
            pool.close()

    def __getitem__(self, kind: CallKind) -> HttpPool:
        """Return the pool for a kind of call."""
        return self._pools[kind]

    def make_runner_client(self) -> PlatformRunnerClient:
        """Return a client for calls to workers."""
        return PlatformRunnerClient(self[CallKind.COMMANDS], self[CallKind.POLLS])

    def collect(self, metrics: Metrics) -> None:
        """Set the current numbers of connections."""
        for kind, pool in self._pools.items():
            counts = pool.counts
            gauge = metric("basilhold_outgoing_connections")
            metrics.set(gauge, counts.open, kind=kind.value)
            opened = metric("basilhold_outgoing_connections_opened_total")
            metrics.set(opened, counts.opened, kind=kind.value)
            reset = metric("basilhold_outgoing_connections_reset_total")
            metrics.set(reset, counts.reset, kind=kind.value)
