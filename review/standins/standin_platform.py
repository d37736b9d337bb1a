"""Stand-ins of the platform: its store, the advice service and the runners.

They do what the pages say and are sound where the pages are silent. All of them run in
the process of the script; the programs under test call them over loopback addresses.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from web import WebServer

BACK_S = 2.0
FINISHED_ROWS_MAX = 500


def clock_ms() -> float:
    """Return a steady clock in milliseconds."""
    return time.monotonic() * 1000


class Store:
    """The metadata store, with tables of rows and their feed."""

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self.tx_s = 0.004
        self.server = WebServer(self._handle)
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: dict) -> None:
        """Write a row as the operator or a runner does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write((table, "", key), value)

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self._write((table, "", key), None)

    def _write(self, name: tuple[str, str, str], value: str | None) -> None:
        self.version += 1
        self._record(name, value)

    def _record(self, name: tuple[str, str, str], value: str | None) -> None:
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _reply(self, **fields) -> dict:
        return {"ver": self.version, "now_ms": clock_ms(), **fields}

    def _encode(self, name: tuple[str, str, str]) -> dict:
        value, version = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }

    async def _handle(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            await asyncio.sleep(self.tx_s)
            return self._transact(json.loads(body))
        await asyncio.sleep(self.tx_s / 4)
        if url.path == "/-/rows-get":
            return self._get(query)
        if url.path == "/-/rows-parts":
            parts = {part for table, part, _ in self.rows if table == query["table"]}
            return 200, self._reply(parts=sorted(parts), has_more=False)
        if url.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        expected = body.get("expected", [])
        names = [(e["table"], e.get("part", ""), e["key"]) for e in expected]
        for name, entry in zip(names, expected, strict=True):
            if self.rows.get(name, ("", 0))[1] != entry["ver"]:
                rows = [self._encode(n) for n in names if n in self.rows]
                return 412, self._reply(rows=rows)
        self.version += 1
        for entry in body.get("puts", []):
            self._record(
                (entry["table"], entry.get("part", ""), entry["key"]), entry["value"]
            )
        for entry in body.get("remove", []):
            self._record((entry["table"], entry.get("part", ""), entry["key"]), None)
        return 200, self._reply()

    def _get(self, query: dict) -> tuple[int, dict]:
        limit = min(int(query.get("limit", 500)), 500)
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (table, part)
            and name[2] >= first
            and (end is None or name[2] < end)
        )
        rows = [self._encode(name) for name in names[:limit]]
        return 200, self._reply(rows=rows, has_more=len(names) > limit)

    async def _feed(self, query: dict) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = []
            for version, name, value in reversed(self.history):
                if version <= after:
                    break
                if name[0] == table:
                    row = dict(
                        zip(("table", "part", "key"), name, strict=True), ver=version
                    )
                    rows.append(
                        row | ({"deleted": True} if value is None else {"value": value})
                    )
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._reply(rows=rows[::-1])
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass


