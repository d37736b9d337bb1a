"""A platform on loopback: store, advice and runners over HTTP, with faults.

The runners are `basilhold.standins` agents, which check the guarantees.
"""

import asyncio
import json
import random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from basilhold.core import Epoch, JobId, Resources, WorkerId
from basilhold.platform.tests.platform_http import PlatformHttp
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerCall, StartCall
from basilhold.standins.runners import MemoryRunner, MemoryRunners, RunnerFaults
from basilhold.workflows.model import RunNumber, TaskKey, task_name
from basilhold.workflows.pool import Worker, WorkerInfo

__all__ = ["SERVICE", "FakePlatform", "StoreTrouble"]

SERVICE = "desk"
MIB = 1 << 20
ADMITTED_SHARE = 0.7
ALWAYS_ADMITTED = "i-0"
TICKET_MS = 2_000

_REASONS = {
    CallOutcome.FENCED: "fence",
    CallOutcome.LATE: "late",
    CallOutcome.OLD_RUN: "old",
    CallOutcome.NO_ROOM: "room",
}


class StoreTrouble:
    """How the store behaves; shares are of its calls.

    Attributes
    ----------
    down : bool
        Everything is refused.
    lost_reply : float
        Calls that take effect and are not answered.
    delay_s : float
    """

    def __init__(self):
        self.down = False
        self.lost_reply = 0.0
        self.delay_s = 0.0


