"""Port of the platform's transactional table service."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

__all__ = [
    "ABSENT",
    "TRANSACTION_BYTES_MAX",
    "TRANSACTION_OPERATIONS_MAX",
    "ChangeFeed",
    "Changes",
    "Condition",
    "Conflict",
    "Row",
    "ScanPage",
    "StoreError",
    "StoreErrorKind",
    "TableService",
    "Transaction",
    "Write",
]

ABSENT = 0
"""Version of a row that does not exist."""

TRANSACTION_OPERATIONS_MAX = 512
TRANSACTION_BYTES_MAX = 1 << 20


class Row(msgspec.Struct, frozen=True):
    """A key, its value and the number of times it was written."""

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Requires a row to have a version; `ABSENT` requires it not to exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row's value, or deletes the row if the value is ``None``."""

    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """Conditions and writes that apply whole or not at all.

    Parameters
    ----------
    conditions : tuple of Condition
    writes : tuple of Write
    """

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Conflict(msgspec.Struct, frozen=True):
    """A row whose version did not match, as it was at that moment."""

    key: str
    expected_version: int
    actual_version: int


class StoreErrorKind(Enum):
    """Why an operation on the table service did not succeed.

    ``NOT_APPLIED`` is certain: the service refused the operation or it was never
    sent. ``UNKNOWN`` means that no reply came, so a write may have taken effect.
    """

    CONFLICT = "conflict"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"
    INVALID = "invalid"


class StoreError(msgspec.Struct, frozen=True):
    """A failed operation on the table service or the object store."""

    kind: StoreErrorKind
    reason: str = ""
    conflicts: tuple[Conflict, ...] = ()


class ScanPage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rows in key order; `next_after` is empty on the last page.

    `version` is that of the whole table service, where it has one: changes after it
    can be read from a `ChangeFeed`.
    """

    rows: tuple[Row, ...]
    next_after: str = ""
    version: int = 0


class Changes(msgspec.Struct, frozen=True):
    """Rows that changed after a version of the whole table service.

    Parameters
    ----------
    rows : tuple of Row
        In the order of the changes.
    deleted : tuple of str
        Keys of deleted rows.
    version : int
        Where to continue.
    complete : bool
        False if the requested history is gone; the rows have to be scanned.
    """

    rows: tuple[Row, ...] = ()
    deleted: tuple[str, ...] = ()
    version: int = 0
    complete: bool = True


class ChangeFeed(ABC):
    """Changes of rows, as they happen."""

    @abstractmethod
    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after a version, waiting for one up to `wait_ms`."""


class TableService(ABC):
    """Transactional rows with versions."""

    @abstractmethod
    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the rows that exist among `keys`, from one point in time."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return up to `limit` rows whose keys start with `prefix`.

        Parameters
        ----------
        prefix : str
        after : str
            Only keys greater than this one are returned.
        limit : int
        """

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction and return the new version of each written row."""
