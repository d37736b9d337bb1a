"""In-memory table service."""

import asyncio
from bisect import bisect_right
from collections.abc import Callable

from expression import Error, Ok, Result
from sortedcontainers import SortedDict

from basilhold.ports import (
    ABSENT,
    Conflict,
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
)
from basilhold.ports.table import TRANSACTION_BYTES_MAX, TRANSACTION_OPERATIONS_MAX
from basilhold.standins.faults import StoreFate, StoreFaults

__all__ = ["MemoryTable"]


class MemoryTable(TableService):
    """Table service that holds its rows in memory.

    A deleted row keeps its version, so that a row that is created again never has
    a version it had before.

    Parameters
    ----------
    faults : StoreFaults, optional

    Attributes
    ----------
    read_count, write_count : int
        Operations that reached the service.
    written_bytes : int
        Bytes of keys and values in the transactions that were applied.
    on_applied : callable or None
        Called with each transaction that was applied.
    """

    def __init__(self, faults: StoreFaults | None = None):
        self.faults = faults or StoreFaults()
        self.read_count = 0
        self.write_count = 0
        self.written_bytes = 0
        self.on_applied: Callable[[Transaction], None] | None = None
        self._rows: SortedDict[str, Row] = SortedDict()
        self._deleted_versions: dict[str, int] = {}

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the rows that exist among `keys`."""
        return await self._run(lambda: self.read_now(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return up to `limit` rows of a prefix."""
        return await self._run(lambda: self.scan_now(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        return await self._run(lambda: self.transact_now(transaction))

    async def _run(self, operation):
        fate = self.faults.draw()
        await self.faults.travel()
        if fate is StoreFate.REFUSED:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "service unavailable"))
        if fate is StoreFate.LOST_REQUEST:
            await self.faults.wait_for_timeout()
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        if fate is StoreFate.DELAYED:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.delay_ms / 1000, operation)
            await self.faults.wait_for_timeout()
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        result = operation()
        if fate is StoreFate.LOST_REPLY:
            await self.faults.wait_for_timeout()
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        await self.faults.travel()
        return result

    def read_now(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read without latency or faults."""
        self.read_count += 1
        return Ok({key: self._rows[key] for key in keys if key in self._rows})

    def scan_now(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Scan without latency or faults."""
        self.read_count += 1
        keys = self._rows.keys()
        if after >= prefix:
            start = bisect_right(keys, after)
        else:
            start = self._rows.bisect_left(prefix)
        rows: list[Row] = []
        for key in self._rows.islice(start):
            if not key.startswith(prefix):
                break
            if len(rows) == limit:
                return Ok(ScanPage(tuple(rows), rows[-1].key))
            rows.append(self._rows[key])
        return Ok(ScanPage(tuple(rows)))

    def transact_now(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction without latency or faults."""
        self.write_count += 1
        problem = _size_problem(transaction)
        if problem:
            return Error(StoreError(StoreErrorKind.INVALID, problem))
        conflicts = tuple(self._conflicts(transaction))
        if conflicts:
            return Error(StoreError(StoreErrorKind.CONFLICT, "conflict", conflicts))
        versions = {write.key: self._apply(write) for write in transaction.writes}
        self.written_bytes += sum(
            len(write.key) + len(write.value or b"") for write in transaction.writes
        )
        if self.on_applied is not None:
            self.on_applied(transaction)
        return Ok(versions)

    def _conflicts(self, transaction: Transaction):
        for condition in transaction.conditions:
            row = self._rows.get(condition.key)
            actual = row.version if row else ABSENT
            if actual != condition.version:
                yield Conflict(condition.key, condition.version, actual)

    def _apply(self, write) -> int:
        old = self._rows.get(write.key)
        old_version = old.version if old else self._deleted_versions.get(write.key, 0)
        version = old_version + 1
        if write.value is None:
            self._rows.pop(write.key, None)
            self._deleted_versions[write.key] = version
            return ABSENT
        self._deleted_versions.pop(write.key, None)
        self._rows[write.key] = Row(write.key, write.value, version)
        return version


def _size_problem(transaction: Transaction) -> str:
    operations = len(transaction.conditions) + len(transaction.writes)
    if operations > TRANSACTION_OPERATIONS_MAX:
        return f"{operations} operations, at most {TRANSACTION_OPERATIONS_MAX}"
    size_bytes = sum(len(write.value or b"") for write in transaction.writes)
    if size_bytes > TRANSACTION_BYTES_MAX:
        return f"{size_bytes} bytes, at most {TRANSACTION_BYTES_MAX}"
    return ""
