"""Documents on the wire."""

import zlib

import msgspec
from expression import Error, Ok, Result

from basilhold.config.documents import DOCUMENT_BYTES_MAX
from basilhold.core import OfficeName
from basilhold.rpc.messages_pb2 import Document

__all__ = ["DocumentCopy", "DocumentProblem", "pack_document", "unpack_document"]

_DICTIONARY_BYTES = 32_768
"""Size of zlib's window; a longer dictionary has no effect."""


class DocumentCopy(msgspec.Struct, frozen=True):
    """JSON of one version of an office's document."""

    office: OfficeName
    version: int
    content: bytes


class DocumentProblem(msgspec.Struct, frozen=True):
    """A document message that cannot be read; a new stream gets it whole."""

    reason: str


def pack_document(copy: DocumentCopy, base: DocumentCopy | None) -> Document:
    """Return the message for a document.

    Most changes touch one entry, so the version that the receiver has serves as the
    compression dictionary.

    Parameters
    ----------
    copy : DocumentCopy
    base : DocumentCopy or None
        A version that the receiver has.
    """
    if base is None or not base.content:
        packed = zlib.compress(copy.content, 9)
        return Document(office=copy.office, version=copy.version, content=packed)
    deflater = zlib.compressobj(9, zdict=base.content[-_DICTIONARY_BYTES:])
    packed = deflater.compress(copy.content) + deflater.flush()
    return Document(
        office=copy.office,
        version=copy.version,
        content=packed,
        base_version=base.version,
    )


def unpack_document(
    message: Document, base: DocumentCopy | None
) -> Result[DocumentCopy, DocumentProblem]:
    """Return the document of a message.

    Parameters
    ----------
    message : Document
    base : DocumentCopy or None
        The version that the message names as its base.
    """
    if message.base_version and base is None:
        return Error(DocumentProblem(f"version {message.base_version} is not known"))
    try:
        if message.base_version:
            inflater = zlib.decompressobj(zdict=base.content[-_DICTIONARY_BYTES:])
        else:
            inflater = zlib.decompressobj()
        content = inflater.decompress(message.content, DOCUMENT_BYTES_MAX + 1)
    except zlib.error as error:
        return Error(DocumentProblem(str(error)))
    if not inflater.eof or len(content) > DOCUMENT_BYTES_MAX:
        return Error(DocumentProblem("content is cut off or too long"))
    return Ok(DocumentCopy(OfficeName(message.office), message.version, content))
