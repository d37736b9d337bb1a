"""Changes of office documents by compare-and-set, and their history."""

import secrets
import zlib
from collections.abc import Callable
from enum import Enum

import msgspec
from expression import Error, Ok, Result

from basilhold.config.authority import Access, Forbidden, authorise
from basilhold.config.differences import Difference, find_differences
from basilhold.config.documents import (
    HISTORY_LENGTH,
    DocumentHead,
    StoredDocument,
    decode_document,
    decode_stored,
    encode_document,
    head_key,
    history_key,
    history_prefix,
)
from basilhold.config.validation import Problem, check_document
from basilhold.core import Clock, OfficeDocument, OfficeName, ServiceName
from basilhold.ports import (
    ABSENT,
    Condition,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
)

__all__ = [
    "Certainty",
    "ChangeConflict",
    "ChangeError",
    "ChangeRequest",
    "ConfigStore",
    "ConfigVersion",
    "InvalidDocument",
    "MissingVersion",
    "StoreUnavailable",
    "StoredVersion",
]

ATTEMPTS_MAX = 4
"""How often a change without a reply is sent before its outcome stays unknown."""


class ConfigVersion(msgspec.Struct, frozen=True):
    """A version of a document without its content."""

    office: OfficeName
    version: int
    author: str
    changed_unix_ms: int
    restored_version: int = 0


class StoredVersion(msgspec.Struct, frozen=True):
    """A version of a document."""

    info: ConfigVersion
    document: OfficeDocument


class ChangeRequest(msgspec.Struct, frozen=True):
    """A change that an operator asks for.

    Parameters
    ----------
    token_office : OfficeName
        Office that the operator's token speaks for.
    author : str
    base_version : int
        Version that the operator edited; 0 for the first document.
    document : OfficeDocument
    """

    token_office: OfficeName
    author: str
    base_version: int
    document: OfficeDocument


class InvalidDocument(msgspec.Struct, frozen=True):
    """The document is not accepted; nothing was written."""

    problems: tuple[Problem, ...]


class ChangeConflict(msgspec.Struct, frozen=True):
    """Somebody else changed the document first; nothing was written.

    Parameters
    ----------
    current : StoredVersion or None
        What is stored now.
    changed_since_base : tuple of Difference
        From the version that the operator edited to the current one; empty if the
        base is no longer in the history.
    proposed : tuple of Difference
        From the current version to the proposed document.
    """

    current: StoredVersion | None
    changed_since_base: tuple[Difference, ...]
    proposed: tuple[Difference, ...]


class Certainty(Enum):
    """Whether a change may have taken effect."""

    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


class StoreUnavailable(msgspec.Struct, frozen=True):
    """The store did not do what was asked."""

    certainty: Certainty
    reason: str


class MissingVersion(msgspec.Struct, frozen=True):
    """The history does not hold the version."""

    office: OfficeName
    version: int


ChangeError = (
    Forbidden | InvalidDocument | ChangeConflict | StoreUnavailable | MissingVersion
)


