"""Remote procedure calls between basilhold processes, over gRPC."""

from basilhold.rpc.outcomes import (
    CALL_ERRORS,
    Address,
    RpcError,
    RpcErrorKind,
    call,
    rpc_error_from,
)
from basilhold.rpc.sockets import GrpcTransport
from basilhold.rpc.tls import (
    TlsContexts,
    TlsFiles,
    TlsProblem,
    TlsProblemKind,
    check_tls_files,
    is_loopback,
)
from basilhold.rpc.transport import CallChannel, RpcServer, Servable, Transport

__all__ = [
    "CALL_ERRORS",
    "Address",
    "CallChannel",
    "GrpcTransport",
    "RpcError",
    "RpcErrorKind",
    "RpcServer",
    "Servable",
    "TlsContexts",
    "TlsFiles",
    "TlsProblem",
    "TlsProblemKind",
    "Transport",
    "call",
    "check_tls_files",
    "is_loopback",
    "rpc_error_from",
]
