"""HTTP exchanges over a bounded set of persistent connections.

tornado's own ``AsyncHTTPClient`` opens a connection for each request and does not
tell whether any byte of a failed request was sent. The adapters need both: control
traffic pays for every handshake on the link between regions, and a failed write is
``NOT_APPLIED`` only if nothing of it was sent. `HttpPool` therefore uses tornado's
lower layers, ``TCPClient`` and ``HTTP1Connection``.
"""

import asyncio
import ssl
from abc import ABC, abstractmethod
from collections import defaultdict
from types import TracebackType
from typing import Self
from urllib.parse import urlsplit

import msgspec
from expression import Error, Ok, Result
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

__all__ = [
    "HttpAddress",
    "HttpCall",
    "HttpFailure",
    "HttpLimits",
    "HttpPool",
    "HttpReply",
    "HttpTraffic",
    "TrafficSink",
]


class HttpAddress(msgspec.Struct, frozen=True):
    """Where a server listens."""

    host: str
    port: int
    tls: bool = False

    @classmethod
    def of_url(cls, url: str) -> Self:
        """Return the address in a URL without a path.

        Examples
        --------
        >>> HttpAddress.of_url("https://10.0.0.1")
        HttpAddress(host='10.0.0.1', port=443, tls=True)
        """
        parts = urlsplit(url)
        tls = parts.scheme == "https"
        return cls(parts.hostname or "", parts.port or (443 if tls else 80), tls)


class HttpCall(msgspec.Struct, frozen=True):
    """One request.

    Parameters
    ----------
    address : HttpAddress
    method, path : str
    body : bytes
    timeout_ms : int
        Bound of the whole exchange, including the wait for a connection, in
        milliseconds.
    repeatable : bool
        Whether the request may be sent again on a new connection when the server
        closed a kept connection before it replied.
    content_type : str
    """

    address: HttpAddress
    method: str
    path: str
    body: bytes = b""
    timeout_ms: int = 2_000
    repeatable: bool = False
    content_type: str = "application/json"


