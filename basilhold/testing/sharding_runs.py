"""Randomised runs of a cell with faults, alone and in pairs."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from basilhold.core import (
    InvariantError,
    JobId,
    JobSpec,
    Resources,
    RestartPolicy,
    WorkerId,
)
from basilhold.placement import (
    FirstFitPlanner,
    Planner,
    TargetPlanner,
)
from basilhold.sharding import ShardingSettings
from basilhold.testing.cell import CellHarness, make_spec
from basilhold.testing.sharding_workload import (
    TEAMS,
    CheckedPlanner,
    add_overuse,
    make_mixed_spec,
)
from basilhold.testing.virtual_time import run_virtual

__all__ = ["FAULTS", "RunPlanner", "RunResult", "run_seed"]

ZONE = "plovdiv"
_FAULT_PHASE_S = 150
_SETTLE_BOUND_S = 420
"""After the last fault ends, horizons (90 s), quarantines (30 s and more) and run
times must pass before all jobs are finished."""


class RunPlanner(Enum):
    """Planner of a run; the planner of production also gets jobs of all kinds."""

    FIRST_FIT = "first-fit"
    TARGET = "target"


class RunResult(msgspec.Struct):
    """What a run did.

    Parameters
    ----------
    seed : int
    faults : tuple of str
    log : list of str
        Events with their times; equal for equal seeds.
    counts : dict of str to int
        How often each fault took effect.
    starts : int
    """

    seed: int
    faults: tuple[str, ...]
    log: list[str]
    counts: dict[str, int]
    starts: int


class _Run:
    """One run: a cell, its workload and the faults."""

    def __init__(self, seed: int, planner: RunPlanner):
        self.seed = seed
        self.planner = planner
        self.planners: list[TargetPlanner] = []
        self.rng = random.Random(seed)
        settings = ShardingSettings(horizon_ms=90_000)
        if planner is RunPlanner.TARGET:
            # Reports must arrive while tasks of 25 s run, or no overuse is seen.
            settings = ShardingSettings(horizon_ms=90_000, usage_interval_ms=10_000)
        zones = {ZONE: self.rng.randint(2, 5)}
        self.wait_target_ms = 600_000
        if seed % 4 == 1:
            # Waiting jobs move to the other shard.
            zones = {ZONE: 1, "ruse": self.rng.randint(2, 3)}
            self.wait_target_ms = 6_000
        names = {f"s{n}": "haskovo" for n in range(self.rng.randint(2, 3))}
        clock_error_ms = 500 if seed % 3 == 0 else 0
        self.cell = CellHarness(
            seed,
            zones,
            names,
            settings,
            clock_error_ms,
            lambda shard: self._make_planner(),
        )
        if planner is RunPlanner.TARGET:
            self.cell.view.team_list = TEAMS
            for worker in self.cell.workers.values():
                add_overuse(worker.behaviours)
        self.counts: Counter[str] = Counter()
        if clock_error_ms:
            self.counts["clock error"] += 1
        self.log: list[str] = []

    def _make_planner(self) -> Planner:
        if self.planner is RunPlanner.FIRST_FIT:
            return FirstFitPlanner()
        planner = CheckedPlanner(self.counts)
        self.planners.append(planner)
        return planner

    def check_planners(self) -> None:
        """Raise what is inconsistent in the planners, old owners' included."""
        for planner in self.planners:
            planner.check_invariants()

    def make_spec(self, number: int, restart: RestartPolicy, command: str) -> JobSpec:
        """Return the next job of the workload."""
        count = self.rng.randint(1, 4) if self.planner is RunPlanner.FIRST_FIT else 1
        spec = make_spec(
            f"j{number}", count, restart, command, wait_target_ms=self.wait_target_ms
        )
        if self.planner is RunPlanner.FIRST_FIT:
            return spec
        return make_mixed_spec(self.rng, spec, self.cell.clock.unix_ms())

    def note(self, text: str) -> None:
        self.log.append(f"{self.cell.clock.unix_ms()} {text}")

    def pick_process(self):
        """Return a running process, the owner in most cases."""
        names = sorted(self.cell.processes)
        owner = self.cell.owner_name(ZONE)
        if owner is not None and self.rng.random() < 0.7:
            return self.cell.processes[owner]
        return self.cell.processes[self.rng.choice(names)] if names else None

    def pick_worker(self):
        return self.cell.workers[self.rng.choice(sorted(self.cell.workers))]

    async def hold(self, longest_s: float = 60) -> None:
        await asyncio.sleep(self.rng.uniform(1, longest_s))

    async def workload(self) -> None:
        """Submit jobs of all kinds; cancel some."""
        for number in range(self.rng.randint(8, 20)):
            await asyncio.sleep(self.rng.uniform(0, 10))
            restart = self.rng.choice(list(RestartPolicy))
            command = self.rng.choice(("short", "short", "medium", "fails"))
            if command == "fails" and self.rng.random() < 0.7:
                command = "medium"
            spec = self.make_spec(number, restart, command)
            result = await self.cell.submit(spec, ZONE, self.rng.random() < 0.9)
            outcome = "ok" if result.is_ok() else result.error.kind.value
            self.note(f"submit {spec.job_id} {command} {restart.value}: {outcome}")
            if self.cell.job_ids and self.rng.random() < 0.15:
                await self.cancel(self.rng.choice(self.cell.job_ids))

    async def cancel(self, job_id: JobId) -> None:
        result = await self.cell.intake.cancel(job_id)
        self.note(f"cancel {job_id}: {'ok' if result.is_ok() else 'failed'}")
        self.cell.notify(job_id)


