"""Abstract transport of calls and streams between processes."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, Protocol

from expression import Result

from basilhold.rpc.outcomes import Address, RpcError

__all__ = ["CallChannel", "RpcServer", "Servable", "Transport"]


class Servable(Protocol):
    """A grpclib service, that is, a subclass of a generated ``*Base`` class."""

    def __mapping__(self) -> dict[str, Any]:
        """Return the handler of each method path."""


class CallChannel(Protocol):
    """The part of ``grpclib.client.Channel`` that generated stubs use."""

    def request(
        self,
        name: str,
        cardinality: Any,
        request_type: Any,
        reply_type: Any,
        *,
        timeout: float | None = None,
        deadline: Any = None,
        metadata: Any = None,
    ) -> Any:
        """Return a stream, which is an asynchronous context manager."""


class RpcServer(ABC):
    """A listening server; closing it ends its streams."""

    @property
    @abstractmethod
    def address(self) -> Address:
        """Address that the server listens on."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and end all streams."""


class Transport(ABC):
    """Connects generated stubs to services, over sockets or in memory."""

    @abstractmethod
    def channel(self, address: Address) -> CallChannel:
        """Return the channel to an address, for use with a generated stub.

        Channels are cached and connect again by themselves when used after a loss.
        """

    @abstractmethod
    def close_channel(self, address: Address) -> None:
        """Close the channel to an address, so that the next use connects anew.

        Used after a silence: a connection that was cut can stall for longer than a
        new one takes.
        """

    @abstractmethod
    async def serve(
        self, services: Sequence[Servable], address: Address
    ) -> Result[RpcServer, RpcError]:
        """Serve grpclib services on an address; port 0 chooses a free one."""

    @abstractmethod
    async def close(self) -> None:
        """Close all channels and servers."""
