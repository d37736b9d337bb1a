"""Takes a caller's request through queue, record, slot and upstream."""

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
from basilhold.gateway.once import OnceKeeper
from basilhold.gateway.once_results import OnceTicket, Replay
from basilhold.gateway.replay import play_back
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
UNKNOWN_CLASS = ClassName("unknown")
"""Stands in the counts for class names that no office declares."""

READ_MS_MIN = 1000
"""Time that a caller has to read an answer of up to 64 KiB, even at its deadline."""

REPLAYS_MAX = 16
"""Stored answers that are read at a time; each takes 128 KiB."""

SEND_MARGIN_MS = 20
"""Nothing is sent when less than this is left until the deadline."""


class ServiceParts(msgspec.Struct):
    """What a `RequestService` is made of.

    Parameters
    ----------
    identity : GatewayIdentity
    clock : Clock
    classes : ClassDirectory
    router : Router
    holder : SlotHolder
    client : UpstreamClient
    once : OnceKeeper
    rng : random.Random
    counters : RequestCounters
    queue_limits : QueueLimits
    retries : RetryBudget, optional
    """

    identity: GatewayIdentity
    clock: Clock
    classes: ClassDirectory
    router: Router
    holder: SlotHolder
    client: UpstreamClient
    once: OnceKeeper
    rng: random.Random
    counters: RequestCounters = msgspec.field(default_factory=RequestCounters)
    queue_limits: QueueLimits = QueueLimits()
    retries: RetryBudget | None = None


