"""HTTP server that reports protocol errors as problem documents."""

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
"""Time after which an idle connection is closed, in milliseconds."""

CHUNK_BYTES = 64 << 10
BUFFER_BYTES_MAX = 256 << 10
CONNECTIONS_MAX = 2000
"""Maximum number of open connections.

Each takes some kilobytes, and a daemon has a memory budget of 20 MB for its state.
"""

_TORNADO_400_RESPONSE = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class GatewayServer(HTTPServer):
    """HTTP server with the gateway's limits.

    Tornado responds to a malformed request with a status line only, and closes a
    connection whose headers are too long or arrive too slowly without a response. This
    class sends problem documents instead.
    """

    def initialize(self, application, counters: RequestCounters, **options) -> None:
        """Initialize the server; tornado calls this in place of ``__init__``.

        Parameters
        ----------
        application : tornado.web.Application
        counters : RequestCounters
        **options
            Options of `tornado.httpserver.HTTPServer`, for example `ssl_options`; they
            take precedence over the limits of this module.
        """
        self._counters = counters
        limits = {
            "max_header_size": HEADER_BYTES_MAX,
            "idle_connection_timeout": IDLE_TIMEOUT_MS / 1000,
            "chunk_size": CHUNK_BYTES,
            "max_buffer_size": BUFFER_BYTES_MAX,
            # `CallHandler` rejects large bodies with a problem document.
            "max_body_size": 1 << 40,
        }
        super().initialize(application, **(limits | options))

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection, or reject it above `CONNECTIONS_MAX`."""
        error_filter = _ProtocolErrorFilter(stream, self._counters)
        if len(self._connections) >= CONNECTIONS_MAX:
            error_filter.send_problem(
                ProblemKind.QUEUE_FULL, "too many connections are open"
            )
            stream.close()
            return
        error_filter.install()
        super().handle_stream(stream, address)


class _ProtocolErrorFilter:
    """Sends problem documents for the protocol errors of one connection.

    It wraps the methods of the stream with which tornado reports such errors.
    """

    def __init__(self, stream: IOStream, counters: RequestCounters):
        self._stream = stream
        self._counters = counters
        self._write = stream.write
        self._close = stream.close
        self._read_until_regex = stream.read_until_regex
        self._reading_headers = False
        self._response_written = False

    def install(self) -> None:
        """Replace methods of the stream by those of this object."""
        self._stream.write = self.write
        self._stream.close = self.close
        self._stream.read_until_regex = self.read_until_regex

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None):
        """Read the headers of the next request, and note that they are awaited."""
        self._reading_headers = True
        self._response_written = False
        future = self._read_until_regex(regex, max_bytes)
        future.add_done_callback(self._on_headers_read)
        return future

    def write(self, data):
        """Write response data; replace tornado's own 400 by a problem document."""
        if bytes(data[: len(_TORNADO_400_RESPONSE)]) != _TORNADO_400_RESPONSE:
            self._response_written = True
            return self._write(data)
        if self._response_written:
            # The handler has already rejected the request, before its body was parsed.
            return self._write(b"")
        return self._write(
            self._encode(ProblemKind.MALFORMED, "the request is not valid HTTP/1.1")
        )

    def close(self, exc_info=False) -> None:
        """Close the connection.

        If it is closed while headers are awaited, because they are too long or arrive
        too slowly, a problem document is sent first.
        """
        if not self._stream.closed() and self._reading_headers:
            self._reading_headers = False
            if isinstance(exc_info, UnsatisfiableReadError):
                self.send_problem(
                    ProblemKind.HEADERS_TOO_LARGE,
                    f"the headers are longer than {HEADER_BYTES_MAX} bytes",
                )
            elif exc_info is False and self._has_received():
                self.send_problem(
                    ProblemKind.SENDER_TOO_SLOW, "the headers did not arrive in time"
                )
        self._close(exc_info)

    def _has_received(self) -> bool:
        """Return whether any byte of the request has arrived.

        After a stall of the process, bytes may wait in the socket. They are read here,
        as a connection that is closed with unread bytes is reset, and the reply lost.
        """
        if getattr(self._stream, "_read_buffer_size", 0):
            return True
        with contextlib.suppress(OSError):
            return bool(self._stream.socket.recv(CHUNK_BYTES))
        return False

    def send_problem(self, kind: ProblemKind, detail: str) -> None:
        """Send a problem document directly on the socket; the caller then closes it."""
        data = self._encode(kind, detail)
        with contextlib.suppress(OSError):
            self._stream.socket.send(data)

    def _encode(self, kind: ProblemKind, detail: str) -> bytes:
        self._counters.problems[kind] += 1
        problem = Problem(kind, Outcome.NOT_RUN, detail)
        return encode_raw_problem(problem, HTTPStatus(kind.status).phrase)

    def _on_headers_read(self, future) -> None:
        if not future.cancelled() and future.exception() is None:
            self._reading_headers = False
