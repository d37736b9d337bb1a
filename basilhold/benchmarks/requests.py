"""Benchmarks of the request path: ``python -m basilhold.benchmarks.requests``.

Each figure is printed with the bound that follows from the stated target and with a
plain baseline of the same run.
"""

import asyncio
import random
import sys
import time
from collections.abc import Callable, Iterable
from operator import attrgetter

import click
import msgspec
from absl import logging
from tornado.netutil import bind_sockets

from basilhold.adapters.upstreams import TornadoUpstreamClient
from basilhold.benchmarks.request_load import (
    BENCH_CLASSES,
    HOME,
    SERVICE,
    LoadPlan,
    run_fifo,
    run_load,
    run_random,
)
from basilhold.core import (
    ClassName,
    Clock,
    Epoch,
    ProcessId,
    TeamName,
    UpstreamId,
    VmId,
    WorkClass,
)
from basilhold.gateway import (
    FrontEnd,
    GatewayServer,
    OnceKeeper,
    RequestCounters,
    RequestService,
    ServiceParts,
    StaticCallers,
    make_application,
)
from basilhold.ports import ResponseHead, ResponseSink, UpstreamRequest, VmRecord
from basilhold.ports import VmKind as Kind
from basilhold.ports import VmState as State
from basilhold.requests import (
    ClassDirectory,
    GatewayIdentity,
    HeldToken,
    RequestPeers,
    Router,
    SlotGrant,
    SlotHolder,
    SlotToken,
)
from basilhold.standins import MemoryObjectStore, MemoryTable, UpstreamServer

__all__ = ["Figure", "load_figures", "make_router", "retry_figures"]

DECISION_MS_MAX = 1.0
"""Each decision must take milliseconds; this is the strictest reading."""

SLOPE_MAX = 2.0
"""2,000 upstreams may cost at most twice what 20 cost, as no choice scans them."""

ATTAINMENT_MIN = {0.7: 0.99, 0.95: 0.95, 1.3: 0.9 / 1.3}
"""Below capacity the targets are met; above, the share that 90% of capacity allows."""

GOODPUT_MIN = 0.9
RETRY_RATIO_MAX = 0.1


class Figure(msgspec.Struct, frozen=True):
    """One measured value.

    Parameters
    ----------
    name : str
    value : float
    unit : str
    bound : str
        From the stated target; empty for figures without one.
    holds : bool
    baseline : str
    """

    name: str
    value: float
    unit: str = ""
    bound: str = ""
    holds: bool = True
    baseline: str = ""

    def line(self) -> str:
        """Return the figure as a line of output."""
        parts = [f"{self.name}: {self.value:.4g} {self.unit}".rstrip()]
        if self.bound:
            parts.append(f"bound {self.bound} {'ok' if self.holds else 'MISSED'}")
        if self.baseline:
            parts.append(f"baseline {self.baseline}")
        return " | ".join(parts)


def make_router(count: int, seed: int = 0) -> Router:
    """Return a router with `count` upstreams that all have idle slots."""
    router = Router(*HOME, random.Random(seed))
    records = [_record(f"up-{n}", 1) for n in range(count)]
    router.update(records)
    for record in records:
        router.set_idle_count(UpstreamId(record.vm_id), 8)
    return router


def _record(upstream_id: str, port: int) -> VmRecord:
    zone, region = HOME
    return VmRecord(
        VmId(upstream_id),
        Kind.UPSTREAM,
        State.LIVE,
        region,
        zone,
        "rack",
        "127.0.0.1",
        port,
        service=SERVICE,
        slots=8,
        connections=64,
    )


def _time_us(call: Callable[[], object], rounds: int) -> float:
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        for _ in range(rounds):
            call()
        best = min(best, time.perf_counter() - started)
    return best / rounds * 1e6


