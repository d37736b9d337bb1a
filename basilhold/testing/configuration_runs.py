"""Randomised runs of configuration watches behind failing links, on the virtual clock.

Machines follow the configuration directly or through each other, while links to the
store and between machines fail, the store drops its history, and versions are confirmed
around the end of these faults. A machine may answer by a version that was replaced for
the time of a bound only, and a machine in touch must answer. With a large document,
replies queue for the bandwidth between the regions and of each machine.

Run ``python -m basilhold.testing.configuration_runs --seeds N --first S [--large]`` for
more seeds.
"""

import asyncio
import math
import random
from collections.abc import Coroutine
from typing import Any

import click
import msgspec
from expression import Ok, Result

from basilhold.core import Clock, ProcessId, RegionName
from basilhold.ports import (
    Transaction,
    Write,
)
from basilhold.standins.feed_table import FeedTable
from basilhold.testing.configuration_links import (
    Bandwidth,
    FaultKind,
    Link,
    LinkedTable,
    now_ms,
)
from basilhold.testing.virtual_time import run_virtual
from basilhold.workflows.configuration_relay import RelayChooser
from basilhold.workflows.configuration_watch import ConfigurationWatch
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.peer_http import CONFIGURATION_TIMEOUT_MS, STORE_TIMEOUT_MS
from basilhold.workflows.peers import ChangesCall, Member, PeerClient
from basilhold.workflows.relayed_table import PROBE_KEY, RelayedTable
from basilhold.workflows.routes import QueueTable

__all__ = [
    "BOUNDS",
    "LARGE",
    "MARGIN_MS",
    "Bounds",
    "Deployment",
    "RunReport",
    "run_seed",
]

PREFIX = "op//"
KEY = "op//config"
REGIONS = (RegionName("near"), RegionName("far"))
MEMBER_EXPIRY_S = 25.0
"""Time after which a process that was lost is no longer listed as a member: 3.1
intervals of 8 s in which members renew their rows."""

LATENCY_MS = {REGIONS[0]: 3.0, REGIONS[1]: 63.0}
"""Round-trip times to the store by region of the machine, in milliseconds."""

SAMPLE_INTERVAL_MS = 50
POLL_INTERVAL_MS = 350
"""Interval at which each machine reads the owner records, in milliseconds."""

MARGIN_MS = 250.0
"""Part of the bound for which the configuration is not used, in milliseconds."""

LOAD_S = 60.0
FAULTS_MAX = 6
VERSION_INTERVAL_S = 1.5
"""Mean time between versions that are confirmed regardless of faults, in seconds."""

COMPACTION_RATIO = 0.1
"""Share of the versions after which the store drops its history."""

AROUND_FAULT_S = (-0.2, 0.0, 0.3, 0.9, 1.6)
"""Times of further versions relative to the end of each fault, in seconds."""


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of a deployment, in milliseconds.

    Parameters
    ----------
    contact_ms : int
        Time without faults after which a machine counts as in touch.
    apply_ms : int
        Time after its confirmation in which a version must be in force.
    """

    contact_ms: int
    apply_ms: int


BOUNDS = (Bounds(4_000, 3_000), Bounds(5_000, 4_000))
"""Bounds of the users' small and grown deployments."""


class Deployment(msgspec.Struct, frozen=True):
    """Machines, their links and the size of the document.

    Parameters
    ----------
    machines : int
    wide_machines : int
        Machines with the bandwidth `wide_mbps`; those with the lowest numbers.
    document_bytes : int
        Size of the document in a reply of the store, in bytes.
    region_mbps, wide_mbps, narrow_mbps : float
        Bandwidth between the regions, of a wide machine and of any other machine, in
        Mbit/s.
    regions_listed : bool
        Whether the machines know each other's regions.
    """

    machines: int = 12
    wide_machines: int = 0
    document_bytes: int = 0
    region_mbps: float = math.inf
    wide_mbps: float = math.inf
    narrow_mbps: float = math.inf
    regions_listed: bool = False


