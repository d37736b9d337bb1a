"""Load runs of the request path on the virtual clock, beside plain baselines."""

import asyncio
import heapq
import random
from collections import Counter

import msgspec

from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    Epoch,
    ProcessId,
    RegionName,
    ServiceName,
    TeamName,
    UpstreamId,
    VmId,
    WorkClass,
    ZoneName,
)
from basilhold.gateway import (
    CallerSink,
    Count,
    OnceKeeper,
    RequestCounters,
    RequestService,
    ServiceParts,
)
from basilhold.ports import ResponseHead, VmKind, VmRecord, VmState
from basilhold.requests import (
    CallerRequest,
    ClassDirectory,
    GatewayIdentity,
    HeldToken,
    Outcome,
    RequestPeers,
    RetryBudget,
    Router,
    SlotGrant,
    SlotHolder,
    SlotToken,
)
from basilhold.standins import (
    MemoryObjectStore,
    MemoryTable,
    MemoryUpstream,
    MemoryUpstreamClient,
    MemoryUpstreams,
)
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, run_virtual

__all__ = [
    "BENCH_CLASSES",
    "Arrival",
    "LoadPlan",
    "LoadResult",
    "make_arrivals",
    "run_fifo",
    "run_load",
    "run_random",
]

SERVICE = ServiceName("order-desk")
HOME = (ZoneName("plovdiv"), RegionName("thrace"))
REMOTE = (ZoneName("ruse"), RegionName("danube"))
SERVICE_MS = 40.0
SPREAD = 0.5

BENCH_CLASSES = tuple(
    WorkClass(
        ClassName(name), ClassKind.REQUEST, target, service=SERVICE, timeout_ms=timeout
    )
    for name, target, timeout in (
        ("quote", 200, 5_000),
        ("preview", 1_000, 10_000),
        ("report", 10_000, 30_000),
    )
)
SHARES = {"quote": 0.6, "preview": 0.3, "report": 0.1}


class Arrival(msgspec.Struct, frozen=True):
    """One request of a load."""

    at_ms: float
    class_name: ClassName
    service_ms: float


class LoadPlan(msgspec.Struct, frozen=True):
    """What is offered, and to what.

    Parameters
    ----------
    load : float
        Offered work divided by the capacity of the home region.
    duration_s : float
    upstreams, remote_upstreams : int
    slots : int
    failing : int
        Upstreams that fail at once.
    fail_ratio : float
        Share of the requests that they fail.
    seed : int
    unlimited_retries : bool
        The baseline without a retry budget.
    """

    load: float
    duration_s: float = 10.0
    upstreams: int = 4
    remote_upstreams: int = 0
    slots: int = 8
    failing: int = 0
    fail_ratio: float = 1.0
    seed: int = 1
    unlimited_retries: bool = False

    @property
    def slot_count(self) -> int:
        """Slots of the home region."""
        return self.upstreams * self.slots

    @property
    def capacity(self) -> float:
        """Requests that the home region can serve, per second."""
        return self.slot_count * 1000 / SERVICE_MS


class LoadResult(msgspec.Struct):
    """What became of a load.

    Parameters
    ----------
    offered, on_target, answered : collections.Counter
        Requests by class: all, started within the target, answered by the deadline.
    duration_s : float
    attempts, retries, other_region_bytes, other_region_attempts : int
    """

    offered: Counter
    on_target: Counter
    answered: Counter
    duration_s: float
    attempts: int = 0
    retries: int = 0
    other_region_bytes: int = 0
    other_region_attempts: int = 0
    requests: int = 0

    def attainment(self, class_name: str) -> float:
        """Return the share of a class's requests that started within the target."""
        return self.on_target[class_name] / max(1, self.offered[class_name])

    @property
    def total_attainment(self) -> float:
        """Share of all requests that started within their target."""
        return self.on_target.total() / max(1, self.offered.total())

    @property
    def goodput(self) -> float:
        """Requests answered by their deadline, per second."""
        return self.answered.total() / self.duration_s


class _Classes(ClassDirectory):
    def find(self, name: ClassName) -> WorkClass | None:
        return next((c for c in BENCH_CLASSES if c.name == name), None)


class _NoPeers(RequestPeers):
    async def ask(self, holder, key, wait_ms):
        raise NotImplementedError


class _UnlimitedRetries(RetryBudget):
    def try_consume(self) -> bool:
        self.retry_count += 1
        return True


class _CountingSink(CallerSink):
    def __init__(self):
        self.status = 0

    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        return

    async def start(self, head: ResponseHead) -> None:
        self.status = head.status

    async def write(self, data: bytes) -> None:
        return


