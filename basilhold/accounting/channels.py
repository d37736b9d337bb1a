"""RPC transport that counts the traffic of calls and streams."""

from collections.abc import Sequence
from typing import Any

from expression import Result
from grpclib.const import Handler

from basilhold.accounting.traffic import (
    Distance,
    HostLocator,
    Purpose,
    TrafficCounter,
)
from basilhold.rpc import (
    Address,
    CallChannel,
    RpcError,
    RpcServer,
    Servable,
    Transport,
)

__all__ = ["CountingTransport", "purpose_of_method"]

_PURPOSE_BY_PATH_PREFIX = {
    "/basilhold.rpc.Relay/": Purpose.RELAY,
    "/basilhold.rpc.Scheduler/ExchangeSlots": Purpose.SLOTS,
    "/basilhold.rpc.Scheduler/NotifyJobs": Purpose.JOBS,
    "/basilhold.rpc.Scheduler/Explain": Purpose.OPERATOR,
    "/basilhold.rpc.Scheduler/ShardState": Purpose.OPERATOR,
    "/basilhold.rpc.Scheduler/AttestLost": Purpose.OPERATOR,
    "/basilhold.rpc.Scheduler/HandOver": Purpose.HANDOVER,
    "/basilhold.rpc.Scheduler/Probe": Purpose.PROBE,
    "/basilhold.rpc.Gateway/AskRequest": Purpose.KEYED_REQUEST,
}


def purpose_of_method(path: str) -> Purpose:
    """Return the purpose under which the traffic of an RPC method is counted.

    Parameters
    ----------
    path : str
        Full path of the method.

    Returns
    -------
    Purpose
        ``OTHER`` for methods that have no purpose of their own.

    Examples
    --------
    >>> purpose_of_method("/basilhold.rpc.Relay/Watch")
    <Purpose.RELAY: 'relay'>
    """
    for prefix, purpose in _PURPOSE_BY_PATH_PREFIX.items():
        if path.startswith(prefix):
            return purpose
    return Purpose.OTHER


class _StreamCounter:
    """Counts the messages sent and acknowledgements returned on one stream."""

    def __init__(self, counter: TrafficCounter, purpose: Purpose, distance: Distance):
        self._counter = counter
        self._purpose = purpose
        self._distance = distance

    def count_open(self) -> None:
        self._counter.add_call(self._purpose, self._distance)

    def count_sent(self, message: Any) -> None:
        self._counter.add_message(self._purpose, self._distance, message.ByteSize())

    def count_received(self, message: Any) -> None:
        if message is not None:
            self._counter.add_acknowledgement(self._purpose, self._distance)


class _CountingStream:
    """Wrapper of a grpclib client or server stream that counts its messages."""

    def __init__(self, stream: Any, stream_counter: _StreamCounter):
        self._stream = stream
        self._stream_counter = stream_counter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    async def __aenter__(self) -> "_CountingStream":
        await self._stream.__aenter__()
        return self

    async def __aexit__(self, *exception) -> Any:
        return await self._stream.__aexit__(*exception)

    def __aiter__(self) -> "_CountingStream":
        return self

    async def __anext__(self) -> Any:
        message = await self.recv_message()
        if message is None:
            raise StopAsyncIteration
        return message

    async def send_message(self, message: Any, **options) -> None:
        """Send a message and count it."""
        self._stream_counter.count_sent(message)
        await self._stream.send_message(message, **options)

    async def recv_message(self) -> Any:
        """Receive a message and count the TCP acknowledgement that it causes."""
        message = await self._stream.recv_message()
        self._stream_counter.count_received(message)
        return message


class _CountingChannel:
    def __init__(self, channel: CallChannel, counter: TrafficCounter, distance):
        self._channel = channel
        self._counter = counter
        self._distance = distance

    def request(self, name: str, *arguments, **options) -> _CountingStream:
        """Open a stream whose messages are counted."""
        stream_counter = _StreamCounter(
            self._counter, purpose_of_method(name), self._distance
        )
        stream_counter.count_open()
        return _CountingStream(
            self._channel.request(name, *arguments, **options), stream_counter
        )


class _CountingService:
    """Wrapper of a grpclib service whose streams are counted."""

    def __init__(self, service: Servable, counter: TrafficCounter, locator):
        self._service = service
        self._counter = counter
        self._locator = locator

    def __mapping__(self) -> dict[str, Handler]:
        return {
            path: handler._replace(func=self._wrap(path, handler.func))
            for path, handler in self._service.__mapping__().items()
        }

    def _wrap(self, path: str, handle: Any) -> Any:
        purpose = purpose_of_method(path)

        async def handle_and_count(stream: Any) -> None:
            address = stream.peer.addr()
            host = address[0] if address else ""
            stream_counter = _StreamCounter(
                self._counter, purpose, self._locator.distance(host)
            )
            stream_counter.count_open()
            await handle(_CountingStream(stream, stream_counter))

        return handle_and_count


class CountingTransport(Transport):
    """Wrapper of a transport that counts the traffic sent by this process.

    Parameters
    ----------
    inner : Transport
        Transport that connects and serves.
    counter : TrafficCounter
        Receives the counts.
    locator : HostLocator
        Gives the distance to each peer.
    """

    def __init__(self, inner: Transport, counter: TrafficCounter, locator: HostLocator):
        self._inner = inner
        self._counter = counter
        self._locator = locator

    def channel(self, address: Address) -> CallChannel:
        """Return a channel to an address whose streams are counted."""
        distance = self._locator.distance(address.host)
        return _CountingChannel(self._inner.channel(address), self._counter, distance)

    def close_channel(self, address: Address) -> None:
        """Close the wrapped transport's channel to an address."""
        self._inner.close_channel(address)

    async def serve(
        self, services: Sequence[Servable], address: Address
    ) -> Result[RpcServer, RpcError]:
        """Serve services on an address and count their streams."""
        counted = [
            _CountingService(service, self._counter, self._locator)
            for service in services
        ]
        return await self._inner.serve(counted, address)

    async def close(self) -> None:
        """Close the wrapped transport."""
        await self._inner.close()
