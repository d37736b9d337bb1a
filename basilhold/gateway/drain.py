"""Graceful stop of a gateway."""

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
    """Why the wait for requests in flight has ended."""

    FINISHED = "finished"
    SECOND_REQUEST = "second stop request"
    TIME_LIMIT = "time bound"


class DrainReport(msgspec.Struct, frozen=True):
    """Result of a graceful stop.

    Parameters
    ----------
    end : DrainEnd
    cut : tuple of str
        Description of each request that was cancelled.
    unrecorded_count : int
        Number of results of keyed requests that were not written to the store. Their
        callers have received the answers, but repeats get the outcome unknown.
    """

    end: DrainEnd
    cut: tuple[str, ...] = ()
    unrecorded_count: int = 0


class Drain:
    """Stops a gateway after its requests in flight have ended.

    Parameters
    ----------
    service : RequestService
    stop_accepting : callable
        Closes the listening sockets.
    return_slots : callable
        Returns the slot tokens to their owners; awaited after the last request.
    grace_ms : int
        Time in which the load balancer learns that the gateway is not ready, in
        milliseconds. New requests are still served during it.
    timeout_ms : int
        Time for the requests in flight to end after the grace period, in milliseconds.
        Requests that take longer are cancelled, so it should exceed the longest timeout
        of any class.
    """

    def __init__(
        self,
        service: RequestService,
        stop_accepting: Callable[[], None],
        return_slots: Callable[[], Awaitable[None]],
        grace_ms: int = 5000,
        timeout_ms: int = 60_000,
    ):
        self._service = service
        self._stop_accepting = stop_accepting
        self._return_slots = return_slots
        self._grace_ms = grace_ms
        self._timeout_ms = timeout_ms
        self._requested = asyncio.Event()
        self._stop_at_once = asyncio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested; the gateway reports not ready from then on."""
        return self._requested.is_set()

    def request_stop(self) -> None:
        """Begin the stop, or end it at once if it has begun.

        Can be used as a signal handler of the event loop.
        """
        if self._requested.is_set():
            self._stop_at_once.set()
        self._requested.set()

    async def run(self) -> DrainReport:
        """Wait for a stop request, stop the gateway and report cancelled requests."""
        await self._requested.wait()
        service = self._service
        log_event(DRAIN_STARTED, count=service.in_flight_count)
        end = DrainEnd.FINISHED
        if await self._is_interrupted_during(asyncio.sleep(self._grace_ms / 1000)):
            end = DrainEnd.SECOND_REQUEST
        self._stop_accepting()
        service.stopping = True
        if end is DrainEnd.FINISHED:
            end = await self._finish_requests()
        unrecorded_count = service.unrecorded_count
        report = DrainReport(end, await self._cancel_requests(end), unrecorded_count)
        await self._return_slots()
        return report

    async def _finish_requests(self) -> DrainEnd:
        try:
            async with asyncio.timeout(self._timeout_ms / 1000):
                interrupted = await self._is_interrupted_during(
                    self._service.wait_idle()
                )
        except TimeoutError:
            return DrainEnd.TIME_LIMIT
        return DrainEnd.SECOND_REQUEST if interrupted else DrainEnd.FINISHED

    async def _is_interrupted_during(self, work: Awaitable[object]) -> bool:
        """Wait until work ends; return whether a second stop request came first."""
        work_task = asyncio.ensure_future(work)
        second_request = asyncio.ensure_future(self._stop_at_once.wait())
        try:
            await asyncio.wait(
                {work_task, second_request}, return_when=asyncio.FIRST_COMPLETED
            )
            return not work_task.done()
        finally:
            work_task.cancel()
            second_request.cancel()

    async def _cancel_requests(self, end: DrainEnd) -> tuple[str, ...]:
        if end is DrainEnd.FINISHED:
            log_event(DRAIN_ENDED)
            return ()
        cut = tuple(await self._service.cancel_requests())
        for request in cut:
            log_event(REQUEST_CANCELLED, request=request)
        log_event(DRAIN_INCOMPLETE, count=len(cut), reason=end.value)
        return cut
