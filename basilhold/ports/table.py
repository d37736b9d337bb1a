"""Port of the platform's transactional table service."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

__all__ = [
    "ABSENT",
    "TRANSACTION_BYTES_MAX",
    "TRANSACTION_OPERATIONS_MAX",
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


class ScanPage(msgspec.Struct, frozen=True):
    """Rows in key order; `next_after` is empty on the last page."""

    rows: tuple[Row, ...]
    next_after: str = ""


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
