"""Port to the platform's transactional table service."""

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
"""Version that denotes a row that does not exist."""

TRANSACTION_OPERATIONS_MAX = 512
"""Largest number of conditions and writes in a transaction."""

TRANSACTION_BYTES_MAX = 1 << 20
"""Largest size of a transaction, in bytes."""


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Number of times the row was written.
    """

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Condition that a row has a version, or does not exist if that is `ABSENT`."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Write of a value to a row, or deletion of the row if the value is ``None``."""

    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically if all conditions are met.

    Parameters
    ----------
    conditions : tuple of Condition
    writes : tuple of Write
    """

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Conflict(msgspec.Struct, frozen=True):
    """Version mismatch that made a transaction fail.

    Parameters
    ----------
    key : str
    expected_version : int
        Version that the condition requires.
    actual_version : int
        Version of the row when the condition was evaluated.
    """

    key: str
    expected_version: int
    actual_version: int


class StoreErrorKind(Enum):
    """Type of failure of an operation on the table service.

    ``NOT_APPLIED`` guarantees that the operation had no effect: the service rejected
    it, or it was never sent. ``UNKNOWN`` means that no reply was received, so a write
    may have been applied.
    """

    CONFLICT = "conflict"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"
    INVALID = "invalid"


class StoreError(msgspec.Struct, frozen=True):
    """A failed operation on the table service or the object store.

    Parameters
    ----------
    kind : StoreErrorKind
    reason : str
    conflicts : tuple of Conflict
        Violated conditions, for `StoreErrorKind.CONFLICT`.
    busy : bool
        Whether the service replied that it has too much to do, so that the operation
        was not applied.
    """

    kind: StoreErrorKind
    reason: str = ""
    conflicts: tuple[Conflict, ...] = ()
    busy: bool = False


class ScanPage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One page of a scan.

    Parameters
    ----------
    rows : tuple of Row
        Sorted by key.
    next_after : str
        Value of `after` for the next page; empty on the last page.
    version : int
        Version of the whole table service, if it has one. Later changes can be read
        from a `ChangeFeed`.
    """

    rows: tuple[Row, ...]
    next_after: str = ""
    version: int = 0


class Changes(msgspec.Struct, frozen=True):
    """Rows that changed after a version of the whole table service.

    Parameters
    ----------
    rows : tuple of Row
        Changed rows, in the order of the changes.
    deleted : tuple of str
        Keys of deleted rows.
    version : int
        Version after which to continue.
    complete : bool
        False if the history after the requested version is no longer available, so
        that the rows must be scanned instead.
    """

    rows: tuple[Row, ...] = ()
    deleted: tuple[str, ...] = ()
    version: int = 0
    complete: bool = True


class ChangeFeed(ABC):
    """Feed of changes of rows."""

    @abstractmethod
    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after a version, or wait for one.

        Parameters
        ----------
        prefix : str
            Prefix of the keys of the rows.
        after : int
            Version of the table service after which changes are returned.
        wait_ms : int
            Longest time to wait for a change, in milliseconds.
        """


class TableService(ABC):
    """Table of versioned rows with transactions.

    All methods return errors of the service as `StoreError`.
    """

    @abstractmethod
    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the existing rows among `keys`, in one consistent snapshot."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return the rows whose keys start with `prefix`, one page at a time.

        Parameters
        ----------
        prefix : str
        after : str
            Only rows with keys greater than this one are returned.
        limit : int
            Largest number of rows of a page.
        """

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction and return the new version of each written row."""

    async def transact_within(
        self, transaction: Transaction, timeout_ms: int
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction, and wait for the reply up to `timeout_ms` milliseconds.

        A service whose timeout is fixed waits as long as `transact` does.
        """
        return await self.transact(transaction)
