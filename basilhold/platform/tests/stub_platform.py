"""An in-memory HTTP server with the protocol of the users' platform."""

import base64
import json
import time
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["STORE_CLOCK_OFFSET_MS", "StubPlatform"]

STORE_CLOCK_OFFSET_MS = 5_000_000_000.0
"""Offset of the store's clock, far from any clock of the machine."""

ROWS_PER_REPLY = 500
ROW_BYTES_PER_REPLY = 1_000_000
PARTS_PER_REPLY = 1_000


class StubPlatform:
    """Store, one runner and the advice service on one port; a context manager.

    The store works. Other paths need a canned reply, or get status 404.

    Attributes
    ----------
    rows : dict
        Base64 value and version of each row by table, part and key.
    history : list of tuple
        Version, row key and value of each write; the value is ``None`` if deleted.
    compacted_version : int
        Changes up to this version are no longer in the feed.
    canned_replies : dict
        Status and body with which to reply to a path; a status of 0 closes the
        connection without a reply.
    recorded_posts : list of (str, dict, dict)
        Path, headers and body of each POST.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self.compacted_version = 0
        self.canned_replies: dict[str, tuple[int, Any]] = {}
        self.recorded_posts: list[tuple[str, dict, dict]] = []
        self._server: HTTPServer | None = None
        self.port = 0

    def __enter__(self) -> "StubPlatform":
        sockets = bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(self.application())
        self._server.add_sockets(sockets)
        return self

    def application(self) -> Application:
        """Return the web application that handles all requests."""
        application = Application([(r".*", _PlatformHandler, {"platform": self})])
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
        row_key = (table, part, key)
        self.rows[row_key] = (base64.b64encode(value).decode(), self.version)
        self.history.append((self.version, row_key, self.rows[row_key][0]))
        return self.version

    def _version_fields(self) -> dict:
        return {"ver": self.version, "now_ms": self.clock_ms()}

    def clock_ms(self) -> float:
        """Return the time of the store's steady clock, in milliseconds."""
        return STORE_CLOCK_OFFSET_MS + time.monotonic() * 1000

    # Operations of the store.

    def rows_tx(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction."""
        parts = set()
        for entry in (*body["expected"], *body["puts"], *body["remove"]):
            parts.add(entry["part"])
        if len(parts) > 1 and not body.get("cross_shard"):
            return 400, {"error": "several parts"}
        for entry in body["expected"]:
            row_key = (entry["table"], entry["part"], entry["key"])
            if self.rows.get(row_key, ("", 0))[1] != entry["ver"]:
                matching_rows = [
                    self._encode_row(n)
                    for n in self._expected_keys(body)
                    if n in self.rows
                ]
                return 412, {
                    "rows": matching_rows,
                    "ver": self.version,
                    "now_ms": self.clock_ms(),
                }
        self.version += 1
        for entry in body["puts"]:
            row_key = (entry["table"], entry["part"], entry["key"])
            self.rows[row_key] = (entry["value"], self.version)
            self.history.append((self.version, row_key, entry["value"]))
        for entry in body["remove"]:
            row_key = (entry["table"], entry["part"], entry["key"])
            self.rows.pop(row_key, None)
            self.history.append((self.version, row_key, None))
        return 200, {**self._version_fields()}

    def _expected_keys(self, body: dict):
        return [(e["table"], e["part"], e["key"]) for e in body["expected"]]

    def _encode_row(self, row_key: tuple[str, str, str]) -> dict:
        value, version = self.rows[row_key]
        table, part, key = row_key
        row = {"table": table, "part": part, "key": key}
        return row | {"value": value, "ver": version}

    def rows_get(self, query: Callable[[str], str]) -> tuple[int, dict]:
        """Return a range of rows."""
        limit = min(int(query("limit") or ROWS_PER_REPLY), ROWS_PER_REPLY)
        matching_rows = []
        row_part = (query("table"), query("part"))
        first, end = query("from"), query("target")
        for row_key in sorted(key for key in self.rows if key[:2] == row_part):
            if row_key[2] >= first and (not end or row_key[2] < end):
                matching_rows.append(self._encode_row(row_key))
        count = limit
        while count > 1 and _value_bytes(matching_rows[:count]) > ROW_BYTES_PER_REPLY:
            count -= 1
        return 200, {
            "rows": matching_rows[:count],
            "has_more": len(matching_rows) > count,
            **self._version_fields(),
        }

    def rows_parts(self, query: Callable[[str], str]) -> tuple[int, dict]:
        """Return the parts of a table."""
        parts = sorted(
            {
                part
                for table, part, _ in self.rows
                if table == query("table") and part > query("after")
            }
        )
        return 200, {"parts": parts[:PARTS_PER_REPLY], **self._version_fields()}

    def rows_feed(self, query: Callable[[str], str]) -> tuple[int, dict]:
        """Return the changes of a table."""
        after_version = int(query("after"))
        if after_version < self.compacted_version:
            return 410, {}
        rows = []
        for version, (table, part, key), value in self.history:
            if version > after_version and table == query("table"):
                row = {"table": table, "part": part, "key": key, "ver": version}
                rows.append(
                    row | ({"deleted": True} if value is None else {"value": value})
                )
        return 200, {"rows": rows, **self._version_fields()}


def _value_bytes(rows: list[dict]) -> int:
    """Return the size of the values of encoded rows, in bytes."""
    return sum(len(row["value"]) for row in rows)


class _PlatformHandler(RequestHandler):
    def initialize(self, platform: StubPlatform) -> None:
        self._platform = platform

    def _query_argument(self, argument: str) -> str:
        return self.get_argument(argument, "", strip=False)

    def get(self) -> None:
        """Reply to a read."""
        self._reply({})

    def post(self) -> None:
        """Record a command or a transaction and reply to it."""
        body = json.loads(self.request.body)
        headers = dict(self.request.headers)
        self._platform.recorded_posts.append((self.request.path, headers, body))
        self._reply(body)

    def _reply(self, body: dict) -> None:
        platform = self._platform
        path = self.request.path
        if path in platform.canned_replies:
            status, reply = platform.canned_replies[path]
            if status == 0:
                self.request.connection.stream.close()
                self._finished = True
                return
        elif path == "/-/rows-tx":
            status, reply = platform.rows_tx(body)
        elif path == "/-/rows-get":
            status, reply = platform.rows_get(self._query_argument)
        elif path == "/-/rows-parts":
            status, reply = platform.rows_parts(self._query_argument)
        elif path == "/-/rows-feed":
            status, reply = platform.rows_feed(self._query_argument)
        else:
            status, reply = 404, {}
        self.set_status(status)
        self.finish(reply)
