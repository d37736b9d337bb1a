"""Program that runs basilhold on each machine of the platform."""

import asyncio
import contextlib
import random
import resource
import secrets
import signal
import sys
import time
from typing import Any

import uvloop

from basilhold.adapters.http_server import HttpServer
from basilhold.core import Clock, ProcessId, RegionName, ServiceName
from basilhold.observability import (
    BoundedOutput,
    Metrics,
    MetricSource,
    StateSource,
    log_event,
    make_status_pages,
    metric,
    set_log_output,
    set_up_logging,
    status_application,
)
from basilhold.platform.bodies import decode_configuration
from basilhold.platform.callers import CallerServer, make_readiness_server
from basilhold.platform.client_limits import ClientLimits
from basilhold.platform.connection_limits import (
    CallKind,
    ConnectionLimits,
    ReceiveLimits,
)
from basilhold.platform.events import (
    DESCRIPTORS_SHORT,
    SETTINGS_INVALID,
    SETTINGS_READ,
)
from basilhold.platform.outgoing_pools import OutgoingPools
from basilhold.platform.runners import (
    PlatformAdviceService,
    PlatformWorkerRegistry,
    parse_endpoint,
)
from basilhold.platform.settings import PlatformSettings, read_settings
from basilhold.platform.store import PlatformStore
from basilhold.programs.lifecycle import Daemon, ExitCode, run_daemon
from basilhold.tenants import TenantRegistry
from basilhold.workflows.advice_balancer import AdviceBalancer
from basilhold.workflows.background_tasks import restart_on_error
from basilhold.workflows.configuration_relay import RelayChooser
from basilhold.workflows.configuration_watch import ConfigurationWatch
from basilhold.workflows.frontend import WorkflowFrontend
from basilhold.workflows.owner import OwnerPorts
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peer_http import HttpPeerClient, make_peer_server
from basilhold.workflows.peer_quota_exchange import PeerQuotaExchange
from basilhold.workflows.peers import Member
from basilhold.workflows.poll_turns import PollTurns
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.rows import Incarnation
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.step_order import (
    DeadlineOrder,
    StepOrder,
    TenantShareOrder,
)
from basilhold.workflows.task_limit import TaskLimit
from basilhold.workflows.worker_link import LEASE_MAX_MS, OwnerLimits

__all__ = [
    "LogMetrics",
    "NodeDaemon",
    "PollMetrics",
    "choose_step_order",
    "main",
]

CONFIGURATION_PREFIX = "op//"
CONFIGURATION_KEY = "op//config"
CONFIGURATION_RETRY_MS = 200
CONFIGURATION_MARGIN_MS = 250.0
"""Part of the time in which a version must be in force that is left for the way of a
call from the caller to this process."""

LEASE_POLL_MAX_MS = 1_000
"""Longest long poll of a worker, which renews its lease. It is also limited to a sixth
of the lease, so that several renewals may fail before the lease expires."""

STATUS_RETENTION_FACTOR = 1.25
"""Margin on `status_s`, the time after its end for which callers may query the state of
a workflow."""

READY_STORE_SILENCE_MAX_MS = 2_500
"""A process without a reply from the store for this long fails its readiness probe, so
that the platform sends callers to other machines."""

MIB = 1 << 20
STATE_DUMP_BYTES_MAX = MIB
WIDE_LINK_MBPS_MIN = 100.0
"""Bandwidth from which a network link counts as wide, in Mbit/s."""

CLAIM_DELAY_PER_RESOURCE_MS = 600.0
"""Delay of ownership claims for a machine that lacks a core or a wide link entirely, or
is short of descriptors; proportionally less for a part of a core or link."""

DRAIN_SERVING_S = 2.4
"""The platform probes once a second and stops sending callers to a process after two
failed probes. Until then the process keeps serving them."""

DRAIN_FINISH_S = 1.5
"""Time for the remaining requests to finish before the process ends."""

CLOCK_ADJUST_INTERVAL_MS = 1_000

PRESSURE_CONTRACT = "pressure"
"""Name of the contract under which tenants share capacity that is too small."""


