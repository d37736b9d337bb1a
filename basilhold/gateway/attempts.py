"""Single attempts to send a request to an upstream."""

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
"""Delay before the slot of an attempt without a complete answer is released.

The upstream sees the closed connection only after the network latency, which is 30 ms
between regions, and keeps processing the request until then.
"""

TIMEOUT_FAILURE_FACTOR = 3.0
"""Multiple of the mean duration from which a timeout counts as an upstream failure.

Shorter timeouts are ignored, as callers with very short deadlines would otherwise open
the circuit breaker.
"""


class Attempt(msgspec.Struct, frozen=True):
    """A request to be sent with a slot that was granted to it.

    Parameters
    ----------
    request : CallerRequest
    service : ServiceName
    queued : QueuedRequest
        Queue entry of the request; holds the deadline.
    granted : GrantedSlot
    sink : AttemptSink
        Receives the upstream's answer.
    """

    request: CallerRequest
    service: ServiceName
    queued: QueuedRequest
    granted: GrantedSlot
    sink: AttemptSink


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of an attempt.

    Parameters
    ----------
    complete : bool
        Whether the complete answer has arrived, whatever its status.
    not_sent : bool
        Whether it is certain that the upstream received no byte.
    timed_out : bool
        Whether the attempt failed due to a timeout.
    reason : str
        Description of the failure; empty for a complete answer.
    """

    complete: bool
    not_sent: bool = False
    timed_out: bool = False
    reason: str = ""


class AttemptRunner:
    """Sends requests, releases their slots and records the health of upstreams.

    Parameters
    ----------
    clock : Clock
    router : Router
    client : UpstreamClient
    dispatcher : Dispatcher
    times : ServiceTimes
        Receives the durations of successful requests.
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
        """Send a request once and release its slot.

        The health of the upstream, the durations and the counters are updated.

        Parameters
        ----------
        attempt : Attempt

        Returns
        -------
        AttemptResult

        Raises
        ------
        asyncio.CancelledError
            If the caller disconnected or the request was cancelled. It is neither a
            success nor a failure of the upstream.
        """
        started_ms = self._clock.monotonic_ms()
        health = attempt.granted.upstream.health
        delay_release = True
        try:
            result = await self._send(attempt, started_ms)
            delay_release = not (result.complete or result.not_sent)
            self._record_health(
                attempt, result, self._clock.monotonic_ms() - started_ms
            )
            return result
        except asyncio.CancelledError:
            self._counters.counts[Count.CALLERS_GONE] += 1
            health.record_abandonment(self._clock.monotonic_ms())
            raise
        finally:
            self._release_slot(attempt, delay_release)
            size = len(attempt.request.body) + attempt.sink.size_bytes
            self._dispatcher.count_attempt(attempt.granted.upstream, size)

    async def _send(self, attempt: Attempt, started_ms: float) -> AttemptResult:
        upstream = attempt.granted.upstream
        request = attempt.request
        remaining_ms = int(attempt.queued.deadline_ms - started_ms)
        message = UpstreamRequest(
            upstream.upstream_id,
            upstream.host,
            upstream.port,
            request.method,
            request.path,
            request.headers,
            request.body,
            remaining_ms,
        )
        try:
            async with asyncio.timeout(remaining_ms / 1000):
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
        self, attempt: Attempt, result: AttemptResult, duration_ms: float
    ) -> None:
        upstream = attempt.granted.upstream
        now_ms = self._clock.monotonic_ms()
        class_name = attempt.queued.class_name
        if result.complete and attempt.sink.is_leaving:
            log_event(UPSTREAM_LEAVING, upstream=upstream.upstream_id)
            self._router.report_leaving(upstream.upstream_id, now_ms + LEAVING_MS)
            self._dispatcher.on_shortage()
            return
        if result.complete and not attempt.sink.is_server_error:
            upstream.health.record_success(now_ms)
            self._times.record(attempt.service, class_name, duration_ms)
            return
        if not result.complete and attempt.sink.head is not None:
            self._counters.counts[Count.TRUNCATED_ANSWERS] += 1
        mean_ms = self._times.class_ms(attempt.service, class_name)
        if result.timed_out and duration_ms < TIMEOUT_FAILURE_FACTOR * mean_ms:
            upstream.health.record_abandonment(now_ms)
            return
        was_open = upstream.health.state is BreakerState.OPEN
        upstream.health.record_failure(now_ms)
        if upstream.health.state is BreakerState.OPEN and not was_open:
            log_event(UPSTREAM_BREAKER_OPENED, upstream=upstream.upstream_id)

    def _release_slot(self, attempt: Attempt, delay_release: bool) -> None:
        def release() -> None:
            self._dispatcher.release_slot(
                attempt.service, attempt.queued, attempt.granted
            )

        if delay_release:
            loop = asyncio.get_running_loop()
            loop.call_later(ABANDONED_SLOT_DELAY_MS / 1000, release)
        else:
            release()