async def _kill(run: _Run) -> None:
    process = run.pick_process()
    if process is None:
        return
    run.counts["kill"] += 1
    name = process.info.process_id
    await run.cell.kill(name)
    await run.hold()
    if name not in run.cell.processes:
        await run.cell.start(name)


async def _drain(run: _Run) -> None:
    process = run.pick_process()
    if process is None or process.gate.paused:
        return
    run.counts["planned stop"] += 1
    name = process.info.process_id
    process = run.cell.processes.pop(name)
    await process.scheduler.stop()
    await run.hold(10)
    if name not in run.cell.processes:
        await run.cell.start(name)


async def _pause(run: _Run) -> None:
    process = run.pick_process()
    if process is None:
        return
    run.counts["pause"] += 1
    process.gate.pause()
    await run.hold(90)
    process.gate.resume()


async def _cut_store(run: _Run) -> None:
    process = run.pick_process()
    if process is None:
        return
    run.counts["store cut"] += 1
    process.store.cut = True
    await run.hold()
    process.store.cut = False


async def _cut_workers(run: _Run) -> None:
    process = run.pick_process()
    if process is None:
        return
    run.counts["worker cut"] += 1
    ids = sorted(run.cell.workers)
    process.agents.cut = set(run.rng.sample(ids, run.rng.randint(1, len(ids))))
    await run.hold()
    process.agents.cut = set()


async def _cut_peers(run: _Run) -> None:
    run.counts["peer cut"] += 1
    names = sorted(run.cell.infos)
    run.cell.cut_pairs = {frozenset(run.rng.sample(names, 2))}
    await run.hold()
    run.cell.cut_pairs = set()


async def _lossy_workers(run: _Run) -> None:
    process = run.pick_process()
    if process is None:
        return
    run.counts["lossy worker link"] += 1
    agents = process.agents
    agents.lost_request_ratio = run.rng.uniform(0, 0.3)
    agents.lost_reply_ratio = run.rng.uniform(0, 0.3)
    await run.hold()
    agents.lost_request_ratio = agents.lost_reply_ratio = 0.0


async def _delayed_starts(run: _Run) -> None:
    process = run.pick_process()
    if process is None:
        return
    run.counts["delayed worker messages"] += 1
    process.agents.delayed_ratio = run.rng.uniform(0.2, 0.6)
    await run.hold()
    process.agents.delayed_ratio = 0.0


async def _outage(run: _Run) -> None:
    run.counts["store outage"] += 1
    run.cell.table.faults.down = True
    await run.hold(70)
    run.cell.table.faults.down = False


async def _lossy_store(run: _Run) -> None:
    run.counts["lossy store"] += 1
    faults = run.cell.table.faults
    faults.lost_reply_ratio = run.rng.uniform(0, 0.3)
    faults.lost_request_ratio = run.rng.uniform(0, 0.2)
    faults.refused_ratio = run.rng.uniform(0, 0.3)
    faults.delayed_ratio = run.rng.uniform(0, 0.2)
    await run.hold()
    faults.lost_reply_ratio = faults.lost_request_ratio = 0.0
    faults.refused_ratio = faults.delayed_ratio = 0.0


async def _slow_store(run: _Run) -> None:
    run.counts["slow store"] += 1
    run.cell.table.faults.latency_ms = run.rng.uniform(200, 3000)
    await run.hold()
    run.cell.table.faults.latency_ms = 4.0


async def _worker_death(run: _Run) -> None:
    run.counts["worker death"] += 1
    worker = run.pick_worker()
    worker.reachable = False
    worker.restart()
    await run.hold(90)
    worker.reachable = True


async def _worker_cut_off(run: _Run) -> None:
    run.counts["worker cut off"] += 1
    worker = run.pick_worker()
    worker.reachable = False
    await run.hold(90)
    worker.reachable = True


async def _worker_restart(run: _Run) -> None:
    run.counts["worker restart"] += 1
    run.pick_worker().restart()


