"""HTTP exchanges over a bounded set of persistent connections.

tornado's own ``AsyncHTTPClient`` opens a connection for each request and does not
tell whether any byte of a failed request was sent. The adapters need both: every new
connection is paid for, and a failed write is ``NOT_APPLIED`` only if nothing of it was
sent. Each task start is an exchange of its own; an exchange through the httptools
parser takes a seventh of the processor time of one through tornado's streams.
"""

import asyncio
import contextlib
import socket
import ssl
from abc import ABC, abstractmethod
from collections import OrderedDict, defaultdict
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from typing import Self
from urllib.parse import urlsplit

import msgspec
from expression import Error, Ok, Result
from httptools import HttpParserError, HttpResponseParser

from basilhold.adapters.receive_buffers import set_receive_bytes

__all__ = [
    "HttpAddress",
    "HttpCall",
    "HttpCounts",
    "HttpFailure",
    "HttpLimits",
    "HttpPool",
    "HttpReply",
    "HttpTraffic",
    "TrafficSink",
]


SWEEP_INTERVAL_MIN_MS = 100.0
"""Least time between two searches for connections that were unused for too long."""


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
    headers : tuple of (str, str)
        Further header fields.
    stall_ms : int
        Time for which the exchange goes on after each part of the response that
        arrives, beyond `timeout_ms` if need be, in milliseconds.
    """

    address: HttpAddress
    method: str
    path: str
    body: bytes = b""
    timeout_ms: int = 2_000
    repeatable: bool = False
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    stall_ms: int = 0


class HttpReply(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes


class HttpFailure(msgspec.Struct, frozen=True):
    """An exchange without a complete response.

    If `sent` is false, it is certain that no byte of the request was sent.
    `disconnected` is true if the peer refused or closed the connection, rather than
    being silent.
    """

    sent: bool
    reason: str
    disconnected: bool = False


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
        Most exchanges at a time, and most open connections: an unused one is closed
        before one more is opened.
    connect_timeout_ms : int
    idle_ms : int
        Kept connections are closed after this time without use. It is below the
        time after which servers usually close idle connections, so that requests
        are rarely sent on a connection that is being closed.
    connections_per_address : int
        Most exchanges at a time, and most open connections, with one address; further
        exchanges wait. 0 for no bound of its own.
    surplus_idle_ms : int
        Kept connections to an address with another open connection are closed after
        this time without use; 0 for `idle_ms`.
    body_bytes_max, header_bytes_max : int
        Longest response.
    transfer_ms : int
        Bound of an exchange whose response keeps arriving, in milliseconds.
    receive_bytes : int
        Bytes of a response that the kernel keeps until they are read; 0 for the
        system's choice. Only addresses with IP numbers are bounded.
    """

    connections: int = 8
    connect_timeout_ms: int = 1_000
    idle_ms: int = 30_000
    connections_per_address: int = 0
    surplus_idle_ms: int = 0
    body_bytes_max: int = 16 << 20
    header_bytes_max: int = 16 << 10
    transfer_ms: int = 10_000
    receive_bytes: int = 0


class HttpCounts(msgspec.Struct, frozen=True):
    """Connections of a pool.

    Parameters
    ----------
    open : int
        Connections that are open now.
    opened : int
        Connections that were opened so far.
    reset : int
        Connections among those that the peer closed before it sent a byte. A server
        that has accepted as many connections as it can does so.
    """

    open: int
    opened: int
    reset: int


class _Kept(msgspec.Struct, eq=False):
    """A connection that is open and unused since a time of the loop's clock."""

    address: HttpAddress
    connection: "_Connection"
    since: float


