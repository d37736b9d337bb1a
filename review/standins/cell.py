"""A small deployment: the programs of the deploy file, the stand-ins and a record."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from standin_platform import Advice, Runner, Store
from web import fetch

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node = "{name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [{first_port}, {last_port}]
seeds = []
bootstrap = true
data_dir = ""
entry = "vip"
discovery = "platform"
heartbeat_ms = 1500
contracts = [
  "base", "drain", "config", "cost", "recover", "sched", "platform", "advice",
  "upkeep", "sharing",
]
orders = "call"
advice = "{advice}"
[zones]
a = "r"
[listen]
front = "127.0.0.1:{front_port}"
ready = "127.0.0.1:{ready_port}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 4.0
row_bytes = 65536
cross_shard = true
history_s = 20
"""


class Record:
    """What was sent, answered and run, in the order of its happening."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._begin_s = time.monotonic()
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        self.noted_ends: dict[tuple[str, int, str], float] = {}
        self.lapses: list[tuple[float, str]] = []

    def now_s(self) -> float:
        """Return the time since the beginning of the script."""
        return time.monotonic() - self._begin_s

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def started(self, runner: str, task: str, run: int) -> None:
        """Record that a runner has begun a run."""
        self.starts.append((self.now_s(), runner, task, run))
        self.write(f"{runner} starts {task} run {run}")

    def ended(self, runner: str, task: str, run: int, how: str) -> None:
        """Record that a run has ended."""
        self.ends.append((self.now_s(), runner, task, run, how))
        self.write(f"{runner} ends {task} run {run}: {how}")

    def gone(self, runner: str, task: str, run: int) -> None:
        """Record that a run has ended with its runner."""
        self.ends.append((self.now_s(), runner, task, run, "gone"))
        self.write(f"{runner} crashed under {task} run {run}")

    def lapsed(self, runner: str) -> None:
        """Record that a runner's lease has lapsed, also if nothing ran there."""
        self.lapses.append((self.now_s(), runner))
        self.write(f"the lease of {runner} lapses")

    def is_noted(
        self, runner: str, task: str, run: int, how: str, ended_s: float
    ) -> bool:
        """Return whether an end was taken note of, without a lapse in between."""
        noted_s = self.noted_ends.get((task, run, how))
        if noted_s is None:
            return False
        return not any(
            name == runner and ended_s <= at_s <= noted_s for at_s, name in self.lapses
        )

    def noted(self, runner: str, task: str, run: int, how: str) -> None:
        """Record that an end was taken note of through `acked_through`."""
        if (task, run, how) not in self.noted_ends:
            self.noted_ends[task, run, how] = self.now_s()
            self.write(f"{runner}: the end of {task} run {run} ({how}) is noted")


class Node:
    """One machine with its process."""

    def __init__(self, name: str, cell: "Cell"):
        self.name = name
        self.front_port, self.ready_port = free_ports(2)
        self.settings = cell.folder / f"{name}.toml"
        self.log = cell.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        pair = adjacent_ports()
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                first_port=pair,
                last_port=pair + 1,
                front_port=self.front_port,
                ready_port=self.ready_port,
                store=cell.store.server.address,
                advice=cell.advice.server.address,
            )
        )

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BASILHOLD_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def adjacent_ports() -> int:
    """Return the first of two adjacent free ports."""
    while True:
        (port,) = free_ports(1)
        try:
            with socket.socket() as one, socket.socket() as two:
                one.bind(("127.0.0.1", port))
                two.bind(("127.0.0.1", port + 1))
            return port
        except OSError:
            continue


class Cell:
    """Three machines, a store, an advice service and runners; a context manager."""

    def __init__(self, record: Record, node_count: int = 3):
        self.record = record
        self.store = Store()
        self.advice = Advice()
        self.runners: dict[str, Runner] = {}
        self.nodes: list[Node] = []
        self._node_count = node_count
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self._beats: asyncio.Task | None = None

    async def __aenter__(self) -> "Cell":
        await self.store.server.open()
        await self.advice.server.open()
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        for node in self.nodes:
            node.end()
        if self._beats:
            self._beats.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                (Path(keep) / node.log.name).write_bytes(node.log.read_bytes())
        self._folder.cleanup()

    async def add_runner(self, name: str, service: str, capacity: dict) -> Runner:
        """Start a runner."""
        runner = Runner(name, service, self.store, self.record, capacity)
        self.runners[name] = runner
        await runner.start()
        return runner

    def configure(self, version: int, routes: list[dict], services: list[str]) -> None:
        """Write a desired state as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": s, "enforces_capacity": False} for s in services],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op", "config", document)
        self.record.write(f"desired state {version}: {json.dumps(routes)}")

    async def start(self) -> None:
        """Start the processes, and wait until all are ready and callers are served."""
        self._beats = asyncio.create_task(self._report())
        for number in range(self._node_count):
            node = Node(f"front-a-{number + 1}", self)
            self.nodes.append(node)
            node.start()
        end_s = time.monotonic() + 30
        for node in self.nodes:
            while True:
                reply = await fetch(
                    node.ready_port, "GET", "/-/ready", {"Host": "x"}, b"", 1
                )
                if reply and reply[0] == 200:
                    break
                if time.monotonic() > end_s:
                    raise NotRunError("the processes did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(5)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            for runner in self.runners.values():
                if runner.up and runner.registered and not runner.server.silent:
                    runner.register()

    async def call(
        self,
        node: int,
        method: str,
        path: str,
        document: dict | None = None,
        limit_s=3.0,
    ) -> tuple[int, dict] | None:
        """Send a requester's call to a machine, and record it."""
        body = json.dumps(document).encode() if document is not None else b""
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(round(limit_s * 1000)),
        }
        self.record.write(
            f"requester -> {self.nodes[node].name}: {method} {path} {body.decode()}"
        )
        answer = await fetch(
            self.nodes[node].front_port, method, path, headers, body, limit_s
        )
        self.record.write(
            f"requester <- {self.nodes[node].name}: {method} {path} {answer}"
        )
        return answer


class NotRunError(Exception):
    """The case could not run."""


def queue(name: str, prefix: str, service: str, **fields) -> dict:
    """Return a route of the desired state."""
    route = {"name": name, "host": HOST, "path_prefix": prefix, "service": service}
    return (
        route
        | {"priority": 1, "max_attempts": 2, "stretch": 3, "target_latency_ms": 2000}
        | fields
    )


def main(case) -> None:
    """Run a case and exit with its verdict.

    Parameters
    ----------
    case : callable
        Coroutine function of the record and whether there is a disruption. Returns
        what broke the rule; empty if it held.
    """
    folder = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        sys.exit(NOT_RUN)

    async def run() -> list[str]:
        # A script that is told to stop ends its processes too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(115):
            return await case(record, trouble)

    try:
        broken = asyncio.run(run())
    except (NotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    for line in broken or ["the rule held"]:
        record.write(line)
        print(line)
    sys.exit(BROKEN if broken else HELD)
