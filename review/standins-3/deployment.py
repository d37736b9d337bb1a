"""Starts a small deployment of the real program beside the stand-ins of one case."""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from platform_standin import HOST, Record, Store, call

ROOT = Path(__file__).resolve().parents[2]
SERVICE, QUEUE_HOST, PREFIX = "desk", "desk.example", "/jobs/"
READY_TIMEOUT_S = 20.0
PORTS = (12_000, 30_000)
CASE_TIMEOUT_S = 115.0
COULD_NOT_RUN = 2

SETTINGS = """
node = "{name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [{peer}, {status}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "call"
advice = "127.0.0.1:{store}"
[zones]
a = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
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
config_apply_ms = 3000
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
fencing = true
lease_ms = 3000
[platform]
address = "127.0.0.1:{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 4.0
part_writes_s = 250
row_bytes = 65536
cross_shard = true
history_s = 20
"""


def _free_ports(count):
    """Return consecutive ports outside the range of outgoing connections."""
    while True:
        first = random.randrange(*PORTS)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    stack.enter_context(socket.socket()).bind((HOST, port))
            except OSError:
                continue
        return range(first, first + count)


async def _until_ready(port):
    while True:
        answer = await call(port, "GET", "/-/ready", "ready")
        if answer is not None and answer[0] == 200:
            return
        await asyncio.sleep(0.1)


class Deployment:
    """The store, some nodes and the record; an asynchronous context manager."""

    def __init__(self, record_path, node_count=3):
        self.record = Record(record_path)
        self.store = None
        self._node_count = node_count
        self._directory = tempfile.TemporaryDirectory(prefix="basilhold-case-")
        self._processes = []
        self.fronts = []
        self._readies = []

    async def __aenter__(self):
        self.store = Store()
        await self.store.open()
        route = {
            "name": "quotes",
            "host": QUEUE_HOST,
            "path_prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 4,
            "stretch": 3.0,
            "target_latency_ms": 1000,
        }
        service = {"name": SERVICE, "enforces_capacity": False}
        document = {
            "version": 1,
            "routes": [route],
            "services": [service],
            "limits": {},
        }
        self.store.put("op", "", "config", document)
        return self

    async def start_nodes(self):
        """Start the nodes with the deploy file's command; return if all are ready."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        dependencies = ROOT / "target/deps"
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        environment["PYTHONPATH"] = str(dependencies)
        directory = Path(self._directory.name)
        for number in range(self._node_count):
            peer, status, front, ready = _free_ports(4)
            path = directory / f"node-{number}.toml"
            path.write_text(
                SETTINGS.format(
                    name=f"front-a-{number}",
                    peer=peer,
                    status=status,
                    front=front,
                    ready=ready,
                    store=self.store.port,
                )
            )
            with (directory / f"node-{number}.log").open("wb") as log:
                self._start_process(
                    command, environment | {"BASILHOLD_CONFIG": str(path)}, log
                )
            self.fronts.append(front)
            self._readies.append(ready)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for port in self._readies:
                    await _until_ready(port)
        except TimeoutError:
            self.print_logs()
            return False
        return True

    def _start_process(self, command, environment, log):
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self._processes.append(process)

    def holder(self):
        """Return the number of the node that last wrote as the owner of the service."""
        for (table, _, key), (value, _) in self.store.rows.items():
            if table == "owners" and key == "owner":
                name = json.loads(base64.b64decode(value))["holder"]
                return int(name.rsplit("-", 1)[1])
        return -1

    def signal(self, number, signal_number):
        """Send a signal to a node."""
        self.record.write(f"node {number} gets {signal.Signals(signal_number).name}")
        self._processes[number].send_signal(signal_number)

    def print_logs(self, pattern=""):
        """Print the nodes' log lines that contain a text."""
        for path in sorted(Path(self._directory.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if pattern in line:
                    print(line, file=sys.stderr)

    async def submit(self, job_id, steps, work_s, front=0):
        """Hand a job in, with a requester's retries; return whether it was accepted."""
        document = {"spec": json.dumps({"work_s": work_s}), "steps": steps}
        for attempt in range(4):
            port = self.fronts[(front + attempt) % len(self.fronts)]
            answer = await call(port, "POST", PREFIX + job_id, QUEUE_HOST, document)
            status = answer[0] if answer else "nothing"
            self.record.write(f"POST {job_id} is answered {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id, front=0):
        """Return the state of a job, or an empty string."""
        answer = await call(self.fronts[front], "GET", PREFIX + job_id, QUEUE_HOST)
        status = answer[0] if answer else "nothing"
        state = answer[1].get("state", "") if answer else ""
        self.record.write(f"GET {job_id} is answered {status} {state}")
        return state

    async def wait_completed(self, job_id, timeout_s):
        """Wait until a job is shown as completed; return whether it is."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if await self.state(job_id) == "completed":
                        return True
                    await asyncio.sleep(0.5)
        except TimeoutError:
            return False

    async def __aexit__(self, *exc_info):
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.store.close()
        self._directory.cleanup()
        self.record.close()


def run_case(main):
    """Run a case; return its exit code, or that it could not run."""

    async def run():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await main()

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