class BootClock(SuspendAwareClock):
    """The kernel's boot-time clock, which includes the time of suspension."""

    def now_ms(self) -> float:
        """Return the time since boot, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class LogMetrics(MetricSource):
    """Metric of the log lines that were dropped because the output was blocked.

    Parameters
    ----------
    log_output : BoundedOutput
    """

    def __init__(self, log_output: BoundedOutput):
        self._log_output = log_output

    def collect(self, metrics: Metrics) -> None:
        """Set the current number of dropped lines."""
        dropped = metric("basilhold_log_lines_dropped_total")
        metrics.set(dropped, self._log_output.dropped_count)


class PollMetrics(MetricSource):
    """Metrics of the polls of workers.

    Parameters
    ----------
    turns : PollTurns
    """

    def __init__(self, turns: PollTurns):
        self._turns = turns

    def collect(self, metrics: Metrics) -> None:
        """Set the current numbers of polls."""
        metrics.set(metric("basilhold_worker_polls_waiting"), self._turns.waiting)
        refused = metric("basilhold_worker_polls_refused_total")
        metrics.set(refused, self._turns.refused)


class NodeDaemon(Daemon, StateSource):
    """Serves callers, and schedules the services whose ownership lease it holds.

    Parameters
    ----------
    settings : PlatformSettings
    log_output : BoundedOutput
        Writes the log lines.

    Attributes
    ----------
    ownership_manager : OwnershipManager
        Claims and releases the ownership of services.
    frontend : WorkflowFrontend
        Carries out the requests of callers and peers.
    """

    def __init__(self, settings: PlatformSettings, log_output: BoundedOutput):
        self._settings = settings
        self._clock = Clock(int(time.time() * 1000))
        shared_time = SharedTime(self._clock)
        descriptors = _usable_descriptors(settings)
        limits = ConnectionLimits.for_descriptors(descriptors)
        if limits.is_short:
            log_event(
                DESCRIPTORS_SHORT, descriptors=descriptors, connections=limits.polls
            )
        receive = ReceiveLimits.for_memory(limits, settings.limits.memory_mb * MIB)
        self._pools = OutgoingPools(limits, receive)
        self._status_pages = make_status_pages(settings.node, STATE_DUMP_BYTES_MAX, ())
        self._status_pages.metrics.add_source(LogMetrics(log_output))
        self._status_pages.metrics.add_source(self._pools)
        self._status_pages.state.add_source(self)
        self._draining = False
        endpoint = f"{settings.ip}:{settings.port_range[0]}"
        peers = HttpPeerClient(self._pools[CallKind.PEERS], shared_time)
        region = RegionName(settings.region)
        direct_store = PlatformStore(
            self._pools[CallKind.STORE],
            parse_endpoint(settings.platform.address),
            shared_time,
        )
        rng = random.Random(secrets.randbits(64))
        store = RelayedTable(
            direct_store,
            direct_store,
            peers,
            lambda: self.ownership_manager.members(),
            region,
            self._clock,
            rng,
            reports_reads=True,
        )
        direct_store.on_read = store.on_read_reply
        self._store = store
        advice = PlatformAdviceService(
            self._pools[CallKind.ADVICE],
            parse_endpoint(settings.advice or settings.platform.address),
        )
        advice_balancer = AdviceBalancer(
            endpoint, advice, peers, lambda: self.ownership_manager.members(), region
        )
        poll_turns = PollTurns(limits.waiting_polls, limits.unanswered_polls)
        self._status_pages.metrics.add_source(PollMetrics(poll_turns))
        ports = OwnerPorts(
            store,
            store,
            self._pools.make_runner_client(),
            PlatformWorkerRegistry(store, store),
            advice_balancer,
            self._clock,
            shared_time,
            self._status_pages.metrics,
            self._tenants,
            self._services,
            PeerQuotaExchange(lambda: self.ownership_manager, peers),
            poll_turns=poll_turns,
            step_order=choose_step_order(settings),
        )
        self._configuration = ConfigurationWatch(
            store,
            store,
            BootClock(),
            CONFIGURATION_PREFIX,
            CONFIGURATION_KEY,
            decode_configuration,
            max(
                settings.bounds.config_apply_ms - CONFIGURATION_MARGIN_MS,
                settings.bounds.config_apply_ms / 2,
            ),
            peers,
            RelayChooser(lambda: self.ownership_manager.members(), self._clock),
        )
        self._status_pages.metrics.add_source(self._configuration)
        lease_ms = min(settings.bounds.hold_max_ms, LEASE_MAX_MS)
        poll_ms = int(min(LEASE_POLL_MAX_MS, lease_ms / 6))
        retention_ms = settings.bounds.status_s * 1000 * STATUS_RETENTION_FACTOR
        self.ownership_manager = OwnershipManager(
            ports,
            BootClock(),
            Member(
                ProcessId(settings.node),
                endpoint,
                region,
                wide_link=settings.limits.link_mbps >= WIDE_LINK_MBPS_MIN,
            ),
            Incarnation(secrets.token_hex(8)),
            OwnerLimits(
                lease_ms,
                poll_ms,
                retention_ms,
                settings.row_bytes_max,
                settings.bounds.stop_ms,
                settings.bounds.hold_max_ms,
            ),
            self._services,
            rng,
            peers,
            _small_machine_delay_ms(settings, limits),
        )
        self.frontend = WorkflowFrontend(
            store,
            self.ownership_manager,
            peers,
            advice,
            self._clock,
            shared_time,
            self._configuration,
            self._status_pages.metrics,
            TaskLimit(settings.task_units_max),
        )
        client_limits = ClientLimits(settings, self._clock, self._status_pages.metrics)
        self._status_pages.metrics.add_source(client_limits)
        resources = client_limits.resources
        self._caller_server = CallerServer(
            self.frontend,
            self._configuration,
            self._clock,
            settings.row_bytes_max,
            self._status_pages.metrics,
            client_limits.callers,
            resources,
        )
        self._readiness_server = make_readiness_server(
            self._is_ready, client_limits.readiness, resources
        )
        self._peer_server = make_peer_server(
            self.frontend, client_limits.peers, resources
        )
        self._status_server = HttpServer(
            "status",
            status_application(self._status_pages),
            client_limits.status,
            resources,
        )

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self._settings.node

    async def __aenter__(self) -> "NodeDaemon":
        settings = self._settings
        host, port = settings.ip, settings.port_range[0]
        self._peer_server.listen(port, host)
        self._status_server.listen(settings.port_range[1], host)
        for server, endpoint in (
            (self._readiness_server, settings.listen.ready),
            (self._caller_server.server, settings.listen.front),
        ):
            address = parse_endpoint(endpoint)
            server.listen(address.port, address.host)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        servers = (
            self._readiness_server,
            self._caller_server.server,
            self._peer_server,
            self._status_server,
        )
        for server in servers:
            server.stop()
        await self.frontend.close()
        await self._store.close()
        self._pools.close()

    async def run(self) -> None:
        """Run the background loops until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(
                restart_on_error(
                    "configuration watch",
                    self._configuration.run,
                    CONFIGURATION_RETRY_MS,
                )
            )
            group.create_task(self.ownership_manager.run())
            group.create_task(self._adjust_clock())

    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """Release the services, and serve callers until they go to other machines.

        Parameters
        ----------
        abort : asyncio.Event
            Ends the wait for the platform early.

        Returns
        -------
        tuple of str
            Description of the requests that did not finish; empty if all did.
        """
        self._draining = True
        self._caller_server.closing = True
        await self.ownership_manager.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_SERVING_S):
                await abort.wait()
        self._caller_server.server.stop()
        unfinished = await self._caller_server.wait_idle(DRAIN_FINISH_S)
        return (f"{unfinished} requests",) if unfinished else ()

    def state(self) -> dict[str, Any]:
        """Return the state of the process for a state dump."""
        queue_table = self._configuration.newest
        return {
            "node": self.name,
            "configuration": queue_table.version if queue_table else 0,
            "configuration_age_ms": round(self._configuration.age_ms()),
            "in_flight": self._caller_server.in_flight,
            "services": self.ownership_manager.describe(),
        }

    def _services(self) -> tuple[ServiceName, ...]:
        """Return the services of the newest configuration."""
        queue_table = self._configuration.newest
        return queue_table.services if queue_table else ()

    def _tenants(self) -> TenantRegistry | None:
        """Return the tenants of the newest configuration."""
        queue_table = self._configuration.newest
        return queue_table.tenants if queue_table else None

    def _is_ready(self) -> bool:
        """Return whether the process can serve callers."""
        if self._draining or not self._configuration.is_confirmed():
            return False
        silence_ms = (
            self._clock.monotonic_ms() - self.ownership_manager.last_store_reply_ms
        )
        return silence_ms < READY_STORE_SILENCE_MAX_MS

    def _reload(self) -> None:
        """Check the settings file and log the result; nothing is applied."""
        result = read_settings()
        if result.is_error():
            log_event(SETTINGS_INVALID, reason=result.error)
        else:
            log_event(SETTINGS_READ, node=result.ok.node)

    async def _adjust_clock(self) -> None:
        """Set the clock to Unix time repeatedly; the loop's clock omits suspension."""
        while True:
            await asyncio.sleep(CLOCK_ADJUST_INTERVAL_MS / 1000)
            self._clock.adjust(int(time.time() * 1000))


