"""Sends requests to upstreams over tornado's HTTP client protocol."""

import asyncio
from collections import Counter
from typing import Self

from expression import Error, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from basilhold.core import UpstreamId
from basilhold.ports import (
    ResponseHead,
    ResponseSink,
    SendError,
    SendPhase,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = ["TornadoUpstreamClient"]

CHUNK_BYTES = 64 << 10
HEADER_BYTES_MAX = 64 << 10
CONNECT_TIMEOUT_MS = 2000
IDLE_MS_MAX = 5000
"""Idle connections are closed before common servers close theirs (5 s to 75 s)."""

IDLE_PER_UPSTREAM_MAX = 8
ANSWER_BYTES_MAX = 1 << 40


class _AnswerReader(HTTPMessageDelegate):
    """Passes one answer to a sink and finds out whether it is whole."""

    def __init__(self, sink: ResponseSink, method: str):
        self._sink = sink
        self._method = method
        self.head: ResponseHead | None = None
        self.whole = False
        self.aborted = False
        self.keep_alive = False

    async def headers_received(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Pass status and headers on; interim answers are left out."""
        status = start_line.code
        if 100 <= status < 200:
            return
        has_length = "Content-Length" in headers or "Transfer-Encoding" in headers
        has_body = self._method != "HEAD" and status not in (204, 304)
        if has_body and not has_length:
            # The end of such a body looks like a cut connection.
            raise HTTPInputError("the answer has no length")
        if len(headers.get_list("Content-Length")) > 1:
            raise HTTPInputError("the answer has several lengths")
        connection = headers.get("Connection", "").lower()
        self.keep_alive = start_line.version == "HTTP/1.1" and connection != "close"
        self.head = ResponseHead(status, tuple(headers.get_all()))
        await self._sink.start(self.head)

    async def data_received(self, chunk: bytes) -> None:
        """Pass a part of the body on and wait until the reader can take more."""
        try:
            await self._sink.write(chunk)
        except asyncio.CancelledError:
            # Tornado would log the cancellation as an error. The stream is closed
            # by now, so reading ends at the next step.
            if not self.aborted:
                raise

    def finish(self) -> None:
        """Note the end of the answer."""
        self.whole = self.head is not None

    def on_connection_close(self) -> None:
        """Note that the connection was closed before the end."""


class TornadoUpstreamClient(UpstreamClient):
    """Keeps idle connections and never has more than the allowed number open.

    A request with an ``Idempotency-Key`` uses a new connection: on a kept one the
    upstream may close at the moment of sending, and it would be unknown whether the
    request has run.
    """

    def __init__(self):
        self._tcp = TCPClient()
        self._idle: dict[UpstreamId, list[tuple[IOStream, float]]] = {}
        self._open: Counter[UpstreamId] = Counter()
        self._limits: dict[UpstreamId, int] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for upstream_id in list(self._idle):
            self._close_idle(upstream_id, 0)
        self._tcp.close()

    def open_count(self, upstream_id: UpstreamId) -> int:
        """Return the number of open connections to an upstream."""
        return self._open[upstream_id]

    def set_connection_limit(self, upstream_id: UpstreamId, limit: int) -> None:
        """Set how many connections may be open; idle ones above it are closed."""
        self._limits[upstream_id] = limit
        self._close_idle(upstream_id, limit)

    async def send(
        self, request: UpstreamRequest, sink: ResponseSink
    ) -> Result[ResponseHead, SendError]:
        """Send a request and pass the answer on."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.timeout_ms / 1000
        stream = self._take_idle(request)
        if stream is None:
            started = loop.time()
            try:
                stream = await self._connect(request)
                if (loop.time() - started) * 1000 > CONNECT_TIMEOUT_MS:
                    # The process was paused; what it was told before may be wrong.
                    self._close(request.upstream_id, stream)
                    raise TimeoutError("the connection took too long")
            except (OSError, StreamClosedError, TimeoutError) as error:
                reason = f"connection failed: {error or type(error).__name__}"
                return Error(SendError(SendPhase.NOT_SENT, reason))
        reader = _AnswerReader(sink, request.method)
        reusable = False
        try:
            async with asyncio.timeout_at(deadline):
                connection = self._make_connection(stream)
                self._write(connection, request)
                await _read(connection, reader)
            reusable = reader.whole and reader.keep_alive
        except TimeoutError:
            return Error(SendError(_phase(reader), "deadline passed", timed_out=True))
        except (OSError, StreamClosedError) as error:
            return Error(SendError(_phase(reader), f"connection lost: {error}"))
        finally:
            self._put_back(request.upstream_id, stream, reusable)
        if not reader.whole:
            return Error(SendError(_phase(reader), "the answer is cut or malformed"))
        return Ok(reader.head)

    def _make_connection(self, stream: IOStream) -> HTTP1Connection:
        params = HTTP1ConnectionParameters(
            chunk_size=CHUNK_BYTES,
            max_header_size=HEADER_BYTES_MAX,
            max_body_size=ANSWER_BYTES_MAX,
        )
        return HTTP1Connection(stream, True, params)

    def _write(self, connection: HTTP1Connection, request: UpstreamRequest) -> None:
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        headers["Host"] = f"{request.host}:{request.port}"
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")
        # Not awaited: an upstream may answer before it has read the whole body.
        connection.write_headers(start_line, headers, request.body)
        connection.finish()

    async def _connect(self, request: UpstreamRequest) -> IOStream:
        upstream_id = request.upstream_id
        limit = self._limits.get(upstream_id)
        if limit is not None and self._open[upstream_id] >= limit:
            raise OSError(f"{limit} connections are open")
        self._open[upstream_id] += 1
        timeout_ms = min(CONNECT_TIMEOUT_MS, request.timeout_ms)
        connected = False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                stream = await self._tcp.connect(request.host, request.port)
            stream.set_nodelay(True)
            connected = True
            return stream
        finally:
            if not connected:
                self._open[upstream_id] -= 1

    def _take_idle(self, request: UpstreamRequest) -> IOStream | None:
        upstream_id = request.upstream_id
        now = asyncio.get_running_loop().time()
        keyed = any(n.lower() == "idempotency-key" for n, _ in request.headers)
        if keyed:
            limit = self._limits.get(upstream_id, IDLE_PER_UPSTREAM_MAX)
            self._close_idle(upstream_id, max(0, limit - 1))
            return None
        idle = self._idle.get(upstream_id, [])
        while idle:
            stream, since = idle.pop()
            if not stream.closed() and (now - since) * 1000 < IDLE_MS_MAX:
                return stream
            self._close(upstream_id, stream)
        return None

    def _put_back(
        self, upstream_id: UpstreamId, stream: IOStream, reusable: bool
    ) -> None:
        idle = self._idle.setdefault(upstream_id, [])
        limit = self._limits.get(upstream_id, IDLE_PER_UPSTREAM_MAX)
        room = self._open[upstream_id] <= limit
        if reusable and room and not stream.closed():
            idle.append((stream, asyncio.get_running_loop().time()))
        else:
            self._close(upstream_id, stream)

    def _close_idle(self, upstream_id: UpstreamId, limit: int) -> None:
        idle = self._idle.get(upstream_id, [])
        while idle and self._open[upstream_id] > limit:
            self._close(upstream_id, idle.pop(0)[0])

    def _close(self, upstream_id: UpstreamId, stream: IOStream) -> None:
        stream.close()
        self._open[upstream_id] -= 1


async def _read(connection: HTTP1Connection, reader: _AnswerReader) -> None:
    # Tornado's connection swallows a cancellation inside the delegate, so it runs in
    # a task of its own.
    task = asyncio.ensure_future(connection.read_response(reader))
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        reader.aborted = True
        connection.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise


def _phase(reader: _AnswerReader) -> SendPhase:
    return SendPhase.SENT if reader.head is None else SendPhase.ANSWERING