SMALL = Deployment()
LARGE = Deployment(
    machines=42,
    wide_machines=12,
    document_bytes=400_000,
    region_mbps=30.0,
    wide_mbps=100.0,
    narrow_mbps=5.0,
    regions_listed=True,
)
"""A configuration of 1,400 routes on machines like those of a grown deployment."""


class Fault(msgspec.Struct):
    """A fault of some machines, in seconds of the loop's clock."""

    kind: FaultKind
    machines: frozenset[int]
    begin_s: float
    end_s: float

    def __str__(self) -> str:
        machines = ",".join(map(str, sorted(self.machines)))
        return f"{self.kind.value} {machines} {self.begin_s:.2f}-{self.end_s:.2f} s"


class RunReport(msgspec.Struct):
    """Outcome of a run.

    Parameters
    ----------
    violations : list of str
        Calls that were answered by a version that had to be replaced, or that a machine
        in touch rejected.
    faults : list of str
        What was done, for the report of a failure.
    judged : int
        Calls that were answered by a version.
    rejected : int
        Calls on machines out of touch that were rejected.
    """

    violations: list[str]
    faults: list[str]
    judged: int
    rejected: int


class _Document(msgspec.Struct):
    version: int


def _decode(value: bytes) -> QueueTable:
    return QueueTable(msgspec.json.decode(value, type=_Document).version, (), 0, ())


class _LoopClock(SuspendAwareClock):
    def now_ms(self) -> float:
        return now_ms()


def _region_of(number: int) -> RegionName:
    return REGIONS[number % len(REGIONS)]


class _MachinePeers(PeerClient):
    """Peers as one machine reaches them."""

    def __init__(self, run: "_Run", number: int):
        self._run = run
        self._number = number

    async def store_call(self, endpoint, call):
        """Let a peer call the store."""
        peer = int(endpoint)
        wait_ms = call.wait_ms if isinstance(call, ChangesCall) else 0
        served = self._run.machines[peer].store.serve(call)
        return await self._link(peer).run(
            served, LATENCY_MS[REGIONS[1]], STORE_TIMEOUT_MS + wait_ms
        )

    async def request_configuration(self, endpoint, request):
        """Ask a peer for its version."""
        peer = int(endpoint)
        served = _as_result(self._run.machines[peer].watch.serve(request))
        result = await self._link(peer).run(
            served, LATENCY_MS[REGIONS[0]], CONFIGURATION_TIMEOUT_MS + request.wait_ms
        )
        return result.ok if result.is_ok() else None

    def _link(self, peer: int) -> Link:
        return Link(
            lambda: {
                kind
                for kind in self._run.kinds(self._number) | self._run.kinds(peer)
                if kind in (FaultKind.CUT, FaultKind.DEAD)
            }
        )

    notify_submitted = notify_cancelled = notify_released = None
    query_ownership = state = queue_length = advise = request_quota = None


async def _as_result(reply: Coroutine[Any, Any, Any]) -> Result:
    return Ok(await reply)


