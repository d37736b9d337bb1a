"""Compressed form in which processes hand a version of the configuration to peers.

A copy contains digests of API keys and not the keys. The module performs no I/O.
"""

import zlib

import msgspec

from basilhold.core import JsonDecoder, ServiceName
from basilhold.tenants import KeyDigest, Tenant, TenantRegistry
from basilhold.workflows.routes import QueueRoute, QueueTable

__all__ = ["decode_copy", "encode_copy"]

COPY_BYTES_MAX = 16 << 20
"""Largest decompressed copy, in bytes."""


class _TenantCopy(msgspec.Struct, array_like=True):
    tenant: Tenant
    key_digests: tuple[KeyDigest, ...]


class _TableCopy(msgspec.Struct, omit_defaults=True):
    version: int
    routes: tuple[QueueRoute, ...]
    body_bytes_max: int
    services: tuple[ServiceName, ...]
    tenants: tuple[_TenantCopy, ...] | None = None


_DECODER = JsonDecoder(_TableCopy)


def encode_copy(table: QueueTable) -> bytes:
    """Return the compressed copy of a version."""
    tenants = None
    if table.tenants is not None:
        tenants = tuple(
            _TenantCopy(tenant, digests)
            for tenant, digests in table.tenants.with_key_digests()
        )
    copy = _TableCopy(
        table.version, table.routes, table.body_bytes_max, table.services, tenants
    )
    return zlib.compress(msgspec.json.encode(copy))


def decode_copy(data: bytes) -> QueueTable:
    """Return the version of which `data` is a copy.

    Raises
    ------
    msgspec.DecodeError
        If the copy is damaged or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, COPY_BYTES_MAX)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError("the copy is truncated or too large")
    copy = _DECODER.decode(encoded)
    tenants = None
    if copy.tenants is not None:
        with_digests = ((entry.tenant, entry.key_digests) for entry in copy.tenants)
        tenants = TenantRegistry(with_digests, copy.version)
    return QueueTable(
        copy.version, copy.routes, copy.body_bytes_max, copy.services, tenants
    )