class HttpReply(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes


class HttpFailure(msgspec.Struct, frozen=True):
    """An exchange without a complete response.

    If `sent` is false, it is certain that no byte of the request was sent.
    """

    sent: bool
    reason: str


class HttpTraffic(msgspec.Struct, frozen=True):
    """Bytes of one exchange: request and response, without TCP and TLS overhead."""

    address: HttpAddress
    path: str
    sent_bytes: int
    received_bytes: int


class TrafficSink(ABC):
    """Receives the byte counts of exchanges."""

    @abstractmethod
    def count(self, traffic: HttpTraffic) -> None:
        """Add the bytes of one exchange, complete or not."""


class _NoTraffic(TrafficSink):
    def count(self, traffic: HttpTraffic) -> None:
        """Ignore the bytes."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Bounds of a pool.

    Parameters
    ----------
    connections : int
        Most exchanges at a time; also bounds the connections.
    connect_timeout_ms : int
    idle_ms : int
        Kept connections are closed after this time without use. It is below the
        time after which servers usually close idle connections, so that requests
        are rarely sent on a connection that is being closed.
    body_bytes_max, header_bytes_max : int
        Longest response.
    """

    connections: int = 8
    connect_timeout_ms: int = 1_000
    idle_ms: int = 30_000
    body_bytes_max: int = 16 << 20
    header_bytes_max: int = 16 << 10


class _Kept(msgspec.Struct):
    """A connection that is open and unused since a time of the loop's clock."""

    stream: IOStream
    since: float


class HttpPool:
    """Runs HTTP exchanges over kept connections; an asynchronous context manager.

    Parameters
    ----------
    limits : HttpLimits
    tls : ssl.SSLContext, optional
        Used for addresses with `tls` set; the system's certificates by default.
    traffic : TrafficSink, optional
    """

    def __init__(
        self,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
        traffic: TrafficSink | None = None,
    ):
        self._limits = limits or HttpLimits()
        self._tls = tls or ssl.create_default_context()
        self._traffic = traffic or _NoTraffic()
        self._slots = asyncio.Semaphore(self._limits.connections)
        self._client = TCPClient()
        self._kept: dict[HttpAddress, list[_Kept]] = defaultdict(list)
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=self._limits.header_bytes_max,
            max_body_size=self._limits.body_bytes_max,
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close all kept connections."""
        for kept in self._kept.values():
            for entry in kept:
                entry.stream.close()
        self._kept.clear()
        self._client.close()

    async def run(self, call: HttpCall) -> Result[HttpReply, HttpFailure]:
        """Send a request and return the complete response."""
        exchange = _Exchange(call)
        try:
            async with asyncio.timeout(call.timeout_ms / 1000), self._slots:
                return await self._run(exchange)
        except TimeoutError:
            return Error(HttpFailure(exchange.sent, "timed out"))
        finally:
            if exchange.sent_bytes:
                self._traffic.count(exchange.traffic())

    async def _run(self, exchange: "_Exchange") -> Result[HttpReply, HttpFailure]:
        stream = self._take(exchange.call.address)
        if stream:
            result = await self._exchange(exchange, stream)
            closed_unread = result.is_error() and not exchange.received_bytes
            if not (closed_unread and exchange.call.repeatable):
                return result
        connected = await self._connect(exchange.call.address)
        if connected.is_error():
            return Error(HttpFailure(exchange.sent, connected.error))
        return await self._exchange(exchange, connected.ok)

    async def _exchange(
        self, exchange: "_Exchange", stream: IOStream
    ) -> Result[HttpReply, HttpFailure]:
        finished = False
        try:
            finished = await exchange.run(stream, self._parameters)
        except StreamClosedError:
            pass
        finally:
            if not finished:
                stream.close()
        if not finished:
            return Error(HttpFailure(exchange.sent, "connection closed"))
        if exchange.keep_alive:
            self._keep(exchange.call.address, stream)
        else:
            stream.close()
        return Ok(HttpReply(exchange.status, bytes(exchange.body)))

    async def _connect(self, address: HttpAddress) -> Result[IOStream, str]:
        try:
            stream = await self._client.connect(
                address.host,
                address.port,
                ssl_options=self._tls if address.tls else None,
                max_buffer_size=self._limits.body_bytes_max + (1 << 20),
                timeout=self._limits.connect_timeout_ms / 1000,
            )
        except TimeoutError:
            return Error("timed out while connecting")
        except (OSError, StreamClosedError) as error:
            return Error(f"cannot connect: {error}")
        return Ok(stream)

    def _take(self, address: HttpAddress) -> IOStream | None:
        """Return the connection used last; close those unused for too long."""
        kept = self._kept[address]
        oldest = asyncio.get_running_loop().time() - self._limits.idle_ms / 1000
        while kept and (kept[0].since < oldest or kept[0].stream.closed()):
            kept.pop(0).stream.close()
        while kept:
            entry = kept.pop()
            if not entry.stream.closed():
                return entry.stream
        del self._kept[address]
        return None

    def _keep(self, address: HttpAddress, stream: IOStream) -> None:
        """Keep a connection, within the limit over all addresses."""
        if sum(map(len, self._kept.values())) >= self._limits.connections:
            oldest = min(
                (kept for kept in self._kept.values() if kept),
                key=lambda kept: kept[0].since,
            )
            oldest.pop(0).stream.close()
        # A callback makes the stream listen, so that it notices the server's close.
        stream.set_close_callback(lambda: None)
        self._kept[address].append(_Kept(stream, asyncio.get_running_loop().time()))


class _Exchange(httputil.HTTPMessageDelegate):
    """One request and what has arrived of its response."""

    def __init__(self, call: HttpCall):
        self.call = call
        self.sent = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.keep_alive = True
        self.finished = False

    def traffic(self) -> HttpTraffic:
        """Return the bytes of all attempts."""
        return HttpTraffic(
            self.call.address, self.call.path, self.sent_bytes, self.received_bytes
        )

    async def run(
        self, stream: IOStream, parameters: HTTP1ConnectionParameters
    ) -> bool:
        """Send the request; return whether the complete response has arrived."""
        self._reset()
        call = self.call
        headers = httputil.HTTPHeaders({"Host": _host_header(call.address)})
        if call.body or call.method in ("POST", "PUT"):
            headers["Content-Type"] = call.content_type
            headers["Content-Length"] = str(len(call.body))
        connection = HTTP1Connection(stream, True, parameters)
        start = httputil.RequestStartLine(call.method, call.path, "HTTP/1.1")
        self.sent = True
        self.sent_bytes += _head_bytes(f"{call.method} {call.path} HTTP/1.1", headers)
        self.sent_bytes += len(call.body)
        stream.set_nodelay(True)
        # Failures of the write show up as a closed connection when reading.
        connection.write_headers(start, headers, call.body or None)
        connection.finish()
        await connection.read_response(self)
        return self.finished

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Note the status; tornado calls this for each response head."""
        self.status = start_line.code
        self.keep_alive = (
            start_line.version == "HTTP/1.1"
            and headers.get("Connection", "").lower() != "close"
        )
        line = f"HTTP/1.1 {start_line.code} {start_line.reason}"
        self.received_bytes += _head_bytes(line, headers)

    def data_received(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self.body += chunk
        self.received_bytes += len(chunk)

    def finish(self) -> None:
        """Note that the body is complete."""
        self.finished = True


def _host_header(address: HttpAddress) -> str:
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"


def _head_bytes(start_line: str, headers: httputil.HTTPHeaders) -> int:
    lines = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return len(start_line) + 2 + lines + 2
