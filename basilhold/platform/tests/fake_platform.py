"""A platform on loopback: store, advice service and runners over HTTP, with faults.

The runners are agents of `basilhold.standins`, which check the guarantees for tasks.
"""

import asyncio
import json
import random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from basilhold.core import Epoch, JobId, Resources, WorkerId
from basilhold.platform.tests.stub_platform import StubPlatform
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerCall, StartCall
from basilhold.standins.runners import MemoryRunner, MemoryRunners, RunnerFaults
from basilhold.workflows.model import RunNumber, TaskKey, task_name
from basilhold.workflows.pool import Worker, WorkerInfo

__all__ = ["SERVICE", "FakePlatform", "StoreFaults"]

SERVICE = "desk"
BYTES_PER_MIB = 1 << 20
ADMISSION_RATE = 0.7
CRASHED_RUNNER_DOWN_S = 2.0
"""Time after which the successor of a runner that a task has crashed starts."""

ALWAYS_ADMITTED_RUNNER = "i-0"
TICKET_VALID_MS = 2_000

_REJECTION_REASONS = {
    CallOutcome.FENCED: "fence",
    CallOutcome.LATE: "late",
    CallOutcome.OLD_RUN: "old",
    CallOutcome.NO_ROOM: "room",
}


class StoreFaults:
    """Faults of the store.

    Attributes
    ----------
    unavailable : bool
        All requests are rejected with status 503.
    lost_reply_rate : float
        Share of the requests that take effect but get no reply, from 0 to 1.
    delay_s : float
        Delay before each request is handled, in seconds.
    """

    def __init__(self):
        self.unavailable = False
        self.lost_reply_rate = 0.0
        self.delay_s = 0.0


