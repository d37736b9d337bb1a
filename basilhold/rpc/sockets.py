"""Transport over TCP sockets, implemented with grpclib."""

import errno
import weakref
from collections.abc import Sequence

from expression import Error, Ok, Result
from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from basilhold.rpc.outcomes import Address, RpcError, RpcErrorKind
from basilhold.rpc.tls import TlsContexts, is_loopback
from basilhold.rpc.transport import CallChannel, RpcServer, Servable, Transport

__all__ = ["GrpcTransport"]


class _PlainTextForbiddenChannel:
    """Channel that rejects all calls, as plain text to its address is not allowed."""

    def __init__(self, address: Address):
        self._address = address

    def request(self, name, cardinality, request_type, reply_type, **_options):
        """Raise `PermissionError`, before anything is sent."""
        raise PermissionError(
            errno.EPERM,
            f"plain text to {self._address.host} is not allowed without TLS",
        )


class _ConnectionClosingServer(Server):
    """Server that closes its open connections when it is closed.

    ``grpclib.server.Server`` only stops listening, so clients could go on calling a
    closed server over their open connections.
    """

    def __init__(self, services: Sequence[Servable]):
        super().__init__(list(services))
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close(self) -> None:
        super().close()
        for protocol in self._protocols:
            # The attribute is not set until the TLS handshake has completed.
            processor = getattr(protocol, "processor", None)
            if processor is not None:
                processor.close()


class _GrpcServer(RpcServer):
    def __init__(self, server: Server, address: Address):
        self._server = server
        self._address = address

    @property
    def address(self) -> Address:
        return self._address

    async def close(self) -> None:
        self._server.close()
        await self._server.wait_closed()


class GrpcTransport(Transport):
    """Serves and calls grpclib services over TCP.

    Without TLS contexts, only loopback addresses can be served and called, since
    the traffic is plain text.

    Parameters
    ----------
    tls : TlsContexts, optional
        Contexts for accepting and making connections. The default is plain text.
    """

    def __init__(self, tls: TlsContexts | None = None):
        self._tls = tls
        self._channels: dict[Address, Channel] = {}
        self._servers: list[RpcServer] = []

    async def __aenter__(self) -> "GrpcTransport":
        return self

    async def __aexit__(self, *_exception) -> None:
        await self.close()

    def channel(self, address: Address) -> CallChannel:
        """Return the channel to an address, created at the first use and cached.

        Without TLS, calls on a channel to an address other than loopback raise
        `PermissionError`.
        """
        if self._tls is None and not is_loopback(address.host):
            return _PlainTextForbiddenChannel(address)
        channel = self._channels.get(address)
        if channel is None:
            tls = self._tls.client if self._tls else None
            channel = Channel(address.host, address.port, ssl=tls)
            self._channels[address] = channel
        return channel

    def close_channel(self, address: Address) -> None:
        """Close the channel to an address; its next use opens a new connection."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def serve(
        self, services: Sequence[Servable], address: Address
    ) -> Result[RpcServer, RpcError]:
        """Serve grpclib services on an address; port 0 selects a free port.

        Returns
        -------
        Result
            The server, or an `RpcError`: ``IDENTITY`` if plain text is not allowed
            on the address, ``UNREACHABLE`` if it cannot be listened on.
        """
        if self._tls is None and not is_loopback(address.host):
            reason = f"plain text on {address.host} is not allowed; configure TLS files"
            return Error(RpcError(RpcErrorKind.IDENTITY, reason))
        server = _ConnectionClosingServer(services)
        tls = self._tls.server if self._tls else None
        try:
            await server.start(address.host, address.port, ssl=tls)
        except OSError as error:
            return Error(RpcError(RpcErrorKind.UNREACHABLE, str(error)))
        # grpclib has no public access to the asyncio server, which is the only source
        # of a port chosen by the system.
        port = server._server.sockets[0].getsockname()[1]
        grpc_server = _GrpcServer(server, Address(address.host, port))
        self._servers.append(grpc_server)
        return Ok(grpc_server)

    async def close(self) -> None:
        """Close all channels and servers."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
        servers, self._servers = self._servers, []
        for server in servers:
            await server.close()