class FakePlatform(PlatformHttp):
    """Store and advice on one port, and each runner on its own.

    Parameters
    ----------
    seed : int
    runner_count : int
    faults : RunnerFaults
    """

    def __init__(self, seed: int, runner_count: int, faults: RunnerFaults):
        super().__init__()
        self.rng = random.Random(seed)
        self.trouble = StoreTrouble()
        self.runners = MemoryRunners(random.Random(seed + 1), faults)
        self._count = runner_count
        self._born = 1
        self._servers: dict[str, HTTPServer] = {}
        self._ports: dict[str, int] = {}
        self._changed = asyncio.Event()

    def application(self) -> Application:
        """Return what serves the store and the advice."""
        return Application(
            [
                (r"/-/advise", _AdviceHandler, {"platform": self}),
                (r".*", _StoreHandler, {"platform": self}),
            ],
            log_function=lambda handler: None,
        )

    def __enter__(self) -> "FakePlatform":
        super().__enter__()
        route = {
            "name": "quotes",
            "host": "desk.example",
            "path_prefix": "/jobs/",
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 8,
            "stretch": 3.0,
            "target_latency_ms": 1000,
            "advice": {"decide_ms": 5, "each_ms": 0.1, "valid_ms": TICKET_MS},
        }
        config = {"version": 1, "routes": [route], "services": [{"name": SERVICE}]}
        self.put("op", "", "config", json.dumps(config).encode())
        for number in range(self._count):
            self.start_runner(f"i-{number}")
        return self

    def __exit__(self, exc_type, exc, traceback) -> None:
        super().__exit__(exc_type, exc, traceback)
        for server in self._servers.values():
            server.stop()

    def put(self, table: str, part: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        version = super().put(table, part, key, value)
        self.wake()
        return version

    def wake(self) -> None:
        """Answer the calls that wait for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a row changes."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    def start_runner(self, name: str) -> MemoryRunner:
        """Start a new incarnation of a runner and register it."""
        self._born += 1
        if name not in self._ports:
            sockets = bind_sockets(0, "127.0.0.1")
            self._ports[name] = sockets[0].getsockname()[1]
            routes = [
                (r"/-/([a-z-]+)", _RunnerHandler, {"platform": self, "name": name})
            ]
            server = HTTPServer(Application(routes, log_function=lambda handler: None))
            server.add_sockets(sockets)
            self._servers[name] = server
        address = f"127.0.0.1:{self._ports[name]}"
        info = WorkerInfo(
            WorkerId(name),
            address,
            self._born,
            Resources(16_000, 64 << 30, 4_000),
            "r1",
        )
        runner = self.runners.add(info)
        entry = {
            "service": SERVICE,
            "address": address,
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 16_000, "mem_mb": 64 << 10, "gpu": 4},
            "labels": ["kind", "r1"],
            "born": self._born,
        }
        self.put("servers", "", name, json.dumps(entry).encode())
        return runner

    def crash_runner(self, name: str) -> None:
        """End everything that runs on a runner; it answers no more."""
        self.runners.runners[WorkerId(name)].crash()


class _StoreHandler(RequestHandler):
    def initialize(self, platform: FakePlatform) -> None:
        self._platform = platform

    def _query(self, name: str) -> str:
        return self.get_argument(name, "")

    async def get(self) -> None:
        """Serve a reading call."""
        platform = self._platform
        if not await self._admit():
            return
        path = self.request.path
        if path == "/-/rows-feed":
            status, reply = platform.rows_feed(self._query)
            if status == 200 and not reply["rows"]:
                await platform.wait_for_change(int(self._query("wait_ms") or 0) / 1000)
                status, reply = platform.rows_feed(self._query)
        elif path == "/-/rows-get":
            status, reply = platform.rows_get(self._query)
        else:
            status, reply = platform.rows_parts(self._query)
        self._answer(status, reply)

    async def post(self) -> None:
        """Serve a transaction."""
        if not await self._admit():
            return
        status, reply = self._platform.rows_tx(json.loads(self.request.body))
        self._platform.wake()
        self._answer(status, reply)

    async def _admit(self) -> bool:
        trouble = self._platform.trouble
        if trouble.delay_s:
            await asyncio.sleep(trouble.delay_s)
        if trouble.down:
            self.set_status(503)
            self.finish({})
        return not trouble.down

    def _answer(self, status: int, reply: dict) -> None:
        if self._platform.rng.random() < self._platform.trouble.lost_reply:
            _cut(self)
            return
        self.set_status(status)
        self.finish(reply)


class _AdviceHandler(RequestHandler):
    def initialize(self, platform: FakePlatform) -> None:
        self._platform = platform

    def post(self) -> None:
        """Answer which runners may run a step; the same ones each time.

        One runner is admitted for every step, so that each job can be done.
        """
        body = json.loads(self.request.body)
        admitted = [
            [name, f"t-{name}"]
            for name in body["workers"]
            if name == ALWAYS_ADMITTED
            or random.Random(f"{body['step']} {name}").random() < ADMITTED_SHARE
        ]
        self.finish({"admitted": admitted, "valid_ms": TICKET_MS})


class _RunnerHandler(RequestHandler):
    def initialize(self, platform: FakePlatform, name: str) -> None:
        self._runners = platform.runners
        self._name = WorkerId(name)

    async def post(self, call: str) -> None:
        """Serve an order or a look."""
        body = json.loads(self.request.body)
        runner = self._runners.runners[self._name]
        worker = Worker(runner.info)
        if call == "hold":
            await self._hold(worker, body)
            return
        run = _run_of(body)
        if call == "run-start":
            start = StartCall(
                run,
                body["spec"],
                body["until_ms"],
                body.get("checkpoint", ""),
                body.get("ticket", ""),
            )
            outcome = await self._runners.start(worker, start)
        elif call == "run-stop":
            outcome = await self._runners.stop(worker, run)
        else:
            outcome = await self._runners.pace(worker, run, body["percent"])
        self._answer(outcome, {"clock_ms": runner.clock_ms()})

    async def _hold(self, worker: Worker, body: dict) -> None:
        call = RenewLeaseCall(
            Epoch(body["fence"]),
            body["acked_through"],
            body.get("until_ms", 0),
            body.get("wait_ms", 0),
        )
        result = await self._runners.renew_lease(worker, call)
        if result.is_error():
            self._answer(result.error, {})
            return
        listing = result.ok
        running = [
            [task_name(r.key.job_id, r.key.task), r.number, "", 100, 0.0]
            for r in listing.running
        ]
        finished = []
        for ended in listing.ended:
            name = task_name(ended.key.job_id, ended.key.task)
            finished.append(
                [ended.sequence, name, ended.end.run, ended.end.kind.value, ""]
            )
        reply = {"clock_ms": listing.clock_ms, "born": listing.born_unix_ms}
        reply |= {"running": running, "finished": finished}
        self._answer(CallOutcome.DONE, reply)

    def _answer(self, outcome: CallOutcome, reply: dict) -> None:
        if outcome is CallOutcome.UNKNOWN:
            _cut(self)
        elif outcome is CallOutcome.DONE:
            self.finish(reply)
        elif outcome in _REASONS:
            self.set_status(409)
            self.finish(reply | {"reason": _REASONS[outcome]})
        else:
            self.set_status(503)
            self.finish({})


def _run_of(body: dict) -> RunnerCall:
    job_id, occurrence, step, index = body["task"].split(".")
    key = TaskKey(int(occurrence), int(step), int(index))
    return RunnerCall(JobId(job_id), key, RunNumber(body["run"]), Epoch(body["fence"]))


def _cut(handler: RequestHandler) -> None:
    """Close the connection without an answer."""
    handler._finished = True
    handler.request.connection.stream.close()
