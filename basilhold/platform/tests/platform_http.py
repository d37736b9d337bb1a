"""A small HTTP server that speaks the users' platform's protocol."""

import base64
import json
import time
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["STORE_EPOCH_MS", "PlatformHttp"]

STORE_EPOCH_MS = 5_000_000_000.0
"""Far from any clock of the tests' machine."""


class PlatformHttp:
    """Store, one runner and the advice service on one port; a context manager.

    `replies` overrides the answer to a path with a status and a body; a status of 0
    closes the connection without an answer.

    Attributes
    ----------
    calls : list of (str, dict, dict)
        Path, headers and body of each POST.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self.compacted = 0
        self.replies: dict[str, tuple[int, Any]] = {}
        self.calls: list[tuple[str, dict, dict]] = []
        self._server: HTTPServer | None = None
        self.port = 0

    def __enter__(self) -> "PlatformHttp":
        sockets = bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(self.application())
        self._server.add_sockets(sockets)
        return self

    def application(self) -> Application:
        """Return what serves the calls."""
        application = Application([(r".*", _Handler, {"platform": self})])
        application.settings["log_function"] = lambda handler: None
        return application

    def __exit__(self, exc_type, exc, traceback) -> None:
        self._server.stop()

    @property
    def endpoint(self) -> str:
        """``host:port`` of the server."""
        return f"127.0.0.1:{self.port}"

    def put(self, table: str, part: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        self.version += 1
        name = (table, part, key)
        self.rows[name] = (base64.b64encode(value).decode(), self.version)
        self.history.append((self.version, name, self.rows[name][0]))
        return self.version

    def _head(self) -> dict:
        return {"ver": self.version, "now_ms": self.clock_ms()}

    def clock_ms(self) -> float:
        """Return the store's steady clock."""
        return STORE_EPOCH_MS + time.monotonic() * 1000

    # Calls of the store.

    def rows_tx(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction."""
        parts = set()
        for entry in (*body["expected"], *body["puts"], *body["remove"]):
            parts.add(entry["part"])
        if len(parts) > 1 and not body.get("cross_shard"):
            return 400, {"error": "several parts"}
        for entry in body["expected"]:
            name = (entry["table"], entry["part"], entry["key"])
            if self.rows.get(name, ("", 0))[1] != entry["ver"]:
                found = [self._row(n) for n in self._names(body) if n in self.rows]
                return 412, {
                    "rows": found,
                    "ver": self.version,
                    "now_ms": self.clock_ms(),
                }
        self.version += 1
        for entry in body["puts"]:
            name = (entry["table"], entry["part"], entry["key"])
            self.rows[name] = (entry["value"], self.version)
            self.history.append((self.version, name, entry["value"]))
        for entry in body["remove"]:
            name = (entry["table"], entry["part"], entry["key"])
            self.rows.pop(name, None)
            self.history.append((self.version, name, None))
        return 200, {**self._head()}

    def _names(self, body: dict):
        return [(e["table"], e["part"], e["key"]) for e in body["expected"]]

    def _row(self, name: tuple[str, str, str]) -> dict:
        value, version = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key}
        return row | {"value": value, "ver": version}

    def rows_get(self, query: Callable[[str], str]) -> tuple[int, dict]:
        """Return a range of rows."""
        limit = int(query("limit") or 500)
        found = []
        for table, part, key in sorted(self.rows):
            same = table == query("table") and part == query("part")
            after = key >= query("from")
            before = not query("target") or key < query("target")
            if same and after and before:
                found.append(self._row((table, part, key)))
        more = len(found) > limit
        return 200, {"rows": found[:limit], "has_more": more, **self._head()}

    def rows_parts(self, query: Callable[[str], str]) -> tuple[int, dict]:
        """Return the parts of a table."""
        parts = sorted(
            {part for table, part, _ in self.rows if table == query("table")}
        )
        return 200, {"parts": parts, **self._head()}

    def rows_feed(self, query: Callable[[str], str]) -> tuple[int, dict]:
        """Return the changes of a table."""
        after = int(query("after"))
        if after < self.compacted:
            return 410, {}
        rows = []
        for version, (table, part, key), value in self.history:
            if version > after and table == query("table"):
                row = {"table": table, "part": part, "key": key, "ver": version}
                rows.append(
                    row | ({"deleted": True} if value is None else {"value": value})
                )
        return 200, {"rows": rows, **self._head()}


class _Handler(RequestHandler):
    def initialize(self, platform: PlatformHttp) -> None:
        self._platform = platform

    def _query(self, name: str) -> str:
        return self.get_argument(name, "")

    def get(self) -> None:
        """Serve a reading call."""
        self._answer({})

    def post(self) -> None:
        """Serve a writing call."""
        body = json.loads(self.request.body)
        headers = dict(self.request.headers)
        self._platform.calls.append((self.request.path, headers, body))
        self._answer(body)

    def _answer(self, body: dict) -> None:
        platform = self._platform
        path = self.request.path
        if path in platform.replies:
            status, reply = platform.replies[path]
            if status == 0:
                self.request.connection.stream.close()
                self._finished = True
                return
        elif path == "/-/rows-tx":
            status, reply = platform.rows_tx(body)
        elif path == "/-/rows-get":
            status, reply = platform.rows_get(self._query)
        elif path == "/-/rows-parts":
            status, reply = platform.rows_parts(self._query)
        elif path == "/-/rows-feed":
            status, reply = platform.rows_feed(self._query)
        else:
            status, reply = 404, {}
        self.set_status(status)
        self.finish(reply)
