"""A small cell of scheduler processes over stand-ins, with faults to switch on."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable

from basilhold.core import (
    ClassKind,
    ClassName,
    Clock,
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    ProcessId,
    RegionName,
    Resources,
    RestartPolicy,
    Team,
    TeamName,
    VmId,
    WorkerId,
    ZoneName,
)
from basilhold.placement import FirstFitPlanner, Planner
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.sharding import (
    CellView,
    HandOverState,
    JobIntake,
    ProbeAnswer,
    ProcessInfo,
    SchedulerPeers,
    ShardInfo,
    ShardingSettings,
    ShardScheduler,
    Submission,
    make_job_id,
)
from basilhold.sharding.rows import decode
from basilhold.standins import MemoryTable, MemoryWorker, StoreFaults, TaskBehaviour
from basilhold.testing.links import ProcessGate, StoreLink, WorkerLink
from basilhold.testing.monitor import InvariantMonitor
from basilhold.testing.virtual_time import VIRTUAL_EPOCH_UNIX_MS

__all__ = ["TASK_SIZE", "CellHarness", "HarnessProcess", "make_spec"]

WORKER_SIZE = Resources(4_000, 8 << 30, 0)
TASK_SIZE = Resources(1_000, 1 << 30, 0)
REGION = RegionName("thrace")
PROBE_TIMEOUT_S = 1.0


def make_spec(
    key: str,
    task_count: int = 1,
    restart: RestartPolicy = RestartPolicy.ALLOWED,
    command: str = "",
    kind: ClassKind = ClassKind.BATCH,
    size: Resources = TASK_SIZE,
    wait_target_ms: int = 600_000,
) -> JobSpec:
    """Return the specification of a job with defaults for tests."""
    office = OfficeName("thrace")
    return JobSpec(
        make_job_id(office, key),
        office,
        TeamName("track"),
        ClassName("survey"),
        kind,
        wait_target_ms,
        task_count,
        size,
        VIRTUAL_EPOCH_UNIX_MS,
        restart=restart,
        command=command,
    )


class HarnessCellView(CellView):
    """The cell's shards and VM list, which tests change."""

    def __init__(self, zones: Iterable[ZoneName]):
        self.zones = tuple(ShardInfo(zone, REGION) for zone in zones)
        self.vms: dict[WorkerId, VmRecord] = {}
        self.team_list: tuple[Team, ...] = ()

    def shards(self) -> tuple[ShardInfo, ...]:
        """Return the shards."""
        return self.zones

    def workers(self, zone: ZoneName) -> tuple[VmRecord, ...]:
        """Return the listed workers of a zone."""
        return tuple(vm for vm in self.vms.values() if vm.zone == zone)

    def teams(self) -> tuple[Team, ...]:
        """Return the teams."""
        return self.team_list


class HarnessPeers(SchedulerPeers):
    """Calls between the processes of a harness."""

    def __init__(self, harness: "CellHarness", me: ProcessId):
        self._harness = harness
        self._me = me

    def processes(self) -> tuple[ProcessInfo, ...]:
        """Return the processes that membership lists."""
        return tuple(self._harness.infos.values())

    def _reach(self, process_id: ProcessId) -> ShardScheduler | None:
        process = self._harness.processes.get(process_id)
        if process is None or process.gate.paused:
            return None
        pair = frozenset((process_id, self._me))
        return None if pair in self._harness.cut_pairs else process.scheduler

    async def probe(self, process_id: ProcessId) -> ProbeAnswer | None:
        """Ask a process for its shards."""
        await self._harness.processes[self._me].gate.passed()
        scheduler = self._reach(process_id)
        if scheduler is None:
            await asyncio.sleep(PROBE_TIMEOUT_S)
            return None
        await asyncio.sleep(0.002)
        return ProbeAnswer(process_id, scheduler.summaries())

    async def hand_over(self, to: ProcessId, state: HandOverState) -> bool:
        """Pass a shard's state on."""
        scheduler = self._reach(to)
        return scheduler is not None and await scheduler.receive_hand_over(state)

    async def notify_jobs(self, to: ProcessId, job_ids: tuple[JobId, ...]) -> None:
        """Hint an owner at jobs."""
        scheduler = self._reach(to)
        if scheduler is not None:
            scheduler.notify_jobs(job_ids)


class HarnessProcess:
    """One scheduler process and its connections."""

    def __init__(self, harness: "CellHarness", info: ProcessInfo, clock: Clock):
        rng = random.Random(f"{harness.seed}:{info.process_id}:{clock.unix_ms()}")
        self.info = info
        self.clock = clock
        self.gate = ProcessGate(harness.counts)
        self.store = StoreLink(harness.table, self.gate)
        self.agents = WorkerLink(harness.workers, self.gate, rng)
        self.scheduler = ShardScheduler(
            info,
            self.store,
            self.agents,
            clock,
            HarnessPeers(harness, info.process_id),
            harness.view,
            lambda shard: harness.make_planner(shard),
            harness.settings,
            seed=rng.getrandbits(32),
        )


