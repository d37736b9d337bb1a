"""Processing of callers' requests, from arrival to the end of the answer."""

import asyncio
import random
from collections.abc import Iterable

import msgspec

from basilhold.core import (
    ClassName,
    Clock,
    ServiceName,
    ZoneName,
)
from basilhold.gateway.active_request import (
    ActiveRequest,
    adjust_outcome_without_lookup,
    check_request,
    make_active_request,
    refusal_detail,
)
from basilhold.gateway.answers import AnswerRecorder, AttemptSink, CallerSink
from basilhold.gateway.attempts import Attempt, AttemptResult, AttemptRunner
from basilhold.gateway.counters import Count, RequestCounters, WaitRatio
from basilhold.gateway.dispatch import Dispatcher
from basilhold.gateway.once import OnceRegistry
from basilhold.gateway.once_results import OnceClaim, Replay
from basilhold.gateway.replay import replay_answer
from basilhold.ports import UpstreamClient, VmRecord
from basilhold.requests import (
    CallerRequest,
    ClassDirectory,
    GatewayIdentity,
    Outcome,
    Problem,
    ProblemKind,
    QueueLimits,
    RequestEnd,
    RetryBudget,
    Router,
    ServiceTimes,
    SlotHolder,
    make_request_key,
)
from basilhold.requests.once import fingerprint, may_send

__all__ = ["RequestService", "ServiceParts"]

ATTEMPTS_MAX = 3
"""Attempts to send a request, including the first one."""

UNKNOWN_CLASS = ClassName("unknown")
"""Counts requests refused on arrival, such as those of undeclared classes."""

READ_MS_MIN = 1000
"""Least time for a caller to read an answer of up to 64 KiB, even at its deadline."""

REPLAYS_MAX = 16
"""Stored answers that are read concurrently; each takes 128 KiB of memory."""

SEND_MARGIN_MS = 20
"""A request is not sent if less time than this remains until its deadline."""


class ServiceParts(msgspec.Struct):
    """Collaborators of a `RequestService`.

    Parameters
    ----------
    identity : GatewayIdentity
    clock : Clock
    classes : ClassDirectory
    router : Router
    holder : SlotHolder
    client : UpstreamClient
    once : OnceRegistry
    rng : random.Random
    counters : RequestCounters
    queue_limits : QueueLimits
    retries : RetryBudget, optional
        By default a new budget that uses `rng`.
    """

    identity: GatewayIdentity
    clock: Clock
    classes: ClassDirectory
    router: Router
    holder: SlotHolder
    client: UpstreamClient
    once: OnceRegistry
    rng: random.Random
    counters: RequestCounters = msgspec.field(default_factory=RequestCounters)
    queue_limits: QueueLimits = QueueLimits()
    retries: RetryBudget | None = None


