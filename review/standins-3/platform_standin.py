"""A small platform on loopback addresses: the store, runners, and a client.

It needs the standard library only. The store keeps rows and never fails. A runner has
one port for all its lives; what it does on the wire is what the platform's pages say.
It can fall silent like a machine without power, come back under its id, and carry out
an order late.
"""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
STORE_CLOCK_OFFSET_MS = 7_000_000.0
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000.0
STOP_S = 0.2
LEASE_CHECK_S = 0.02


class Record:
    """Writes what was sent, answered and run, with the time since the beginning."""

    def __init__(self, path):
        self._stack = contextlib.ExitStack()
        self._file = self._stack.enter_context(path.open("w"))
        self._begin = time.monotonic()

    def now(self):
        """Return the seconds since the beginning."""
        return time.monotonic() - self._begin

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._stack.close()


class Connection:
    """One incoming connection; `life` is the life of the server that accepted it."""

    def __init__(self, writer, life):
        self.writer = writer
        self.life = life

    def abort(self):
        """Reset the connection."""
        self.writer.transport.abort()


class HttpServer:
    """HTTP/1.1 with keep-alive; a handler that returns ``None`` sends no answer."""

    life = 0
    connections_max = 0
    """Most open connections, of which further ones are reset; 0 for no limit."""

    open_count = 0
    reset_count = 0

    async def open(self):
        """Listen on a free port."""
        self.connections = set()
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        self._server.close()

    async def handle(self, connection, method, path, headers, body):
        """Return status and body of the answer, or ``None``."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        if self.connections_max and self.open_count >= self.connections_max:
            self.reset_count += 1
            writer.transport.abort()
            return
        self.open_count += 1
        connection = Connection(writer, self.life)
        self.connections.add(connection)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, path, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(connection, method, path, headers, body)
                if answer is None:
                    continue
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self.open_count -= 1
            self.connections.discard(connection)
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self._changed = asyncio.Event()

    def now_ms(self):
        """Return the steady clock of the store."""
        return STORE_CLOCK_OFFSET_MS + time.monotonic() * 1000

    def put(self, table, part, key, document):
        """Write a row as the operator or a runner does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, part, key), value)])

    def remove(self, table, part, key):
        """Remove a row."""
        self._apply([((table, part, key), None)])

    def _apply(self, changes):
        self.version += 1
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.history.append((self.version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }

    def _reply(self, **fields):
        return {"ver": self.version, "now_ms": self.now_ms(), **fields}

    async def handle(self, connection, method, path, headers, body):
        """Carry out a call."""
        parts = urlsplit(path)
        query = {
            k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/-/rows-tx":
            await asyncio.sleep(0.004)
            return self._transact(json.loads(body))
        if parts.path == "/-/rows-get":
            return 200, self._get(query)
        if parts.path == "/-/rows-parts":
            names = sorted({n[1] for n in self.rows if n[0] == query["table"]})
            names = [name for name in names if name > query.get("after", "")]
            return 200, self._reply(parts=names[:1000])
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body):
        entries = [
            *body.get("expected", ()),
            *body.get("puts", ()),
            *body.get("remove", ()),
        ]
        if len({e["part"] for e in entries}) > 1 and not body.get("cross_shard"):
            return 400, {}
        expected = [
            ((e["table"], e["part"], e["key"]), e["ver"])
            for e in body.get("expected", ())
        ]
        if any(
            self.rows.get(name, ("", 0))[1] != version for name, version in expected
        ):
            rows = [self._row(name) for name, _ in expected if name in self.rows]
            return 412, self._reply(rows=rows)
        changes = [
            ((e["table"], e["part"], e["key"]), e["value"])
            for e in body.get("puts", ())
        ]
        changes += [
            ((e["table"], e["part"], e["key"]), None) for e in body.get("remove", ())
        ]
        self._apply(changes)
        return 200, self._reply()

    def _get(self, query):
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows = [self._row(name) for name in names[:limit]]
        return self._reply(rows=rows, has_more=len(names) > limit)

    async def _feed(self, query):
        after, wait_s = int(query["after"]), int(query.get("wait_ms", 0)) / 1000
        end = time.monotonic() + wait_s
        while True:
            newest = {}
            for version, name, value in self.history:
                if version > after and name[0] == query["table"]:
                    newest[name] = (version, value)
            left = end - time.monotonic()
            if newest or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        rows = []
        for name, (version, value) in sorted(
            newest.items(), key=lambda item: item[1][0]
        ):
            row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
            rows.append(
                row | ({"deleted": True} if value is None else {"value": value})
            )
        return 200, self._reply(rows=rows)


class Run:
    """A run on a runner."""

    def __init__(self, task, number, life, begin):
        self.task, self.number, self.life = task, number, life
        self.begin, self.end, self.how = begin, None, ""
        self.stop_at = None
        self.work_s = 0.0


class Runner(HttpServer):
    """A runner with one id and port. A crash ends its life; a start begins the next.

    Parameters
    ----------
    store : Store
    record : Record
    name : str
        Its id, the same in all its lives.
    service, kind : str
    cpu : int
        Thousandths of cores.
    """

    def __init__(self, store, record, name, service, kind, cpu):
        self.store, self.record, self.name = store, record, name
        self.service, self.kind, self.cpu = service, kind, cpu
        self.is_up = False
        self.is_cut = False
        self.history = []
        self.kinds = {}
        self.on_order = None

    async def open(self):
        """Listen, and begin the first life."""
        await super().open()
        self._tasks = [
            asyncio.create_task(self._work_loop()),
            asyncio.create_task(self._heartbeat_loop()),
        ]
        self.boot(0.0)

    def close(self):
        """End the runner."""
        for task in self._tasks:
            task.cancel()
        super().close()

    def boot(self, register_after_s):
        """Begin a life, which holds and knows nothing of the one before."""
        self.life += 1
        self.kinds[self.life] = self.kind
        self.is_up = True
        self._clock_begin = time.monotonic()
        self._born = int(time.time() * 1000)
        self._fence = 0
        self._until = 0.0
        self._runs = {}
        self._finished = []
        self._last_end = 0
        self._barred = {}
        self._sequence = 0
        self._ended = asyncio.Event()
        self._register_at = time.monotonic() + register_after_s
        self._beat_at = self._register_at
        self.record.write(f"{self.name} starts its life {self.life}, kind {self.kind}")

    def go_dark(self):
        """Crash without a word: connections stay open and nothing is sent any more."""
        self.is_up = False
        self._silent_since = time.monotonic()
        now = self.record.now()
        for run in self._runs.values():
            run.end, run.how = now, "crashed"
        self._runs = {}
        self.record.write(f"{self.name} is dark: its life {self.life} has ended")

    def cut_off(self, is_silent=False):
        """Let nothing in or out until it ends; unless silent, reset the connections."""
        self.is_cut = True
        for connection in list(self.connections) if not is_silent else ():
            connection.abort()
        self.record.write(f"{self.name} is cut off and runs on")

    def end_cut(self):
        """End the cut."""
        self.is_cut = False
        self.record.write(f"{self.name} is no longer cut off")

    def clock_ms(self):
        """Return the runner's own clock, which starts anew with each life."""
        return (time.monotonic() - self._clock_begin) * 1000

    async def _heartbeat_loop(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.is_cut:
                continue
            if self.is_up and now >= self._beat_at:
                self._beat_at = now + HEARTBEAT_S
                self._sequence += 1
                self.store.put("servers", "", self.name, self._entry())
            elif (
                not self.is_up
                and now - self._silent_since > 3 * HEARTBEAT_S
                and ("servers", "", self.name) in self.store.rows
            ):
                self.store.remove("servers", "", self.name)

    def _entry(self):
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": [self.kind, "r1"],
            "born": self._born,
        }

    async def _work_loop(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if not self.is_up:
                continue
            now = self.record.now()
            has_lapsed = self.clock_ms() > self._until
            for run in list(self._runs.values()):
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(run, "stopped")
                elif now >= run.begin + run.work_s:
                    self._end(run, "done")
                elif has_lapsed:
                    self._end(run, "lapsed")

    def _end(self, run, how):
        del self._runs[run.task]
        run.end, run.how = self.record.now(), how
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._last_end += 1
        self._finished.append([self._last_end, run.task, run.number, how, ""])
        self.record.write(
            f"{self.name} life {self.life}: {run.task} run {run.number} ends {how}"
        )
        self._ended.set()
        self._ended = asyncio.Event()

    async def handle(self, connection, method, path, headers, body):
        """Carry out an order, unless dark or on a connection of a former life."""
        if not self.is_up or self.is_cut:
            return None
        if connection.life != self.life:
            connection.abort()
            return None
        if method == "GET":
            return 200, {}
        if headers.get("x-expect-instance") != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        order = json.loads(body)
        if self.on_order is not None and not self.on_order(self, path, order):
            return None
        return await self.carry_out(path, order)

    async def carry_out(self, path, order):
        """Carry out an order in the present life."""
        if path == "/-/hold":
            return await self._hold(order)
        if order.get("fence", 0) < self._fence:
            return self._answer(path, order, 409, reason="fence")
        self._fence = order.get("fence", 0)
        if path == "/-/run-start":
            return self._start(path, order)
        if path == "/-/run-stop":
            self._stop(order)
        return self._answer(path, order, 200)

    def _answer(self, path, order, status, **fields):
        self.record.write(
            f"{self.name} life {self.life}: {path[3:]} {order.get('task')} "
            f"run {order.get('run')} fence {order.get('fence')} is answered {status} "
            f"{fields.get('reason', '')}"
        )
        return status, {"clock_ms": self.clock_ms(), **fields}

    def _grant(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        self._until = max(self._until, until_ms)

    def _start(self, path, order):
        task, number = order["task"], order["run"]
        if self.clock_ms() > order["until_ms"]:
            return self._answer(path, order, 409, reason="late")
        self._grant(order["until_ms"])
        present = self._runs.get(task)
        if present is not None and present.number == number:
            return self._answer(path, order, 200)
        if number <= self._barred.get(task, 0) or present is not None:
            return self._answer(path, order, 409, reason="old")
        run = Run(task, number, self.life, self.record.now())
        run.work_s = json.loads(order["spec"])["work_s"]
        self._runs[task] = run
        self.history.append(run)
        return self._answer(path, order, 200)

    def _stop(self, order):
        task, number = order["task"], order["run"]
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = self.record.now() + STOP_S

    async def _hold(self, order):
        if order.get("fence", 0) < self._fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self._fence = order.get("fence", 0)
        if order.get("until_ms"):
            self._grant(order["until_ms"])
        acked = order.get("acked_through", 0)
        self._finished = [end for end in self._finished if end[0] > acked]
        life, wait_s = self.life, order.get("wait_ms", 0) / 1000
        if wait_s and not self._finished:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        if not self.is_up or self.is_cut or self.life != life:
            return None
        running = [[run.task, run.number, "", 100, 0] for run in self._runs.values()]
        return 200, {
            "clock_ms": self.clock_ms(),
            "running": running,
            "finished": self._finished[:500],
            "born": self._born,
        }


async def call(port, method, path, host, document=None, timeout_s=3.0):
    """Send a request on its own connection; return status and body, or ``None``."""
    body = b"" if document is None else json.dumps(document).encode()
    request = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        "Content-Type: application/json\r\n"
        f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    ).encode() + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request)
            data = await reader.read()
        head, _, content = data.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), json.loads(content or b"{}")
    except (TimeoutError, OSError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()