class ConfigStore:
    """Reads and changes the offices' documents in the table service.

    Each change writes only rows of its own office, so offices never conflict.

    Parameters
    ----------
    table : TableService
    clock : Clock
    make_write_id : callable, optional
        Source of write ids; random by default.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        make_write_id: Callable[[], str] = lambda: secrets.token_hex(8),
    ):
        self._table = table
        self._clock = clock
        self._make_write_id = make_write_id

    async def change(
        self, request: ChangeRequest, services: frozenset[ServiceName] | None = None
    ) -> Result[StoredVersion, ChangeError]:
        """Check a change as a whole and apply it by compare-and-set.

        Parameters
        ----------
        request : ChangeRequest
        services : frozenset of ServiceName, optional
            Services of the cell.

        Returns
        -------
        Result
            The version that holds the change, or why there is none.
        """
        return await self._change(request, services, 0)

    async def roll_back(
        self,
        token_office: OfficeName,
        author: str,
        base_version: int,
        to_version: int,
        services: frozenset[ServiceName] | None = None,
    ) -> Result[StoredVersion, ChangeError]:
        """Apply the content of an earlier version as a new version."""
        earlier = await self.read_version(token_office, to_version)
        if earlier.is_error():
            return Error(earlier.error)
        document = earlier.ok.document
        request = ChangeRequest(token_office, author, base_version, document)
        return await self._change(request, services, to_version)

    async def read(
        self, office: OfficeName
    ) -> Result[StoredVersion | None, StoreUnavailable]:
        """Return the newest version, or None if there is no document."""
        # The document can leave the history between the two reads; each retry then
        # finds a newer head.
        for _ in range(ATTEMPTS_MAX):
            heads = await self._table.read((head_key(office),))
            if heads.is_error():
                return _unavailable(heads.error)
            row = heads.ok.get(head_key(office))
            if row is None:
                return Ok(None)
            found = await self.read_version(office, row.version)
            if found.is_ok() or isinstance(found.error, StoreUnavailable):
                return found
        return Error(StoreUnavailable(Certainty.NOT_APPLIED, "document not found"))

    async def read_version(
        self, office: OfficeName, version: int
    ) -> Result[StoredVersion, MissingVersion | StoreUnavailable]:
        """Return one version of the history."""
        key = history_key(office, version)
        rows = await self._table.read((key,))
        if rows.is_error():
            return _unavailable(rows.error)
        if key not in rows.ok:
            return Error(MissingVersion(office, version))
        return _decode_version(office, rows.ok[key])

    async def history(
        self, office: OfficeName
    ) -> Result[tuple[ConfigVersion, ...], StoreUnavailable]:
        """Return the versions that are kept, newest first."""
        page = await self._table.scan(history_prefix(office), limit=HISTORY_LENGTH + 1)
        if page.is_error():
            return _unavailable(page.error)
        versions = []
        for row in page.ok.rows:
            decoded = _decode_version(office, row)
            if decoded.is_error():
                return Error(decoded.error)
            versions.append(decoded.ok.info)
        return Ok(tuple(reversed(versions)))

    async def _change(
        self,
        request: ChangeRequest,
        services: frozenset[ServiceName] | None,
        restored_version: int,
    ) -> Result[StoredVersion, ChangeError]:
        office = request.document.office
        allowed = authorise(request.token_office, office, Access.CHANGE)
        if allowed.is_error():
            return Error(allowed.error)
        problems = check_document(request.document, office, services)
        if problems:
            return Error(InvalidDocument(problems))
        head = DocumentHead(
            request.base_version + 1,
            self._make_write_id(),
            request.author,
            self._clock.unix_ms(),
        )
        return await self._apply(request, head, restored_version)

    async def _apply(
        self, request: ChangeRequest, head: DocumentHead, restored_version: int
    ) -> Result[StoredVersion, ChangeError]:
        office = request.document.office
        transaction = _transaction(request, head, restored_version)
        accepted = Ok(_accepted(request, head, restored_version))
        certainty = Certainty.NOT_APPLIED
        reason = ""
        # Sending the same transaction again is safe: both copies require the same
        # version of the row, so at most one of them applies.
        for _ in range(ATTEMPTS_MAX):
            result = await self._table.transact(transaction)
            if result.is_ok():
                return accepted
            reason = result.error.reason
            if result.error.kind is StoreErrorKind.CONFLICT:
                return await self._resolve_conflict(request, head, certainty, accepted)
            if result.error.kind is StoreErrorKind.UNKNOWN:
                certainty = Certainty.UNKNOWN
            elif certainty is Certainty.NOT_APPLIED:
                return Error(StoreUnavailable(certainty, reason))
        written = await self._read_write_id(office, head.version)
        if written.is_ok() and written.ok == head.write_id:
            return accepted
        return Error(StoreUnavailable(certainty, reason))

    async def _resolve_conflict(
        self,
        request: ChangeRequest,
        head: DocumentHead,
        certainty: Certainty,
        accepted: Result[StoredVersion, ChangeError],
    ) -> Result[StoredVersion, ChangeError]:
        office = request.document.office
        if certainty is Certainty.UNKNOWN:
            written = await self._read_write_id(office, head.version)
            if written.is_error():
                return Error(StoreUnavailable(Certainty.UNKNOWN, written.error.reason))
            if written.ok == head.write_id:
                return accepted
        return await self._describe_conflict(request)

    async def _read_write_id(
        self, office: OfficeName, version: int
    ) -> Result[str, StoreError]:
        """Return the write id of a version, or an empty string if there is none."""
        key = history_key(office, version)
        for _ in range(ATTEMPTS_MAX):
            rows = await self._table.read((key,))
            if rows.is_ok():
                break
        if rows.is_error():
            return Error(rows.error)
        if key not in rows.ok:
            return Ok("")
        stored = decode_stored(rows.ok[key])
        return Ok(stored.ok[0].head.write_id if stored.is_ok() else "")

    async def _describe_conflict(
        self, request: ChangeRequest
    ) -> Result[StoredVersion, ChangeError]:
        office = request.document.office
        current = await self.read(office)
        if current.is_error():
            return Error(current.error)
        base = await self.read_version(office, request.base_version)
        new = current.ok.document if current.ok else None
        since = ()
        if base.is_ok():
            since = find_differences(base.ok.document, new)
        elif request.base_version == ABSENT:
            since = find_differences(None, new)
        proposed = find_differences(new, request.document)
        return Error(ChangeConflict(current.ok, since, proposed))


def _transaction(
    request: ChangeRequest, head: DocumentHead, restored_version: int
) -> Transaction:
    office = request.document.office
    stored = StoredDocument(
        head, zlib.compress(encode_document(request.document), 9), restored_version
    )
    writes = [
        Write(head_key(office), msgspec.json.encode(head)),
        Write(history_key(office, head.version), msgspec.json.encode(stored)),
    ]
    dropped = head.version - HISTORY_LENGTH
    if dropped > 0:
        writes.append(Write(history_key(office, dropped), None))
    condition = Condition(head_key(office), request.base_version)
    return Transaction((condition,), tuple(writes))


def _accepted(
    request: ChangeRequest, head: DocumentHead, restored_version: int
) -> StoredVersion:
    office = request.document.office
    info = ConfigVersion(
        office, head.version, head.author, head.changed_unix_ms, restored_version
    )
    return StoredVersion(info, request.document)


def _decode_version(
    office: OfficeName, row: Row
) -> Result[StoredVersion, StoreUnavailable]:
    decoded = decode_stored(row)
    if decoded.is_error():
        return Error(StoreUnavailable(Certainty.NOT_APPLIED, decoded.error.reason))
    stored, content = decoded.ok
    document = decode_document(content)
    if document.is_error():
        reason = f"{row.key}: {document.error.reason}"
        return Error(StoreUnavailable(Certainty.NOT_APPLIED, reason))
    head = stored.head
    info = ConfigVersion(
        office,
        head.version,
        head.author,
        head.changed_unix_ms,
        stored.restored_version,
    )
    return Ok(StoredVersion(info, document.ok))


def _unavailable(error: StoreError) -> Result:
    return Error(StoreUnavailable(Certainty.NOT_APPLIED, error.reason))
