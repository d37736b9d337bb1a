"""One connection of an HTTP server: its parser, its requests and what it holds."""

import asyncio
import functools
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.httputil import HTTPInputError, RequestStartLine
from tornado.web import Application

from basilhold.adapters.http_parsing import RefusalSink, RequestParser
from basilhold.adapters.http_replies import Exchange, ReplyWriter, RequestContext
from basilhold.adapters.http_requests import (
    HeadCheck,
    IncomingRequest,
    Refusal,
    encode_refusal,
)
from basilhold.core.connection_account import (
    ConnectionAccount,
    ConnectionEnd,
    Holding,
    Phase,
    ServerLimits,
    WorkBudget,
)

__all__ = ["ConnectionServer", "ServerConnection"]

RETRY_AFTER_S = 1


class ConnectionServer(ABC):
    """What a connection needs of its server.

    Attributes
    ----------
    application : Application
        Handles complete requests.
    limits : ServerLimits
    account : ConnectionAccount
    budget : WorkBudget
    head_check : HeadCheck or None
        Asked while a body is not complete.
    read_buffer : memoryview
        Buffer for reads, which all connections of the server share.
    """

    application: Application
    limits: ServerLimits
    account: ConnectionAccount
    budget: WorkBudget
    head_check: HeadCheck | None
    read_buffer: memoryview

    @abstractmethod
    def now_ms(self) -> float:
        """Return the time of the loop's clock, in milliseconds."""

    @abstractmethod
    def report(self, end: ConnectionEnd) -> None:
        """Report that a limit has ended a connection or refused a request."""

    @abstractmethod
    def report_exception(self, error: Exception) -> None:
        """Report an exception that nothing expects."""

    @abstractmethod
    def end_connections(self, victims: list[Holding]) -> None:
        """End the connections that the account has chosen; any server may own them."""

    @abstractmethod
    def may_handle(self, connection: "ServerConnection", body_bytes: int) -> bool:
        """Return whether a request may be handled in this turn of the event loop.

        If not, `ServerConnection.handle_deferred` is called in a later one.
        """

    @abstractmethod
    def throttle(self, connection: "ServerConnection") -> None:
        """Let a connection wait until the budget allows it to be read again."""

    @abstractmethod
    def add_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine."""

    @abstractmethod
    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back in the next turn of the event loop."""


def _closes_on_error(method: Callable) -> Callable:
    """Let an exception in a step of a connection close this connection only.

    The event loop would log the exception and go on, and nothing would end a connection
    whose request counts as being handled.
    """

    @functools.wraps(method)
    def run(self: "ServerConnection", *args):
        try:
            return method(self, *args)
        except Exception as error:
            self.fail(error)

    return run