def choose_step_order(settings: PlatformSettings) -> StepOrder:
    """Return the order in which steps get capacity."""
    if PRESSURE_CONTRACT in settings.contracts:
        return TenantShareOrder()
    return DeadlineOrder()


def _usable_descriptors(settings: PlatformSettings) -> int:
    """Return how many descriptors the process may open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return settings.limits.max_fds
    return min(settings.limits.max_fds, soft_limit)


def _small_machine_delay_ms(
    settings: PlatformSettings, connection_limits: ConnectionLimits
) -> float:
    """Return how long a small machine delays its claims of ownership, in milliseconds.

    An owner reads all rows at a takeover and exchanges messages with every worker, so
    machines with more cores, bandwidth and descriptors should claim first.
    """
    limits = settings.limits
    core_ratio = min(1.0, limits.cpu_share * limits.cores)
    link_ratio = min(1.0, limits.link_mbps / WIDE_LINK_MBPS_MIN)
    lacking = 2.0 - core_ratio - link_ratio + connection_limits.is_short
    return CLAIM_DELAY_PER_RESOURCE_MS * lacking


def main() -> int:
    """Run the daemon with the platform's settings; return the exit code."""
    result = read_settings()
    if result.is_error():
        print(f"basilhold: {result.error}", file=sys.stderr)
        return ExitCode.SETTINGS_INVALID
    settings = result.ok
    set_up_logging("info", settings.node)
    log_output = BoundedOutput(sys.stdout.fileno())
    set_log_output(log_output)
    return run_daemon(lambda: NodeDaemon(settings, log_output), uvloop.new_event_loop)


if __name__ == "__main__":
    sys.exit(main())
