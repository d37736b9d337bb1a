"""Hands slots to waiting requests."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable

import msgspec

from basilhold.core import ClassName, Clock, ServiceName, UpstreamId, ZoneName
from basilhold.gateway.counters import Count, RequestCounters
from basilhold.requests import (
    BreakerState,
    Distance,
    ProblemKind,
    QueuedRequest,
    QueueLimits,
    RateWindow,
    RequestQueue,
    Router,
    ServiceTimes,
    SlotHolder,
    SlotToken,
    Upstream,
)

__all__ = ["Dispatcher", "GrantedSlot"]

TICK_MS = 10
"""How often waiting requests are checked for expiry and for recovered upstreams."""

FULL_SCAN_TICKS = 10
"""Every tenth tick looks at all waiting requests, the others at the oldest ones.

Looking at 2,000 requests took 0.6 ms, which is 6% of a core at each tick.
"""

RETRY_AFTER_S_MAX = 30

STALL_THRESHOLD_MS = 1500
"""A loop that stood still for this long has missed messages.

An upstream may have left meanwhile, so nothing is sent until the owners were asked.
Shorter pauses fit into the 3 s in which leaving takes effect.
"""


class GrantedSlot(msgspec.Struct, frozen=True):
    """A slot for one request.

    Parameters
    ----------
    upstream : Upstream
    token : SlotToken
    is_probe : bool
        Whether the request tests an upstream whose circuit breaker was open.
    """

    upstream: Upstream
    token: SlotToken
    is_probe: bool = False


class Dispatcher:
    """Queues of one gateway and the slots that they wait for.

    Parameters
    ----------
    clock : Clock
    router : Router
    holder : SlotHolder
    times : ServiceTimes
    limits : QueueLimits
    counters : RequestCounters
    """

    def __init__(
        self,
        clock: Clock,
        router: Router,
        holder: SlotHolder,
        times: ServiceTimes,
        limits: QueueLimits,
        counters: RequestCounters,
    ):
        self._clock = clock
        self._router = router
        self._holder = holder
        self._times = times
        self._limits = limits
        self._counters = counters
        self._queues: dict[ServiceName, RequestQueue] = {}
        self._same_region_slots: Counter[ServiceName] = Counter()
        self._counted_slots: Counter[UpstreamId] = Counter()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_count = 0
        self._missed_target_rates: dict[ServiceName, RateWindow] = {}
        self._late_count_cache: dict[ServiceName, tuple[float, int]] = {}
        self._last_heartbeat_ms: float | None = None
        self._suspended = False
        self.on_shortage: Callable[[], None] = lambda: None
        self.on_stall: Callable[[], None] = lambda: None
        holder.on_change = self._update_slot_count

    def refusal(
        self, service: ServiceName, queued: QueuedRequest
    ) -> ProblemKind | None:
        """Return why a request can't be queued, or ``None``."""
        queue = self._queue(service)
        kind = queue.refusal(
            queued,
            self._clock.monotonic_ms(),
            self._expected_wait_ms(service),
            self._times.class_ms(service, queued.class_name),
        )
        if kind is ProblemKind.OVERLOADED:
            self._missed_target_rate(service).add(self._clock.monotonic_ms())
            if self._router.usable_count(service, Distance.OTHER_REGION):
                return None
            self.on_shortage()
        return kind

    async def wait(
        self, service: ServiceName, queued: QueuedRequest
    ) -> GrantedSlot | ProblemKind:
        """Wait for a slot, or for the reason why there will be none in time."""
        queue = self._queue(service)
        future: asyncio.Future[GrantedSlot | ProblemKind]
        future = asyncio.get_running_loop().create_future()
        queued.ticket = future
        queue.add(queued, self._clock.monotonic_ms())
        self._dispatch(service)
        if not future.done():
            self.on_shortage()
            self._start_tick()
        try:
            return await future
        except asyncio.CancelledError:
            if not queue.remove(queued) and not future.cancelled():
                granted = future.result()
                if isinstance(granted, GrantedSlot):
                    self.release_slot(service, queued, granted)
            raise

    def release_slot(
        self, service: ServiceName, queued: QueuedRequest, granted: GrantedSlot
    ) -> None:
        """Free a slot after its request has ended."""
        health = granted.upstream.health
        if granted.is_probe and health.state is BreakerState.PROBING:
            # The request ended without a result, for example before it was sent.
            health.abandoned(self._clock.monotonic_ms())
        granted.upstream.in_flight -= 1
        self._queue(service).ended(queued.team)
        self._holder.release(granted.token)
        self._dispatch(service)

    def record_heartbeat(self) -> None:
        """Note that the loop runs; called several times a second."""
        self._check_stall()
        self._last_heartbeat_ms = self._clock.monotonic_ms()

    def suspend(self) -> None:
        """Send nothing until `resume`."""
        self._suspended = True

    def resume(self) -> None:
        """Send requests again."""
        self._suspended = False
        self.dispatch_all()

    def _check_stall(self) -> None:
        if self._last_heartbeat_ms is None or self._suspended:
            return
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_heartbeat_ms > STALL_THRESHOLD_MS:
            self._last_heartbeat_ms = now_ms
            self.suspend()
            self.on_stall()

    def dispatch_all(self) -> None:
        """Hand out slots of all services."""
        for service in self._queues:
            self._dispatch(service)

    def demand(self, zone: ZoneName) -> tuple[tuple[ServiceName, int], ...]:
        """Return how many waiting requests could use slots of a zone, by service."""
        found = []
        for service, queue in self._queues.items():
            waiting = len(queue)
            distance = self._router.distance_of(service, zone)
            if not waiting or distance is None:
                continue
            if distance is Distance.OTHER_REGION:
                waiting = max(
                    self._late_count(service, queue), self._missing_slots(service)
                )
            zones = self._router.zone_count(service, distance)
            if waiting:
                found.append((service, math.ceil(waiting / zones)))
        return tuple(found)

    def queued_counts(self) -> Counter[ClassName]:
        """Return the number of waiting requests by class."""
        counts: Counter[ClassName] = Counter()
        for queue in self._queues.values():
            counts.update(queue.class_counts())
        return counts

    def retry_after_s(self, service: ServiceName) -> int:
        """Return after how many seconds a refused request can be tried again."""
        wait_s = math.ceil(self._expected_wait_ms(service) / 1000)
        return max(1, min(RETRY_AFTER_S_MAX, wait_s))

    def _queue(self, service: ServiceName) -> RequestQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = RequestQueue(service, self._limits)
        return queue

    def _same_region_slot_count(self, service: ServiceName) -> int:
        return self._same_region_slots[service]

    def _expected_wait_ms(self, service: ServiceName) -> float:
        waiting = len(self._queue(service))
        slots = self._same_region_slot_count(service)
        if not waiting or not slots:
            return 0.0
        return waiting * self._times.service_ms(service) / slots

    def _late_count(self, service: ServiceName, queue: RequestQueue) -> int:
        """Return how many waiting requests would miss their target in this region."""
        slots = self._same_region_slot_count(service)
        if not slots:
            return len(queue)
        now_ms = self._clock.monotonic_ms()
        counted = self._late_count_cache.get(service)
        if counted is None or now_ms - counted[0] >= TICK_MS:
            slot_ms = self._times.service_ms(service) / slots
            counted = (now_ms, queue.late_count(now_ms, slot_ms))
            self._late_count_cache[service] = counted
        return counted[1]

    def _max_distance(self, service: ServiceName) -> Distance:
        if not self._router.usable_count(service, Distance.OTHER_REGION):
            return Distance.SAME_REGION
        late = self._late_count(service, self._queue(service))
        if late or self._missing_slots(service):
            return Distance.OTHER_REGION
        return Distance.SAME_REGION

    def _missed_target_rate(self, service: ServiceName) -> RateWindow:
        window = self._missed_target_rates.get(service)
        if window is None:
            window = self._missed_target_rates[service] = RateWindow()
        return window

    def _missing_slots(self, service: ServiceName) -> int:
        """Return how many more slots would have met the targets just missed."""
        per_second = self._missed_target_rate(service).per_second(
            self._clock.monotonic_ms()
        )
        return math.ceil(per_second * self._times.service_ms(service) / 1000)

    def _dispatch(self, service: ServiceName) -> None:
        queue = self._queue(service)
        self._check_stall()
        while len(queue) and not self._suspended:
            if not self._router.has_usable(service):
                return
            if not any(
                self._grant_or_refuse(service, queue, head)
                for head in queue.heads(self._clock.monotonic_ms())
            ):
                return

    def _grant_or_refuse(
        self, service: ServiceName, queue: RequestQueue, head: QueuedRequest
    ) -> bool:
        """Grant a slot to a waiting request, or refuse it, if either can be done."""
        if head.ticket.done():
            # Its caller has left.
            return queue.remove(head)
        now_ms = self._clock.monotonic_ms()
        kind = queue.late_refusal(head, now_ms, self._times.service_ms(service))
        if kind is not None:
            self._refuse(queue, head, kind)
            return True
        granted = self._grant(service, head)
        if granted is None:
            return False
        queue.remove(head)
        queue.started(head.team)
        granted.upstream.in_flight += 1
        granted.upstream.health.started()
        head.ticket.set_result(granted)
        return True

    def _refuse(
        self, queue: RequestQueue, queued: QueuedRequest, kind: ProblemKind
    ) -> None:
        queue.remove(queued)
        if kind is ProblemKind.OVERLOADED:
            self._missed_target_rate(queue.service).add(self._clock.monotonic_ms())
        if not queued.ticket.done():
            queued.ticket.set_result(kind)

    def _grant(self, service: ServiceName, head: QueuedRequest) -> GrantedSlot | None:
        upstream = self._router.choose(
            service,
            self._clock.monotonic_ms(),
            self._max_distance(service),
            head.excluded,
        )
        if upstream is None:
            return None
        token = self._holder.acquire(upstream.upstream_id, self._clock.unix_ms())
        if token is None:
            return None
        is_probe = upstream.health.state is BreakerState.OPEN
        return GrantedSlot(upstream, token, is_probe)

    def upstreams_changed(self) -> None:
        """Match the held slots with a new list of upstreams."""
        self._same_region_slots.clear()
        self._counted_slots.clear()
        for upstream_id in self._holder.upstream_ids():
            self._update_slot_count(upstream_id)
        self.dispatch_all()

    def _update_slot_count(self, upstream_id: UpstreamId) -> None:
        self._router.set_idle(upstream_id, self._holder.idle_count(upstream_id))
        upstream = self._router.find(upstream_id)
        if upstream is None or upstream.distance is Distance.OTHER_REGION:
            return
        held = self._holder.held_count(upstream_id)
        change = held - self._counted_slots[upstream_id]
        self._counted_slots[upstream_id] = held
        self._same_region_slots[upstream.service] += change

    def _start_tick(self) -> None:
        if self._tick_timer is None:
            loop = asyncio.get_running_loop()
            self._tick_timer = loop.call_later(TICK_MS / 1000, self._run_tick)

    def _run_tick(self) -> None:
        self._tick_timer = None
        now_ms = self._clock.monotonic_ms()
        waiting = 0
        self._tick_count += 1
        full_scan = self._tick_count % FULL_SCAN_TICKS == 0
        for service, queue in self._queues.items():
            self._dispatch(service)
            service_ms = self._times.service_ms(service)
            for queued, kind in queue.expired(now_ms, service_ms, full_scan):
                self._refuse(queue, queued, kind)
            waiting += len(queue)
        if waiting:
            self.on_shortage()
            self._start_tick()

    def count_attempt(self, upstream: Upstream, size_bytes: int) -> None:
        """Count an attempt, and its bytes if they cross between regions."""
        self._counters.counts[Count.ATTEMPTS] += 1
        if upstream.distance is Distance.OTHER_REGION:
            self._counters.counts[Count.OTHER_REGION_ATTEMPTS] += 1
            self._counters.counts[Count.OTHER_REGION_BYTES] += size_bytes
