"""Sends one request to one upstream."""

import asyncio

import msgspec

from basilhold.core import Clock, ServiceName
from basilhold.gateway.answers import AttemptSink
from basilhold.gateway.counters import Count, RequestCounters
from basilhold.gateway.dispatch import Dispatcher, GrantedSlot
from basilhold.gateway.events import UPSTREAM_BREAKER_OPENED, UPSTREAM_LEAVING
from basilhold.observability import log_event
from basilhold.ports import SendError, SendPhase, UpstreamClient, UpstreamRequest
from basilhold.requests import (
    LEAVING_MS,
    BreakerState,
    CallerRequest,
    QueuedRequest,
    Router,
    ServiceTimes,
)

__all__ = ["Attempt", "AttemptResult", "AttemptRunner"]

ABANDONED_SLOT_DELAY_MS = 200
"""How long a slot stays taken after a request without a whole answer.

The upstream learns of the closed connection one cross-region latency (30 ms) later;
until then it still works on the request.
"""

TIMEOUT_FAILURE_FACTOR = 3.0
"""A timeout counts against the upstream only if it took this many mean times.

Otherwise callers with very short deadlines would open the breaker.
"""


class Attempt(msgspec.Struct, frozen=True):
    """A request that has a slot."""

    request: CallerRequest
    service: ServiceName
    queued: QueuedRequest
    granted: GrantedSlot
    sink: AttemptSink


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Parameters
    ----------
    whole : bool
        Whether the whole answer has arrived.
    not_sent : bool
        Whether it is certain that the upstream received no byte.
    timed_out : bool
    reason : str
    """

    complete: bool
    not_sent: bool = False
    timed_out: bool = False
    reason: str = ""


class AttemptRunner:
    """Sends requests, frees their slots and records the upstreams' health.

    Parameters
    ----------
    clock : Clock
    router : Router
    client : UpstreamClient
    dispatcher : Dispatcher
    times : ServiceTimes
    counters : RequestCounters
    """

    def __init__(
        self,
        clock: Clock,
        router: Router,
        client: UpstreamClient,
        dispatcher: Dispatcher,
        times: ServiceTimes,
        counters: RequestCounters,
    ):
        self._clock = clock
        self._router = router
        self._client = client
        self._dispatcher = dispatcher
        self._times = times
        self._counters = counters

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Send a request and return how that ended; the slot is freed."""
        started_ms = self._clock.monotonic_ms()
        health = attempt.granted.upstream.health
        linger = True
        try:
            end = await self._send(attempt, started_ms)
            linger = not (end.complete or end.not_sent)
            self._record_health(attempt, end, self._clock.monotonic_ms() - started_ms)
            return end
        except asyncio.CancelledError:
            self._counters.counts[Count.CALLERS_GONE] += 1
            health.abandoned(self._clock.monotonic_ms())
            raise
        finally:
            self._release_slot(attempt, linger)
            size = len(attempt.request.body) + attempt.sink.size_bytes
            self._dispatcher.count_attempt(attempt.granted.upstream, size)

    async def _send(self, attempt: Attempt, started_ms: float) -> AttemptResult:
        upstream = attempt.granted.upstream
        request = attempt.request
        left_ms = int(attempt.queued.deadline_ms - started_ms)
        message = UpstreamRequest(
            upstream.upstream_id,
            upstream.host,
            upstream.port,
            request.method,
            request.path,
            request.headers,
            request.body,
            left_ms,
        )
        try:
            async with asyncio.timeout(left_ms / 1000):
                result = await self._client.send(message, attempt.sink)
        except TimeoutError:
            return AttemptResult(
                False, timed_out=True, reason="the deadline has passed"
            )
        if result.is_ok():
            return AttemptResult(True)
        error: SendError = result.error
        return AttemptResult(
            False,
            not_sent=error.phase is SendPhase.NOT_SENT,
            timed_out=error.timed_out,
            reason=error.reason,
        )

    def _record_health(
        self, attempt: Attempt, end: AttemptResult, duration_ms: float
    ) -> None:
        upstream = attempt.granted.upstream
        now_ms = self._clock.monotonic_ms()
        class_name = attempt.queued.class_name
        if end.complete and attempt.sink.is_leaving:
            log_event(UPSTREAM_LEAVING, upstream=upstream.upstream_id)
            self._router.report_leaving(upstream.upstream_id, now_ms + LEAVING_MS)
            self._dispatcher.on_shortage()
            return
        if end.complete and not attempt.sink.is_server_error:
            upstream.health.succeeded(now_ms)
            self._times.record(attempt.service, class_name, duration_ms)
            return
        if not end.complete and attempt.sink.head is not None:
            self._counters.counts[Count.TRUNCATED_ANSWERS] += 1
        mean_ms = self._times.class_ms(attempt.service, class_name)
        if end.timed_out and duration_ms < TIMEOUT_FAILURE_FACTOR * mean_ms:
            upstream.health.abandoned(now_ms)
            return
        was_open = upstream.health.state is BreakerState.OPEN
        upstream.health.failed(now_ms)
        if upstream.health.state is BreakerState.OPEN and not was_open:
            log_event(UPSTREAM_BREAKER_OPENED, upstream=upstream.upstream_id)

    def _release_slot(self, attempt: Attempt, linger: bool) -> None:
        def give_back() -> None:
            self._dispatcher.release_slot(
                attempt.service, attempt.queued, attempt.granted
            )

        if linger:
            loop = asyncio.get_running_loop()
            loop.call_later(ABANDONED_SLOT_DELAY_MS / 1000, give_back)
        else:
            give_back()
