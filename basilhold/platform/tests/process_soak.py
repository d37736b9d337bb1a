"""A soak test of the real program: processes, proxies, signals and a fake platform.

Run ``python -m basilhold.platform.tests.process_soak --seeds 50`` for new seeds. It
ends only processes that it started. The timing depends on the machine, so a seed
determines the sequence of faults and of jobs, but not the run.
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

from basilhold.core import JobId, ServiceName
from basilhold.platform.bodies import decode_workflow
from basilhold.platform.tests.client_crowd import ClientCrowd
from basilhold.platform.tests.fake_platform import SERVICE, FakePlatform
from basilhold.platform.tests.node_processes import (
    NodeProcess,
    ProxyMode,
    StoreProxy,
    scratch_directory,
)
from basilhold.standins.runners import RunnerFaults
from basilhold.workflows.model import AdvicePolicy, QueueName, QueuePolicy, TaskKey
from basilhold.workflows.pool import RunKey

__all__ = ["SoakReport", "run_soak"]

RUNNER_COUNT = 5
JOBS_PER_S = 3.0
CRASHING_RATIO = 0.04
"""Share of the jobs whose first task crashes each runner that starts it."""

CRASH_DELAYS_S = (0.0, 0.01, 0.03)
CRASHES_TO_GIVE_UP = 2
CROWD_CLIENTS = 60
CROWD_WEIGHT = 4
"""Crowds among the kinds of faults; each other kind counts as one."""

_HEAD = b"POST /jobs/%016x HTTP/1.1\r\nHost: desk.example\r\n%s\r\n\r\n"
UNFINISHED_REQUESTS = (
    b"",
    _HEAD[:30] % 1,
    _HEAD % (2, b"Content-Length: 262144") + bytes(262_143),
    _HEAD % (3, b"Transfer-Encoding: chunked") + b"1\r\na\r\n" * 100_000,
    _HEAD % (4, b"Transfer-Encoding: chunked") + b"4000\r\n" + bytes(0x4000),
    (_HEAD % (5, b"Content-Length: 0")).replace(b"POST", b"GET") * 500,
    (_HEAD % (6, b"X-More: 1")).replace(b"example", b"example:" + b"1" * 5_000),
)

START_TIMEOUT_S = 30.0
"""Limit for the processes to become ready. On an idle machine they start within 1 s."""

SETTLE_TIMEOUT_S = 120.0
"""Limit for all jobs to end after the faults. Without faults this takes up to 20 s, and
longer on a busy machine."""

CALL_TIMEOUT_S = 3.0
_POLICY = QueuePolicy(
    QueueName("quotes"), ServiceName(SERVICE), failures_max=8, advice=AdvicePolicy()
)


class SoakReport(msgspec.Struct):
    """Result of a soak test.

    Parameters
    ----------
    violations : list of str
        Violated guarantees, as observed by runners and callers.
    faults : list of str
        Time and kind of each injected fault.
    accepted, completed, cancelled : int
        Numbers of jobs.
    run_starts : int
        Number of runs that runners have started.
    """

    violations: list[str]
    faults: list[str]
    accepted: int = 0
    completed: int = 0
    cancelled: int = 0
    run_starts: int = 0


class _ProcessSoak:
    """Nodes, callers and faults of one soak test."""

    def __init__(
        self, seed: int, directory: Path, crowds: bool = False, node_count: int = 3
    ):
        self._crowds = crowds
        self._node_count = node_count
        self.rng = random.Random(seed)
        self._crash_rng = random.Random(f"{seed} crashing tasks")
        faults = RunnerFaults(
            lost_reply=self.rng.choice((0.0, 0.03)),
            late=self.rng.choice((0.0, 0.03)),
            refused=self.rng.choice((0.0, 0.03)),
        )
        self.platform = FakePlatform(seed, RUNNER_COUNT, faults)
        self.directory = directory
        self.nodes: list[NodeProcess] = []
        self.client = AsyncHTTPClient(max_clients=200)
        self.faults: list[str] = []
        self.accepted: set[JobId] = set()
        self.rejected: set[JobId] = set()
        self.cancelled: set[JobId] = set()
        self.violations: list[str] = []

    async def open(self) -> None:
        for number in range(self._node_count):
            proxy = StoreProxy(self.platform.port)
            await proxy.open()
            node = NodeProcess(f"node-{number}", proxy, self.directory)
            self.nodes.append(node)
            node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in self.nodes:
                while not await self._is_ready(node):
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        for node in self.nodes:
            node.kill()
            await node.store_proxy.close()
        self.client.close()

    async def _is_ready(self, node: NodeProcess) -> bool:
        reply = await self._fetch(node.ready_port, "GET", "/-/ready")
        return reply is not None and reply.code == 200

    async def _fetch(self, port: int, method: str, path: str, body: bytes = b""):
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

    # Jobs.

    async def load(self, seconds: float) -> None:
        """Submit jobs, with retries, and cancel some of them."""
        end_s = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                group.create_task(self._run_caller())
                await asyncio.sleep(self.rng.expovariate(JOBS_PER_S))

    async def _run_caller(self) -> None:
        job_id = JobId(f"{self.rng.getrandbits(64):016x}")
        body = self._make_job_body()
        spec = decode_workflow(job_id, _POLICY, body, 0.0).ok
        self.platform.runners.specs[job_id] = spec
        if self._crash_rng.random() < CRASHING_RATIO:
            key = RunKey(job_id, TaskKey(0, 0, 0))
            self.platform.runners.crash_delays_s[key] = self._crash_rng.choice(
                CRASH_DELAYS_S
            )
        outcome_unknown = False
        for _ in range(5):
            node = self.rng.choice(self.nodes)
            reply = await self._fetch(node.caller_port, "POST", f"/jobs/{job_id}", body)
            if reply is not None and reply.code == 200:
                self.accepted.add(job_id)
                break
            outcome_unknown = (
                outcome_unknown or reply is None or reply.code not in (429, 503)
            )
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        else:
            if not outcome_unknown:
                self.rejected.add(job_id)
            return
        if self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self._cancel_job(job_id)

    async def _cancel_job(self, job_id: JobId) -> None:
        self.cancelled.add(job_id)
        node = self.rng.choice(self.nodes)
        await self._fetch(node.caller_port, "DELETE", f"/jobs/{job_id}")

    def _make_job_body(self) -> bytes:
        steps = []
        for index in range(self.rng.randint(1, 3)):
            gang = self.rng.random() < 0.2
            step = {
                "count": self.rng.randint(1, 3 if gang else 5),
                "cpu": self.rng.choice((1_000, 2_000, 4_000)),
                "mem_mb": 256,
                "estimate_ms": self.rng.randint(100, 1_000),
                "gang": gang,
            }
            if index:
                step["after"] = [index - 1]
            steps.append(step)
        return json.dumps({"spec": "x", "steps": steps}).encode()

    # Faults.

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults, which may overlap."""
        fault_kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_node,
            self._terminate_node,
            self._pause_node,
            self._disturb_store_proxy,
            self._disturb_store,
            self._crash_runner,
            self._disconnect_runner,
            self._kill_all_nodes,
        ]
        if self._crowds:
            fault_kinds += [self._crowd_node] * CROWD_WEIGHT
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with asyncio.TaskGroup() as group:
            while loop.time() < start_s + seconds:
                await asyncio.sleep(self.rng.uniform(0.5, 2.5))
                kind = self.rng.choice(fault_kinds)
                self.faults.append(f"{loop.time() - start_s:.1f} s {kind.__name__}")
                group.create_task(kind())

    async def _kill_node(self) -> None:
        node = self.rng.choice(self.nodes)
        await self._restart_node(node, signal.SIGKILL)

    async def _restart_node(
        self, node: NodeProcess, signal_number: signal.Signals
    ) -> None:
        # At most one fault of the process itself at a time.
        if node.is_running:
            await node.restart(signal_number, self.rng.uniform(0.1, 2.0))

    async def _terminate_node(self) -> None:
        await self._restart_node(self.rng.choice(self.nodes), signal.SIGTERM)

    async def _kill_all_nodes(self) -> None:
        await asyncio.gather(
            *(self._restart_node(n, signal.SIGKILL) for n in self.nodes)
        )

    async def _pause_node(self) -> None:
        node = self.rng.choice(self.nodes)
        node.send_signal(signal.SIGSTOP) if node.is_running else None
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        node.send_signal(signal.SIGCONT) if node.is_running else None

    async def _crowd_node(self) -> None:
        """Let clients that never finish their requests use a port of a process.

        They stay connected while the process is paused or stopped, and connect to its
        successor.
        """
        node = self.rng.choice(self.nodes)
        ports = (
            node.caller_port,
            node.peer_port,
            node.ready_port,
            node.status_port,
        )
        request = self.rng.choice(UNFINISHED_REQUESTS)
        seconds = self.rng.uniform(1.0, 5.0)
        with ClientCrowd(
            self.rng.choice(ports),
            [request] * CROWD_CLIENTS,
            self.rng.choice((50, 1_500, 1 << 16)),
            self.rng.random() < 0.5,
            self.rng.random() < 0.5,
        ) as crowd:
            await asyncio.to_thread(crowd.run, seconds, lambda: None)

    async def _disturb_store_proxy(self) -> None:
        node = self.rng.choice(self.nodes)
        node.store_proxy.set_mode(self.rng.choice(list(ProxyMode)))
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        node.store_proxy.set_mode(ProxyMode.FORWARD)

    async def _disturb_store(self) -> None:
        faults = self.platform.store_faults
        kind = self.rng.choice(("down", "lost", "slow", "compact"))
        if kind == "compact":
            self.platform.compacted_version = self.platform.version
            return
        faults.unavailable = kind == "down"
        faults.lost_reply_rate = 0.2 if kind == "lost" else 0.0
        faults.delay_s = 0.2 if kind == "slow" else 0.0
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        faults.unavailable, faults.lost_reply_rate, faults.delay_s = False, 0.0, 0.0

    async def _crash_runner(self) -> None:
        name = f"i-{self.rng.randrange(RUNNER_COUNT)}"
        if not self.platform.runner_of(name).up:
            return
        self.platform.crash_runner(name)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        self.platform.start_runner(name)

    async def _disconnect_runner(self) -> None:
        name = f"i-{self.rng.randrange(RUNNER_COUNT)}"
        runner = self.platform.runner_of(name)
        runner.cut = True
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        runner.cut = False

    # Checks.

    async def settle(self) -> None:
        """End all faults, then wait until all jobs have ended and no run is active."""
        for node in self.nodes:
            node.store_proxy.set_mode(ProxyMode.FORWARD)
            if not node.is_running:
                node.start()
        self.platform.runners.faults.late = 0.0
        unfinished = set(self.accepted)
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while unfinished or any(
                    r.runs for r in self.platform.runners.runners.values()
                ):
                    unfinished = {
                        job for job in unfinished if not await self._check_ended(job)
                    }
                    await asyncio.sleep(0.2)
        except TimeoutError:
            self.violations.extend(f"{job} has not ended" for job in sorted(unfinished))

    async def _check_ended(self, job_id: JobId) -> bool:
        """Return whether a job has ended, and record violations of its state."""
        node = self.rng.choice(self.nodes)
        reply = await self._fetch(node.caller_port, "GET", f"/jobs/{job_id}")
        if reply is None or reply.code != 200:
            if reply is not None and reply.code == 410:
                self.violations.append(f"{job_id} was accepted but does not exist")
                return True
            return False
        state = json.loads(reply.body)["state"]
        is_wrong = state == "failed" and not self._may_fail(job_id)
        if is_wrong or (state == "cancelled" and job_id not in self.cancelled):
            self.violations.append(f"{job_id} has the unexpected state {state}")
        return state in ("completed", "cancelled", "failed")

    def _may_fail(self, job_id: JobId) -> bool:
        """Return whether several runners have crashed under a task of a job."""
        crashes = self.platform.runners.crashes_under
        return any(
            key.job_id == job_id and count >= CRASHES_TO_GIVE_UP
            for key, count in crashes.items()
        )

    def report(self) -> SoakReport:
        """Return the violations and counts so far."""
        runners = self.platform.runners
        violations = [*self.violations, *runners.violations]
        started = {key.job_id for key in runners.started}
        violations.extend(
            f"{job} was rejected but ran" for job in self.rejected & started
        )
        for node in self.nodes:
            if node.exit_violations:
                violations.append(
                    f"{node.name} exited unexpectedly or not in time, "
                    f"{node.exit_violations} times"
                )
        completed = len(self.accepted - self.cancelled)
        return SoakReport(
            violations,
            self.faults,
            len(self.accepted),
            completed,
            len(self.cancelled),
            runners.start_count,
        )