async def _rack_loss(run: _Run) -> None:
    run.counts["rack loss"] += 1
    racks = sorted({vm.rack for vm in run.cell.view.vms.values()})
    if not racks:
        return
    rack = run.rng.choice(racks)
    lost = [w for w, vm in run.cell.view.vms.items() if vm.rack == rack]
    vms = {worker_id: run.cell.view.vms.pop(worker_id) for worker_id in lost}
    for worker_id in lost:
        run.cell.workers[worker_id].reachable = False
        run.cell.workers[worker_id].restart()
    await run.hold(90)
    run.cell.view.vms.update(vms)
    for worker_id in lost:
        run.cell.workers[worker_id].reachable = True


async def _list_loss(run: _Run) -> None:
    run.counts["VM list loss"] += 1
    ids = sorted(run.cell.view.vms)
    lost = run.rng.sample(ids, run.rng.randint(min(1, len(ids)), len(ids)))
    vms = {worker_id: run.cell.view.vms.pop(WorkerId(worker_id)) for worker_id in lost}
    await run.hold()
    run.cell.view.vms.update(vms)


async def _bad_worker(run: _Run) -> None:
    run.counts["failing worker"] += 1
    worker = run.pick_worker()
    worker.fails_everything = True
    await run.hold()
    worker.fails_everything = False


async def _wrong_size(run: _Run) -> None:
    run.counts["wrong size"] += 1
    worker = run.pick_worker()
    listed = worker.capacity
    worker.capacity = Resources(2_000, 4 << 30, 0)
    await run.hold(90)
    worker.capacity = listed


async def _cancel_wave(run: _Run) -> None:
    run.counts["wave of cancellations"] += 1
    await run.hold(20)
    chosen = [job_id for job_id in run.cell.job_ids if run.rng.random() < 0.5]
    await asyncio.gather(*(run.cancel(job_id) for job_id in chosen))


FAULTS: dict[str, Callable[[_Run], Awaitable[None]]] = {
    "kill": _kill,
    "planned stop": _drain,
    "pause": _pause,
    "store cut": _cut_store,
    "worker cut": _cut_workers,
    "peer cut": _cut_peers,
    "lossy worker link": _lossy_workers,
    "delayed worker messages": _delayed_starts,
    "store outage": _outage,
    "lossy store": _lossy_store,
    "slow store": _slow_store,
    "worker death": _worker_death,
    "worker cut off": _worker_cut_off,
    "worker restart": _worker_restart,
    "rack loss": _rack_loss,
    "VM list loss": _list_loss,
    "failing worker": _bad_worker,
    "wrong size": _wrong_size,
    "wave of cancellations": _cancel_wave,
}


async def _inject(run: _Run, name: str) -> None:
    end_s = asyncio.get_running_loop().time() + _FAULT_PHASE_S
    while asyncio.get_running_loop().time() < end_s:
        await run.hold(30)
        run.note(f"fault {name}")
        await FAULTS[name](run)
        run.note(f"end of {name}")


async def _run(seed: int, planner: RunPlanner) -> RunResult:
    run = _Run(seed, planner)
    names = tuple(run.rng.sample(sorted(FAULTS), 1 + seed % 2))
    cell = run.cell
    await cell.start()
    await asyncio.sleep(run.rng.uniform(0, 3))
    tasks = [asyncio.create_task(run.workload())]
    tasks += [asyncio.create_task(_inject(run, name)) for name in names]
    await asyncio.gather(*tasks)
    waited_s = 0
    while cell.unfinished() or waited_s < 5:
        cell.monitor.raise_violation()
        if waited_s >= _SETTLE_BOUND_S:
            await cell.close()
            raise InvariantError(f"jobs {cell.unfinished()} do not finish")
        await asyncio.sleep(5)
        waited_s += 5
    run.note(f"settled after {waited_s} s")
    await cell.close()
    cell.monitor.check_end()
    run.check_planners()
    run.counts["jobs moved to another shard"] = sum(
        f"job/{ZONE}/{job_id}" not in cell.table.read_now((f"job/{ZONE}/{job_id}",)).ok
        for job_id in cell.job_ids
    )
    for job_id in cell.job_ids:
        states = [f"{t.state.value}:{t.attempt}" for t in cell.job(job_id).tasks]
        run.note(f"{job_id} {' '.join(states)}")
    counts = Counter({str(k.value): n for k, n in cell.counts.items()}) + run.counts
    counts += Counter(
        {f"store {fate.value}": n for fate, n in cell.table.faults.counts.items()}
    )
    return RunResult(seed, names, run.log, dict(counts), cell.monitor.starts.total())


def run_seed(seed: int, planner: RunPlanner = RunPlanner.FIRST_FIT) -> RunResult:
    """Run one seed.

    Raises
    ------
    InvariantError
        A guarantee does not hold, or the jobs did not finish after the faults ended.
    """
    return run_virtual(_run(seed, planner))
