"""A soak of the real program: processes, loopback proxies, signals and a fake platform.

Run ``python -m basilhold.platform.tests.process_soak --seeds 50`` for fresh seeds. It
ends only processes that it started. What happens at a given moment depends on the
machine, so a seed fixes the faults and the load, not the run.
"""

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from basilhold.core import JobId, ServiceName, WorkerId
from basilhold.platform.bodies import decode_workflow
from basilhold.platform.tests.fake_platform import SERVICE, FakePlatform
from basilhold.platform.tests.node_processes import (
    NodeProcess,
    PathMode,
    StorePath,
    scratch_directory,
)
from basilhold.standins.runners import RunnerFaults
from basilhold.workflows.model import AdvicePolicy, QueueName, QueuePolicy

__all__ = ["SoakReport", "run_soak"]

NODES = 3
RUNNERS = 5
JOBS_PER_S = 3.0
START_S = 30.0
"""Longest wait until the processes are ready; they start within 1 s when idle."""

SETTLE_S = 120.0
"""Without faults the work ends within 20 s; a busy machine takes longer."""

CALL_TIMEOUT_S = 3.0
_POLICY = QueuePolicy(
    QueueName("quotes"), ServiceName(SERVICE), failures_max=8, advice=AdvicePolicy()
)


class SoakReport(msgspec.Struct):
    """Outcome of a soak.

    Parameters
    ----------
    violations : list of str
        Broken promises, as runners and callers saw them.
    faults : list of str
    accepted, completed, cancelled, starts : int
    """

    violations: list[str]
    faults: list[str]
    accepted: int = 0
    completed: int = 0
    cancelled: int = 0
    starts: int = 0