class ServerConnection(asyncio.BufferedProtocol, ReplyWriter, RefusalSink):
    """One connection: its parser, its requests in turn, and what it holds."""

    def __init__(self, server: ConnectionServer):
        self._server = server
        self.holding: Holding | None = None
        self._transport: asyncio.Transport | None = None
        self._context = RequestContext("")
        self._parser = RequestParser(server.limits, self)
        self._deferred: IncomingRequest | None = None
        self._exchange: Exchange | None = None
        self._handled_bytes = 0
        self._refusal: Refusal | None = None
        self._is_checking = False
        self._is_throttled = False
        self._is_paused = False
        self._is_closing = False
        self._is_lost = False
        self._has_to_close = False

    @property
    def last_pieces(self) -> int:
        """Pieces in the last read, which tells what the next one will cost."""
        return self._parser.last_pieces

    @property
    def _is_handling(self) -> bool:
        """Whether a request is being handled, or waits for its turn."""
        return self._exchange is not None or self._deferred is not None

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport; asyncio calls this once."""
        self._transport = transport
        if self._is_lost:
            transport.abort()
            return
        peer = transport.get_extra_info("peername")
        self._context.remote_ip = peer[0] if peer else ""
        transport.set_write_buffer_limits(0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds; a request being handled runs on."""
        if self._is_lost:
            return
        self._is_lost = True
        account = self._server.account
        account.close(self.holding)
        if self._exchange is None:
            account.release(self.holding)
        self._parser.close()
        if self._exchange is not None:
            self._exchange.on_connection_lost()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for a read, which all connections of a server share."""
        return self._server.read_buffer

    @_closes_on_error
    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has been read."""
        if self._is_lost or self._is_closing or self._refusal is not None:
            return
        now_ms = self._server.now_ms()
        self._feed(self._server.read_buffer[:nbytes], now_ms)
        budget = self._server.budget
        budget.charge(self._parser.last_pieces, now_ms)
        if not self._is_handling:
            self._note_phase(now_ms)
        self._update_account(now_ms)
        self._check_head()
        request = self._parser.request
        has_reply = self._parser.complete or self._refusal is not None
        if not self._is_handling and has_reply:
            self._advance()
        elif (
            request is not None
            and request.pieces > budget.free_pieces
            and budget.available(now_ms) <= 0
        ):
            self._is_throttled = True
            self._server.throttle(self)
        self._update_reading()

    def eof_received(self) -> bool:
        """Keep the connection until the requests that have arrived are answered."""
        if self._is_closing or self._is_lost:
            return False
        self._parser.is_input_over = True
        if self._parser.request is not None:
            self._refuse(400, "the request is not complete", ConnectionEnd.BAD_REQUEST)
        if not self._is_handling and not self._is_checking:
            self._advance()
        return not self._is_lost

    def pause_writing(self) -> None:
        """Do nothing: the size of the transport's buffer is asked for."""

    @_closes_on_error
    def resume_writing(self) -> None:
        """Go on once the client has taken all replies."""
        if self.holding.phase is Phase.REPLY:
            self._advance()

    # Reading.

    def _feed(self, data: memoryview, now_ms: float) -> None:
        """Parse what has been read, and note the progress of the client."""
        parser = self._parser
        before = parser.request
        size_before = len(before.body) if before is not None else 0
        parser.feed(data)
        request = parser.request
        if request is None:
            return
        grown_bytes = len(request.body) - (size_before if request is before else 0)
        if grown_bytes or request.head is None:
            self._server.account.note_progress(self.holding, grown_bytes, now_ms)

    def on_refused(self, status: int, reason: str, end: ConnectionEnd) -> None:
        """Refuse the request that arrives, as the parser found it to be invalid."""
        self._refuse(status, reason, end)

    def _refuse(
        self,
        status: int,
        reason: str,
        end: ConnectionEnd,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Refuse the request that is not complete, after replies to those before it."""
        if self._refusal is None:
            self._refusal = Refusal(status, reason, headers)
            self._parser.stop()
            self._server.report(end)

    def _refuse_capacity(self, end: ConnectionEnd = ConnectionEnd.MEMORY) -> None:
        """Refuse a request that has not run and never will."""
        refusal = _make_overload_refusal()
        self._refuse(refusal.status, refusal.reason, end, refusal.headers)

    def _refuse_complete(self, end: ConnectionEnd) -> None:
        """Refuse all requests that are not handled yet, also if a later one is invalid.

        None of them has run or will.
        """
        self._parser.complete.clear()
        self._parser.stop()
        self._refusal = _make_overload_refusal()
        self._server.report(end)

    def _note_phase(self, now_ms: float) -> None:
        """Tell the account what the connection waits for."""
        request = self._parser.request
        phase, received_bytes = Phase.IDLE, 0
        if request is not None:
            phase = Phase.BODY if request.head is not None else Phase.HEAD
            received_bytes = len(request.body)
        if phase is not self.holding.phase:
            self._server.account.set_phase(self.holding, phase, now_ms)
            self._server.account.note_progress(self.holding, received_bytes, now_ms)

    def _update_account(self, now_ms: float) -> None:
        """Tell the account what is held now; refuse what there is no capacity for."""
        if self._is_lost:
            return
        account = self._server.account
        victims = account.resize(self.holding, self._held_bytes(), now_ms)
        if victims is None:
            self._refuse_complete(ConnectionEnd.MEMORY)
            victims = account.resize(self.holding, self._held_bytes(), now_ms)
            if victims is None:
                # Unread replies are what is held.
                self.abort()
                return
        self._server.end_connections(victims)

    def _held_bytes(self) -> int:
        held = self._server.limits.connection_bytes + self._unwritten_bytes()
        held += self._handled_bytes
        return held + self._parser.held_bytes()

    def _unwritten_bytes(self) -> int:
        if self._transport is None or self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    def _check_head(self) -> None:
        """Decide on a request whose body is not complete, once."""
        request = self._parser.request
        if (
            request is None
            or request.head is None
            or request.is_checked
            or self._is_handling
            or self._parser.complete
        ):
            return
        request.is_checked = True
        held_bytes = self._server.limits.connection_bytes + request.declared_bytes()
        now_ms = self._server.now_ms()
        if not self._server.account.admits(self.holding, held_bytes, now_ms):
            self._refuse_capacity()
        elif not self._server.account.can_handle(self.holding.server):
            self._refuse_capacity(ConnectionEnd.REQUESTS)
        elif self._server.head_check is None:
            self._continue(request)
        else:
            self._is_checking = True
            self._server.add_task(self._run_head_check(request))

    async def _run_head_check(self, request: IncomingRequest) -> None:
        try:
            refusal = await self._server.head_check.check(request.head)
        except Exception as error:
            self._server.report_exception(error)
            refusal = _make_overload_refusal()
        self._is_checking = False
        if self._is_lost or self._is_closing:
            return
        if refusal is not None and self._parser.request is request:
            self._refuse(
                refusal.status,
                refusal.reason,
                ConnectionEnd.HEAD_DECISION,
                refusal.headers,
            )
        if self._refusal is not None or self._parser.is_input_over:
            self._advance()
        else:
            self._continue(request)
        self._update_reading()

    def _continue(self, request: IncomingRequest) -> None:
        """Ask the client for the body if it waits to be asked."""
        if request.head.headers.get("Expect", "").lower() == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _update_reading(self) -> None:
        """Read only while a request can be taken, or to discard after a refusal."""
        if self._is_lost or self._transport is None or self._transport.is_closing():
            return
        is_paused = not self._is_closing and (
            self._is_handling
            or bool(self._parser.complete)
            or self._refusal is not None
            or self._is_checking
            or self._is_throttled
            or self._parser.is_input_over
            or self.holding.phase is Phase.REPLY
        )
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    @_closes_on_error
    def resume_throttled(self) -> None:
        """Read again after a wait for the budget."""
        self._is_throttled = False
        self._update_reading()

    # Replies.

    def write(self, data: bytes) -> None:
        """Send a part of a reply, unless the client is gone."""
        if data and not self._is_lost and not self._transport.is_closing():
            self._transport.write(data)

    def on_reply(self, exchange: Exchange) -> None:
        """Note that a request has been answered."""
        if exchange is not self._exchange:
            return
        self._exchange = None
        self._handled_bytes = 0
        self._has_to_close = self._has_to_close or not exchange.keep_alive
        if self._is_lost:
            self._server.account.release(self.holding)
            return
        # Once the event loop has sent what fits into the socket.
        self._server.call_soon(self._advance)

    @_closes_on_error
    def _advance(self) -> None:
        """Take the next step after a reply or a refusal."""
        if self._is_lost or self._is_closing or self._is_handling:
            return
        now_ms = self._server.now_ms()
        if self._unwritten_bytes():
            if self.holding.phase is not Phase.REPLY:
                self._server.account.set_phase(self.holding, Phase.REPLY, now_ms)
            self._update_account(now_ms)
        elif self._has_to_close:
            self._close()
        elif self._parser.complete:
            self._handle(self._parser.complete.popleft(), now_ms)
        elif self._refusal is not None:
            self._send_refusal(self._refusal, now_ms)
        elif self._parser.is_input_over:
            self._close()
        else:
            self._note_phase(now_ms)
            self._update_account(now_ms)
            self._check_head()
            if self._refusal is not None:
                self._server.call_soon(self._advance)
        self._update_reading()

    def _handle(self, request: IncomingRequest, now_ms: float) -> None:
        """Pass a complete request to the application, or refuse it."""
        if not self._server.account.can_handle(self.holding.server):
            self._refuse_complete(ConnectionEnd.REQUESTS)
            self._send_refusal(self._refusal, now_ms)
            return
        self._handled_bytes = request.held_bytes()
        self._server.account.set_phase(self.holding, Phase.HANDLING, now_ms)
        self._update_account(now_ms)
        if self._server.may_handle(self, len(request.body)):
            self._start_handler(request)
        else:
            self._deferred = request

    @_closes_on_error
    def handle_deferred(self) -> int:
        """Handle the request that waits for its turn; return the bytes of its body."""
        request, self._deferred = self._deferred, None
        if request is None or self._is_lost:
            return 0
        body_bytes = len(request.body)
        self._start_handler(request)
        self._update_reading()
        return body_bytes

    def _start_handler(self, request: IncomingRequest) -> None:
        exchange = self._exchange = Exchange(self, request, self._context)
        try:
            self._start(request, exchange)
        except (HTTPInputError, ValueError) as error:
            # The latter comes from a Host field whose port has thousands of digits.
            self._exchange = None
            self._handled_bytes = 0
            self._parser.complete.clear()
            self._refuse(400, str(error), ConnectionEnd.BAD_REQUEST)
            self._server.call_soon(self._advance)

    def _start(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Start the handler of a request; an exception means that it has not begun."""
        head = request.head
        delegate = self._server.application.start_request(self, exchange)
        start_line = RequestStartLine(head.method, head.target, request.version)
        delegate.headers_received(start_line, head.headers)
        if request.body:
            delegate.data_received(request.body)
            request.body = bytearray()
        delegate.finish()

    def _send_refusal(self, refusal: Refusal, now_ms: float) -> None:
        """Answer with a refusal, and let the client read it.

        A socket that is closed while bytes arrive would reset the connection, and the
        client could lose the answer. What arrives is discarded for a short time.
        """
        self._is_closing = True
        self._parser.request = None
        self.write(encode_refusal(refusal))
        account = self._server.account
        account.set_phase(self.holding, Phase.CLOSING, now_ms)
        account.resize(self.holding, self._server.limits.connection_bytes, now_ms)
        if self._parser.is_input_over:
            self._transport.close()
        else:
            self._transport.write_eof()

    def _close(self) -> None:
        self._is_closing = True
        account = self._server.account
        account.set_phase(self.holding, Phase.CLOSING, self._server.now_ms())
        self._transport.close()

    def fail(self, error: Exception) -> None:
        """Close the connection after an exception in one of its steps."""
        self._server.report_exception(error)
        self._exchange = None
        self.abort()

    # Decisions of the account.

    def abort(self) -> None:
        """Close the connection without waiting for its client."""
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    def end_without_capacity(self) -> None:
        """Close the connection because others need what it held."""
        self._server.report(ConnectionEnd.MEMORY)
        if self.holding.phase in (Phase.HEAD, Phase.BODY) and not self._is_lost:
            self.write(encode_refusal(_make_overload_refusal()))
            self._transport.close()
            self._is_closing = True
            self.connection_lost(None)
        else:
            self.abort()

    @_closes_on_error
    def end_overdue(self, end: ConnectionEnd) -> None:
        """Close the connection because its time is over, unless replies are read."""
        phase = self.holding.phase
        if phase in (Phase.HEAD, Phase.BODY):
            self._is_checking = False
            self._refuse(408, "the request did not arrive in time", end)
            self._advance()
            return
        if phase is Phase.REPLY or not self.holding.has_served:
            self._server.report(end)
        self.abort()

    @_closes_on_error
    def note_read_replies(self, now_ms: float) -> None:
        """Note that the client reads a long reply."""
        held_bytes = self._held_bytes()
        if held_bytes < self.holding.held_bytes:
            self._server.account.resize(self.holding, held_bytes, now_ms)
            self._server.account.note_progress(self.holding, 0, now_ms)


def _make_overload_refusal() -> Refusal:
    """Return the refusal of a request that has not run and never will."""
    headers = (("Retry-After", str(RETRY_AFTER_S)),)
    return Refusal(503, "the process is overloaded", headers)
