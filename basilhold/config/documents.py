"""Rows of the configuration and their encoding."""

import zlib

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    OfficeDocument,
    OfficeName,
    decode_json,
)
from basilhold.ports import Row

__all__ = [
    "DOCUMENT_BYTES_MAX",
    "HISTORY_LENGTH",
    "DocumentHead",
    "StoredDocument",
    "Unreadable",
    "decode_document",
    "decode_head",
    "decode_stored",
    "encode_document",
    "encode_stored",
    "head_key",
    "history_key",
    "history_prefix",
]

HISTORY_LENGTH = 100
"""Number of versions of a document that are kept."""

DOCUMENT_BYTES_MAX = 1 << 19
"""Longest document accepted, in bytes of JSON."""

_STORED_BYTES_MAX = DOCUMENT_BYTES_MAX + 4096
"""Bound of a history row's JSON; the head takes a few hundred bytes of it."""


class DocumentHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a ``config/<office>`` row.

    The row is small because every reader polls it; the document itself is in the
    ``config-history`` row of the same version, written by the same transaction.

    Parameters
    ----------
    version : int
        Equal to the row's version.
    write_id : str
        Random id of the write, by which a writer recognises it after a lost reply.
    author : str
    changed_unix_ms : int
    """

    version: int
    write_id: str
    author: str
    changed_unix_ms: int


class StoredDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a ``config-history/<office>/<n>`` row, which is compressed JSON.

    Parameters
    ----------
    head : DocumentHead
    document : msgspec.Raw
        JSON of the document.
    restored_version : int
        Version whose content this one repeats; 0 if the content is new.
    """

    head: DocumentHead
    document: msgspec.Raw
    restored_version: int = 0


class Unreadable(msgspec.Struct, frozen=True):
    """Bytes that do not hold what they should."""

    reason: str


def head_key(office: OfficeName) -> str:
    """Return the key of the row that an office's changes compare and set."""
    return f"config/{office}"


def history_prefix(office: OfficeName) -> str:
    """Return the prefix of an office's history rows."""
    return f"config-history/{office}/"


def history_key(office: OfficeName, version: int) -> str:
    """Return the key of one version; keys sort by version.

    Examples
    --------
    >>> history_key(OfficeName("oslo"), 7)
    'config-history/oslo/0000000007'
    """
    return f"{history_prefix(office)}{version:010d}"


def encode_document(document: OfficeDocument) -> bytes:
    """Return the JSON of a document; equal documents give equal bytes."""
    return msgspec.json.encode(document)


def decode_document(content: bytes) -> Result[OfficeDocument, Unreadable]:
    """Return the document that JSON bytes hold."""
    try:
        return Ok(decode_json(content, OfficeDocument))
    except msgspec.MsgspecError as error:
        return Error(Unreadable(str(error)))


def decode_head(row: Row) -> Result[DocumentHead, Unreadable]:
    """Return the value of a ``config/<office>`` row."""
    try:
        return Ok(decode_json(row.value, DocumentHead))
    except msgspec.MsgspecError as error:
        return Error(Unreadable(f"{row.key}: {error}"))


def encode_stored(stored: StoredDocument) -> bytes:
    """Return the value of a history row.

    It is compressed because an office outside the store's region sends it over the
    paid link.
    """
    return zlib.compress(msgspec.json.encode(stored), 9)


def decode_stored(row: Row) -> Result[tuple[StoredDocument, bytes], Unreadable]:
    """Return the value of a history row and the document's JSON."""
    try:
        inflater = zlib.decompressobj()
        content = inflater.decompress(row.value, _STORED_BYTES_MAX)
        if inflater.unconsumed_tail:
            return Error(Unreadable(f"{row.key}: document is too long"))
        stored = decode_json(content, StoredDocument)
    except (msgspec.MsgspecError, zlib.error) as error:
        return Error(Unreadable(f"{row.key}: {error}"))
    return Ok((stored, bytes(stored.document)))
