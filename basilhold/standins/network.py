"""In-memory network that connects grpclib services without sockets."""

import asyncio
import contextvars
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from expression import Error, Ok, Result
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from basilhold.rpc import (
    Address,
    RpcError,
    RpcErrorKind,
    RpcServer,
    Servable,
    Transport,
)

__all__ = ["MemoryNetwork", "MemoryTransport"]

_END = object()


class MemoryNetwork:
    """Carries encoded messages between hosts, with faults that tests switch on.

    Messages of one direction of a stream arrive in order, like on a TCP connection,
    unless `late_ratio` delays some of them past their successors.

    Parameters
    ----------
    seed : int
    latency_ms : callable, optional
        One-way latency between two hosts, in milliseconds.

    Attributes
    ----------
    late_ratio, duplicate_ratio : float
        Shares of messages that arrive late or twice.
    late_ms : float
        Longest extra delay of a late message, in milliseconds.
    message_count : int
        Messages that were handed to the network.
    handler_errors : list of Exception
        Exceptions that service handlers raised, other than ``GRPCError``.
    """

    def __init__(
        self, seed: int = 0, latency_ms: Callable[[str, str], float] | None = None
    ):
        self.random = random.Random(seed)
        self.late_ratio = 0.0
        self.duplicate_ratio = 0.0
        self.late_ms = 3000.0
        self.message_count = 0
        self.handler_errors: list[Exception] = []
        self.servers: dict[Address, _MemoryServer] = {}
        self._latency_ms = latency_ms or (lambda _a, _b: 0.0)
        self.background: set[asyncio.Task[None]] = set()
        self._cuts: set[frozenset[str]] = set()
        self._healed = asyncio.Event()
        self._next_port = 20_000

    def transport(self, host: str) -> "MemoryTransport":
        """Return a transport for one process on a host."""
        return MemoryTransport(self, host)

    def cut(self, one_side: Sequence[str], other_side: Sequence[str]) -> None:
        """Hold back everything between two groups of hosts until `heal`."""
        for one in one_side:
            self._cuts.update(frozenset((one, other)) for other in other_side)

    def heal(self) -> None:
        """Deliver what was held back, each message after a retransmission delay."""
        self._cuts.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether a cut lies between two hosts."""
        return frozenset((one, other)) in self._cuts

    async def wait_for_path(self, one: str, other: str) -> None:
        """Wait until no cut lies between two hosts."""
        while self.is_cut(one, other):
            await self._healed.wait()

    def latency_s(self, one: str, other: str) -> float:
        """Return the one-way latency between two hosts in seconds."""
        return self._latency_ms(one, other) / 1000

    def free_port(self) -> int:
        """Return a port that no server of the network used."""
        self._next_port += 1
        return self._next_port


class _Pipe:
    """One direction of a stream."""

    def __init__(self, network: MemoryNetwork, source: str, target: str):
        self.queue: asyncio.Queue[Any] = asyncio.Queue()
        self._network = network
        self._source = source
        self._target = target
        self._in_order: deque[Any] = deque()
        self._last_arrival_s = 0.0
        self._latest_s = 0.0
        self._broken = False
        self._held: set[asyncio.Task[None]] = set()

    def send(self, item: Any) -> None:
        network = self._network
        network.message_count += 1
        if self._broken:
            return
        if self._held or network.is_cut(self._source, self._target):
            task = asyncio.ensure_future(self._send_after_heal(item))
            self._held.add(task)
            task.add_done_callback(self._held.discard)
            return
        self._deliver(item, network.latency_s(self._source, self._target))

    async def _send_after_heal(self, item: Any) -> None:
        network = self._network
        await network.wait_for_path(self._source, self._target)
        self._deliver(item, network.latency_s(self._source, self._target) + 0.2)

    def _deliver(self, item: Any, delay_s: float) -> None:
        network, loop = self._network, asyncio.get_running_loop()
        arrival_s = max(loop.time() + delay_s, self._last_arrival_s)
        is_message = isinstance(item, bytes)
        if is_message and network.random.random() < network.late_ratio:
            self._deliver_late(item, arrival_s)
            return
        if not is_message:
            # The end of a stream never overtakes its messages.
            arrival_s = max(arrival_s, self._latest_s + 0.001)
        self._last_arrival_s = arrival_s
        # Timers that are due at the same time run in any order, so each takes the
        # first item that was sent.
        self._in_order.append(item)
        # A message under way does not depend on its sender, which may be paused.
        loop.call_at(arrival_s, self._arrive, context=contextvars.Context())
        if is_message and network.random.random() < network.duplicate_ratio:
            self._deliver_late(item, arrival_s)

    def _deliver_late(self, item: bytes, arrival_s: float) -> None:
        network = self._network
        late_s = arrival_s + network.random.random() * network.late_ms / 1000
        self._latest_s = max(self._latest_s, late_s)
        asyncio.get_running_loop().call_at(
            late_s, self.queue.put_nowait, item, context=contextvars.Context()
        )

    def _arrive(self) -> None:
        self.queue.put_nowait(self._in_order.popleft())

    def break_now(self, error: Exception) -> None:
        """End the pipe; the receiver gets the error."""
        self._broken = True
        for task in self._held:
            task.cancel()
        self.queue.put_nowait(error)

    async def receive(self) -> bytes | None:
        """Return the next message, or None at the end of the stream."""
        item = await self.queue.get()
        if isinstance(item, Exception) or item is _END:
            self.queue.put_nowait(item)
            if item is _END:
                return None
            raise item
        return item


class _Connection:
    """A stream between a client and a handler."""

    def __init__(self, network: MemoryNetwork, client: str, server: str):
        self.network = network
        self.client, self.server = client, server
        self.up = _Pipe(network, client, server)
        self.down = _Pipe(network, server, client)
        self.handler: asyncio.Task[None] | None = None
        self.owners: list[dict[_Connection, None]] = []

    def open_for(self, connections: "dict[_Connection, None]") -> None:
        connections[self] = None
        self.owners.append(connections)

    def break_from(self, host: str) -> None:
        """End the stream because the process at one side went away.

        The other side learns of it once no cut lies between them, because the
        operating system repeats the end of a connection like its data.
        """
        for connections in self.owners:
            connections.pop(self, None)
        if host == self.client:
            self.down.break_now(StreamTerminatedError("Connection lost"))
        else:
            self._break_server()
        if not self.network.is_cut(self.client, self.server):
            self._break_both()
        else:
            task = asyncio.ensure_future(self._break_after_heal())
            self.network.background.add(task)
            task.add_done_callback(self.network.background.discard)

    async def _break_after_heal(self) -> None:
        await self.network.wait_for_path(self.client, self.server)
        self._break_both()

    def _break_both(self) -> None:
        self.down.break_now(StreamTerminatedError("Connection lost"))
        self._break_server()

    def _break_server(self) -> None:
        self.up.break_now(StreamTerminatedError("Connection lost"))
        if self.handler is not None:
            self.handler.cancel()


class _Peer:
    def __init__(self, host: str):
        self._host = host

    def addr(self) -> tuple[str, int]:
        return (self._host, 0)


class _ServerStream:
    """The part of ``grpclib.server.Stream`` that handlers use."""

    def __init__(self, connection: _Connection, request_type: Any):
        self._connection = connection
        self._request_type = request_type
        self.metadata: dict[str, str] = {}
        self.peer = _Peer(connection.client)

    async def recv_message(self) -> Any:
        data = await self._connection.up.receive()
        return None if data is None else self._request_type.FromString(data)

    async def send_message(self, message: Any) -> None:
        self._connection.down.send(message.SerializeToString())

    def __aiter__(self):
        return self

    async def __anext__(self) -> Any:
        message = await self.recv_message()
        if message is None:
            raise StopAsyncIteration
        return message


class _ClientStream:
    """The part of ``grpclib.client.Stream`` that stubs and clients use."""

    def __init__(self, transport, address, name, reply_type, timeout):
        self._transport = transport
        self._address = address
        self._name = name
        self._reply_type = reply_type
        self._timeout = asyncio.timeout(timeout)
        self._connection: _Connection | None = None

    async def __aenter__(self) -> "_ClientStream":
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *exception) -> None:
        if self._connection is not None:
            self._connection.break_from(self._transport.host)
        await self._timeout.__aexit__(*exception)

    async def send_request(self) -> None:
        if self._connection is None:
            self._connection = await self._transport.connect(self._address, self._name)

    async def send_message(self, message: Any, *, end: bool = False) -> None:
        await self.send_request()
        self._connection.up.send(message.SerializeToString())
        if end:
            await self.end()

    async def recv_message(self) -> Any:
        data = await self._connection.down.receive()
        return None if data is None else self._reply_type.FromString(data)

    async def end(self) -> None:
        self._connection.up.send(_END)

    async def cancel(self) -> None:
        self._connection.break_from(self._transport.host)


class _MemoryChannel:
    def __init__(self, transport: "MemoryTransport", address: Address):
        self._transport = transport
        self._address = address

    def request(
        self, name, cardinality, request_type, reply_type, *, timeout=None, **_options
    ) -> _ClientStream:
        return _ClientStream(self._transport, self._address, name, reply_type, timeout)


class _MemoryServer(RpcServer):
    def __init__(self, transport: "MemoryTransport", services, address: Address):
        self.transport = transport
        self.handlers: dict[str, Any] = {}
        for service in services:
            self.handlers.update(service.__mapping__())
        self._address = address
        self._context = contextvars.copy_context()
        self.connections: dict[_Connection, None] = {}

    @property
    def address(self) -> Address:
        return self._address

    def start(self, connection: _Connection, name: str) -> None:
        """Run the handler of a method for a new stream, as part of the server."""
        connection.open_for(self.connections)
        connection.handler = asyncio.get_running_loop().create_task(
            self._run(connection, name), context=self._context.copy()
        )

    async def _run(self, connection: _Connection, name: str) -> None:
        handler = self.handlers.get(name)
        end: Any = _END
        try:
            if handler is None:
                raise GRPCError(Status.UNIMPLEMENTED, "Method not found")
            await handler.func(_ServerStream(connection, handler.request_type))
        except GRPCError as error:
            end = error
        except StreamTerminatedError as error:
            end = error
        except Exception as error:
            connection.network.handler_errors.append(error)
            end = GRPCError(Status.UNKNOWN, "Internal Server Error")
        connection.handler = None
        connection.down.send(end)

    async def close(self) -> None:
        self.transport.network.servers.pop(self._address, None)
        for connection in list(self.connections):
            connection.break_from(self._address.host)


class MemoryTransport(Transport):
    """Transport of one process on a `MemoryNetwork`.

    Parameters
    ----------
    network : MemoryNetwork
    host : str
    """

    def __init__(self, network: MemoryNetwork, host: str):
        self.network = network
        self.host = host
        self._connections: dict[_Connection, None] = {}
        self._servers: list[_MemoryServer] = []

    def channel(self, address: Address) -> _MemoryChannel:
        """Return a channel to an address."""
        return _MemoryChannel(self, address)

    def close_channel(self, address: Address) -> None:
        """Do nothing: each stream has its own connection."""

    async def connect(self, address: Address, name: str) -> _Connection:
        """Open a stream for a method."""
        network = self.network
        await network.wait_for_path(self.host, address.host)
        await asyncio.sleep(2 * network.latency_s(self.host, address.host))
        server = network.servers.get(address)
        if server is None:
            raise ConnectionRefusedError(f"no server on {address.host}:{address.port}")
        connection = _Connection(network, self.host, address.host)
        connection.open_for(self._connections)
        server.start(connection, name)
        return connection

    async def serve(
        self, services: Sequence[Servable], address: Address
    ) -> Result[RpcServer, RpcError]:
        """Serve grpclib services on an address."""
        if not address.port:
            address = Address(address.host, self.network.free_port())
        if address in self.network.servers:
            return Error(RpcError(RpcErrorKind.UNREACHABLE, "address already in use"))
        server = _MemoryServer(self, services, address)
        self.network.servers[address] = server
        self._servers.append(server)
        return Ok(server)

    async def close(self) -> None:
        """End all streams and servers, as the death of the process does."""
        for server in self._servers:
            await server.close()
        for connection in list(self._connections):
            connection.break_from(self.host)