class _Soak:
    def __init__(self, seed: int, directory: Path):
        self.rng = random.Random(seed)
        faults = RunnerFaults(
            lost_reply=self.rng.choice((0.0, 0.03)),
            late=self.rng.choice((0.0, 0.03)),
            refused=self.rng.choice((0.0, 0.03)),
        )
        self.platform = FakePlatform(seed, RUNNERS, faults)
        self.directory = directory
        self.nodes: list[NodeProcess] = []
        self.client = AsyncHTTPClient(max_clients=200)
        self.faults: list[str] = []
        self.accepted: set[JobId] = set()
        self.refused: set[JobId] = set()
        self.cancelled: set[JobId] = set()
        self.violations: list[str] = []

    async def open(self) -> None:
        for number in range(NODES):
            path = StorePath(self.platform.port)
            await path.open()
            node = NodeProcess(f"node-{number}", path, self.directory)
            self.nodes.append(node)
            node.start()
        async with asyncio.timeout(START_S):
            for node in self.nodes:
                while not await self._is_ready(node):
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        for node in self.nodes:
            node.end()
            await node.path.close()
        self.client.close()

    async def _is_ready(self, node: NodeProcess) -> bool:
        reply = await self._call(node.ready_port, "GET", "/-/ready")
        return reply is not None and reply.code == 200

    async def _call(self, port: int, method: str, path: str, body: bytes = b""):
        request = HTTPRequest(
            f"http://127.0.0.1:{port}{path}",
            method,
            {"Host": "desk.example"},
            body if method == "POST" else None,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except (OSError, HTTPError):
            return None

    # Load.

    async def load(self, seconds: float) -> None:
        """Submit jobs from callers that try again, and cancel some."""
        end_s = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                group.create_task(self._caller())
                await asyncio.sleep(self.rng.expovariate(JOBS_PER_S))

    async def _caller(self) -> None:
        job_id = JobId(f"{self.rng.getrandbits(64):016x}")
        body = self._job()
        spec = decode_workflow(job_id, _POLICY, body, 0.0).ok
        self.platform.runners.specs[job_id] = spec
        unknown = False
        for _ in range(5):
            node = self.rng.choice(self.nodes)
            reply = await self._call(node.front_port, "POST", f"/jobs/{job_id}", body)
            if reply is not None and reply.code == 200:
                self.accepted.add(job_id)
                break
            unknown = unknown or reply is None or reply.code not in (429, 503)
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        else:
            if not unknown:
                self.refused.add(job_id)
            return
        if self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self._cancel(job_id)

    async def _cancel(self, job_id: JobId) -> None:
        self.cancelled.add(job_id)
        node = self.rng.choice(self.nodes)
        await self._call(node.front_port, "DELETE", f"/jobs/{job_id}")

    def _job(self) -> bytes:
        steps = []
        for place in range(self.rng.randint(1, 3)):
            gang = self.rng.random() < 0.2
            step = {
                "count": self.rng.randint(1, 3 if gang else 5),
                "cpu": self.rng.choice((1_000, 2_000, 4_000)),
                "mem_mb": 256,
                "estimate_ms": self.rng.randint(100, 1_000),
                "gang": gang,
            }
            if place:
                step["after"] = [place - 1]
            steps.append(step)
        return json.dumps({"spec": "x", "steps": steps}).encode()

    # Faults.

    async def trouble(self, seconds: float) -> None:
        """Cause faults in overlapping series."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._terminate,
            self._pause,
            self._path,
            self._store,
            self._crash_runner,
            self._cut_runner,
            self._kill_all,
        ]
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        async with asyncio.TaskGroup() as group:
            while loop.time() < begin_s + seconds:
                await asyncio.sleep(self.rng.uniform(0.5, 2.5))
                kind = self.rng.choice(kinds)
                self.faults.append(f"{loop.time() - begin_s:.1f} s {kind.__name__}")
                group.create_task(kind())

    async def _kill(self) -> None:
        node = self.rng.choice(self.nodes)
        await self._restart(node, signal.SIGKILL)

    async def _restart(self, node: NodeProcess, number: signal.Signals) -> None:
        # A node is disturbed by one fault of its process at a time.
        if node.is_running:
            await node.restart(number, self.rng.uniform(0.1, 2.0))

    async def _terminate(self) -> None:
        await self._restart(self.rng.choice(self.nodes), signal.SIGTERM)

    async def _kill_all(self) -> None:
        await asyncio.gather(*(self._restart(n, signal.SIGKILL) for n in self.nodes))

    async def _pause(self) -> None:
        node = self.rng.choice(self.nodes)
        node.send(signal.SIGSTOP) if node.is_running else None
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        node.send(signal.SIGCONT) if node.is_running else None

    async def _path(self) -> None:
        node = self.rng.choice(self.nodes)
        node.path.set_mode(self.rng.choice(list(PathMode)))
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        node.path.set_mode(PathMode.PASS)

    async def _store(self) -> None:
        trouble = self.platform.trouble
        kind = self.rng.choice(("down", "lost", "slow", "compact"))
        if kind == "compact":
            self.platform.compacted = self.platform.version
            return
        trouble.down = kind == "down"
        trouble.lost_reply = 0.2 if kind == "lost" else 0.0
        trouble.delay_s = 0.2 if kind == "slow" else 0.0
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        trouble.down, trouble.lost_reply, trouble.delay_s = False, 0.0, 0.0

    async def _crash_runner(self) -> None:
        name = f"i-{self.rng.randrange(RUNNERS)}"
        self.platform.crash_runner(name)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        self.platform.start_runner(name)

    async def _cut_runner(self) -> None:
        name = WorkerId(f"i-{self.rng.randrange(RUNNERS)}")
        runner = self.platform.runners.runners[name]
        runner.cut = True
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        runner.cut = False

    # The end.

    async def settle(self) -> None:
        """End all faults, and wait until all jobs have ended and nothing runs."""
        for node in self.nodes:
            node.path.set_mode(PathMode.PASS)
            if not node.is_running:
                node.start()
        self.platform.runners.faults.late = 0.0
        left = set(self.accepted)
        try:
            async with asyncio.timeout(SETTLE_S):
                while left or any(
                    r.runs for r in self.platform.runners.runners.values()
                ):
                    left = {job for job in left if not await self._has_ended(job)}
                    await asyncio.sleep(0.2)
        except TimeoutError:
            self.violations.extend(f"{job} has not ended" for job in sorted(left))

    async def _has_ended(self, job_id: JobId) -> bool:
        node = self.rng.choice(self.nodes)
        reply = await self._call(node.front_port, "GET", f"/jobs/{job_id}")
        if reply is None or reply.code != 200:
            if reply is not None and reply.code == 410:
                self.violations.append(f"{job_id} was accepted and is not known")
                return True
            return False
        state = json.loads(reply.body)["state"]
        if state == "failed" or (state == "cancelled" and job_id not in self.cancelled):
            self.violations.append(f"{job_id} is shown as {state}")
        return state in ("completed", "cancelled", "failed")

    def report(self) -> SoakReport:
        """Return what runners and callers have seen."""
        runners = self.platform.runners
        violations = [*self.violations, *runners.violations]
        started = {key.job_id for key in runners.started}
        violations.extend(f"{j} was refused and ran" for j in self.refused & started)
        for node in self.nodes:
            if node.own_ends:
                violations.append(f"{node.name} ended by itself {node.own_ends} times")
        completed = len(self.accepted - self.cancelled)
        return SoakReport(
            violations,
            self.faults,
            len(self.accepted),
            completed,
            len(self.cancelled),
            runners.start_count,
        )


async def _run(seed: int, seconds: float, directory: Path) -> SoakReport:
    soak = _Soak(seed, directory)
    with soak.platform:
        try:
            await soak.open()
            async with asyncio.TaskGroup() as group:
                group.create_task(soak.load(seconds))
                group.create_task(soak.trouble(seconds))
            await soak.settle()
            return soak.report()
        finally:
            await soak.close()


def run_soak(seed: int, seconds: float, directory: Path | None = None) -> SoakReport:
    """Run one seed; settings and logs are kept if a directory is given."""
    if directory is not None:
        return asyncio.run(_run(seed, seconds, directory))
    with scratch_directory() as scratch:
        return asyncio.run(_run(seed, seconds, Path(scratch)))


@click.command()
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--first", type=int, help="First seed; a random one by default.")
@click.option("--seconds", default=15.0, help="Load of each seed, in seconds.")
@click.option("--out", type=click.Path(path_type=Path), help="Directory for logs.")
def main(seeds: int, first: int | None, seconds: float, out: Path | None) -> None:
    """Run seeds and report those that break a promise."""
    failed = 0
    first = random.SystemRandom().randrange(1 << 30) if first is None else first
    for seed in range(first, first + seeds):
        directory = None
        if out is not None:
            directory = out / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
        report = run_soak(seed, seconds, directory)
        failed += bool(report.violations)
        click.echo(
            f"seed {seed}: {report.accepted} accepted, {report.cancelled} cancelled, "
            f"{report.starts} starts, {len(report.violations)} violations"
        )
        for line in report.violations[:5]:
            click.echo(f"  {line}")
        if report.violations:
            click.echo("  " + "; ".join(report.faults))
    click.echo(f"{seeds - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