async def _run(
    seed: int, seconds: float, directory: Path, crowds: bool, node_count: int
) -> SoakReport:
    soak = _ProcessSoak(seed, directory, crowds, node_count)
    with soak.platform:
        try:
            await soak.open()
            async with asyncio.TaskGroup() as group:
                group.create_task(soak.load(seconds))
                group.create_task(soak.inject_faults(seconds))
            await soak.settle()
            return soak.report()
        finally:
            await soak.close()


def run_soak(
    seed: int,
    seconds: float,
    directory: Path | None = None,
    crowds: bool = False,
    node_count: int = 3,
) -> SoakReport:
    """Run the soak test with one seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of the load and the faults.
    directory : Path, optional
        Where to keep settings and logs; by default they are deleted.
    crowds : bool
        Whether clients that never finish their requests are among the faults.
    node_count : int
        Number of processes.
    """
    if directory is not None:
        return asyncio.run(_run(seed, seconds, directory, crowds, node_count))
    with scratch_directory() as scratch:
        return asyncio.run(_run(seed, seconds, Path(scratch), crowds, node_count))


@click.command()
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--first", type=int, help="First seed; a random one by default.")
@click.option(
    "--seconds", default=15.0, help="Duration of the load of each seed, in seconds."
)
@click.option("--out", type=click.Path(path_type=Path), help="Directory for logs.")
@click.option("--crowds", is_flag=True, help="Add clients that do not behave.")
@click.option("--nodes", default=3, help="Number of processes.")
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    out: Path | None,
    crowds: bool,
    nodes: int,
) -> None:
    """Run seeds and report those that violate a guarantee."""
    failed = 0
    first = random.SystemRandom().randrange(1 << 30) if first is None else first
    for seed in range(first, first + seeds):
        directory = None
        if out is not None:
            directory = out / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
        report = run_soak(seed, seconds, directory, crowds, nodes)
        failed += bool(report.violations)
        click.echo(
            f"seed {seed}: {report.accepted} accepted, {report.cancelled} cancelled, "
            f"{report.run_starts} starts, {len(report.violations)} violations"
        )
        for line in report.violations[:5]:
            click.echo(f"  {line}")
        if report.violations:
            click.echo("  " + "; ".join(report.faults))
    click.echo(f"{seeds - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