class FakePlatform(StubPlatform):
    """Store and advice service on one port, and each runner on a port of its own.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    runner_count : int
    faults : RunnerFaults
        Faults of the runners.

    Attributes
    ----------
    store_faults : StoreFaults
    instances : dict of str to str
        Id of the runner that serves each port, by the name of the port.
    runners : MemoryRunners
        Collects violated guarantees.
    """

    def __init__(self, seed: int, runner_count: int, faults: RunnerFaults):
        super().__init__()
        self.rng = random.Random(seed)
        self.store_faults = StoreFaults()
        self.runners = MemoryRunners(random.Random(seed + 1), faults)
        self.runners.on_crash = self._replace_crashed
        self.instances: dict[str, str] = {}
        self._runner_count = runner_count
        self._last_start_unix_ms = 1
        self._runner_servers: dict[str, HTTPServer] = {}
        self._runner_ports: dict[str, int] = {}
        self._change_event = asyncio.Event()

    def application(self) -> Application:
        """Return the web application of the store and the advice service."""
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
            "advice": {"decide_ms": 5, "each_ms": 0.1, "valid_ms": TICKET_VALID_MS},
        }
        config = {"version": 1, "routes": [route], "services": [{"name": SERVICE}]}
        self.put("op", "", "config", json.dumps(config).encode())
        for number in range(self._runner_count):
            self.start_runner(f"i-{number}")
        return self

    def __exit__(self, exc_type, exc, traceback) -> None:
        super().__exit__(exc_type, exc, traceback)
        for server in self._runner_servers.values():
            server.stop()

    def put(self, table: str, part: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        version = super().put(table, part, key, value)
        self.notify_change()
        return version

    def notify_change(self) -> None:
        """Let the long polls for changes reply."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a row changes or the timeout has passed."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._change_event.wait()
        except TimeoutError:
            pass

    def start_runner(self, name: str, instance: str = "") -> MemoryRunner:
        """Start a new incarnation of a runner, on the same port, and register it.

        Parameters
        ----------
        name : str
            Names the port.
        instance : str
            Id of the runner; the name by default.
        """
        instance = instance or self.instances.get(name, name)
        former, self.instances[name] = self.instances.get(name), instance
        self._last_start_unix_ms += 1
        if name not in self._runner_ports:
            sockets = bind_sockets(0, "127.0.0.1")
            self._runner_ports[name] = sockets[0].getsockname()[1]
            routes = [
                (r"/-/([a-z-]+)", _RunnerHandler, {"platform": self, "name": name})
            ]
            server = HTTPServer(Application(routes, log_function=lambda handler: None))
            server.add_sockets(sockets)
            self._runner_servers[name] = server
        address = f"127.0.0.1:{self._runner_ports[name]}"
        info = WorkerInfo(
            WorkerId(instance),
            address,
            self._last_start_unix_ms,
            Resources(16_000, 64 << 30, 4_000),
            "r1",
        )
        runner = self.runners.add(info)
        registration = {
            "service": SERVICE,
            "address": address,
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 16_000, "mem_mb": 64 << 10, "gpu": 4},
            "labels": ["kind", "r1"],
            "born": self._last_start_unix_ms,
        }
        if former is not None and former != instance:
            self.rows.pop(("servers", "", former), None)
        self.put("servers", "", instance, json.dumps(registration).encode())
        return runner

    def runner_of(self, name: str) -> MemoryRunner:
        """Return the runner that serves a port now, or did so last."""
        return self.runners.runners[WorkerId(self.instances[name])]

    def crash_runner(self, name: str) -> None:
        """End all runs of a runner, which then stops replying."""
        self.runner_of(name).crash()

    def _replace_crashed(self, runner: MemoryRunner) -> None:
        """Start a runner with another id on the port of one that a task crashed."""
        instance = runner.info.worker_id
        name = next(n for n, known in self.instances.items() if known == instance)
        loop = asyncio.get_running_loop()
        successor = f"{name}.{self._last_start_unix_ms}"
        loop.call_later(CRASHED_RUNNER_DOWN_S, self.start_runner, name, successor)


class _StoreHandler(RequestHandler):
    def initialize(self, platform: FakePlatform) -> None:
        self._platform = platform

    def _query_argument(self, name: str) -> str:
        return self.get_argument(name, "")

    async def get(self) -> None:
        """Reply to a read, or to a long poll for changes."""
        platform = self._platform
        if not await self._check_available():
            return
        path = self.request.path
        if path == "/-/rows-feed":
            status, reply = platform.rows_feed(self._query_argument)
            if status == 200 and not reply["rows"]:
                await platform.wait_for_change(
                    int(self._query_argument("wait_ms") or 0) / 1000
                )
                status, reply = platform.rows_feed(self._query_argument)
        elif path == "/-/rows-get":
            status, reply = platform.rows_get(self._query_argument)
        else:
            status, reply = platform.rows_parts(self._query_argument)
        self._reply(status, reply)

    async def post(self) -> None:
        """Apply a transaction."""
        if not await self._check_available():
            return
        status, reply = self._platform.rows_tx(json.loads(self.request.body))
        self._platform.notify_change()
        self._reply(status, reply)

    async def _check_available(self) -> bool:
        """Apply delay and outage; return whether to handle the request."""
        faults = self._platform.store_faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.unavailable:
            self.set_status(503)
            self.finish({})
        return not faults.unavailable

    def _reply(self, status: int, reply: dict) -> None:
        if self._platform.rng.random() < self._platform.store_faults.lost_reply_rate:
            _close_without_reply(self)
            return
        self.set_status(status)
        self.finish(reply)


class _AdviceHandler(RequestHandler):
    def initialize(self, platform: FakePlatform) -> None:
        self._platform = platform

    def post(self) -> None:
        """Admit runners for a step; the same ones each time.

        One runner is admitted for every step, so that each job can be completed.
        """
        body = json.loads(self.request.body)
        admitted = [
            [name, f"t-{name}"]
            for name in body["workers"]
            if name.partition(".")[0] == ALWAYS_ADMITTED_RUNNER
            or random.Random(f"{body['step']} {name}").random() < ADMISSION_RATE
        ]
        self.finish({"admitted": admitted, "valid_ms": TICKET_VALID_MS})


class _RunnerHandler(RequestHandler):
    def initialize(self, platform: FakePlatform, name: str) -> None:
        self._platform = platform
        self._runners = platform.runners
        self._name = name

    async def post(self, operation: str) -> None:
        """Execute a command or renew a lease."""
        body = json.loads(self.request.body)
        runner = self._platform.runner_of(self._name)
        if runner.refuses_connections:
            _close_without_reply(self)
            return
        if self.request.headers["X-Expect-Instance"] != runner.info.worker_id:
            self.set_status(421)
            self.finish({})
            return
        worker = Worker(runner.info)
        if operation == "hold":
            await self._hold(worker, body)
            return
        run = _decode_run(body)
        if operation == "run-start":
            start = StartCall(
                run,
                body["spec"],
                body["until_ms"],
                body.get("checkpoint", ""),
                body.get("ticket", ""),
            )
            outcome = await self._runners.start(worker, start)
        elif operation == "run-stop":
            outcome = await self._runners.stop(worker, run)
        else:
            outcome = await self._runners.pace(worker, run, body["percent"])
        self._reply(outcome, {"clock_ms": runner.clock_ms()})

    async def _hold(self, worker: Worker, body: dict) -> None:
        call = RenewLeaseCall(
            Epoch(body["fence"]),
            body["acked_through"],
            body.get("until_ms", 0),
            body.get("wait_ms", 0),
        )
        result = await self._runners.renew_lease(worker, call)
        if result.is_error():
            self._reply(result.error, {})
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
        self._reply(CallOutcome.DONE, reply)

    def _reply(self, outcome: CallOutcome, reply: dict) -> None:
        if outcome.may_have_effect:
            _close_without_reply(self)
        elif outcome is CallOutcome.DONE:
            self.finish(reply)
        elif outcome in _REJECTION_REASONS:
            self.set_status(409)
            self.finish(reply | {"reason": _REJECTION_REASONS[outcome]})
        else:
            self.set_status(503)
            self.finish({})


def _decode_run(body: dict) -> RunnerCall:
    job_id, occurrence, step, index = body["task"].split(".")
    key = TaskKey(int(occurrence), int(step), int(index))
    return RunnerCall(JobId(job_id), key, RunNumber(body["run"]), Epoch(body["fence"]))


def _close_without_reply(handler: RequestHandler) -> None:
    """Close the connection without a reply."""
    handler._finished = True
    handler.request.connection.stream.close()
