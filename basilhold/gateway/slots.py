"""Reporting of slots and demand to the owners of all zones that have upstreams."""

import asyncio
import random
from collections.abc import Callable
from enum import Enum
from typing import Self

from basilhold.core import Clock, RegionName, ServiceName, UpstreamId, ZoneName
from basilhold.gateway.events import SLOT_EXCHANGE_FAILED, SLOTS_NOT_CONFIRMED
from basilhold.gateway.service import RequestService
from basilhold.observability import log_event
from basilhold.requests import (
    CONNECTIONS_PER_TOKEN,
    GatewayIdentity,
    Router,
    SlotExchange,
    SlotHolder,
    SlotReport,
)

__all__ = ["SlotReporter"]

REPORT_WAIT_MS = 5000
"""Time for which the owner may delay its reply if no requests are queued."""

DEMAND_WAIT_MS = 1000
"""Time for which the owner may delay its reply if requests are queued.

It is also the interval at which the owner gets a new count of them.
"""

REPORT_INTERVAL_MS = 100
"""Delay between reports to one owner, which limits the traffic under load.

It is shortened at random by up to half.
"""

REMOTE_SLOT_IDLE_MS = 1000
"""Time after which unused slots of another region are returned."""

RETRY_INTERVAL_MS = 500
"""Maximum delay before a failed report is repeated."""

HEARTBEAT_INTERVAL_MS = 250
"""Interval of the heartbeats by which the dispatcher detects stalls."""

RECONFIRM_TIMEOUT_MS = 1500
"""Time to wait for unreachable owners after a stall of the event loop."""

RETURN_TIMEOUT_MS = 2000
"""Time limit for the report that returns all slots of a zone at shutdown."""


class _ReportStatus(Enum):
    ANSWERED = "answered"
    ABANDONED = "abandoned"
    FAILED = "failed"


