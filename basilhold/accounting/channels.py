"""Transport that counts the messages of calls and streams."""

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

_PURPOSES = {
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
    """Return what a method is for.

    Examples
    --------
    >>> purpose_of_method("/basilhold.rpc.Relay/Watch")
    <Purpose.RELAY: 'relay'>
    """
    for prefix, purpose in _PURPOSES.items():
        if path.startswith(prefix):
            return purpose
    return Purpose.OTHER


class _Tally:
    """Counts the two directions of one stream for the process at one end."""

    def __init__(self, counter: TrafficCounter, purpose: Purpose, distance: Distance):
        self._counter = counter
        self._purpose = purpose
        self._distance = distance

    def opened(self) -> None:
        self._counter.add_call(self._purpose, self._distance)

    def sent(self, message: Any) -> None:
        self._counter.add_message(self._purpose, self._distance, message.ByteSize())

    def received(self, message: Any) -> None:
        if message is not None:
            self._counter.add_receipt(self._purpose, self._distance)


class _CountingStream:
    """Wraps a client's or server's stream of grpclib."""

    def __init__(self, stream: Any, tally: _Tally):
        self._stream = stream
        self._tally = tally

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
        self._tally.sent(message)
        await self._stream.send_message(message, **options)

    async def recv_message(self) -> Any:
        """Receive a message and count its acknowledgement."""
        message = await self._stream.recv_message()
        self._tally.received(message)
        return message


class _CountingChannel:
    def __init__(self, channel: CallChannel, counter: TrafficCounter, distance):
        self._channel = channel
        self._counter = counter
        self._distance = distance

    def request(self, name: str, *arguments, **options) -> _CountingStream:
        """Return a counting stream."""
        tally = _Tally(self._counter, purpose_of_method(name), self._distance)
        tally.opened()
        return _CountingStream(
            self._channel.request(name, *arguments, **options), tally
        )


class _CountingService:
    """Wraps the handlers of a grpclib service."""

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

        async def handle_counted(stream: Any) -> None:
            address = stream.peer.addr()
            host = address[0] if address else ""
            tally = _Tally(self._counter, purpose, self._locator.distance(host))
            tally.opened()
            await handle(_CountingStream(stream, tally))

        return handle_counted


class CountingTransport(Transport):
    """Counts everything that a process sends through another transport.

    Parameters
    ----------
    inner : Transport
    counter : TrafficCounter
    locator : HostLocator
    """

    def __init__(self, inner: Transport, counter: TrafficCounter, locator: HostLocator):
        self._inner = inner
        self._counter = counter
        self._locator = locator

    def channel(self, address: Address) -> CallChannel:
        """Return a counting channel to an address."""
        distance = self._locator.distance(address.host)
        return _CountingChannel(self._inner.channel(address), self._counter, distance)

    def close_channel(self, address: Address) -> None:
        """Close the inner channel to an address."""
        self._inner.close_channel(address)

    async def serve(
        self, services: Sequence[Servable], address: Address
    ) -> Result[RpcServer, RpcError]:
        """Serve services whose streams are counted."""
        counted = [
            _CountingService(service, self._counter, self._locator)
            for service in services
        ]
        return await self._inner.serve(counted, address)

    async def close(self) -> None:
        """Close the inner transport."""
        await self._inner.close()
