"""Calls between basilhold processes and the errors they return."""

import asyncio
import ssl
from enum import Enum
from typing import Any

import msgspec
from expression import Error, Ok, Result
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

__all__ = [
    "CALL_ERRORS",
    "Address",
    "RpcError",
    "RpcErrorKind",
    "call",
    "rpc_error_from",
]

CALL_ERRORS = (GRPCError, StreamTerminatedError, ProtocolError, OSError, TimeoutError)
"""Exceptions that a call or stream raises when the peer or the network fails."""


class Address(msgspec.Struct, frozen=True, order=True):
    """IP address and port of a process."""

    host: str
    port: int


class RpcErrorKind(Enum):
    """Reason why a call returned no reply.

    ``UNREACHABLE`` is an operating system error, such as a refused connection.
    ``IDENTITY`` is a failed TLS handshake, or a server that would have to use plain
    text outside loopback. ``TIMEOUT`` is a deadline that passed, ``BROKEN`` a lost
    stream or an unavailable peer, and ``REFUSED`` any other error status from the
    peer. After the first two the peer's handler did not run; after the others it may
    have run.
    """

    UNREACHABLE = "unreachable"
    IDENTITY = "identity"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    REFUSED = "refused"


class RpcError(msgspec.Struct, frozen=True):
    """Failure of a call: its kind and a description for people."""

    kind: RpcErrorKind
    reason: str

    @property
    def may_have_run(self) -> bool:
        """Whether the peer's handler may have run."""
        return self.kind not in (RpcErrorKind.UNREACHABLE, RpcErrorKind.IDENTITY)


def rpc_error_from(error: BaseException) -> RpcError:
    """Convert an exception raised by a call or stream to an `RpcError`.

    Parameters
    ----------
    error : BaseException
        One of `CALL_ERRORS`.
    """
    if isinstance(error, ssl.SSLError):
        detail = getattr(error, "verify_message", "") or error.reason or str(error)
        return RpcError(RpcErrorKind.IDENTITY, f"TLS handshake failed: {detail}")
    if isinstance(error, TimeoutError):
        return RpcError(RpcErrorKind.TIMEOUT, "no reply before the deadline")
    if isinstance(error, GRPCError):
        kind = _kind_of_status(error.status)
        return RpcError(kind, f"{error.status.name}: {error.message or ''}")
    if isinstance(error, OSError):
        return RpcError(RpcErrorKind.UNREACHABLE, str(error) or type(error).__name__)
    return RpcError(RpcErrorKind.BROKEN, str(error) or type(error).__name__)


def _kind_of_status(status: Status) -> RpcErrorKind:
    if status is Status.DEADLINE_EXCEEDED:
        return RpcErrorKind.TIMEOUT
    if status is Status.UNAVAILABLE:
        return RpcErrorKind.BROKEN
    return RpcErrorKind.REFUSED


async def call(method: Any, request: Any, timeout_s: float) -> Result[Any, RpcError]:
    """Call a unary method of a generated stub.

    Parameters
    ----------
    method : grpclib.client.UnaryUnaryMethod
        Method of the stub.
    request : google.protobuf.message.Message
        Message to send.
    timeout_s : float
        Time limit in seconds, including the time to connect.

    Returns
    -------
    Result
        The reply message, or an `RpcError` for any exception in `CALL_ERRORS`.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return Ok(await method(request, timeout=timeout_s))
    except CALL_ERRORS as error:
        return Error(rpc_error_from(error))