class _Machine:
    """A machine that follows the configuration."""

    def __init__(self, run: "_Run", number: int):
        region = _region_of(number)
        link = Link(
            lambda: run.kinds(number),
            run.path_to(number),
            run.deployment.document_bytes,
        )
        table = LinkedTable(run.table, link, LATENCY_MS[region])
        own = run.list_members()[number]

        def members() -> list[Member]:
            listed = run.list_members()
            return [own, *(m for m in listed if m.process_id != own.process_id)]

        peers, clock = _MachinePeers(run, number), Clock(0)
        self.store = RelayedTable(
            table,
            table,
            peers,
            members,
            region,
            clock,
            random.Random(run.rng.random()),
        )
        self.watch = ConfigurationWatch(
            self.store,
            self.store,
            _LoopClock(),
            PREFIX,
            KEY,
            _decode,
            run.usable_ms,
            peers,
            RelayChooser(members, clock),
        )

    async def run(self) -> None:
        """Follow the configuration, and read owner records as a process does."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch.run())
            group.create_task(self._poll())

    async def _poll(self) -> None:
        while True:
            await self.store.read((PROBE_KEY,))
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)


class _Run:
    """One run of a seed."""

    def __init__(self, seed: int, bounds: Bounds, deployment: Deployment):
        self.deployment = deployment
        self._between_regions = Bandwidth(deployment.region_mbps)
        self.rng = random.Random(seed)
        self._compaction_rng = random.Random(seed)
        self.table = FeedTable()
        self.machines: list[_Machine] = []
        self._bounds = bounds
        self.usable_ms = bounds.apply_ms - MARGIN_MS
        self._faults = self._draw_faults()
        self._confirmed: list[tuple[float, int]] = []
        self._report = RunReport([], [str(fault) for fault in self._faults], 0, 0)

    def list_members(self) -> list[Member]:
        """Return the machines as members, in the order of their numbers.

        Those that have been dead for `MEMBER_EXPIRY_S` are no longer listed.
        """
        deployment = self.deployment
        now_s = now_ms() / 1000
        expired = {
            number
            for fault in self._faults
            if fault.kind is FaultKind.DEAD
            and fault.begin_s + MEMBER_EXPIRY_S <= now_s < fault.end_s
            for number in fault.machines
        }
        return [
            Member(
                ProcessId(str(number)),
                str(number),
                _region_of(number) if deployment.regions_listed else RegionName(""),
                wide_link=number < deployment.wide_machines,
            )
            for number in range(deployment.machines)
            if number not in expired
        ]

    def path_to(self, number: int) -> tuple[Bandwidth, ...]:
        """Return what a reply of the store to a machine passes."""
        deployment = self.deployment
        if not deployment.document_bytes:
            return ()
        is_wide = number < deployment.wide_machines
        own = Bandwidth(deployment.wide_mbps if is_wide else deployment.narrow_mbps)
        if _region_of(number) == REGIONS[0]:
            return (own,)
        return (self._between_regions, own)

    def kinds(self, number: int) -> set[FaultKind]:
        """Return the kinds of the faults that concern a machine now."""
        now_s = now_ms() / 1000
        return {
            fault.kind
            for fault in self._faults
            if number in fault.machines and fault.begin_s <= now_s < fault.end_s
        }

    async def run(self) -> RunReport:
        """Run the load and the faults; return what was seen."""
        self._confirm(1)
        self.machines = [
            _Machine(self, number) for number in range(self.deployment.machines)
        ]
        numbers = range(self.deployment.machines)
        try:
            async with asyncio.TaskGroup() as group:
                background = [group.create_task(m.run()) for m in self.machines]
                background.append(group.create_task(self._write()))
                samples = [group.create_task(self._sample(n)) for n in numbers]
                await asyncio.wait(samples)
                for task in background:
                    task.cancel()
        finally:
            for machine in self.machines:
                await machine.store.close()
        return self._report

    def _draw_faults(self) -> list[Fault]:
        rng = self.rng
        faults = []
        for _ in range(rng.randint(1, FAULTS_MAX)):
            kind = rng.choice(tuple(FaultKind))
            count = max(
                1, round(self.deployment.machines * rng.choice((0.1, 0.35, 0.6)))
            )
            begin_s = rng.uniform(3.0, LOAD_S - 12.0)
            end_s = begin_s + rng.choice((0.5, 2.0, 4.0, 6.0, 9.0)) + rng.random()
            machines = frozenset(rng.sample(range(self.deployment.machines), count))
            if kind is FaultKind.DEAD:
                end_s = LOAD_S + 1.0
            faults.append(Fault(kind, machines, begin_s, end_s))
        return faults

    def _draw_version_times(self) -> list[float]:
        times = []
        at_s = 2.0
        while at_s < LOAD_S:
            times.append(at_s)
            at_s += self.rng.expovariate(1 / VERSION_INTERVAL_S)
        for fault in self._faults:
            times.extend(fault.end_s + offset_s for offset_s in AROUND_FAULT_S)
        return sorted(time for time in times if time < LOAD_S)

    async def _write(self) -> None:
        version = 1
        for at_s in self._draw_version_times():
            await asyncio.sleep(max(0.0, at_s - now_ms() / 1000))
            version += self.rng.randint(1, 3)
            self._confirm(version)
            if self._compaction_rng.random() < COMPACTION_RATIO:
                self.table.compact()

    def _confirm(self, version: int) -> None:
        value = msgspec.json.encode(_Document(version))
        self.table.transact_now(Transaction((), (Write(KEY, value),)))
        self._confirmed.append((now_ms(), version))

    async def _sample(self, number: int) -> None:
        """Call a machine repeatedly."""
        newest = 0
        await asyncio.sleep(2.0)
        while now_ms() < LOAD_S * 1000:
            sent_ms = now_ms()
            table = await self.machines[number].watch.current()
            version = table.version if table is not None else None
            self._judge(number, sent_ms, version, newest)
            newest = max(newest, version or 0)
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000)

    def _judge(
        self, number: int, sent_ms: float, version: int | None, newest: int
    ) -> None:
        if version is not None and version < newest:
            self._fail(number, sent_ms, f"version {version} after {newest}")
        if version is None:
            if self._is_in_touch(number, sent_ms):
                self._fail(number, sent_ms, "no version on a machine in touch")
            self._report.rejected += 1
            return
        self._report.judged += 1
        required = self._newest_confirmed(sent_ms - self._bounds.apply_ms)
        if version < required:
            self._fail(number, sent_ms, f"version {version} in place of {required}")

    def _is_in_touch(self, number: int, at_ms: float) -> bool:
        return not (
            self._disturbed(at_ms, (number,), _SEPARATIONS)
            or self._disturbed(at_ms, range(self.deployment.machines), _REJECTIONS)
        )

    def _disturbed(self, at_ms, machines, kinds) -> bool:
        """Return whether a fault lies within the contact time before a moment."""
        begin_s, end_s = (at_ms - self._bounds.contact_ms) / 1000, at_ms / 1000
        return any(
            fault.kind in kinds
            and not fault.machines.isdisjoint(machines)
            and fault.begin_s <= end_s
            and fault.end_s >= begin_s
            for fault in self._faults
        )

    def _newest_confirmed(self, until_ms: float) -> int:
        return max(
            (version for at_ms, version in self._confirmed if at_ms < until_ms),
            default=0,
        )

    def _fail(self, number: int, sent_ms: float, reason: str) -> None:
        self._report.violations.append(
            f"machine {number} at {sent_ms / 1000:.2f} s: {reason}"
        )


_SEPARATIONS = (FaultKind.CUT, FaultKind.DEAD)
_REJECTIONS = (FaultKind.REFUSED, FaultKind.IGNORED)


def run_seed(
    seed: int, bounds: Bounds | None = None, deployment: Deployment = SMALL
) -> RunReport:
    """Run one seed on a new loop with a virtual clock.

    Parameters
    ----------
    seed : int
    bounds : Bounds, optional
        Chosen by the seed from `BOUNDS` if not given.
    deployment : Deployment
    """
    run = _Run(seed, bounds or BOUNDS[seed % len(BOUNDS)], deployment)
    return run_virtual(run.run())


@click.command()
@click.option("--seeds", default=20, help="Number of seeds.")
@click.option("--first", default=0, help="First seed.")
@click.option("--large", is_flag=True, help="A large document and narrow links.")
def main(seeds: int, first: int, large: bool) -> None:
    """Run seeds and report those that break a bound."""
    failed = 0
    for seed in range(first, first + seeds):
        report = run_seed(seed, deployment=LARGE if large else SMALL)
        failed += bool(report.violations)
        click.echo(
            f"seed {seed}: {report.judged} judged, {report.rejected} rejected, "
            f"{len(report.violations)} violations"
        )
        for line in report.violations[:3]:
            click.echo(f"  {line}")
        if report.violations:
            click.echo("  " + "; ".join(report.faults))
    click.echo(f"{seeds - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