class CellHarness:
    """Scheduler processes, workers and a store on the virtual clock.

    Parameters
    ----------
    seed : int
    zones : dict of str to int
        Number of workers by zone.
    processes : dict of str to str
        Zone by process id.
    settings : ShardingSettings, optional
    clock_error_ms : int
        Bound of the random error of each machine's clock.
    make_planner : callable, optional

    Attributes
    ----------
    counts : collections.Counter
        How often each fault took effect.
    """

    def __init__(
        self,
        seed: int = 0,
        zones: dict[str, int] | None = None,
        processes: dict[str, str] | None = None,
        settings: ShardingSettings | None = None,
        clock_error_ms: int = 0,
        make_planner: Callable[[ShardInfo], Planner] = lambda shard: FirstFitPlanner(),
    ):
        self.seed = seed
        self.rng = random.Random(seed)
        self.counts: Counter = Counter()
        self.settings = settings or ShardingSettings()
        self.make_planner = make_planner
        self.table = MemoryTable(StoreFaults(seed))
        self.table.faults.latency_ms = 4.0
        self.clock = Clock(VIRTUAL_EPOCH_UNIX_MS)
        self._clock_error_ms = clock_error_ms
        zones = zones or {"plovdiv": 3}
        self.view = HarnessCellView(ZoneName(zone) for zone in zones)
        self.workers: dict[WorkerId, MemoryWorker] = {}
        for zone, count in zones.items():
            for index in range(count):
                self.add_worker(zone, index)
        self.monitor = InvariantMonitor(self.table, self.workers)
        names = processes or {"s0": "haskovo", "s1": "haskovo"}
        self.infos = {
            ProcessId(name): ProcessInfo(ProcessId(name), ZoneName(zone), REGION)
            for name, zone in names.items()
        }
        self.processes: dict[ProcessId, HarnessProcess] = {}
        self.cut_pairs: set[frozenset[ProcessId]] = set()
        self.intake = JobIntake(self.table, seed=seed)
        self.job_ids: list[JobId] = []

    def _make_clock(self) -> Clock:
        error_ms = self.rng.randint(-self._clock_error_ms, self._clock_error_ms)
        return Clock(self.clock.unix_ms() + error_ms)

    def add_worker(self, zone: str, index: int) -> MemoryWorker:
        """Add a worker VM to a zone."""
        worker_id = WorkerId(f"{zone}-w{index}")
        worker = MemoryWorker(worker_id, WORKER_SIZE, self._make_clock())
        worker.behaviours["short"] = TaskBehaviour(run_time_ms=3_000)
        worker.behaviours["medium"] = TaskBehaviour(run_time_ms=25_000)
        worker.behaviours["fails"] = TaskBehaviour(fails=True)
        self.workers[worker_id] = worker
        self.view.vms[worker_id] = VmRecord(
            VmId(worker_id),
            VmKind.WORKER,
            VmState.LIVE,
            REGION,
            ZoneName(zone),
            f"{zone}-r{index // 2}",
            "127.0.0.1",
            0,
            worker.capacity,
        )
        return worker

    async def start(self, *names: str) -> None:
        """Start processes, all by default."""
        for name in names or self.infos:
            process = HarnessProcess(
                self, self.infos[ProcessId(name)], self._make_clock()
            )
            self.processes[process.info.process_id] = process
            await process.scheduler.__aenter__()

    async def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.processes.pop(ProcessId(name), None)
        if process is not None:
            process.gate.resume()
            await process.scheduler.abort()

    async def drain(self, name: str) -> None:
        """Stop a process as planned."""
        process = self.processes[ProcessId(name)]
        await process.scheduler.stop()
        del self.processes[ProcessId(name)]

    async def close(self) -> None:
        """End all processes and raise what was broken."""
        self.monitor.raise_violation()
        for name in list(self.processes):
            process = self.processes[name]
            if process.scheduler.failure is not None:
                raise process.scheduler.failure
        for name in list(self.processes):
            await self.kill(name)

    def owner_name(self, zone: str) -> str | None:
        """Return the live process that owns a zone's shard."""
        for name, process in self.processes.items():
            if ZoneName(zone) in process.scheduler.owned_zones():
                return name
        return None

    async def submit(self, spec: JobSpec, zone: str, notify: bool = True):
        """Submit a job to a zone and notify the owner."""
        submission = Submission(spec, {ZoneName(zone): spec.task_count})
        result = await self.intake.submit(submission)
        if result.is_ok():
            self.job_ids.append(spec.job_id)
            if notify:
                self.notify(spec.job_id)
        return result

    def notify(self, *job_ids: JobId) -> None:
        """Hint all reachable processes at jobs."""
        for process in self.processes.values():
            if not process.gate.paused:
                process.scheduler.notify_jobs(job_ids)

    def job(self, job_id: JobId) -> JobRecord | None:
        """Return a job's row."""
        for shard in self.view.zones:
            key = f"job/{shard.zone}/{job_id}"
            row = self.table.read_now((key,)).ok.get(key)
            if row is not None:
                return decode(row.value, JobRecord)
        return None

    def unfinished(self) -> list[JobId]:
        """Return the submitted jobs that have tasks which may still run."""
        return [
            job_id
            for job_id in self.job_ids
            if not all(task.state.is_final for task in self.job(job_id).tasks)
        ]

    def running(self) -> dict[str, set[str]]:
        """Return the tasks that run now by worker."""
        return {
            str(worker_id): set(worker.running_tasks())
            for worker_id, worker in self.workers.items()
        }
