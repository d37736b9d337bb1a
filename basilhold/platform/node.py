"""The program that runs on each machine of the platform."""

import asyncio
import contextlib
import random
import secrets
import signal
import sys
import time
from typing import Any

import msgspec
import uvloop
from tornado.httpserver import HTTPServer

from basilhold.adapters import HttpLimits, HttpPool
from basilhold.core import Clock, ProcessId, RegionName
from basilhold.observability import (
    BoundedOutput,
    Metrics,
    MetricSource,
    log_event,
    make_status_pages,
    metric,
    set_log_output,
    set_up_logging,
    status_application,
)
from basilhold.platform.bodies import decode_configuration
from basilhold.platform.callers import CallerServer, make_ready_server
from basilhold.platform.events import (
    CONFIGURATION_BAD,
    CONFIGURATION_CHANGED,
    SETTINGS_BAD,
    SETTINGS_READ,
)
from basilhold.platform.runners import (
    PlatformAdvice,
    PlatformRegistry,
    PlatformRunners,
    address_of,
)
from basilhold.platform.settings import PlatformSettings, read_settings
from basilhold.platform.store import PlatformStore
from basilhold.programs.lifecycle import Daemon, ExitCode, run_daemon
from basilhold.workflows.advice_balancer import AdviceBalancer
from basilhold.workflows.background_tasks import restart_on_error
from basilhold.workflows.front import WorkflowFront
from basilhold.workflows.owner import OwnerPorts
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peer_http import HttpPeers, make_peer_server
from basilhold.workflows.peers import Member
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.routes import QueueTable
from basilhold.workflows.rows import Incarnation
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.worker_link import LEASE_MAX_MS, OwnerLimits

__all__ = ["LogMetrics", "NodeDaemon", "main"]

CONNECTIONS_MAX = 600
"""Exchanges at a time; each worker has one that waits for an end."""

CONNECT_TIMEOUT_MS = 500
CONFIGURATION_WAIT_MS = 1_200
"""A configuration is in force within 3 s, also if one channel has fallen silent."""

CONFIGURATION_RETRY_MS = 200
HOLD_WAIT_MAX_MS = 1_000
"""Below a sixth of the longest lease, so that several renewals may fail."""

FORGET_FACTOR = 1.25
"""A workflow's state may be asked for until `status_s` after its end."""

READY_STORE_AGE_MS = 2_500
"""A process that has not reached the store for this long leaves callers to others."""

STATE_DUMP_BYTES_MAX = 1 << 20
WIDE_LINK_MBPS = 100.0
SMALL_MACHINE_MS = 600.0

DRAIN_SERVE_S = 2.4
"""The platform notices after two failed probes, one each second, that a process takes
no more callers."""

DRAIN_END_S = 1.5
SUSPEND_CHECK_MS = 1_000


class BootClock(SuspendAwareClock):
    """The kernel's clock that counts suspension."""

    def now_ms(self) -> float:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class LogMetrics(MetricSource):
    """Tells how many log lines were dropped."""

    def __init__(self, output: BoundedOutput):
        self._output = output

    def collect(self, metrics: Metrics) -> None:
        """Set the current value."""
        dropped = metric("basilhold_log_lines_dropped_total")
        metrics.set(dropped, self._output.dropped_count)