class RequestService:
    """Validates, queues, sends and answers the requests of one gateway.

    Parameters
    ----------
    parts : ServiceParts

    Attributes
    ----------
    stopping : bool
        Whether new requests are refused because the gateway is shutting down.
    """

    def __init__(self, parts: ServiceParts):
        self._parts = parts
        self._clock = parts.clock
        self._times = ServiceTimes()
        self._retries = parts.retries or RetryBudget(parts.rng)
        self._dispatcher = Dispatcher(
            parts.clock,
            parts.router,
            parts.holder,
            self._times,
            parts.queue_limits,
            parts.counters,
        )
        self._runner = AttemptRunner(
            parts.clock,
            parts.router,
            parts.client,
            self._dispatcher,
            self._times,
            parts.counters,
        )
        self._active_requests: dict[asyncio.Task[RequestEnd], ActiveRequest] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        self._replay_limit = asyncio.Semaphore(REPLAYS_MAX)
        self.stopping = False

    @property
    def counters(self) -> RequestCounters:
        """Counters of this gateway."""
        return self._parts.counters

    @property
    def retries(self) -> RetryBudget:
        """Budget that limits retries."""
        return self._retries

    @property
    def in_flight_count(self) -> int:
        """Number of requests in progress, queued ones included."""
        return len(self._active_requests)

    @property
    def unrecorded_count(self) -> int:
        """Number of results of keyed requests that are not stored yet."""
        return self._parts.once.unrecorded_count

    def in_flight_names(self) -> list[str]:
        """Return a description of each request in progress, for logs."""
        return [
            f"{a.request.method} {a.request.path} of class {a.work_class.name}, "
            f"upstream {a.upstream_id or 'none'}"
            for a in self._active_requests.values()
        ]

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher that queues the requests of this gateway."""
        return self._dispatcher

    def update_upstreams(self, records: Iterable[VmRecord]) -> None:
        """Replace the known upstreams by those of a new VM list."""
        self._parts.router.update(records)
        self._dispatcher.upstreams_changed()

    def slots_changed(self) -> None:
        """Send queued requests after the slots of this gateway have changed."""
        self._dispatcher.dispatch_all()

    def demand(self, zone: ZoneName) -> tuple[tuple[ServiceName, int], ...]:
        """Return how many queued requests could use slots of a zone, by service."""
        return self._dispatcher.demand(zone)

    async def handle(self, request: CallerRequest, sink: CallerSink) -> RequestEnd:
        """Process one request and pass the answer to its caller.

        Cancellation aborts an idempotent request. A non-idempotent one continues in
        the background, so that its result is recorded.

        Parameters
        ----------
        request : CallerRequest
        sink : CallerSink
            Receives the answer.

        Returns
        -------
        RequestEnd
            If it holds a problem although the answer was started, the answer is
            truncated.

        Raises
        ------
        asyncio.CancelledError
            If the call or the request itself was cancelled.
        """
        arrived_ms = self._clock.monotonic_ms()
        self.counters.counts[Count.REQUESTS] += 1
        work_class = self._parts.classes.find(request.class_name)
        problem = check_request(request, work_class, self._parts.router, self.stopping)
        if problem is not None:
            problem = adjust_outcome_without_lookup(problem, request.idempotency_key)
            return self._record_end(UNKNOWN_CLASS, _end_with_problem(problem))
        self.counters.arrived[work_class.name] += 1
        active = make_active_request(request, work_class, sink, arrived_ms)
        task = asyncio.create_task(self._serve(active))
        self._active_requests[task] = active
        self._idle.clear()
        task.add_done_callback(self._remove_finished)
        if active.is_idempotent:
            return self._record_end(work_class.name, await task)
        return self._record_end(work_class.name, await asyncio.shield(task))

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and all results are recorded."""
        await self._idle.wait()
        await self._parts.once.wait_recorded()

    async def cancel_requests(self) -> list[str]:
        """Cancel all requests in progress and return a description of each."""
        names = self.in_flight_names()
        tasks = list(self._active_requests)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return names

    def _remove_finished(self, task: asyncio.Task[RequestEnd]) -> None:
        del self._active_requests[task]
        if not self._active_requests:
            self._idle.set()
        if not task.cancelled():
            task.exception()

    def _record_end(self, class_name: ClassName, end: RequestEnd) -> RequestEnd:
        self.counters.record_outcome(class_name, end.outcome)
        if end.problem is not None:
            self.counters.problems[end.problem.kind] += 1
        if end.replayed:
            self.counters.counts[Count.REPLAYS] += 1
        return end

    async def _serve(self, active: ActiveRequest) -> RequestEnd:
        service = active.work_class.service
        refusal = self._dispatcher.refusal(service, active.queued)
        if active.is_idempotent:
            if refusal is not None:
                return _end_with_problem(self._make_refusal(active, refusal))
            self._retries.count_request()
            return await self._run(active)
        opened = await self._open_record(active, refusal)
        if isinstance(opened, Problem):
            return _end_with_problem(opened)
        if isinstance(opened, Replay):
            return await self._play_back(active, opened)
        active.claim = opened
        self._retries.count_request()
        return await self._run_non_idempotent(active, opened)

    async def _open_record(
        self, active: ActiveRequest, refusal: ProblemKind | None
    ) -> OnceClaim | Replay | Problem:
        request = active.request
        key = make_request_key(
            request.team, request.class_name, request.idempotency_key
        )
        once = self._parts.once
        deadline_ms = active.queued.deadline_ms
        if refusal is None:
            return await once.claim(key, fingerprint(request), deadline_ms)
        # The refused request may repeat one that has already run.
        earlier = await once.look_up(key, fingerprint(request), deadline_ms)
        return self._make_refusal(active, refusal) if earlier is None else earlier

    async def _play_back(self, active: ActiveRequest, replay: Replay) -> RequestEnd:
        remaining_ms = active.queued.deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(remaining_ms / 1000), self._replay_limit:
                return await replay_answer(
                    replay, self._parts.once.objects, active.sink
                )
        except TimeoutError:
            detail = "the request has run, but the deadline of this repeat has passed"
            return _end_with_problem(
                Problem(ProblemKind.TIMED_OUT, Outcome.RAN, detail, 1)
            )

    async def _run_non_idempotent(
        self, active: ActiveRequest, ticket: OnceClaim
    ) -> RequestEnd:
        outcome = Outcome.UNKNOWN
        try:
            end = await self._run(active)
            outcome = end.outcome
            return end
        finally:
            # The result of a complete answer was recorded in `_finish`.
            if outcome is Outcome.NOT_RUN or (
                outcome is Outcome.UNKNOWN and not active.was_sent
            ):
                self._parts.once.release_not_run(ticket)
            elif outcome is Outcome.UNKNOWN:
                self._parts.once.release_unknown(ticket)

    async def _run(self, active: ActiveRequest) -> RequestEnd:
        service = active.work_class.service
        while True:
            granted = await self._dispatcher.wait(service, active.queued)
            if isinstance(granted, ProblemKind):
                return _end_with_problem(self._make_refusal(active, granted))
            if not self._may_send(active):
                self._dispatcher.release_slot(service, active.queued, granted)
                return _end_with_problem(
                    self._make_refusal(active, ProblemKind.TIMED_OUT)
                )
            end = await self._attempt(active, granted)
            if end is not None:
                return end

    def _may_send(self, active: ActiveRequest) -> bool:
        remaining_ms = active.queued.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms < SEND_MARGIN_MS:
            return False
        ticket = active.claim
        return ticket is None or may_send(ticket.record, self._clock.unix_ms())

    async def _attempt(self, active: ActiveRequest, granted) -> RequestEnd | None:
        """Send a request once; return ``None`` if it is to be retried."""
        recorder = None
        if active.claim is not None:
            recorder = AnswerRecorder(
                self._parts.once.objects,
                active.claim.key,
                active.claim.record.write_id,
                self.counters,
            )
        sink = AttemptSink(active.sink, recorder)
        active.attempts += 1
        active.upstream_id = granted.upstream.upstream_id
        if active.attempts == 1:
            waited_ms = self._clock.monotonic_ms() - active.queued.arrived_ms
            name = active.work_class.name
            ratio = waited_ms / active.queued.target_ms
            self.counters.wait_ratios.append(WaitRatio(name, ratio))
            if ratio <= 1:
                self.counters.on_target[active.work_class.name] += 1
        was_sent = active.was_sent
        # Set before the first byte can be written, as a request that is cancelled while
        # it is sent must not be reported as not run.
        active.was_sent = True
        result = await self._runner.run(
            Attempt(
                active.request,
                service=active.work_class.service,
                queued=active.queued,
                granted=granted,
                sink=sink,
            )
        )
        if result.not_sent:
            active.was_sent = was_sent
        if await self._prepare_retry(active, result, sink):
            return None
        return await self._finish(active, result, sink)

    async def _prepare_retry(
        self, active: ActiveRequest, result: AttemptResult, sink: AttemptSink
    ) -> bool:
        """Return whether to retry a request, after the delay before the retry.

        Only server errors and incomplete answers are retried, while nothing was passed
        on to the caller, another upstream and budget are left and the deadline allows
        it. Requests that are not idempotent are retried only if they were not sent.
        """
        active.last_reason = result.reason
        failed = not result.complete or sink.is_server_error
        if not failed or sink.forwarding_started or active.attempts >= ATTEMPTS_MAX:
            return False
        if not (active.is_idempotent or result.not_sent):
            return False
        delay_ms = self._retries.delay_ms(active.attempts)
        queued = active.queued
        excluded = queued.excluded | {active.upstream_id}
        if (
            self._parts.router.upstreams_of_service(active.work_class.service)
            <= excluded
        ):
            return False
        service_ms = self._times.class_ms(
            active.work_class.service, active.work_class.name
        )
        now_ms = self._clock.monotonic_ms()
        if now_ms + delay_ms + service_ms > queued.deadline_ms - SEND_MARGIN_MS:
            return False
        if not self._retries.try_consume():
            return False
        self.counters.counts[Count.RETRIES] += 1
        queued.excluded = excluded
        await asyncio.sleep(delay_ms / 1000)
        return True

    async def _finish(
        self, active: ActiveRequest, result: AttemptResult, sink: AttemptSink
    ) -> RequestEnd:
        if result.complete:
            problem = await self._forward_answer(active, sink)
            answer = await sink.record()
            if active.claim is not None and answer is not None:
                self._parts.once.record_answer(active.claim, answer)
            return RequestEnd(Outcome.RAN, problem)
        outcome = Outcome.UNKNOWN if active.was_sent else Outcome.NOT_RUN
        kind = (
            ProblemKind.TIMED_OUT if result.timed_out else ProblemKind.UPSTREAM_FAILED
        )
        if outcome is Outcome.NOT_RUN:
            kind = ProblemKind.NO_UPSTREAM
        return _end_with_problem(Problem(kind, outcome, result.reason, 1))

    async def _forward_answer(
        self, active: ActiveRequest, sink: AttemptSink
    ) -> Problem | None:
        """Pass on a complete answer within a time limit for the caller to read it."""
        remaining_ms = active.queued.deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(max(remaining_ms, READ_MS_MIN) / 1000):
                await sink.complete()
        except TimeoutError:
            detail = "the request has run, but its answer was not read in time"
            return Problem(ProblemKind.TIMED_OUT, Outcome.RAN, detail)
        return None

    def _make_refusal(self, active: ActiveRequest, kind: ProblemKind) -> Problem:
        outcome = Outcome.UNKNOWN if active.was_sent else Outcome.NOT_RUN
        detail = refusal_detail(kind)
        if active.last_reason:
            detail = f"{detail}; the last attempt failed: {active.last_reason}"
        if kind is ProblemKind.TIMED_OUT and outcome is Outcome.NOT_RUN:
            kind = ProblemKind.DEADLINE_UNREACHABLE
        retry_after_s = self._dispatcher.retry_after_s(active.work_class.service)
        return Problem(kind, outcome, detail, retry_after_s)


def _end_with_problem(problem: Problem) -> RequestEnd:
    return RequestEnd(problem.outcome, problem)
