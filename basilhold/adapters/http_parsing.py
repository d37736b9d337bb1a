"""Parsing of the requests of one connection."""

from abc import ABC, abstractmethod
from collections import deque

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)
from tornado.httputil import HTTPHeaders, HTTPInputError

from basilhold.adapters.http_requests import IncomingRequest, RequestHead
from basilhold.core.connection_account import ConnectionEnd, ServerLimits

__all__ = ["RefusalSink", "RequestParser"]

WIRE_BYTES_PER_BODY_BYTE = 16
WIRE_BYTES_MIN = 65_536
"""Bytes of chunk headers that a body may take; a one-byte chunk takes six bytes."""


class RefusalSink(ABC):
    """Learns of requests that are invalid or too long."""

    @abstractmethod
    def on_refused(self, status: int, reason: str, end: ConnectionEnd) -> None:
        """Refuse the request that arrives, and call `RequestParser.stop`."""


class RequestParser:
    """Requests of a connection as far as they have arrived.

    Parameters
    ----------
    limits : ServerLimits
    sink : RefusalSink

    Attributes
    ----------
    request : IncomingRequest or None
        The request of which a part has arrived.
    complete : deque of IncomingRequest
        Complete requests before it, in their order.
    is_input_over : bool
        Whether no further request can follow.
    last_pieces : int
        Pieces in the last read: the read itself, chunks and header fields.
    """

    def __init__(self, limits: ServerLimits, sink: RefusalSink):
        self._limits = limits
        self._sink = sink
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._is_stopped = False
        self.request: IncomingRequest | None = None
        self.complete: deque[IncomingRequest] = deque()
        self.is_input_over = False
        self.last_pieces = 0

    def stop(self) -> None:
        """Drop the request that arrives; no other one begins."""
        self._is_stopped = True
        self.request = None

    def close(self) -> None:
        """Release all requests, and the parser, which refers to this object."""
        self.stop()
        self.complete.clear()
        self._parser = None

    def held_bytes(self) -> int:
        """Return the memory that all requests take."""
        held = sum(request.held_bytes() for request in self.complete)
        return held + (self.request.held_bytes() if self.request is not None else 0)

    def feed(self, data: memoryview) -> None:
        """Parse what has been read."""
        self.last_pieces = 1
        complete_before = len(self.complete)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # Requests for other protocols are answered as if they did not ask.
            self.is_input_over = True
        except (HttpParserError, HttpParserCallbackError) as error:
            reason = f"bad request: {error}"
            self._sink.on_refused(400, reason, ConnectionEnd.BAD_REQUEST)
        request = self.request
        if request is None:
            return
        request.pieces += self.last_pieces
        if len(self.complete) == complete_before:
            request.wire_bytes += len(data)
        if request.head is None:
            self._check_head_bytes(request.wire_bytes)
            return
        wire_bytes_max = WIRE_BYTES_PER_BODY_BYTE * self._limits.body_bytes_max
        if request.wire_bytes > WIRE_BYTES_MIN + wire_bytes_max:
            self._refuse_body()

    def _check_head_bytes(self, head_bytes: int) -> None:
        if head_bytes > self._limits.header_bytes_max:
            reason = "the head is too long"
            self._sink.on_refused(431, reason, ConnectionEnd.TOO_LARGE)

    def _refuse_body(self) -> None:
        reason = f"a body has at most {self._limits.body_bytes_max} bytes"
        self._sink.on_refused(413, reason, ConnectionEnd.TOO_LARGE)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._is_stopped:
            self.request = IncomingRequest()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        request = self.request
        if request is not None:
            request.target += url
            request.head_bytes += len(url)
            self._check_head_bytes(request.head_bytes)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; those after the body count, but are not kept."""
        request = self.request
        if request is None:
            return
        self.last_pieces += 1
        request.head_bytes += len(name) + len(value) + 4
        if request.head is None:
            request.headers.append((name, value))
        self._check_head_bytes(request.head_bytes)

    def on_headers_complete(self) -> None:
        """Build the head."""
        request = self.request
        if request is None:
            return
        headers = HTTPHeaders()
        try:
            for name, value in request.headers:
                headers.add(name.decode("latin-1"), value.decode("latin-1"))
        except HTTPInputError as error:
            self._sink.on_refused(400, str(error), ConnectionEnd.BAD_REQUEST)
            return
        method = self._parser.get_method().decode("latin-1")
        request.head = RequestHead(method, request.target.decode("latin-1"), headers)
        request.version = f"HTTP/{self._parser.get_http_version()}"
        request.keep_alive = self._parser.should_keep_alive()
        if request.declared_bytes() > self._limits.body_bytes_max:
            self._refuse_body()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        request = self.request
        if request is None:
            return
        self.last_pieces += 1
        if len(request.body) + len(body) > self._limits.body_bytes_max:
            self._refuse_body()
        else:
            request.body += body

    def on_message_complete(self) -> None:
        """Note that a request is complete."""
        request = self.request
        if request is None:
            return
        request.is_complete = True
        self.request = None
        self.complete.append(request)