class _AddressUse(msgspec.Struct):
    """Exchanges with one address.

    Parameters
    ----------
    slots : asyncio.Semaphore
        Held by each exchange under way.
    users : int
        Exchanges that hold a slot or wait for one.
    active : int
        Exchanges that hold a slot.
    """

    slots: asyncio.Semaphore
    users: int = 0
    active: int = 0


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
        self._tls = tls
        self._traffic = traffic or _NoTraffic()
        self._slots = asyncio.Semaphore(self._limits.connections)
        self._kept: dict[HttpAddress, list[_Kept]] = defaultdict(list)
        # All of `_kept`, in the order in which they were last used. A search of the
        # addresses for the oldest took 0.1 ms a call with 3,000 of them.
        self._by_age: OrderedDict[_Kept, None] = OrderedDict()
        # Those not yet searched for surplus ones, in the same order.
        self._unchecked: OrderedDict[_Kept, None] = OrderedDict()
        self._uses: dict[HttpAddress, _AddressUse] = {}
        self._active = 0
        self._opened = 0
        self._reset = 0
        self._sweep_timer: asyncio.TimerHandle | None = None

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
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for entry in self._by_age:
            entry.connection.close()
        self._kept.clear()
        self._by_age.clear()
        self._unchecked.clear()

    def close_unused(self, address: HttpAddress) -> None:
        """Close the kept connections to one address."""
        for entry in list(self._kept.get(address, ())):
            self._close_kept(entry)

    @property
    def counts(self) -> HttpCounts:
        """Connections that are open and that were opened."""
        return HttpCounts(len(self._by_age) + self._active, self._opened, self._reset)

    async def run(self, call: HttpCall) -> Result[HttpReply, HttpFailure]:
        """Send a request and return the complete response."""
        exchange = _Exchange(call)
        last_s = asyncio.get_running_loop().time() + self._limits.transfer_ms / 1000
        try:
            async with (
                asyncio.timeout(call.timeout_ms / 1000) as timeout,
                self._address_slot(call.address),
                self._slots,
            ):
                exchange.on_progress = lambda: _postpone(timeout, call.stall_ms, last_s)
                self._active += 1
                try:
                    return await self._run(exchange)
                finally:
                    self._active -= 1
        except TimeoutError:
            return Error(HttpFailure(exchange.sent, "timed out"))
        finally:
            if exchange.sent_bytes:
                self._traffic.count(exchange.traffic())

    @contextlib.asynccontextmanager
    async def _address_slot(self, address: HttpAddress) -> AsyncIterator[None]:
        """Wait until one more exchange with an address may begin."""
        use = self._uses.get(address)
        if use is None:
            slots = asyncio.Semaphore(
                self._limits.connections_per_address or self._limits.connections
            )
            use = self._uses[address] = _AddressUse(slots)
        use.users += 1
        try:
            async with use.slots:
                use.active += 1
                try:
                    yield
                finally:
                    use.active -= 1
        finally:
            use.users -= 1
            if not use.users:
                del self._uses[address]

    async def _run(self, exchange: "_Exchange") -> Result[HttpReply, HttpFailure]:
        connection = self._take(exchange.call.address)
        if connection:
            result = await self._exchange(exchange, connection)
            closed_unread = result.is_error() and not exchange.received_bytes
            if not (closed_unread and exchange.call.repeatable):
                return result
        self._close_oldest(self._limits.connections - self._active)
        connected = await self._connect(exchange.call.address)
        if connected.is_error():
            reason, refused = connected.error
            return Error(HttpFailure(exchange.sent, reason, refused))
        self._opened += 1
        received_bytes = exchange.received_bytes
        result = await self._exchange(exchange, connected.ok)
        if result.is_error() and exchange.received_bytes == received_bytes:
            self._reset += 1
        return result

    async def _exchange(
        self, exchange: "_Exchange", connection: "_Connection"
    ) -> Result[HttpReply, HttpFailure]:
        finished = False
        try:
            finished = await connection.run(exchange)
        finally:
            if not finished:
                connection.close()
        if not finished:
            return Error(HttpFailure(exchange.sent, "connection closed", True))
        if exchange.keep_alive:
            self._keep(exchange.call.address, connection)
        else:
            connection.close()
        return Ok(HttpReply(exchange.status, bytes(exchange.body)))

    async def _connect(
        self, address: HttpAddress
    ) -> Result["_Connection", tuple[str, bool]]:
        """Connect; the error is its reason, and whether the peer refused."""
        tls = None
        if address.tls:
            self._tls = self._tls or ssl.create_default_context()
            tls = self._tls
        try:
            async with asyncio.timeout(self._limits.connect_timeout_ms / 1000):
                connection = await self._open(address, tls)
        except TimeoutError:
            return Error(("timed out while connecting", False))
        except (OSError, ValueError, OverflowError) as error:
            # The last two come from hosts and ports that no system accepts.
            refused = isinstance(error, ConnectionError)
            return Error((f"cannot connect: {error}", refused))
        return Ok(connection)

    async def _open(
        self, address: HttpAddress, tls: ssl.SSLContext | None
    ) -> "_Connection":
        """Connect, with a bounded receive buffer if the limits have one."""
        loop = asyncio.get_running_loop()
        family = _ip_family(address.host)
        if not self._limits.receive_bytes or family is None:
            _, connection = await loop.create_connection(
                lambda: _Connection(self._limits), address.host, address.port, ssl=tls
            )
            return connection
        connected = socket.socket(family, socket.SOCK_STREAM)
        try:
            connected.setblocking(False)
            set_receive_bytes(connected, self._limits.receive_bytes)
            await loop.sock_connect(connected, (address.host, address.port))
            _, connection = await loop.create_connection(
                lambda: _Connection(self._limits),
                sock=connected,
                ssl=tls,
                server_hostname=address.host if tls else None,
            )
        except BaseException:
            connected.close()
            raise
        return connection

    def _take(self, address: HttpAddress) -> "_Connection | None":
        """Return the connection to an address that was used last."""
        # The sweep is late if the process was suspended.
        oldest_s = asyncio.get_running_loop().time() - self._limits.idle_ms / 1000
        while kept := self._kept.get(address):
            entry = kept[-1]
            self._forget(entry)
            if not entry.connection.closed and entry.since >= oldest_s:
                return entry.connection
            entry.connection.close()
        return None

    def _keep(self, address: HttpAddress, connection: "_Connection") -> None:
        """Keep a connection, within the limit over all addresses."""
        # The exchange that has used it is still counted as active.
        self._close_oldest(self._limits.connections - self._active)
        now_s = asyncio.get_running_loop().time()
        entry = _Kept(address, connection, now_s)
        self._kept[address].append(entry)
        self._by_age[entry] = None
        if self._limits.surplus_idle_ms:
            self._unchecked[entry] = None
        if self._sweep_timer is None:
            self._schedule_sweep(now_s)

    def _forget(self, entry: _Kept) -> None:
        """Remove a connection from those that are kept."""
        kept = self._kept[entry.address]
        kept.remove(entry)
        if not kept:
            del self._kept[entry.address]
        del self._by_age[entry]
        self._unchecked.pop(entry, None)

    def _close_kept(self, entry: _Kept) -> None:
        self._forget(entry)
        entry.connection.close()

    def _close_oldest(self, count_max: int) -> None:
        """Close the unused connections beyond a number, oldest first."""
        while len(self._by_age) > max(0, count_max):
            self._close_kept(next(iter(self._by_age)))

    def _schedule_sweep(self, now_s: float) -> None:
        """Schedule the next sweep; none while no connection is kept."""
        self._sweep_timer = None
        if not self._by_age:
            return
        loop = asyncio.get_running_loop()
        due_s = next(iter(self._by_age)).since + self._limits.idle_ms / 1000
        if self._unchecked:
            surplus_s = self._limits.surplus_idle_ms / 1000
            due_s = min(due_s, next(iter(self._unchecked)).since + surplus_s)
        due_s = max(due_s, now_s + SWEEP_INTERVAL_MIN_MS / 1000)
        self._sweep_timer = loop.call_at(due_s, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that were unused for too long.

        Connections of addresses that are never called again would otherwise stay open
        and take up a share of what their servers accept.
        """
        now_s = asyncio.get_running_loop().time()
        oldest_s = now_s - self._limits.idle_ms / 1000
        while self._by_age and (entry := next(iter(self._by_age))).since <= oldest_s:
            self._close_kept(entry)
        oldest_s = now_s - self._limits.surplus_idle_ms / 1000
        while (
            self._unchecked and (entry := next(iter(self._unchecked))).since <= oldest_s
        ):
            del self._unchecked[entry]
            if self._is_surplus(entry):
                self._close_kept(entry)
        self._schedule_sweep(now_s)

    def _is_surplus(self, entry: _Kept) -> bool:
        """Return whether another connection to the same address is open."""
        use = self._uses.get(entry.address)
        return len(self._kept[entry.address]) > 1 or (
            use is not None and use.active > 0
        )


class _Exchange:
    """One request and what has arrived of its response."""

    def __init__(self, call: HttpCall):
        self.call = call
        self.sent = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.on_progress: Callable[[], None] = lambda: None
        self.reset()

    def reset(self) -> None:
        """Forget the response of an earlier attempt."""
        self.status = 0
        self.body = bytearray()
        self.keep_alive = True

    def traffic(self) -> HttpTraffic:
        """Return the bytes of all attempts."""
        return HttpTraffic(
            self.call.address, self.call.path, self.sent_bytes, self.received_bytes
        )

    def request_bytes(self) -> bytes:
        """Return the request as it is sent."""
        call = self.call
        lines = [
            f"{call.method} {call.path} HTTP/1.1",
            f"Host: {_host_header(call.address)}",
        ]
        if call.body or call.method in ("POST", "PUT"):
            lines.append(f"Content-Type: {call.content_type}")
            lines.append(f"Content-Length: {len(call.body)}")
        lines.extend(f"{name}: {value}" for name, value in call.headers)
        return "\r\n".join((*lines, "", "")).encode("latin-1") + call.body


class _Connection(asyncio.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(self, limits: HttpLimits):
        self._limits = limits
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._exchange: _Exchange | None = None
        self._done: asyncio.Future[bool] | None = None
        self._head_bytes = 0
        self._complete = False
        self._has_length = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport; asyncio calls this once."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange under way."""
        self.closed = True
        self._resolve(False)

    def close(self) -> None:
        """Close the connection without waiting for unsent bytes."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    async def run(self, exchange: _Exchange) -> bool:
        """Send the request; return whether the complete response has arrived."""
        if self.closed or self._transport is None:
            return False
        exchange.reset()
        self._exchange = exchange
        self._parser = HttpResponseParser(self)
        self._head_bytes = 0
        self._complete = False
        self._has_length = False
        self._done = asyncio.get_running_loop().create_future()
        request = exchange.request_bytes()
        exchange.sent = True
        exchange.sent_bytes += len(request)
        self._transport.write(request)
        try:
            return await self._done
        finally:
            self._done = None
            self._exchange = None
            self._parser = None

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        exchange = self._exchange
        if exchange is None or self._parser is None or self._complete:
            # Bytes outside an exchange cannot belong to a later response.
            self.close()
            return
        exchange.received_bytes += len(data)
        exchange.on_progress()
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.close()
            self._resolve(False)
            return
        if not exchange.status:
            self._head_bytes += len(data)
        too_long = (
            self._head_bytes > self._limits.header_bytes_max
            or len(exchange.body) > self._limits.body_bytes_max
        )
        if too_long:
            self.close()
            self._resolve(False)

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection."""
        exchange = self._exchange
        if exchange and exchange.status and not self._has_length:
            exchange.keep_alive = False
            self._resolve(True)
        return False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the length of the body is known; the parser calls this."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Note the status; the parser calls this for each response head."""
        exchange = self._exchange
        exchange.status = self._parser.get_status_code()
        exchange.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._exchange.body += body

    def on_message_complete(self) -> None:
        """End the exchange; an interim response is not the answer."""
        if 100 <= self._exchange.status < 200:
            self._exchange.reset()
            return
        self._complete = True
        self._resolve(True)

    def _resolve(self, finished: bool) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(finished)


def _ip_family(host: str) -> socket.AddressFamily | None:
    """Return the family of an IP address; ``None`` for a name.

    Examples
    --------
    >>> _ip_family("10.0.0.1").name, _ip_family("::1").name, _ip_family("store")
    ('AF_INET', 'AF_INET6', None)
    """
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return family
    return None


def _postpone(timeout: asyncio.Timeout, stall_ms: int, last_s: float) -> None:
    """Let an exchange go on for `stall_ms`, until `last_s` of the loop's clock."""
    if not stall_ms or timeout.expired():
        return
    until_s = min(asyncio.get_running_loop().time() + stall_ms / 1000, last_s)
    if until_s > timeout.when():
        timeout.reschedule(until_s)


def _host_header(address: HttpAddress) -> str:
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