class NodeDaemon(Daemon):
    """Serves callers and, where it holds the lease, owns services.

    Parameters
    ----------
    settings : PlatformSettings
    output : BoundedOutput
        Where log lines go.
    """

    def __init__(self, settings: PlatformSettings, output: BoundedOutput):
        self._settings = settings
        self._clock = Clock(int(time.time() * 1000))
        shared_time = SharedTime(self._clock)
        self._pool = HttpPool(
            HttpLimits(CONNECTIONS_MAX, CONNECT_TIMEOUT_MS, idle_ms=20_000)
        )
        self._queues: QueueTable | None = None
        self._pages = make_status_pages(settings.node, STATE_DUMP_BYTES_MAX, ())
        self._pages.metrics.add_source(LogMetrics(output))
        self._draining = False
        endpoint = f"{settings.ip}:{settings.port_range[0]}"
        peers = HttpPeers(self._pool, shared_time)
        region = RegionName(settings.region)
        direct = PlatformStore(
            self._pool, address_of(settings.platform.address), shared_time
        )
        rng = random.Random(secrets.randbits(64))
        store = RelayedTable(
            direct,
            direct,
            peers,
            lambda: self.ownership_manager.members(),
            region,
            self._clock,
            rng,
        )
        self._store = store
        advice = PlatformAdvice(
            self._pool, address_of(settings.advice or settings.platform.address)
        )
        spread = AdviceBalancer(
            endpoint, advice, peers, lambda: self.ownership_manager.members(), region
        )
        ports = OwnerPorts(
            store,
            store,
            PlatformRunners(self._pool),
            PlatformRegistry(store),
            spread,
            self._clock,
            shared_time,
            self._pages.metrics,
        )
        hold_ms = min(settings.bounds.hold_max_ms, LEASE_MAX_MS)
        wait_ms = int(min(HOLD_WAIT_MAX_MS, hold_ms / 6))
        forget_ms = settings.bounds.status_s * 1000 * FORGET_FACTOR
        self.ownership_manager = OwnershipManager(
            ports,
            BootClock(),
            Member(
                ProcessId(settings.node),
                endpoint,
                region,
                wide_link=settings.limits.link_mbps >= WIDE_LINK_MBPS,
            ),
            Incarnation(secrets.token_hex(8)),
            OwnerLimits(
                hold_ms,
                wait_ms,
                forget_ms,
                settings.row_bytes_max,
                settings.bounds.stop_ms,
            ),
            lambda: self._queues.services if self._queues else (),
            rng,
            peers,
            _handicap_ms(settings),
        )
        self.front = WorkflowFront(
            store, self.ownership_manager, peers, advice, self._clock, shared_time
        )
        self._callers = CallerServer(
            self.front, lambda: self._queues, self._clock, settings.row_bytes_max
        )
        self._ready = make_ready_server(self._is_ready)
        self._peer_server = make_peer_server(self.front)
        self._status = HTTPServer(status_application(self._pages))

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self._settings.node

    async def __aenter__(self) -> "NodeDaemon":
        settings = self._settings
        host, port = settings.ip, settings.port_range[0]
        self._peer_server.listen(port, host)
        self._status.listen(settings.port_range[1], host)
        for server, endpoint in (
            (self._ready, settings.listen.ready),
            (self._callers.server, settings.listen.front),
        ):
            address = address_of(endpoint)
            server.listen(address.port, address.host)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        servers = (self._ready, self._callers.server, self._peer_server, self._status)
        for server in servers:
            server.stop()
        await self.front.close()
        await self._store.close()
        self._pool.close()

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(
                restart_on_error(
                    "the watch of the configuration",
                    self._watch_configuration,
                    CONFIGURATION_RETRY_MS,
                )
            )
            group.create_task(self.ownership_manager.run())
            group.create_task(self._follow_clock())

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """Release the services, then serve callers until others take them."""
        self._draining = True
        self._callers.closing = True
        await self.ownership_manager.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_SERVE_S):
                await abort.wait()
        self._callers.server.stop()
        cut = await self._callers.wait_idle(DRAIN_END_S)
        return (f"{cut} requests",) if cut else ()

    def state(self) -> dict[str, Any]:
        """Return the process's state for a dump."""
        return {
            "node": self.name,
            "configuration": self._queues.version if self._queues else 0,
            "in_flight": self._callers.in_flight,
            "services": self.ownership_manager.describe(),
        }

    def _is_ready(self) -> bool:
        if self._draining or self._queues is None:
            return False
        age_ms = self._clock.monotonic_ms() - self.ownership_manager.last_store_reply_ms
        return age_ms < READY_STORE_AGE_MS

    def _reload(self) -> None:
        result = read_settings()
        if result.is_error():
            log_event(SETTINGS_BAD, reason=result.error)
        else:
            log_event(SETTINGS_READ, node=result.ok.node)

    async def _follow_clock(self) -> None:
        while True:
            await asyncio.sleep(SUSPEND_CHECK_MS / 1000)
            self._clock.adjust(int(time.time() * 1000))

    async def _watch_configuration(self) -> None:
        version = -1
        while True:
            if version < 0:
                version = await self._read_configuration()
                continue
            result = await self._store.changes("op//", version, CONFIGURATION_WAIT_MS)
            if result.is_error():
                await asyncio.sleep(CONFIGURATION_RETRY_MS / 1000)
                continue
            if not result.ok.complete:
                version = -1
                continue
            version = result.ok.version
            for row in result.ok.rows:
                if row.key == "op//config":
                    self._take_configuration(row.value)

    async def _read_configuration(self) -> int:
        """Read the document; return the version to watch from, or -1."""
        result = await self._store.scan("op//")
        if result.is_error():
            await asyncio.sleep(CONFIGURATION_RETRY_MS / 1000)
            return -1
        for row in result.ok.rows:
            if row.key == "op//config":
                self._take_configuration(row.value)
        return result.ok.version

    def _take_configuration(self, value: bytes) -> None:
        try:
            queues = decode_configuration(value)
        except msgspec.DecodeError as error:
            log_event(CONFIGURATION_BAD, reason=error)
            return
        if self._queues is None or queues.version > self._queues.version:
            self._queues = queues
            log_event(CONFIGURATION_CHANGED, version=queues.version)


def _handicap_ms(settings: PlatformSettings) -> float:
    """Return how long a small machine leaves the ownership of services to others.

    An owner reads all rows at a takeover and speaks to every worker.
    """
    limits = settings.limits
    core_share = min(1.0, limits.cpu_share * limits.cores)
    link_share = min(1.0, limits.link_mbps / WIDE_LINK_MBPS)
    return SMALL_MACHINE_MS * (2.0 - core_share - link_share)


def main() -> int:
    """Run the process that the platform's settings describe."""
    result = read_settings()
    if result.is_error():
        print(f"basilhold: {result.error}", file=sys.stderr)
        return ExitCode.SETTINGS_INVALID
    settings = result.ok
    set_up_logging("info", settings.node)
    output = BoundedOutput(sys.stdout.fileno())
    set_log_output(output)
    return run_daemon(lambda: NodeDaemon(settings, output), uvloop.new_event_loop)


if __name__ == "__main__":
    sys.exit(main())