def decision_figures() -> Iterable[Figure]:
    """Measure one routing choice at three sizes, beside a scan for the least loaded."""
    costs = {}
    for count in (20, 200, 2000):
        router = make_router(count)
        upstreams = [router.find(u) for u in router.upstreams_of_service(SERVICE)]
        cost = _time_us(lambda r=router: r.choose(SERVICE, 0.0), 20_000)
        scan = _time_us(
            lambda us=upstreams: min(us, key=attrgetter("in_flight")),
            max(20, 40_000 // count),
        )
        costs[count] = cost
        yield Figure(
            f"routing choice at {count} upstreams",
            cost,
            "us",
            f"<= {DECISION_MS_MAX * 1000:.0f} us",
            cost <= DECISION_MS_MAX * 1000,
            f"{scan:.1f} us (scan for the least loaded)",
        )
    slope = costs[2000] / costs[20]
    yield Figure(
        "cost at 2,000 divided by cost at 20 upstreams",
        slope,
        "",
        f"<= {SLOPE_MAX:g}",
        slope <= SLOPE_MAX,
    )


def load_figures(duration_s: float = 10.0, upstreams: int = 4) -> Iterable[Figure]:
    """Run loads of 70, 95, 130 and 300% and the baselines with the same arrivals."""
    for load, least in ATTAINMENT_MIN.items():
        plan = LoadPlan(load, duration_s, upstreams)
        result, fifo, chance = run_load(plan), run_fifo(plan), run_random(plan)
        for work_class in BENCH_CLASSES:
            name = work_class.name
            yield Figure(
                f"{load:.0%} load, {name} within {work_class.wait_target_ms} ms",
                result.attainment(name),
                baseline=f"{fifo.attainment(name):.3f} (FIFO queue), "
                f"{chance.attainment(name):.3f} (random choice)",
            )
        yield Figure(
            f"{load:.0%} load, all classes",
            result.total_attainment,
            "",
            f">= {least:.3f}",
            result.total_attainment >= least,
            f"{fifo.total_attainment:.3f} (FIFO queue), "
            f"{chance.total_attainment:.3f} (random choice)",
        )
    plan = LoadPlan(3.0, duration_s, upstreams)
    result, fifo = run_load(plan), run_fifo(plan)
    goodput = result.goodput / plan.capacity
    yield Figure(
        "300% load, answered by the deadline, of capacity",
        goodput,
        "",
        f">= {GOODPUT_MIN:g}",
        goodput >= GOODPUT_MIN,
        f"{fifo.goodput / plan.capacity:.3f} (FIFO queue)",
    )


def retry_figures(duration_s: float = 10.0) -> Iterable[Figure]:
    """Let a third of the upstreams fail, with and without a retry budget."""
    for fail_ratio in (0.45, 1.0):
        plan = LoadPlan(0.5, duration_s, upstreams=3, failing=1, fail_ratio=fail_ratio)
        result = run_load(plan)
        free = run_load(msgspec.structs.replace(plan, unlimited_retries=True))
        ratio = result.retries / result.requests
        yield Figure(
            f"extra attempts, a third of the upstreams fails {fail_ratio:.0%}",
            ratio,
            "of the requests",
            f"<= {RETRY_RATIO_MAX:g}",
            ratio <= RETRY_RATIO_MAX,
            f"{free.retries / free.requests:.4g} (no budget)",
        )


def region_figures(duration_s: float = 10.0) -> Iterable[Figure]:
    """Count bytes between regions, beside random choice over both regions."""
    for load in (0.7, 0.95, 1.3):
        plan = LoadPlan(load, duration_s, remote_upstreams=4)
        result = run_load(plan)
        size = result.other_region_bytes / result.requests
        bound, holds = "", True
        if load < 1:
            # Below the region's own capacity no target is missed without the link.
            bound, holds = "<= 0 bytes", size == 0
        share = plan.remote_upstreams / (plan.upstreams + plan.remote_upstreams)
        yield Figure(
            f"{load:.0%} load, bytes between regions",
            size,
            "bytes a request",
            bound,
            holds,
            f"{share * (64 + 256):.0f} (random choice)",
        )


class _Classes(ClassDirectory):
    def find(self, name: ClassName) -> WorkClass | None:
        return BENCH_CLASSES[0]


class _NoPeers(RequestPeers):
    async def ask(self, holder, key, wait_ms):
        raise NotImplementedError


class _NullSink(ResponseSink):
    async def start(self, head: ResponseHead) -> None:
        return

    async def write(self, data: bytes) -> None:
        return


async def _measure(port: int, path: str, count: int, callers: int) -> tuple:
    """Return requests per second and the median and 99th percentile in ms."""
    durations: list[float] = []
    headers = (("Authorization", "Bearer t"), ("Basilhold-Class", "quote"))
    request = UpstreamRequest(
        UpstreamId("target"), "127.0.0.1", port, "GET", path, headers, b"", 5000
    )

    async def caller(client: TornadoUpstreamClient) -> None:
        for _ in range(count // callers):
            started = time.perf_counter()
            result = await client.send(request, _NullSink())
            if result.is_error() or result.ok.status != 200:
                raise RuntimeError(f"request failed: {result}")
            durations.append((time.perf_counter() - started) * 1000)

    async with TornadoUpstreamClient() as client:
        started = time.perf_counter()
        await asyncio.gather(*(caller(client) for _ in range(callers)))
        took = time.perf_counter() - started
    durations.sort()
    middle, last = durations[len(durations) // 2], durations[len(durations) * 99 // 100]
    return len(durations) / took, middle, last


async def _socket_figures(count: int) -> list[Figure]:
    async with UpstreamServer() as upstream:
        upstream.behaviour.service_ms = 0.0
        rng = random.Random(0)
        clock = Clock(int(time.time() * 1000))
        identity = GatewayIdentity(ProcessId("gw"), VmId("gw"), *HOME)
        counters = RequestCounters()
        keeper = OnceKeeper(
            identity.process_id,
            clock,
            MemoryTable(),
            MemoryObjectStore(),
            _NoPeers(),
            rng,
            counters,
        )
        client = TornadoUpstreamClient()
        holder = SlotHolder(identity)
        router = Router(*HOME, rng)
        service = RequestService(
            ServiceParts(
                identity,
                clock,
                _Classes(),
                router,
                holder,
                client,
                keeper,
                rng,
                counters,
            )
        )
        service.update_upstreams([_record("up-0", upstream.port)])
        number = holder.next_report(HOME[0]).number
        tokens = tuple(
            HeldToken(SlotToken(UpstreamId("up-0"), n), clock.unix_ms() + 3_600_000)
            for n in range(8)
        )
        holder.apply(HOME[0], SlotGrant(number, Epoch(1), tokens))
        front = FrontEnd(service, StaticCallers({"t": TeamName("desk")}))
        server = GatewayServer(make_application(front), counters=counters)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        figures = []
        async with keeper, client:
            for callers in (1, 8):
                direct = await _measure(upstream.port, "/q", count, callers)
                through = await _measure(port, "/call/q", count, callers)
                figures.extend(_pair(callers, through, direct))
        server.stop()
        await server.close_all_connections()
        return figures


def _pair(callers: int, through: tuple, direct: tuple) -> Iterable[Figure]:
    names = ("requests per second", "median latency", "99th percentile of latency")
    for name, unit, value, base in zip(
        names, ("/s", "ms", "ms"), through, direct, strict=True
    ):
        yield Figure(
            f"one gateway over sockets, {callers} callers, {name}",
            value,
            unit,
            baseline=f"{base:.4g} {unit} (direct calls)",
        )


def socket_figures(count: int = 2000) -> list[Figure]:
    """Measure one gateway over loopback sockets, beside direct calls.

    Callers, gateway and upstream share one process, so a figure holds the cost of all.
    """
    return asyncio.run(_socket_figures(count))


@click.command()
@click.option("--duration-s", default=10.0, help="Length of each load, virtual.")
def main(duration_s: float) -> None:
    """Run all benchmarks of the request path."""
    logging.set_verbosity(logging.FATAL)
    missed = 0
    sources = (
        decision_figures(),
        load_figures(duration_s),
        retry_figures(duration_s),
        region_figures(duration_s),
        socket_figures(),
    )
    for figures in sources:
        for figure in figures:
            missed += not figure.holds
            click.echo(figure.line())
    click.echo(f"{missed} bounds missed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