class SlotReporter:
    """Reports to zone owners which slots a gateway holds and how many it needs.

    The owners reply with the slots that the gateway may use. Reports to the owners of
    the gateway's own region are sent continuously, those to other regions only while
    there is demand for their slots or slots of theirs are held.

    Parameters
    ----------
    identity : GatewayIdentity
    clock : Clock
    router : Router
    holder : SlotHolder
    service : RequestService
    exchange : SlotExchange
    rng : random.Random
        Randomises the delays between reports.
    set_connection_limit : callable, optional
        Called with the id of an upstream and the number of connections that the held
        slots allow.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        clock: Clock,
        router: Router,
        holder: SlotHolder,
        service: RequestService,
        exchange: SlotExchange,
        rng: random.Random,
        set_connection_limit: Callable[[UpstreamId, int], None] | None = None,
    ):
        self._identity = identity
        self._clock = clock
        self._router = router
        self._holder = holder
        self._service = service
        self._exchange = exchange
        self._rng = rng
        self._set_connection_limit = set_connection_limit
        self._report_tasks: dict[ZoneName, asyncio.Task[None]] = {}
        self._wake_events: dict[ZoneName, asyncio.Event] = {}
        self._limited_upstream_ids: set[UpstreamId] = set()
        self._stall_count = 0
        self._confirmation = asyncio.Condition()
        self._confirmed_stalls: dict[ZoneName, int] = {}
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._reconfirm_task: asyncio.Task[None] | None = None
        service.dispatcher.on_shortage = self._wake_all
        service.dispatcher.on_stall = self.reconfirm_slots
        holder.on_return = self._wake

    async def __aenter__(self) -> Self:
        self.refresh()
        self._heartbeat_task = asyncio.create_task(self._record_heartbeats())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [
            *self._report_tasks.values(),
            self._heartbeat_task,
            self._reconfirm_task,
        ]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def _record_heartbeats(self) -> None:
        while True:
            self._service.dispatcher.record_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)

    def reconfirm_slots(self) -> None:
        """Ask the owners which slots are still valid after a stall of the event loop.

        No requests are sent until all owners of this region have replied, or for
        `RECONFIRM_TIMEOUT_MS`.
        """
        self._stall_count += 1
        self._service.dispatcher.suspend()
        if self._reconfirm_task is not None:
            self._reconfirm_task.cancel()
        self._reconfirm_task = asyncio.create_task(self._reconfirm(self._stall_count))

    async def _reconfirm(self, count: int) -> None:
        local_zones = [
            zone
            for zone, region in self._router.zones().items()
            if region == self._identity.region
        ]
        self._wake_all()
        try:
            async with asyncio.timeout(RECONFIRM_TIMEOUT_MS / 1000), self._confirmation:
                await self._confirmation.wait_for(
                    lambda: all(
                        self._confirmed_stalls.get(zone, 0) >= count
                        for zone in local_zones
                    )
                )
        except TimeoutError:
            log_event(SLOTS_NOT_CONFIRMED, wait_ms=RECONFIRM_TIMEOUT_MS)
        self._service.dispatcher.resume()

    def refresh(self) -> None:
        """Start reports to owners of new zones; to be called when upstreams change."""
        for zone, region in self._router.zones().items():
            if zone not in self._report_tasks:
                self._wake_events[zone] = asyncio.Event()
                self._report_tasks[zone] = asyncio.create_task(
                    self._report_repeatedly(zone, region)
                )
        self._update_limits()

    def failures(self) -> list[BaseException]:
        """Return the errors that have ended a reporting task; programs stop on any."""
        return [
            task.exception()
            for task in self._report_tasks.values()
            if task.done() and not task.cancelled() and task.exception() is not None
        ]

    async def return_all(self) -> None:
        """Stop reporting and return all slots; for a planned shutdown."""
        await self.__aexit__()
        for zone in self._report_tasks:
            self._holder.return_idle(zone)
        self._update_limits()
        await asyncio.gather(
            *(self._send_leaving_report(zone) for zone in self._report_tasks)
        )

    async def _send_leaving_report(self, zone: ZoneName) -> None:
        report = self._holder.next_report(
            zone, now_unix_ms=self._clock.unix_ms(), leaving=True
        )
        try:
            async with asyncio.timeout(RETURN_TIMEOUT_MS / 1000):
                await self._exchange.exchange(zone, report)
        except TimeoutError:
            log_event(SLOT_EXCHANGE_FAILED, zone=zone)

    def _wake(self, zone: ZoneName) -> None:
        if zone in self._wake_events:
            self._wake_events[zone].set()

    def _wake_all(self) -> None:
        for wake_event in self._wake_events.values():
            wake_event.set()

    async def _report_repeatedly(self, zone: ZoneName, region: RegionName) -> None:
        is_local = region == self._identity.region
        failing = False
        while True:
            demand = self._service.demand(zone)
            if not is_local and not demand:
                due = await self._wait_for_demand(zone)
                demand = self._service.demand(zone)
                if not demand and not due:
                    continue
            stall_count = self._stall_count
            status = await self._exchange_report(zone, demand)
            if status is _ReportStatus.ANSWERED:
                async with self._confirmation:
                    self._confirmed_stalls[zone] = stall_count
                    self._confirmation.notify_all()
            failed = status is _ReportStatus.FAILED
            if failed and not failing:
                log_event(SLOT_EXCHANGE_FAILED, zone=zone)
            failing = failed
            delay_ms = RETRY_INTERVAL_MS if failed else REPORT_INTERVAL_MS
            await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)

    async def _wait_for_demand(self, zone: ZoneName) -> bool:
        """Wait for demand in another region; return whether a report is due without it.

        A report is due while slots of that region are held. They are returned if there
        is still no demand after `REMOTE_SLOT_IDLE_MS`.
        """
        wake = self._wake_events[zone]
        wake.clear()
        if not self._holder.held(zone):
            await wake.wait()
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)
            return False
        await asyncio.sleep(REMOTE_SLOT_IDLE_MS / 1000)
        if not self._service.demand(zone):
            self._holder.return_idle(zone)
        return True

    async def _exchange_report(
        self, zone: ZoneName, demand: tuple[tuple[ServiceName, int], ...]
    ) -> "_ReportStatus":
        """Send one report and apply the reply.

        The exchange is abandoned if the report becomes outdated or the event loop
        stalls before the owner has replied.
        """
        wait_ms = DEMAND_WAIT_MS if demand else REPORT_WAIT_MS
        if self._confirmed_stalls.get(zone, 0) < self._stall_count:
            wait_ms = 0
        wake = self._wake_events[zone]
        wake.clear()
        sent_ms = self._clock.monotonic_ms()
        stall_count = self._stall_count
        leaving = self._router.self_reported_leaving(zone, sent_ms)
        # Close the connections of returned tokens before the owner lends these again.
        self._update_limits()
        report = self._holder.next_report(
            zone,
            demand,
            wait_ms,
            self._clock.unix_ms(),
            leaving_upstream_ids=leaving,
        )
        exchange = asyncio.ensure_future(self._exchange.exchange(zone, report))
        try:
            while not exchange.done():
                wake_wait = asyncio.ensure_future(wake.wait())
                try:
                    await asyncio.wait(
                        {exchange, wake_wait}, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    wake_wait.cancel()
                if exchange.done():
                    break
                wake.clear()
                elapsed_ms = self._clock.monotonic_ms() - sent_ms
                if elapsed_ms < REPORT_INTERVAL_MS:
                    remaining_ms = REPORT_INTERVAL_MS - elapsed_ms
                    await asyncio.wait({exchange}, timeout=remaining_ms / 1000)
                if exchange.done():
                    break
                if stall_count != self._stall_count:
                    return _ReportStatus.ABANDONED
                if self._is_outdated(zone, demand, report):
                    return _ReportStatus.ABANDONED
        finally:
            # The number of an abandoned report tells that its reply is to be ignored.
            if not exchange.done():
                exchange.cancel()
        result = exchange.result()
        if result.is_error() or result.ok.refused_epoch:
            return _ReportStatus.FAILED
        if self._holder.apply(zone, result.ok):
            wake.set()
        self._update_limits()
        self._service.slots_changed()
        return _ReportStatus.ANSWERED

    def _is_outdated(
        self,
        zone: ZoneName,
        demand: tuple[tuple[ServiceName, int], ...],
        report: SlotReport,
    ) -> bool:
        """Return whether the report that the owner has not answered yet is outdated.

        It is if slots were returned, upstreams announced their shutdown or the demand
        for a service grew by more than half since then.
        """
        if len(self._holder.held(zone)) < len(report.held):
            return True
        now_ms = self._clock.monotonic_ms()
        leaving = self._router.self_reported_leaving(zone, now_ms)
        if set(leaving) - set(report.leaving_upstream_ids):
            return True
        reported = dict(demand)
        return any(
            waiting > 1.5 * reported.get(service, 0)
            for service, waiting in self._service.demand(zone)
        )

    def _update_limits(self) -> None:
        if self._set_connection_limit is None:
            return
        held = set(self._holder.upstream_ids())
        for upstream_id in held | self._limited_upstream_ids:
            count = self._holder.held_count(upstream_id)
            self._set_connection_limit(upstream_id, count * CONNECTIONS_PER_TOKEN)
        self._limited_upstream_ids = held
