"""Stand-ins for the platform's store, its runners and its callers, on loopback.

They need the standard library only, and follow the pages on the protocol. Each test
starts the project's own program, one process for each machine, with a settings file
like that of a small deployment.
"""

import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

HEARTBEAT_MS = 1500
HOLD_MAX_MS = 6000
STOP_MS = 400
GANG_MS = 3000
SAVE_MS = 500
RESTORE_MS = 250
STORE_MS = 4
ENDS_PER_REPLY = 500
VISIBLE_MS = 3000
WAITING_AGE_S = 2.0

HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node = "{name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "thrace"
port_range = [{peer_port},{last_port}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
advice = "{store}"
[zones]
plovdiv = "thrace"
haskovo = "thrace"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 6000
recover_s = 12
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 3
save_s = 0.5
restore_ms = 250
notice_ms = 5500
move_s = 1.5
upkeep_s = 2
fencing = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 4.0
part_writes_s = 250
row_bytes = 65536
cross_shard = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud]
address = "127.0.0.1:1"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"""


class Record:
    """Writes what happened to a file, with the seconds since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text):
        """Write one line."""
        line = f"{self.now_s():8.3f} {text}"
        with self._path.open("a") as file:
            file.write(line + "\n")
        print(line, flush=True)


class HttpServer:
    """Answers HTTP/1.1 requests; `handle` returns status and body.

    `handle` may return ``None`` to leave a request unanswered.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.resets = False

    async def open(self, host, port=0):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def reset(self, resets):
        """Abort all connections, and new ones at once while `resets` is true."""
        self.resets = resets
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.resets:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, reply = answer
                data = json.dumps(reply).encode() if reply is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows, transactions, pages and the feed of changes."""

    def __init__(self):
        self._rows = {}
        self._version = 1
        self._history = []
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)
        self.address = ""

    async def open(self):
        """Listen on a free port."""
        self.address = f"127.0.0.1:{await self._server.open('127.0.0.1')}"

    def close(self):
        """Stop."""
        self._server.close()

    def put(self, table, part, key, value):
        """Write a row as the operator or a runner does."""
        self._apply([((table, part, key), base64.b64encode(value).decode())])

    def remove(self, table, part, key):
        """Remove a row as the operator or the platform does."""
        self._apply([((table, part, key), None)])

    def rows(self, table):
        """Return the values of a table by part and key."""
        return {
            (part, key): base64.b64decode(value)
            for (name, part, key), (value, _) in self._rows.items()
            if name == table
        }

    def _apply(self, writes):
        self._version += 1
        for key, value in writes:
            if value is None:
                if self._rows.pop(key, None) is None:
                    continue
            else:
                self._rows[key] = (value, self._version)
            self._history.append((self._version, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _reply(self, **fields):
        return fields | {
            "ver": self._version,
            "now_ms": int(time.monotonic() * 1000),
        }

    @staticmethod
    def _row(key, value, version):
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "ver": version}
        return row | ({"deleted": True} if value is None else {"value": value})

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(STORE_MS / 1000)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if parts.path == "/-/rows-get":
            return 200, self._get(query)
        if parts.path == "/-/rows-parts":
            names = {k[1] for k in self._rows if k[0] == query["table"]}
            names = (
                sorted(n for n in names if n > query.get("after", ""))
                if ("after" in query)
                else sorted(names)
            )
            return 200, self._reply(parts=names[:1000])
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        expected = call.get("expected", [])
        if any(
            self._rows.get(key_of(e), (None, 0))[1] != e.get("ver", 0) for e in expected
        ):
            rows = [
                self._row(key_of(e), *self._rows[key_of(e)])
                for e in expected
                if key_of(e) in self._rows
            ]
            return 412, self._reply(rows=rows)
        writes = [(key_of(e), e["value"]) for e in call.get("puts", [])]
        writes += [(key_of(e), None) for e in call.get("remove", [])]
        self._apply(writes)
        return 200, self._reply()

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part)
            and key[2] >= query.get("from", "")
            and ("target" not in query or key[2] < query["target"])
        )
        rows = [self._row(key, *self._rows[key]) for key in found[:limit]]
        return self._reply(rows=rows, has_more=len(found) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query.get("after", 0))
        end_s = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            rows = [
                self._row(key, value, version)
                for version, key, value in self._history
                if version > after and key[0] == table
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._reply(rows=rows)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass


class Gang:
    """The members of one run of a gang that are present."""

    def __init__(self, size):
        self.size = size
        self.members = {}
        self.complete = asyncio.Event()
        self.done_ms = 0.0


class Run:
    """One run on a runner."""

    def __init__(self, task, number, step, checkpoint, saved_ms):
        self.task = task
        self.number = number
        self.step = step
        self.checkpoint = checkpoint
        self.saved_ms = saved_ms
        self.begun_s = time.monotonic()
        self.work_from_s = None
        self.timer = None
        self.stopping = False


class Runners:
    """All runners, what each task is, and what was started and ended."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.by_id = {}
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.gangs = {}

    def step_of(self, task):
        """Return the step that a task belongs to, as submitted."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def is_running(self, task):
        """Return whether a run of a task is on a runner that is up."""
        return any(runner.runs(task) for runner in self.by_id.values())

    def note_start(self, runner, call):
        """Record a start that a runner has begun."""
        self.starts.append((self.record.now_s(), runner.id, call))
        self.record.write(
            f"runner {runner.id} starts {call['task']} run {call['run']}"
            f" fence {call.get('fence', 0)} checkpoint {call.get('checkpoint', '')!r}"
        )

    def note_end(self, runner, task, number, how):
        """Record the end of a run."""
        self.ends.append((self.record.now_s(), runner.id, task, number, how))
        self.record.write(f"runner {runner.id} ends {task} run {number}: {how}")


class Runner:
    """One runner of a service."""

    def __init__(self, runners, name, service, cpu=32_000, labels=("a", "r1-1")):
        self._runners = runners
        self.id = name
        self.service = service
        self.cpu = cpu
        self.labels = list(labels)
        self.state = "ready"
        self.unhealthy = False
        self.up = False
        self._is_cut = False
        self._server = None
        self._port = 0
        self._sequence = 0

    async def start(self):
        """Start a new life of the runner at the same address, and register it."""
        self.born = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._fence = 0
        self._until_ms = 0.0
        self._lapse = None
        self._runs = {}
        self._stopped = {}
        self._ended = []
        self._end_number = 0
        self._has_ended = asyncio.Event()
        self._server = HttpServer(self._handle)
        self._server.reset(self._is_cut)
        self._port = await self._server.open("127.0.0.1", self._port)
        self.up = True
        self._beat_task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def register(self):
        """Write the registration."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self._port}",
            "zone": "plovdiv",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131_072, "gpu": 0},
            "labels": self.labels,
            "clock_ms": round(self._clock_ms()),
            "sequence": self._sequence,
            "born": self.born,
        }
        self._runners.store.put("servers", "", self.id, json.dumps(entry).encode())

    def crash(self):
        """End everything at once; the platform removes the entry later."""
        self.up = False
        self._beat_task.cancel()
        self._server.close()
        self._runners.record.write(f"runner {self.id} crashes")
        for run in list(self._runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self._leave_gang(run, "broken")
        self._runs.clear()
        if self._lapse is not None:
            self._lapse.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_MS / 1000, self._expire)

    def _expire(self):
        if not self.up:
            self._runners.store.remove("servers", "", self.id)

    def close(self):
        """Stop at the end of the test."""
        if self.up:
            self._beat_task.cancel()
            self._server.close()

    def cut(self, is_cut):
        """Reset all connections from now on, or accept them again."""
        self._is_cut = is_cut
        self._server.reset(is_cut)

    def runs(self, task):
        """Return whether the runner is up and runs a task."""
        return self.up and task in self._runs

    def _clock_ms(self):
        return (time.monotonic() - self._born_s) * 1000 + 1000

    def _checkpoint(self, run):
        if not run.step.get("checkpointing"):
            return ""
        saved_ms = run.saved_ms
        if run.work_from_s is not None:
            worked_ms = (time.monotonic() - run.work_from_s) * 1000
            saved_ms += worked_ms // SAVE_MS * SAVE_MS
        return f"{int(saved_ms):08x}" if saved_ms else ""

    async def _handle(self, method, target, headers, body):
        path = urlsplit(target).path
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        call = json.loads(body)
        if path == "/-/run-start":
            return self._start_run(call)
        if call.get("fence", 0) < self._fence:
            return self._refuse("fence")
        self._fence = max(self._fence, call.get("fence", 0))
        if path == "/-/run-stop":
            return self._stop_run(call)
        if path == "/-/hold":
            return await self._hold(call)
        if path == "/-/pace":
            return 200, {"clock_ms": round(self._clock_ms())}
        return 404, {}

    def _refuse(self, reason):
        return 409, {"clock_ms": round(self._clock_ms()), "reason": reason}

    def _extend(self, until_ms):
        until_ms = min(until_ms, self._clock_ms() + HOLD_MAX_MS)
        if until_ms <= self._until_ms:
            return
        self._until_ms = until_ms
        if self._lapse is not None:
            self._lapse.cancel()
        delay_s = (until_ms - self._clock_ms()) / 1000
        self._lapse = asyncio.get_running_loop().call_later(delay_s, self._lapse_all)

    def _lapse_all(self):
        for run in list(self._runs.values()):
            self._end(run, "lapsed")

    def _start_run(self, call):
        if self.unhealthy:
            self._runners.record.write(
                f"runner {self.id} answers 503 to {call['task']} run {call['run']}"
            )
            return 503, None
        if call.get("fence", 0) < self._fence:
            return self._refuse("fence")
        self._fence = max(self._fence, call.get("fence", 0))
        if call["until_ms"] <= self._clock_ms():
            return self._refuse("late")
        task, number = call["task"], call["run"]
        self._extend(call["until_ms"])
        known = self._runs.get(task)
        if known is not None and known.number == number:
            return 200, {"clock_ms": round(self._clock_ms())}
        if known is not None or self._stopped.get(task, 0) >= number:
            return self._refuse("old")
        checkpoint = call.get("checkpoint", "")
        step = self._runners.step_of(task)
        run = Run(task, number, step, checkpoint, int(checkpoint or "0", 16))
        self._runs[task] = run
        self._runners.note_start(self, call)
        if step.get("gang"):
            self._join_gang(run)
        else:
            self._work(run)
        return 200, {"clock_ms": round(self._clock_ms())}

    def _work(self, run):
        run.work_from_s = time.monotonic()
        if run.step.get("long_running"):
            return
        left_ms = max(0.0, run.step["work_ms"] - run.saved_ms)
        left_ms += RESTORE_MS if run.checkpoint else 0
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(left_ms / 1000, self._end, run, "done")

    def _gang_key(self, run):
        return run.task.rsplit(".", 1)[0], run.number

    def _join_gang(self, run):
        gang = self._runners.gangs.setdefault(
            self._gang_key(run), Gang(run.step["count"])
        )
        gang.members[run.task] = (self, run)
        if len(gang.members) < gang.size:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(GANG_MS / 1000, self._end, run, "alone")
            return
        for runner, member in gang.members.values():
            if member.timer is not None:
                member.timer.cancel()
            runner._work(member)

    def _leave_gang(self, run, others):
        if not run.step.get("gang"):
            return
        gang = self._runners.gangs.get(self._gang_key(run))
        if gang is None or gang.members.pop(run.task, None) is None:
            return
        if len(gang.members) + 1 < gang.size or others == "done":
            return
        for runner, member in list(gang.members.values()):
            gang.members.pop(member.task, None)
            runner._end(member, others)

    def _end(self, run, how):
        if self._runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        saved = "" if how == "done" else self._checkpoint(run)
        del self._runs[run.task]
        self._stopped[run.task] = max(self._stopped.get(run.task, 0), run.number)
        self._end_number += 1
        self._ended.append([self._end_number, run.task, run.number, how, saved])
        self._runners.note_end(self, run.task, run.number, how)
        self._has_ended.set()
        self._leave_gang(run, "done" if how == "done" else "broken")

    def _stop_run(self, call):
        task, number = call["task"], call["run"]
        self._runners.record.write(f"runner {self.id} stops {task} run {number}")
        self._stopped[task] = max(self._stopped.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 2000, self._end, run, "stopped")
        return 200, {"clock_ms": round(self._clock_ms())}

    async def _hold(self, call):
        if call.get("until_ms"):
            self._extend(call["until_ms"])
        acked = call.get("acked_through", 0)
        self._ended = [e for e in self._ended if e[0] > acked]
        if call.get("wait_ms") and not self._ended:
            self._has_ended.clear()
            try:
                async with asyncio.timeout(call["wait_ms"] / 1000):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, self._checkpoint(run), 100, 0]
            for run in self._runs.values()
        ]
        return 200, {
            "clock_ms": round(self._clock_ms()),
            "born": self.born,
            "running": running,
            "finished": self._ended[:ENDS_PER_REPLY],
        }


def _free_ports(host, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Node:
    """One machine of the system: its settings and its process."""

    def __init__(self, number, store_address, folder, record):
        self.name = f"front-plovdiv-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self._record = record
        self.front, self.ready, control, peer, last = _free_ports(self.ip, 5)
        self._settings = Path(folder) / f"{self.name}.toml"
        self._log = Path(folder) / f"{self.name}.log"
        self._process = None
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone="plovdiv",
                peer_port=peer,
                last_port=last,
                front_port=self.front,
                ready_port=self.ready,
                control_port=control,
                store=store_address,
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BASILHOLD_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "basilhold.platform.node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        self._record.write(f"{signal.Signals(number).name} to {self.name}")
        self._process.send_signal(number)

    def exit_code(self):
        """Return the exit code; ``None`` while the process runs."""
        return self._process.poll()

    def close(self):
        """End the process, also if it is paused."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def log(self):
        """Return the log."""
        return self._log.read_text(errors="replace")


async def call(host, port, method, path, headers=None, body=None, timeout_s=3.0):
    """Send one request on a new connection; return status and body, or ``None``."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                data = json.dumps(body).encode() if body is not None else b""
                lines = [f"{method} {path} HTTP/1.1"]
                for name, value in ({"Host": host} | (headers or {})).items():
                    lines.append(f"{name}: {value}")
                lines.append("Content-Type: application/json")
                lines.append(f"Content-Length: {len(data)}")
                lines.append("Connection: close")
                writer.write("\r\n".join((*lines, "", "")).encode() + data)
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ", 2)[1])
                reply = await reader.read()
                try:
                    return status, json.loads(reply)
                except ValueError:
                    return status, None
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        return None


class Deployment:
    """Store, runners, callers and processes of one test."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.store = Store()
        self.runners = Runners(self.store, self.record)
        self.nodes = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._ids = itertools.count(1)
        self._run_id = os.urandom(4).hex()
        self.version = 0

    async def open(self, node_count):
        """Start the store and prepare the machines."""
        await self.store.open()
        for number in range(1, node_count + 1):
            self.nodes.append(
                Node(number, self.store.address, self._folder.name, self.record)
            )

    def close(self):
        """End everything that was started."""
        for node in self.nodes:
            node.close()
        for runner in self.runners.by_id.values():
            runner.close()
        self.store.close()
        self._folder.cleanup()

    def configure(self, routes, services):
        """Write the next desired state."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforces_capacity": False,
                    "standby": False,
                }
                for name in services
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        self.store.put("op", "", "config", json.dumps(document).encode())
        self.record.write(
            f"operator writes version {self.version}: "
            + ", ".join(f"{r['path_prefix']} to {r['service']}" for r in routes)
        )

    async def add_runner(self, name, service, **options):
        """Start a runner."""
        runner = self.runners.by_id[name] = Runner(
            self.runners, name, service, **options
        )
        await runner.start()
        return runner

    async def start_nodes(self):
        """Start all processes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            for _ in range(200):
                answer = await call(node.ip, node.ready, "GET", "/-/ready")
                if answer is not None and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{node.name} is not ready")
        self.record.write("all machines are ready")

    def new_id(self):
        """Return a new job id."""
        return f"{self._run_id}{next(self._ids):08x}"

    async def submit(self, node, route, steps, job=None):
        """Hand in a job; return its id and the answer.

        A step's `work_ms` is what its tasks take on a runner, and is not sent.
        """
        job = job or self.new_id()
        self.runners.jobs[job] = {"steps": steps}
        sent = [{k: v for k, v in s.items() if k != "work_ms"} for s in steps]
        answer = await call(
            node.ip,
            node.front,
            "POST",
            route["path_prefix"] + job,
            {"Host": route["host"], "X-Deadline-Ms": "3000"},
            {"spec": f"spec of {job}", "steps": sent},
        )
        self.record.write(
            f"POST {route['path_prefix']}{job} at {node.name}: {answer and answer[0]}"
        )
        return job, answer

    async def get(self, node, route, job=""):
        """Ask for the state of a job, or for the waiting jobs of a queue."""
        answer = await call(
            node.ip,
            node.front,
            "GET",
            route["path_prefix"] + job,
            {"Host": route["host"], "X-Deadline-Ms": "3000"},
        )
        self.record.write(f"GET {route['path_prefix']}{job} at {node.name}: {answer}")
        return answer

    async def wait_for_start(self, task, number):
        """Wait until a run of a task has begun; return its runner."""
        while True:
            for _, runner_id, start in self.runners.starts:
                if (start["task"], start["run"]) == (task, number):
                    return self.runners.by_id[runner_id]
            await asyncio.sleep(0.005)

    async def check_waiting(self, node, route, accepted):
        """Compare the number of waiting jobs that a machine gives with the true one.

        Returns whether it is under half of the jobs that were accepted longer than
        `VISIBLE_MS` and 2 s ago and have not begun.
        """
        before_s = self.record.now_s() - VISIBLE_MS / 1000 - WAITING_AGE_S
        answer = await self.get(node, route)
        if answer is None or answer[0] != 200:
            return False
        begun = {start["task"].split(".")[0] for _, _, start in self.runners.starts}
        waiting = [
            j for j, at_s in accepted.items() if at_s < before_s and j not in begun
        ]
        broken = 2 * answer[1]["waiting"] < len(waiting)
        if broken:
            self.record.write(
                f"MIXED: {answer[1]['waiting']} jobs are said to wait;"
                f" {len(waiting)} were accepted over 5 s ago and have not begun"
            )
        return broken

    def owner_of(self, service):
        """Return the machine that holds the lease of a service, from the store."""
        for (part, _), value in self.store.rows("owners").items():
            if part == service:
                holder = json.loads(value)["holder"]
                return next(n for n in self.nodes if n.name == holder)
        return None


def make_route(name, service, host="ficu95.example", **fields):
    """Return a route of the desired state."""
    return {
        "name": f"r-{name}",
        "host": host,
        "path_prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 4,
        "stretch": 1.5,
    } | fields


def run(test, record_path):
    """Run a test; exit with 1 if the rule was broken, 0 if it held, 2 if not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        deployment = Deployment(record_path)
        try:
            async with asyncio.timeout(110):
                return await test(deployment, trouble)
        finally:
            deployment.close()

    try:
        broken = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if broken else HELD)
