"""Randomised runs of the request path, with its guarantees checked inside.

``python -m basilhold.testing.request_fuzz --seeds 1000 --first 0`` runs more seeds than
the tests do and prints the seeds that fail.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Callable

import click
import msgspec
from absl import logging

from basilhold.core import InvariantError, TeamName, UpstreamId
from basilhold.gateway import CallerSink
from basilhold.ports import ResponseHead
from basilhold.requests import CallerRequest, Outcome, ProblemKind, RequestEnd
from basilhold.standins import UpstreamBehaviour
from basilhold.testing.request_cell import ORDER, QUOTE, CellGateway, RequestCell
from basilhold.testing.request_faults import FREEZING, INJECTORS, Fault
from basilhold.testing.virtual_time import run_virtual

__all__ = ["Fault", "FuzzReport", "fuzz", "run_seed"]

LOAD_S = 4.0
SHORT_LOAD_S = 0.5
"""Length of the load in the test run; a few hundred seeds take half a minute."""

CHECK_INTERVAL_S = 0.01
LEAVING_BOUND_S = 3.0
END_MARGIN_S = 1.0
SETTLE_S = 5.0
FROZEN_SETTLE_S = 50.0
"""Longer than the 30 s after which the slots of a lost gateway are free again, and
than the 37.5 s for which a circuit breaker is open at most."""


class FuzzReport(msgspec.Struct):
    """What a run did."""

    seed: int
    faults: tuple[Fault, ...]
    submissions: int = 0
    outcomes: Counter = msgspec.field(default_factory=Counter)
    problems: Counter = msgspec.field(default_factory=Counter)
    retries: int = 0
    requests: int = 0


class FuzzSink(CallerSink):
    """Receives an answer and remembers what it was told."""

    def __init__(self, may_stall: bool, rng: random.Random):
        self._may_stall = may_stall
        self._rng = rng
        self.outcome: Outcome | None = None
        self.head: ResponseHead | None = None
        self.body = bytearray()

    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        """Take the reported outcome."""
        self.outcome = outcome

    async def start(self, head: ResponseHead) -> None:
        """Take status and headers."""
        if self.head is not None:
            raise InvariantError("an answer was started twice")
        self.head = head

    async def write(self, data: bytes) -> None:
        """Take part of the body, sometimes slowly."""
        if self._may_stall and self._rng.random() < 0.1:
            await asyncio.sleep(0.05)
        self.body += data


class FuzzRun:
    def __init__(
        self, seed: int, faults: tuple[Fault, ...], cell: RequestCell, load_s: float
    ):
        self.cell = cell
        self.load_s = load_s
        self.rng = random.Random(f"{seed}/load")
        self.faults = faults
        self.report = FuzzReport(seed, faults)
        self.calls: set[asyncio.Task] = set()
        self.not_run: set[str] = set()
        self._next_id = 0

    async def run(self) -> FuzzReport:
        await self.cell.start()
        monitor = asyncio.create_task(self._monitor())
        try:
            await asyncio.sleep(0.5)
            faults = [asyncio.create_task(self._inject(f)) for f in self.faults]
            await self._load()
            await self._finish(faults, monitor)
            return self.report
        finally:
            monitor.cancel()
            for task in [*self.calls]:
                task.cancel()
            await self.cell.stop()

    async def _monitor(self) -> None:
        while True:
            self.cell.check()
            busy = any(g.service.in_flight_count for g in self.cell.gateways.values())
            await asyncio.sleep(CHECK_INTERVAL_S if busy else 10 * CHECK_INTERVAL_S)

    async def _load(self) -> None:
        shape = self.cell.shape
        capacity = shape.upstreams * shape.slots / 0.04
        load = 3.0 if Fault.OVERLOAD in self.faults else self.rng.uniform(0.2, 0.9)
        end = asyncio.get_running_loop().time() + self.load_s
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.expovariate(load * capacity))
            order = self.rng.random() < 0.4
            self._next_id += 1
            name = f"{'order' if order else 'quote'}-{self._next_id}"
            call = self._order(name) if order else self._quote(name)
            task = asyncio.create_task(call)
            self.calls.add(task)
            task.add_done_callback(self._call_done)

    def _call_done(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            self.calls.discard(task)

    async def _quote(self, name: str) -> None:
        await self._submit(name, 0, None)

    async def _order(self, name: str) -> None:
        """Submit a keyed request, and repeat it with the same key if needed."""
        for number in range(4):
            end = await self._submit(name, number, name)
            if self.rng.random() < 0.1:
                continue
            if end is not None and end.problem is None:
                return
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))

    async def _submit(
        self, name: str, number: int, key: str | None
    ) -> RequestEnd | None:
        gateways = list(self.cell.gateways.values())
        if not gateways:
            return None
        gateway = self.rng.choice(gateways)
        submission = f"{name}~{number}"
        work_class = QUOTE if key is None else ORDER
        request = CallerRequest(
            work_class.name,
            TeamName(self.rng.choice(("desk", "field"))),
            "POST",
            "/x",
            (("X-Request-Id", submission),),
            name.encode(),
            idempotency_key=key,
        )
        if key is not None:
            request = msgspec.structs.replace(request, team=TeamName("desk"))
        # A request to a process that stands still waits in the socket's buffer.
        await gateway.gate.passed()
        if gateway.process_id not in self.cell.gateways:
            return None
        sink = FuzzSink(Fault.SLOW in self.faults, self.rng)
        self.report.submissions += 1
        started = asyncio.get_running_loop().time()
        task = asyncio.create_task(gateway.service.handle(request, sink))
        gateway.calls.add(task)
        task.add_done_callback(gateway.calls.discard)
        if Fault.CALLERS_LEAVE in self.faults and self.rng.random() < 0.1:
            await asyncio.wait({task}, timeout=self.rng.uniform(0.0, 0.1))
            task.cancel()
        await asyncio.wait({task})
        if task.cancelled():
            return None
        end = task.result()
        took = asyncio.get_running_loop().time() - started
        if took > work_class.timeout_ms / 1000 + END_MARGIN_S:
            raise InvariantError(f"{submission} was answered after {took:.1f} s")
        self._check_answer(name, submission, end, sink)
        return end

    def _check_answer(
        self, name: str, submission: str, end: RequestEnd, sink: FuzzSink
    ) -> None:
        self.report.outcomes[end.outcome] += 1
        if end.problem is not None:
            self.report.problems[end.problem.kind] += 1
            if end.outcome is Outcome.NOT_RUN:
                self.not_run.add(submission)
                if sink.head is not None:
                    raise InvariantError(f"{submission}: not-run after an answer")
            if end.problem.kind.status == 503 and not end.problem.retry_after_s:
                raise InvariantError(f"{submission}: refused without Retry-After")
            return
        if end.outcome is not Outcome.RAN or sink.outcome is not Outcome.RAN:
            raise InvariantError(f"{submission}: an answer with {end.outcome}")
        length = int(dict(sink.head.headers)["Content-Length"])
        if len(sink.body) != length:
            raise InvariantError(
                f"{submission}: {len(sink.body)} of {length} bytes as a whole answer"
            )
        names = {part.split(b"~")[0] for part in bytes(sink.body).split(b"[") if part}
        if names - {name.encode()}:
            raise InvariantError(f"{submission}: got the answer to {names}")

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, self.load_s / 2))
        await INJECTORS[fault](self)

    async def _finish(self, faults: list[asyncio.Task], monitor: asyncio.Task) -> None:
        await asyncio.gather(*faults)
        self._heal()
        while pending := {t for t in self.calls if not t.done()}:
            await asyncio.wait(pending)
        for task in list(self.calls):
            task.result()
        if monitor.done():
            monitor.result()
        for gateway in list(self.cell.gateways.values()):
            await gateway.service.wait_idle()
        frozen = FREEZING & set(self.report.faults)
        await asyncio.sleep(FROZEN_SETTLE_S if frozen else SETTLE_S)
        self._check_end()
        for number in range(10):
            end = await self._submit(f"final-{number}", 0, None)
            if end is None or end.problem is not None:
                raise InvariantError(f"no recovery after the faults: {end}")
        if monitor.done():
            monitor.result()

    def _heal(self) -> None:
        cell = self.cell
        self.faults = ()
        faults = cell.table.faults
        faults.down = False
        faults.lost_reply_ratio = faults.lost_request_ratio = 0.0
        faults.latency_ms = 4
        cell.exchange_loss_ratio = 0.0
        cell.unreachable_owners.clear()
        cell.peers_unreachable = False
        for upstream in cell.upstreams.members.values():
            leaving = upstream.behaviour.leaving
            upstream.behaviour = UpstreamBehaviour(leaving=leaving)
        for gateway in cell.gateways.values():
            gateway.gate.open()

    def _check_end(self) -> None:
        cell = self.cell
        runs = cell.upstreams.run_counts()
        for submission in self.not_run:
            if runs[submission]:
                raise InvariantError(f"{submission} was reported not-run and has run")
        orders: Counter[str] = Counter()
        for submission, count in runs.items():
            if submission.startswith("order-"):
                orders[submission.partition("~")[0]] += count
        for name, count in orders.items():
            if count > 1:
                raise InvariantError(f"{name} has run {count} times")
        for upstream in cell.upstreams.members.values():
            if upstream.active:
                raise InvariantError(f"{upstream.upstream_id} still handles requests")
            self._check_leaving(upstream.upstream_id, upstream.leaving_starts)
        for gateway in cell.gateways.values():
            self._check_gateway(gateway)

    def _check_leaving(self, upstream_id: UpstreamId, starts: list[float]) -> None:
        if not starts:
            return
        since = self.cell.leaving_since_s.get(upstream_id, starts[0])
        late = [s for s in starts if s > since + LEAVING_BOUND_S]
        if late:
            raise InvariantError(
                f"{upstream_id} got new work {late[0] - since:.1f} s after leaving"
            )

    def _check_gateway(self, gateway: CellGateway) -> None:
        service = gateway.service
        if service.in_flight_count:
            raise InvariantError(f"{gateway.process_id}: requests never end")
        retries = service.retries
        self.report.retries += retries.retry_count
        self.report.requests += retries.request_count
        if retries.retry_count > 0.1 * retries.request_count:
            raise InvariantError(
                f"{gateway.process_id}: {retries.retry_count} retries for "
                f"{retries.request_count} requests"
            )

    def behaviours(self, share: float) -> list[UpstreamBehaviour]:
        """Return the behaviours of some upstreams, at least of one."""
        members = list(self.cell.upstreams.members.values())
        count = max(1, round(share * len(members)))
        return [m.behaviour for m in self.rng.sample(members, count)]


def faults_of(seed: int) -> tuple[Fault, ...]:
    """Return the faults of a seed: first each alone, then each pair, then triples."""
    faults = list(Fault)
    if seed < len(faults):
        return (faults[seed],)
    count = 2 if seed < 2 * len(faults) ** 2 else 3
    return tuple(random.Random(f"{seed}/faults").sample(faults, count))


def run_seed(
    seed: int,
    faults: tuple[Fault, ...] | None = None,
    make_cell: Callable[[int], RequestCell] = RequestCell,
    load_s: float = LOAD_S,
) -> FuzzReport:
    """Run one seed.

    Parameters
    ----------
    seed : int
    faults : tuple of Fault, optional
        Those of the seed by default.
    make_cell : callable, optional
    load_s : float
        Length of the load, in seconds.

    Raises
    ------
    InvariantError
        If a guarantee does not hold.
    """
    chosen = faults_of(seed) if faults is None else faults

    async def run() -> FuzzReport:
        return await FuzzRun(seed, chosen, make_cell(seed), load_s).run()

    return run_virtual(run())


def fuzz(first: int, count: int) -> list[tuple[int, str]]:
    """Run seeds with a short load and return those that failed, with the reason."""
    failed = []
    for seed in range(first, first + count):
        try:
            run_seed(seed, load_s=SHORT_LOAD_S)
        except Exception as error:
            failed.append((seed, repr(error)))
    return failed


@click.command()
@click.option("--seeds", default=500, help="Number of seeds.")
@click.option("--first", default=0, help="First seed.")
@click.option("--verbose", is_flag=True, help="Print each seed.")
def main(seeds: int, first: int, verbose: bool) -> None:
    """Run randomised checks of the request path."""
    logging.set_verbosity(logging.FATAL)
    started = time.monotonic()
    failed = 0
    outcomes: Counter = Counter()
    problems: Counter[ProblemKind] = Counter()
    for seed in range(first, first + seeds):
        names = "+".join(fault.value for fault in faults_of(seed))
        try:
            report = run_seed(seed)
        except Exception as error:
            failed += 1
            click.echo(f"seed {seed} ({names}): {error!r}")
            continue
        outcomes.update(report.outcomes)
        problems.update(report.problems)
        if verbose:
            click.echo(f"seed {seed} ({names}): {report.submissions} submissions")
    counts = ", ".join(f"{n} {kind.value}" for kind, n in outcomes.most_common())
    click.echo(f"outcomes: {counts}")
    reasons = ", ".join(f"{n} {kind.value}" for kind, n in problems.most_common())
    click.echo(f"problems: {reasons}")
    took = time.monotonic() - started
    click.echo(f"{seeds} seeds, {failed} failed, {took:.1f} s")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
