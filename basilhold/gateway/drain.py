"""Planned stop of a gateway."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from basilhold.gateway.events import (
    DRAIN_ENDED,
    DRAIN_INCOMPLETE,
    DRAIN_STARTED,
    REQUEST_CANCELLED,
)
from basilhold.gateway.service import RequestService
from basilhold.observability import log_event

__all__ = ["Drain", "DrainEnd", "DrainReport"]


class DrainEnd(Enum):
    """Why a stop has ended."""

    FINISHED = "finished"
    SECOND_REQUEST = "second stop request"
    TIME_BOUND = "time bound"


class DrainReport(msgspec.Struct, frozen=True):
    """Result of a stop.

    Parameters
    ----------
    end : DrainEnd
    cut : tuple of str
        A line for each request that was cut.
    unrecorded_count : int
        Results of keyed requests that the store did not take; their callers have
        their answers, and repeats get the outcome unknown.
    """

    end: DrainEnd
    cut: tuple[str, ...] = ()
    unrecorded_count: int = 0


class Drain:
    """Stops a gateway without interrupting requests.

    Parameters
    ----------
    service : RequestService
    stop_accepting : callable
        Closes the listening sockets.
    return_slots : callable
        Hands the slot tokens back; awaited after the last request.
    grace_ms : int
        Time until the load balancer has seen that the gateway is not ready, in
        milliseconds. New requests are served in it.
    bound_ms : int
        Time for the requests in flight after the grace period, in milliseconds. It
        should exceed the longest timeout of any class.
    """

    def __init__(
        self,
        service: RequestService,
        stop_accepting: Callable[[], None],
        return_slots: Callable[[], Awaitable[None]],
        grace_ms: int = 5000,
        bound_ms: int = 60_000,
    ):
        self._service = service
        self._stop_accepting = stop_accepting
        self._return_slots = return_slots
        self._grace_ms = grace_ms
        self._bound_ms = bound_ms
        self._requested = asyncio.Event()
        self._hurried = asyncio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested, so that the gateway is not ready."""
        return self._requested.is_set()

    def request_stop(self) -> None:
        """Begin the stop; a second call ends it at once. For signal handlers."""
        if self._requested.is_set():
            self._hurried.set()
        self._requested.set()

    async def run(self) -> DrainReport:
        """Wait for a stop request, carry it out and report what was cut."""
        await self._requested.wait()
        service = self._service
        log_event(DRAIN_STARTED, count=service.in_flight_count)
        end = DrainEnd.FINISHED
        if await self._hurried_within(asyncio.sleep(self._grace_ms / 1000)):
            end = DrainEnd.SECOND_REQUEST
        self._stop_accepting()
        service.stopping = True
        if end is DrainEnd.FINISHED:
            end = await self._finish_requests()
        unrecorded_count = service.unrecorded_count
        report = DrainReport(end, await self._cut(end), unrecorded_count)
        await self._return_slots()
        return report

    async def _finish_requests(self) -> DrainEnd:
        try:
            async with asyncio.timeout(self._bound_ms / 1000):
                hurried = await self._hurried_within(self._service.wait_idle())
        except TimeoutError:
            return DrainEnd.TIME_BOUND
        return DrainEnd.SECOND_REQUEST if hurried else DrainEnd.FINISHED

    async def _hurried_within(self, work: Awaitable[object]) -> bool:
        """Wait for work or a second stop request; return whether the latter came."""
        working = asyncio.ensure_future(work)
        hurried = asyncio.ensure_future(self._hurried.wait())
        try:
            await asyncio.wait({working, hurried}, return_when=asyncio.FIRST_COMPLETED)
            return not working.done()
        finally:
            working.cancel()
            hurried.cancel()

    async def _cut(self, end: DrainEnd) -> tuple[str, ...]:
        if end is DrainEnd.FINISHED:
            log_event(DRAIN_ENDED)
            return ()
        cut = tuple(await self._service.cancel_requests())
        for request in cut:
            log_event(REQUEST_CANCELLED, request=request)
        log_event(DRAIN_INCOMPLETE, count=len(cut), reason=end.value)
        return cut