class RequestService:
    """Serves the requests of one gateway.

    Parameters
    ----------
    parts : ServiceParts
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
        """Counts of this gateway."""
        return self._parts.counters

    @property
    def retries(self) -> RetryBudget:
        """Budget of repeated attempts."""
        return self._retries

    @property
    def in_flight_count(self) -> int:
        """Number of requests that have not ended."""
        return len(self._active_requests)

    @property
    def unrecorded_count(self) -> int:
        """Number of results of keyed requests that wait for the store."""
        return self._parts.once.unrecorded_count

    def in_flight_names(self) -> list[str]:
        """Return a line for each request that has not ended."""
        return [
            f"{c.request.method} {c.request.path} of class {c.work_class.name}, "
            f"upstream {c.upstream_id or 'none'}"
            for c in self._active_requests.values()
        ]

    @property
    def dispatcher(self) -> Dispatcher:
        """Queues of this gateway."""
        return self._dispatcher

    def update_upstreams(self, records: Iterable[VmRecord]) -> None:
        """Replace the list of upstreams by that of the VM list."""
        self._parts.router.update(records)
        self._dispatcher.upstreams_changed()

    def slots_changed(self) -> None:
        """Send waiting requests after slots have arrived."""
        self._dispatcher.dispatch_all()

    def demand(self, zone: ZoneName) -> tuple[tuple[ServiceName, int], ...]:
        """Return how many waiting requests could use slots of a zone, by service."""
        return self._dispatcher.demand(zone)

    async def handle(self, request: CallerRequest, sink: CallerSink) -> RequestEnd:
        """Serve one request.

        A cancelled call abandons an idempotent request. A non-idempotent one goes on,
        so that its result is recorded.

        Parameters
        ----------
        request : CallerRequest
        sink : CallerSink

        Returns
        -------
        RequestEnd
            If it holds a problem and the answer was started, the answer is cut.
        """
        arrived_ms = self._clock.monotonic_ms()
        self.counters.counts[Count.REQUESTS] += 1
        work_class = self._parts.classes.find(request.class_name)
        problem = check_request(request, work_class, self._parts.router, self.stopping)
        if problem is not None:
            problem = adjust_outcome_without_lookup(problem, request.idempotency_key)
            return self._record_end(UNKNOWN_CLASS, _end_with_problem(problem))
        self.counters.arrived[work_class.name] += 1
        course = make_active_request(request, work_class, sink, arrived_ms)
        task = asyncio.create_task(self._serve(course))
        self._active_requests[task] = course
        self._idle.clear()
        task.add_done_callback(self._remove_finished)
        if course.is_idempotent:
            return self._record_end(work_class.name, await task)
        return self._record_end(work_class.name, await asyncio.shield(task))

    async def wait_idle(self) -> None:
        """Wait until no request is in flight and all results are recorded."""
        await self._idle.wait()
        await self._parts.once.settle()

    async def cancel_requests(self) -> list[str]:
        """Cancel all requests in flight and return a line for each."""
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

    async def _serve(self, course: ActiveRequest) -> RequestEnd:
        service = course.work_class.service
        refusal = self._dispatcher.refusal(service, course.queued)
        if course.is_idempotent:
            if refusal is not None:
                return _end_with_problem(self._make_refusal(course, refusal))
            self._retries.count_request()
            return await self._run(course)
        opening = await self._open_record(course, refusal)
        if isinstance(opening, Problem):
            return _end_with_problem(opening)
        if isinstance(opening, Replay):
            return await self._play_back(course, opening)
        course.ticket = opening
        self._retries.count_request()
        return await self._run_non_idempotent(course, opening)

    async def _open_record(
        self, course: ActiveRequest, refusal: ProblemKind | None
    ) -> OnceTicket | Replay | Problem:
        request = course.request
        key = make_request_key(
            request.team, request.class_name, request.idempotency_key
        )
        once = self._parts.once
        deadline_ms = course.queued.deadline_ms
        if refusal is None:
            return await once.open(key, fingerprint(request), deadline_ms)
        # The refused request may be the repeat of one that has run.
        earlier = await once.look_up(key, fingerprint(request), deadline_ms)
        return self._make_refusal(course, refusal) if earlier is None else earlier

    async def _play_back(self, course: ActiveRequest, replay: Replay) -> RequestEnd:
        left_ms = course.queued.deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(left_ms / 1000), self._replay_limit:
                return await play_back(replay, self._parts.once.objects, course.sink)
        except TimeoutError:
            detail = "the request has run, but the deadline of this repeat has passed"
            return _end_with_problem(
                Problem(ProblemKind.TIMED_OUT, Outcome.RAN, detail, 1)
            )

    async def _run_non_idempotent(
        self, course: ActiveRequest, ticket: OnceTicket
    ) -> RequestEnd:
        outcome = Outcome.UNKNOWN
        try:
            end = await self._run(course)
            outcome = end.outcome
            return end
        finally:
            # A whole answer was recorded by the attempt itself.
            if outcome is Outcome.NOT_RUN or (
                outcome is Outcome.UNKNOWN and not course.was_sent
            ):
                self._parts.once.not_run(ticket)
            elif outcome is Outcome.UNKNOWN:
                self._parts.once.unknown(ticket)

    async def _run(self, course: ActiveRequest) -> RequestEnd:
        service = course.work_class.service
        while True:
            granted = await self._dispatcher.wait(service, course.queued)
            if isinstance(granted, ProblemKind):
                return _end_with_problem(self._make_refusal(course, granted))
            if not self._may_send(course):
                self._dispatcher.release_slot(service, course.queued, granted)
                return _end_with_problem(
                    self._make_refusal(course, ProblemKind.TIMED_OUT)
                )
            end = await self._attempt(course, granted)
            if end is not None:
                return end

    def _may_send(self, course: ActiveRequest) -> bool:
        left_ms = course.queued.deadline_ms - self._clock.monotonic_ms()
        if left_ms < SEND_MARGIN_MS:
            return False
        ticket = course.ticket
        return ticket is None or may_send(ticket.record, self._clock.unix_ms())

    async def _attempt(self, course: ActiveRequest, granted) -> RequestEnd | None:
        """Send a request once; return ``None`` if it is to be sent again."""
        recorder = None
        if course.ticket is not None:
            recorder = AnswerRecorder(
                self._parts.once.objects,
                course.ticket.key,
                course.ticket.record.write_id,
                self.counters,
            )
        sink = AttemptSink(course.sink, recorder)
        course.attempts += 1
        course.upstream_id = granted.upstream.upstream_id
        if course.attempts == 1:
            waited_ms = self._clock.monotonic_ms() - course.queued.arrived_ms
            name = course.work_class.name
            ratio = waited_ms / course.queued.target_ms
            self.counters.wait_ratios.append(WaitRatio(name, ratio))
            if ratio <= 1:
                self.counters.on_target[course.work_class.name] += 1
        was_sent = course.was_sent
        # Set before the first byte can be written, so that a cancelled request is
        # never reported as not run.
        course.was_sent = True
        end = await self._runner.run(
            Attempt(
                course.request,
                service=course.work_class.service,
                queued=course.queued,
                granted=granted,
                sink=sink,
            )
        )
        if end.not_sent:
            course.was_sent = was_sent
        if await self._prepare_retry(course, end, sink):
            return None
        return await self._finish(course, end, sink)

    async def _prepare_retry(
        self, course: ActiveRequest, end: AttemptResult, sink: AttemptSink
    ) -> bool:
        course.last_reason = end.reason
        failed = not end.complete or sink.is_server_error
        if not failed or sink.passed_on or course.attempts >= ATTEMPTS_MAX:
            return False
        if not (course.is_idempotent or end.not_sent):
            return False
        delay_ms = self._retries.delay_ms(course.attempts)
        queued = course.queued
        excluded = queued.excluded | {course.upstream_id}
        if self._parts.router.of_service(course.work_class.service) <= excluded:
            return False
        service_ms = self._times.class_ms(
            course.work_class.service, course.work_class.name
        )
        now_ms = self._clock.monotonic_ms()
        if now_ms + delay_ms + service_ms > queued.deadline_ms - SEND_MARGIN_MS:
            return False
        if not self._retries.take():
            return False
        self.counters.counts[Count.RETRIES] += 1
        queued.excluded = excluded
        await asyncio.sleep(delay_ms / 1000)
        return True

    async def _finish(
        self, course: ActiveRequest, end: AttemptResult, sink: AttemptSink
    ) -> RequestEnd:
        if end.complete:
            problem = await self._forward_answer(course, sink)
            answer = await sink.record()
            if course.ticket is not None and answer is not None:
                self._parts.once.finish(course.ticket, answer)
            return RequestEnd(Outcome.RAN, problem)
        outcome = Outcome.UNKNOWN if course.was_sent else Outcome.NOT_RUN
        kind = ProblemKind.TIMED_OUT if end.timed_out else ProblemKind.UPSTREAM_FAILED
        if outcome is Outcome.NOT_RUN:
            kind = ProblemKind.NO_UPSTREAM
        return _end_with_problem(Problem(kind, outcome, end.reason, 1))

    async def _forward_answer(
        self, course: ActiveRequest, sink: AttemptSink
    ) -> Problem | None:
        """Pass an answer on; a caller that does not read it is not waited for."""
        left_ms = course.queued.deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(max(left_ms, READ_MS_MIN) / 1000):
                await sink.complete()
        except TimeoutError:
            detail = "the request has run, but its answer was not read in time"
            return Problem(ProblemKind.TIMED_OUT, Outcome.RAN, detail)
        return None

    def _make_refusal(self, course: ActiveRequest, kind: ProblemKind) -> Problem:
        outcome = Outcome.UNKNOWN if course.was_sent else Outcome.NOT_RUN
        detail = refusal_detail(kind)
        if course.last_reason:
            detail = f"{detail}; the last attempt failed: {course.last_reason}"
        if kind is ProblemKind.TIMED_OUT and outcome is Outcome.NOT_RUN:
            kind = ProblemKind.DEADLINE_UNREACHABLE
        retry_after_s = self._dispatcher.retry_after_s(course.work_class.service)
        return Problem(kind, outcome, detail, retry_after_s)


def _end_with_problem(problem: Problem) -> RequestEnd:
    return RequestEnd(problem.outcome, problem)
