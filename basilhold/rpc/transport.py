"""Abstract transport for calls and streams between processes."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, Protocol

from expression import Result

from basilhold.rpc.outcomes import Address, RpcError

__all__ = ["CallChannel", "RpcServer", "Servable", "Transport"]


class Servable(Protocol):
    """A grpclib service: an instance of a subclass of a generated ``*Base`` class."""

    def __mapping__(self) -> dict[str, Any]:
        """Return the handlers of the service by path of the method."""


class CallChannel(Protocol):
    """Subset of ``grpclib.client.Channel`` that generated stubs use."""

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
        """Return a stream for one call, to be used as asynchronous context manager."""


class RpcServer(ABC):
    """A server that accepts connections until it is closed."""

    @property
    @abstractmethod
    def address(self) -> Address:
        """Address that the server listens on, with the actual port."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and end all streams."""


class Transport(ABC):
    """Connection of generated stubs to services, over sockets or in memory."""

    @abstractmethod
    def channel(self, address: Address) -> CallChannel:
        """Return the channel to an address, for use with a generated stub.

        Channels can be cached. Using one after its connection was lost reconnects.
        """

    @abstractmethod
    def close_channel(self, address: Address) -> None:
        """Close the channel to an address, so that its next use reconnects.

        It is called when a peer has not replied in time: a connection whose path was
        interrupted can stall for longer than it takes to open a new one.
        """

    @abstractmethod
    async def serve(
        self, services: Sequence[Servable], address: Address
    ) -> Result[RpcServer, RpcError]:
        """Serve grpclib services on an address; port 0 selects a free port.

        Returns
        -------
        Result
            The listening server, or the `RpcError` that prevented it.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all channels and servers."""
