"""Replies to the requests of one connection, as tornado's handlers write them."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from basilhold.adapters.http_requests import IncomingRequest

__all__ = ["Exchange", "ReplyWriter", "RequestContext"]


class ReplyWriter(ABC):
    """Sends the replies of a connection."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send a part of a reply, unless the client is gone."""

    @abstractmethod
    def on_reply(self, exchange: "Exchange") -> None:
        """Note that a request has been answered."""


class RequestContext:
    """The client, as tornado's requests expect it."""

    __slots__ = ("protocol", "remote_ip")

    def __init__(self, remote_ip: str):
        self.remote_ip = remote_ip
        self.protocol = "http"


class Exchange(HTTPConnection):
    """Writes the reply to one request."""

    def __init__(
        self, connection: ReplyWriter, request: IncomingRequest, context: RequestContext
    ):
        self.context = context
        self._connection = connection
        self._request = request
        self._is_chunked = False
        self._close_callback: Callable[[], None] | None = None
        self.delegate: HTTPMessageDelegate | None = None
        self.keep_alive = request.keep_alive
        self.is_finished = False

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set what is called if the connection ends before the reply."""
        self._close_callback = callback

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> asyncio.Future:
        """Write the head of the reply, and the first part of its body."""
        request = self._request
        method = request.head.method if request.head else ""
        self._is_chunked = (
            request.version == "HTTP/1.1"
            and method != "HEAD"
            and start_line.code not in (204, 304)
            and "Content-Length" not in headers
        )
        if self._is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        elif "Content-Length" not in headers and method != "HEAD":
            self.keep_alive = self.keep_alive and start_line.code in (204, 304)
        if headers.get("Connection", "").lower() == "close":
            self.keep_alive = False
        if not self.keep_alive and request.version == "HTTP/1.1":
            headers["Connection"] = "close"
        elif self.keep_alive and request.version == "HTTP/1.0":
            headers["Connection"] = "Keep-Alive"
        lines = [f"HTTP/1.1 {start_line.code} {start_line.reason}"]
        lines.extend(f"{name}: {value}" for name, value in headers.get_all())
        head = "\r\n".join((*lines, "", "")).encode("latin-1")
        self._connection.write(head + self._format(chunk or b""))
        return _done()

    def write(self, chunk: bytes) -> asyncio.Future:
        """Write a part of the body."""
        self._connection.write(self._format(chunk))
        return _done()

    def finish(self) -> None:
        """End the reply."""
        self.is_finished = True
        self._close_callback = None
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._connection.on_reply(self)

    def on_connection_lost(self) -> None:
        """Tell the handler that nobody reads its reply."""
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def _format(self, chunk: bytes) -> bytes:
        if not self._is_chunked or not chunk:
            return chunk
        return b"%x\r\n%s\r\n" % (len(chunk), chunk)


def _done() -> asyncio.Future:
    """Return a result for tornado: writes do not wait, as replies are counted."""
    future = asyncio.get_running_loop().create_future()
    future.set_result(None)
    return future