def make_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return the requests of a plan, in order."""
    rng = random.Random(plan.seed)
    names = list(SHARES)
    weights = list(SHARES.values())
    arrivals = []
    at_ms = 0.0
    while at_ms < plan.duration_s * 1000:
        at_ms += rng.expovariate(plan.load * plan.capacity) * 1000
        name = ClassName(rng.choices(names, weights)[0])
        service_ms = SERVICE_MS * rng.uniform(1 - SPREAD, 1 + SPREAD)
        arrivals.append(Arrival(at_ms, name, service_ms))
    return arrivals


def _targets() -> dict[str, tuple[int, int]]:
    return {c.name: (c.wait_target_ms, c.timeout_ms) for c in BENCH_CLASSES}


def run_fifo(plan: LoadPlan) -> LoadResult:
    """Run a load through one unbounded FIFO queue over all slots."""
    free = [0.0] * plan.slot_count
    return _run_queues(plan, lambda rng: 0, [free])


def run_random(plan: LoadPlan) -> LoadResult:
    """Run a load through a FIFO queue at each upstream, chosen at random."""
    queues = [[0.0] * plan.slots for _ in range(plan.upstreams)]
    return _run_queues(plan, lambda rng: rng.randrange(plan.upstreams), queues)


def _run_queues(plan: LoadPlan, choose, queues: list[list[float]]) -> LoadResult:
    rng = random.Random(plan.seed)
    result = LoadResult(Counter(), Counter(), Counter(), plan.duration_s)
    targets = _targets()
    for arrival in make_arrivals(plan):
        target_ms, timeout_ms = targets[arrival.class_name]
        free = queues[choose(rng)]
        start_ms = max(arrival.at_ms, heapq.heappop(free))
        end_ms = start_ms + arrival.service_ms
        heapq.heappush(free, end_ms)
        result.offered[arrival.class_name] += 1
        if start_ms - arrival.at_ms <= target_ms:
            result.on_target[arrival.class_name] += 1
        in_time = end_ms - arrival.at_ms <= timeout_ms
        if in_time and end_ms <= plan.duration_s * 1000:
            result.answered[arrival.class_name] += 1
    return result


class _Bench:
    """One gateway that holds all slots, in front of upstreams in memory."""

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        rng = random.Random(plan.seed)
        clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        self.upstreams = MemoryUpstreams(plan.seed)
        identity = GatewayIdentity(ProcessId("gw"), VmId("gw"), *HOME)
        self.keeper = OnceKeeper(
            identity.process_id,
            clock,
            MemoryTable(),
            MemoryObjectStore(),
            _NoPeers(),
            rng,
            counters := RequestCounters(),
        )
        holder = SlotHolder(identity)
        self.service = RequestService(
            ServiceParts(
                identity,
                clock,
                _Classes(),
                Router(*HOME, rng),
                holder,
                MemoryUpstreamClient(self.upstreams, *HOME, zone_latency_ms=0.0),
                self.keeper,
                rng,
                counters,
                retries=_UnlimitedRetries(rng) if plan.unlimited_retries else None,
            )
        )
        self.service.update_upstreams(self._records())
        for zone, _region in (HOME, REMOTE):
            tokens = [
                HeldToken(SlotToken(u.upstream_id, slot), VIRTUAL_EPOCH_UNIX_MS * 2)
                for u in self.upstreams.members.values()
                if u.zone == zone
                for slot in range(plan.slots)
            ]
            number = holder.next_report(zone).number
            holder.apply(zone, SlotGrant(number, Epoch(1), tuple(tokens)))
        self.result = LoadResult(Counter(), Counter(), Counter(), plan.duration_s)

    def _records(self) -> list[VmRecord]:
        plan = self.plan
        places = [HOME] * plan.upstreams + [REMOTE] * plan.remote_upstreams
        records = []
        for index, (zone, region) in enumerate(places):
            upstream_id = UpstreamId(f"up-{index}")
            upstream = MemoryUpstream(upstream_id, zone, region, plan.slots)
            upstream.behaviour.service_ms = SERVICE_MS
            upstream.behaviour.spread = SPREAD
            if index < plan.failing:
                upstream.behaviour.fail_ratio = plan.fail_ratio
            self.upstreams.add(upstream)
            records.append(
                VmRecord(
                    VmId(upstream_id),
                    VmKind.UPSTREAM,
                    VmState.LIVE,
                    region,
                    zone,
                    "rack",
                    "127.0.0.1",
                    1,
                    service=SERVICE,
                    slots=plan.slots,
                )
            )
        return records

    async def call(self, class_name: ClassName) -> None:
        sink = _CountingSink()
        request = CallerRequest(
            class_name, TeamName("desk"), "GET", "/", body=b"x" * 64
        )
        end = await self.service.handle(request, sink)
        now_ms = asyncio.get_running_loop().time() * 1000
        in_run = now_ms <= self.plan.duration_s * 1000
        if end.problem is None and sink.status == 200 and in_run:
            self.result.answered[class_name] += 1

    async def run(self) -> LoadResult:
        loop = asyncio.get_running_loop()
        calls = []
        async with self.keeper:
            for arrival in make_arrivals(self.plan):
                delay_s = arrival.at_ms / 1000 - loop.time()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                self.result.offered[arrival.class_name] += 1
                calls.append(asyncio.create_task(self.call(arrival.class_name)))
            await asyncio.gather(*calls)
        self.upstreams.check()
        counts = self.service.counters.counts
        self.result.on_target = Counter(self.service.counters.on_target)
        self.result.attempts = counts[Count.ATTEMPTS]
        self.result.retries = counts[Count.RETRIES]
        self.result.other_region_bytes = counts[Count.OTHER_REGION_BYTES]
        self.result.other_region_attempts = counts[Count.OTHER_REGION_ATTEMPTS]
        self.result.requests = counts[Count.REQUESTS]
        return self.result


def run_load(plan: LoadPlan) -> LoadResult:
    """Run a load through a gateway."""

    async def run() -> LoadResult:
        return await _Bench(plan).run()

    return run_virtual(run())