class Advice:
    """The advice service; it admits every runner."""

    def __init__(self):
        self.server = WebServer(self._handle)

    async def _handle(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        workers = json.loads(body)["workers"]
        return 200, {"admitted": [[w, f"t-{w}"] for w in workers], "valid_ms": 5000}


class _Run:
    def __init__(self, number: int, spec: str):
        self.number = number
        self.plan = json.loads(spec)
        self.timer: asyncio.TimerHandle | None = None
        self.stopping = False


class Runner:
    """A runner, which starts whatever it is told to start.

    The `spec` of a job is a JSON object: `ms` is how long each task works (absent for
    tasks that last), `spread_ms` how much longer its last task works, and `fails` how
    many first runs of each task fail. With `crash_ms`, a task crashes its runner that
    long after its start; the runner is back `BACK_S` later, under the same id.

    Parameters
    ----------
    name : str
    service : str
    store : Store
    record : Record
        Gets each start and each end.
    capacity : dict
    """

    def __init__(self, name: str, service: str, store: Store, record, capacity: dict):
        self.name = name
        self.service = service
        self.capacity = capacity
        self.server = WebServer(self._handle)
        self.registered = True
        self.fails_all = False
        self.up = False
        self.rack = "r1"
        self.state = "ready"
        self._store = store
        self._record = record
        self._returning: list[asyncio.Task] = []
        self._reset()

    def _reset(self) -> None:
        self.runs: dict[str, _Run] = {}
        self.finished: list[list] = []
        self.clock_start_ms = clock_ms()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until_ms = 0.0
        self._count = 0
        self._highest: dict[str, int] = {}
        self._lapse: asyncio.TimerHandle | None = None
        self._ended = asyncio.Event()
        self._beat = 0

    def now_ms(self) -> float:
        """Return the runner's own steady clock."""
        return clock_ms() - self.clock_start_ms + 1000

    async def start(self) -> None:
        """Begin a life of the runner, and register it."""
        self._reset()
        await self.server.open()
        self.up = True
        self.register()

    def register(self) -> None:
        """Write the runner's report about itself."""
        self._beat += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.server.address,
                "zone": "a",
                "version": "1",
                "slots": 8,
                "state": self.state,
                "sequence": self._beat,
                "capacity": self.capacity,
                "labels": ["a", self.rack],
                "born": self.born,
            },
        )

    def crash(self) -> None:
        """End this life without notice; all that runs here ends."""
        self.up = False
        for run in self.runs.values():
            if run.timer:
                run.timer.cancel()
        if self._lapse:
            self._lapse.cancel()
        for task, run in self.runs.items():
            self._record.gone(self.name, task, run.number)
        self.runs = {}
        self.server.close()

    async def _handle(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict] | None:
        if not self.up:
            return None
        if headers.get("x-expect-instance") != self.name:
            return 421, self._clock()
        call = json.loads(body)
        if call.get("fence", 0) < self.fence:
            return 409, self._clock(reason="fence")
        self.fence = call.get("fence", 0)
        if target == "/-/run-start":
            return self._run_start(call)
        if target == "/-/run-stop":
            return self._run_stop(call)
        if target == "/-/hold":
            return await self._hold(call)
        if target == "/-/pace":
            return 200, self._clock()
        return 404, {}

    def _clock(self, **fields) -> dict:
        return {"clock_ms": self.now_ms(), "born": self.born, **fields}

    def _extend(self, until_ms: float) -> None:
        limit_ms = self.now_ms() + 6000
        self.until_ms = max(self.until_ms, min(until_ms, limit_ms))
        if self._lapse:
            self._lapse.cancel()
        left_s = max(0.0, self.until_ms - self.now_ms()) / 1000
        self._lapse = asyncio.get_running_loop().call_later(left_s, self._lapse_all)

    def _lapse_all(self) -> None:
        self._record.lapsed(self.name)
        for task in list(self.runs):
            self._end(task, "lapsed")

    def _run_start(self, call: dict) -> tuple[int, dict]:
        task, number = call["task"], call["run"]
        if call["until_ms"] <= self.now_ms():
            return 409, self._clock(reason="late")
        if number <= self._highest.get(task, 0):
            self._extend(call["until_ms"])
            return 409, self._clock(reason="old")
        self._extend(call["until_ms"])
        if task in self.runs:
            return 200, self._clock()
        run = self.runs[task] = _Run(number, call["spec"])
        self._record.started(self.name, task, number)
        plan = run.plan
        if "crash_ms" in plan:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(
                plan["crash_ms"] / 1000, self._crash_and_return, task
            )
        elif "ms" in plan:
            index = int(task.rsplit(".", 1)[1])
            took_ms = plan["ms"] + plan.get("spread_ms", 0) * index / plan.get("of", 1)
            how = "failed" if number <= plan.get("fails", 0) else "done"
            if self.fails_all:
                took_ms, how = 50, "failed"
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(took_ms / 1000, self._end, task, how)
        return 200, self._clock()

    def _crash_and_return(self, task: str) -> None:
        self._record.write(f"{task} crashes {self.name}")
        self.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(
            BACK_S, lambda: self._returning.append(loop.create_task(self.start()))
        )

    def _run_stop(self, call: dict) -> tuple[int, dict]:
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if run is None or run.number > number:
            self._highest[task] = max(self._highest.get(task, 0), number)
        elif not run.stopping:
            run.stopping = True
            if run.timer:
                run.timer.cancel()
            asyncio.get_running_loop().call_later(0.05, self._end, task, "stopped")
        return 200, self._clock()

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task, None)
        if run is None or not self.up:
            return
        if run.timer:
            run.timer.cancel()
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._count += 1
        self.finished.append([self._count, task, run.number, how, ""])
        self._record.ended(self.name, task, run.number, how)
        self._ended.set()
        self._ended = asyncio.Event()

    async def _hold(self, call: dict) -> tuple[int, dict] | None:
        through = call.get("acked_through", 0)
        for row in self.finished:
            if row[0] <= through:
                self._record.noted(self.name, row[1], row[2], row[3])
        self.finished = [row for row in self.finished if row[0] > through]
        if call.get("until_ms"):
            self._extend(call["until_ms"])
        if call.get("wait_ms") and not self.finished:
            ended = self._ended
            try:
                async with asyncio.timeout(min(call["wait_ms"], 2000) / 1000):
                    await ended.wait()
            except TimeoutError:
                pass
        running = [[task, run.number, "", 100, 1.0] for task, run in self.runs.items()]
        return 200, self._clock(
            running=running, finished=self.finished[:FINISHED_ROWS_MAX]
        )
