"""Exchanges slot reports with the owners of all zones that have upstreams."""

import asyncio
import random
from collections.abc import Callable
from typing import Self

from basilhold.core import Clock, RegionName, ServiceName, UpstreamId, ZoneName
from basilhold.gateway.events import SLOT_EXCHANGE_FAILED
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

__all__ = ["SlotLoop"]

REPORT_WAIT_MS = 5000
DEMAND_WAIT_MS = 1000
"""With open demand, the owner gets a fresh count this often."""

REPORT_INTERVAL_MS = 100
"""Least time between reports to one owner; bounds the traffic under load."""

REMOTE_IDLE_MS = 1000
"""Idle slots of another region are given back after this time."""

RETRY_MS = 500
RETURN_TIMEOUT_MS = 2000


class SlotLoop:
    """Keeps a gateway's slots up to date.

    Parameters
    ----------
    identity : GatewayIdentity
    clock : Clock
    router : Router
    holder : SlotHolder
    service : RequestService
    exchange : SlotExchange
    rng : random.Random
    set_connection_limit : callable, optional
        Called with an upstream's id and the number of connections that the slots
        held allow.
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
        self._set_limit = set_connection_limit
        self._tasks: dict[ZoneName, asyncio.Task[None]] = {}
        self._wakes: dict[ZoneName, asyncio.Event] = {}
        self._limited: set[UpstreamId] = set()
        service.set_on_shortage(self._wake_all)
        holder.on_return = self._wake

    async def __aenter__(self) -> Self:
        self.refresh()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def refresh(self) -> None:
        """Start exchanges with the owners of new zones; call it after list changes."""
        for zone, region in self._router.zones().items():
            if zone not in self._tasks:
                self._wakes[zone] = asyncio.Event()
                self._tasks[zone] = asyncio.create_task(self._run(zone, region))
        self._update_limits()

    async def return_all(self) -> None:
        """Hand all slots back and stop; for a planned stop."""
        await self.__aexit__()
        for zone in self._tasks:
            self._holder.return_idle(zone)
        await asyncio.gather(*(self._say_goodbye(zone) for zone in self._tasks))

    async def _say_goodbye(self, zone: ZoneName) -> None:
        report = self._holder.next_report(
            zone, now_unix_ms=self._clock.unix_ms(), leaving=True
        )
        try:
            async with asyncio.timeout(RETURN_TIMEOUT_MS / 1000):
                await self._exchange.exchange(zone, report)
        except TimeoutError:
            log_event(SLOT_EXCHANGE_FAILED, zone=zone, reason="no reply at the stop")

    def _wake(self, zone: ZoneName) -> None:
        if zone in self._wakes:
            self._wakes[zone].set()

    def _wake_all(self) -> None:
        for event in self._wakes.values():
            event.set()

    async def _run(self, zone: ZoneName, region: RegionName) -> None:
        home = region == self._identity.region
        failing = False
        while True:
            demand = self._service.demand(zone)
            if not home and not demand:
                due = await self._wait_for_demand(zone)
                demand = self._service.demand(zone)
                if not demand and not due:
                    continue
            failure = await self._report(zone, demand)
            if failure and not failing:
                log_event(SLOT_EXCHANGE_FAILED, zone=zone, reason=failure)
            failing = bool(failure)
            delay_ms = RETRY_MS if failure else REPORT_INTERVAL_MS
            await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)

    async def _wait_for_demand(self, zone: ZoneName) -> bool:
        """Wait for waiting requests and return whether a report is due without them.

        Idle slots of another region are given back after a while.
        """
        wake = self._wakes[zone]
        wake.clear()
        if not self._holder.held(zone):
            await wake.wait()
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)
            return False
        await asyncio.sleep(REMOTE_IDLE_MS / 1000)
        if not self._service.demand(zone):
            self._holder.return_idle(zone)
        return True

    async def _report(
        self, zone: ZoneName, demand: tuple[tuple[ServiceName, int], ...]
    ) -> str:
        """Exchange one report and return why it failed, if it did."""
        wait_ms = DEMAND_WAIT_MS if demand else REPORT_WAIT_MS
        wake = self._wakes[zone]
        wake.clear()
        sent_ms = self._clock.monotonic_ms()
        leaving = self._router.self_reported_leaving(zone, sent_ms)
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
                waking = asyncio.ensure_future(wake.wait())
                await asyncio.wait(
                    {exchange, waking}, return_when=asyncio.FIRST_COMPLETED
                )
                waking.cancel()
                if exchange.done():
                    break
                wake.clear()
                elapsed_ms = self._clock.monotonic_ms() - sent_ms
                if elapsed_ms < REPORT_INTERVAL_MS:
                    pause_ms = REPORT_INTERVAL_MS - elapsed_ms
                    await asyncio.wait({exchange}, timeout=pause_ms / 1000)
                if not exchange.done() and self._is_outdated(zone, demand, report):
                    return ""
        finally:
            # The reply to an abandoned report is ignored, by its number.
            if not exchange.done():
                exchange.cancel()
        result = exchange.result()
        if result.is_error():
            return result.error.reason
        if result.ok.refused_epoch:
            return "the owner has been replaced"
        if self._holder.apply(zone, result.ok):
            wake.set()
        self._update_limits()
        self._service.slots_changed()
        return ""

    def _is_outdated(
        self,
        zone: ZoneName,
        demand: tuple[tuple[ServiceName, int], ...],
        report: SlotReport,
    ) -> bool:
        """Return whether the report that is waiting at the owner is outdated."""
        if len(self._holder.held(zone)) < len(report.held):
            return True
        now_ms = self._clock.monotonic_ms()
        leaving = self._router.self_reported_leaving(zone, now_ms)
        if set(leaving) - set(report.leaving_upstream_ids):
            return True
        known = dict(demand)
        return any(
            waiting > 1.5 * known.get(service, 0)
            for service, waiting in self._service.demand(zone)
        )

    def _update_limits(self) -> None:
        if self._set_limit is None:
            return
        held = set(self._holder.upstream_ids())
        for upstream_id in held | self._limited:
            count = self._holder.held_count(upstream_id)
            self._set_limit(upstream_id, count * CONNECTIONS_PER_TOKEN)
        self._limited = held
