"""Limits of the servers of one process, and reports of clients that exceed them."""

import msgspec

from basilhold.adapters.http_server import ServerResources
from basilhold.core import Clock
from basilhold.core.connection_account import (
    ConnectionAccount,
    ConnectionEnd,
    ServerLimits,
    WorkBudget,
)
from basilhold.observability import Metrics, MetricSource, log_event, metric
from basilhold.platform.events import CLIENTS_LIMITED
from basilhold.platform.settings import PlatformSettings

__all__ = ["ClientLimits"]

REPORT_INTERVAL_MS = 5_000.0
"""A kind of refusal is logged at most this often, with the number since then."""


class _MemoryRatios(msgspec.Struct, frozen=True):
    """Parts of the account up to which requests and small requests may fill it.

    `reserved` is what no other server may fill.
    """

    requests: float
    small_requests: float
    reserved: float


CALLERS_RATIO = 0.55
PEERS_RATIO = 0.35
STATUS_RATIO = 0.05
READINESS_RATIO = 0.05
"""Parts of the incoming connections. Each of up to 80 peers has several calls under way
at a time, and the platform sends one probe a second."""

CALLERS_UNSENT_BYTES = 8_192
"""Replies to callers have some hundred bytes."""

CALLERS_RECEIVE_BYTES = 32_768
PEERS_RECEIVE_BYTES = 65_536
PROBES_RECEIVE_BYTES = 8_192
"""Bytes of requests that the kernel keeps for a connection. With half of it under way,
the longest body of a caller takes 1 s over a round trip of 62 ms, and a body of a peer
as long as over the link between regions."""

KEEP_ALIVE_RATIO = 4.0
"""Connections without a request between two requests stay open longer than idle ones
by this factor: longer than the 20 s for which other processes keep theirs, as a call
on a connection that is being closed may fail."""

CALLERS_MEMORY = _MemoryRatios(0.85, 1.0, 0.3)
STATUS_MEMORY = _MemoryRatios(0.9, 1.0, 0.03)
READINESS_MEMORY = _MemoryRatios(0.95, 1.0, 0.03)
PEERS_MEMORY = _MemoryRatios(1.0, 1.0, 0.2)
"""Parts of the account. The reserves let each server answer whatever the clients of the
others do, and large bodies leave a part to ordinary callers."""

PROBES_BODY_BYTES_MAX = 1_024
"""Probes and operators send no bodies."""


class ClientLimits(MetricSource):
    """Limits of the servers of one process, their shared account and its reports.

    Parameters
    ----------
    settings : PlatformSettings
    clock : Clock
    metrics : Metrics
        Counts the connections and requests that a limit ends.

    Attributes
    ----------
    callers, readiness, peers, status : ServerLimits
    resources : ServerResources
        Shared by the servers.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._account = ConnectionAccount(settings.held_bytes_max)
        self.resources = ServerResources(
            self._account,
            WorkBudget(settings.callers.pieces_per_s),
            self._on_end,
        )
        total = settings.incoming_connections_max
        limits = ServerLimits(
            body_bytes_max=settings.callers.max_body_bytes,
            header_bytes_max=settings.callers.max_header_bytes,
            header_timeout_ms=settings.callers.header_timeout_ms,
            body_timeout_ms=settings.callers.body_timeout_ms,
            idle_timeout_ms=settings.callers.idle_timeout_ms,
            keep_alive_ms=settings.callers.idle_timeout_ms * KEEP_ALIVE_RATIO,
        )
        self.callers = msgspec.structs.replace(
            _limit(limits, total * CALLERS_RATIO, CALLERS_MEMORY),
            receive_bytes=CALLERS_RECEIVE_BYTES,
            unsent_bytes=CALLERS_UNSENT_BYTES,
        )
        self.peers = msgspec.structs.replace(
            _limit(limits, total * PEERS_RATIO, PEERS_MEMORY),
            receive_bytes=PEERS_RECEIVE_BYTES,
        )
        probes = msgspec.structs.replace(
            limits,
            receive_bytes=PROBES_RECEIVE_BYTES,
            body_bytes_max=PROBES_BODY_BYTES_MAX,
        )
        self.readiness = _limit(probes, total * READINESS_RATIO, READINESS_MEMORY)
        self.status = _limit(probes, total * STATUS_RATIO, STATUS_MEMORY)
        self._counts: dict[tuple[str, ConnectionEnd], int] = {}
        self._logged_ms: dict[tuple[str, ConnectionEnd], float] = {}

    def collect(self, metrics: Metrics) -> None:
        """Set the number of connections and what they hold."""
        metrics.set(metric("basilhold_clients_held_bytes"), self._account.held_bytes)
        for server, count in self._account.open_counts().items():
            metrics.set(metric("basilhold_clients_connections"), count, server=server)

    def _on_end(self, server: str, end: ConnectionEnd) -> None:
        """Count a connection or request that a limit has ended, and log some."""
        self._metrics.add(
            metric("basilhold_clients_limited_total"), server=server, reason=end.value
        )
        key = server, end
        self._counts[key] = self._counts.get(key, 0) + 1
        now_ms = self._clock.monotonic_ms()
        logged_ms = self._logged_ms.get(key)
        if logged_ms is not None and now_ms - logged_ms < REPORT_INTERVAL_MS:
            return
        self._logged_ms[key] = now_ms
        log_event(
            CLIENTS_LIMITED,
            server=server,
            reason=end.value,
            count=self._counts.pop(key),
            held_bytes=self._account.held_bytes,
            limit_bytes=self._account.limit_bytes,
            connections=self._account.open_count(server),
        )


def _limit(
    limits: ServerLimits, connections: float, memory: _MemoryRatios
) -> ServerLimits:
    """Return limits with a number of connections and parts of the account."""
    return msgspec.structs.replace(
        limits,
        connections=max(1, int(connections)),
        memory_ratio=memory.requests,
        small_memory_ratio=memory.small_requests,
        reserved_ratio=memory.reserved,
    )
