"""HTTP server whose protocol errors are problem documents too."""

import contextlib
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, UnsatisfiableReadError

from basilhold.gateway.counters import RequestCounters
from basilhold.gateway.problems import encode_raw_problem
from basilhold.requests import Outcome, Problem, ProblemKind

__all__ = ["GatewayServer"]

HEADER_BYTES_MAX = 16 << 10
IDLE_TIMEOUT_MS = 15_000
CHUNK_BYTES = 64 << 10
BUFFER_BYTES_MAX = 256 << 10
CONNECTIONS_MAX = 2000
"""Each connection costs some kilobytes, and a daemon has 20 MB for its state."""

_BARE_400 = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class GatewayServer(HTTPServer):
    """HTTP server with the gateway's limits.

    Tornado answers a malformed request with a bare status line and closes a connection
    with too long or too slow headers without an answer; this class sends problem
    documents instead.
    """

    def initialize(self, application, counters: RequestCounters, **options) -> None:
        """Set the limits.

        Parameters
        ----------
        application : tornado.web.Application
        counters : RequestCounters
        **options
            Passed on to `tornado.httpserver.HTTPServer`, for example `ssl_options`.
        """
        self._counters = counters
        limits = {
            "max_header_size": HEADER_BYTES_MAX,
            "idle_connection_timeout": IDLE_TIMEOUT_MS / 1000,
            "chunk_size": CHUNK_BYTES,
            "max_buffer_size": BUFFER_BYTES_MAX,
            # The handler refuses large bodies, with a problem document.
            "max_body_size": 1 << 40,
        }
        super().initialize(application, **(limits | options))

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection."""
        guard = _ConnectionGuard(stream, self._counters)
        if len(self._connections) >= CONNECTIONS_MAX:
            guard.refuse(ProblemKind.QUEUE_FULL, "too many connections are open")
            stream.close()
            return
        guard.install()
        super().handle_stream(stream, address)


class _ConnectionGuard:
    """Replaces the answers and closures of a connection's protocol errors."""

    def __init__(self, stream: IOStream, counters: RequestCounters):
        self._stream = stream
        self._counters = counters
        self._write = stream.write
        self._close = stream.close
        self._read_until_regex = stream.read_until_regex
        self._reading_headers = False
        self._answered = False

    def install(self) -> None:
        """Take the place of the stream's methods."""
        self._stream.write = self.write
        self._stream.close = self.close
        self._stream.read_until_regex = self.read_until_regex

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None):
        """Read the headers of the next request."""
        self._reading_headers = True
        self._answered = False
        future = self._read_until_regex(regex, max_bytes)
        future.add_done_callback(self._headers_read)
        return future

    def write(self, data):
        """Write an answer; a bare 400 becomes a problem document."""
        if bytes(data[: len(_BARE_400)]) != _BARE_400:
            self._answered = True
            return self._write(data)
        if self._answered:
            # The handler has refused the request before the body was looked at.
            return self._write(b"")
        return self._write(
            self._encode(ProblemKind.MALFORMED, "the request is not valid HTTP/1.1")
        )

    def close(self, exc_info=False) -> None:
        """Close the connection, after a problem document if headers were awaited."""
        if not self._stream.closed() and self._reading_headers:
            self._reading_headers = False
            if isinstance(exc_info, UnsatisfiableReadError):
                self.refuse(
                    ProblemKind.HEADERS_TOO_LARGE,
                    f"the headers are longer than {HEADER_BYTES_MAX} bytes",
                )
            elif exc_info is False and getattr(self._stream, "_read_buffer_size", 0):
                self.refuse(
                    ProblemKind.SENDER_TOO_SLOW, "the headers did not arrive in time"
                )
        self._close(exc_info)

    def refuse(self, kind: ProblemKind, detail: str) -> None:
        """Send a problem document at once; the connection is closed afterwards."""
        data = self._encode(kind, detail)
        with contextlib.suppress(OSError):
            self._stream.socket.send(data)

    def _encode(self, kind: ProblemKind, detail: str) -> bytes:
        self._counters.problems[kind] += 1
        problem = Problem(kind, Outcome.NOT_RUN, detail)
        return encode_raw_problem(problem, HTTPStatus(kind.status).phrase)

    def _headers_read(self, future) -> None:
        if not future.cancelled() and future.exception() is None:
            self._reading_headers = False
