"""In-memory table service with one version counter and a feed of changes."""

import asyncio

from expression import Error, Ok, Result

from basilhold.ports import (
    ABSENT,
    ChangeFeed,
    Changes,
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    Transaction,
    Write,
)
from basilhold.standins.faults import StoreFaults
from basilhold.standins.table import MemoryTable

__all__ = ["FeedTable"]


WAIT_STEP_S = 0.02
"""Interval at which a waiting call looks for changes."""

ROW_BYTES_MAX = 49_152
"""Largest value of a row: 65,536 bytes as base64."""


class FeedTable(MemoryTable, ChangeFeed):
    """Table service whose versions come from one counter.

    Parameters
    ----------
    faults : StoreFaults, optional
    """

    def __init__(self, faults: StoreFaults | None = None):
        super().__init__(faults)
        self._version = 0
        self._history: list[tuple[int, Write]] = []
        self._history_from = 0

    def compact(self) -> None:
        """Discard the history of changes."""
        self._history.clear()
        self._history_from = self._version

    def transact_now(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction, unless a row is too large."""
        for write in transaction.writes:
            if len(write.value or b"") > ROW_BYTES_MAX:
                reason = f"{write.key} has {len(write.value)} bytes"
                return Error(StoreError(StoreErrorKind.INVALID, reason))
        return super().transact_now(transaction)

    def scan_now(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Scan without latency or faults."""
        page = super().scan_now(prefix, after, limit).ok
        return Ok(ScanPage(page.rows, page.next_after, self._version))

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after a version; wait for one if there is none."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        while True:
            result = await self._run(lambda: self.changes_now(prefix, after))
            if result.is_error() or not result.ok.complete or result.ok.rows:
                return result
            if loop.time() >= end_s:
                return result
            await asyncio.sleep(WAIT_STEP_S)

    def changes_now(self, prefix: str, after: int) -> Result[Changes, StoreError]:
        """Return changes without latency or faults."""
        self.read_count += 1
        if after < self._history_from:
            return Ok(Changes(complete=False))
        rows: dict[str, Row | None] = {}
        for version, write in self._history:
            if version > after and write.key.startswith(prefix):
                rows.pop(write.key, None)
                value = write.value
                rows[write.key] = (
                    None if value is None else Row(write.key, value, version)
                )
        found = tuple(row for row in rows.values() if row is not None)
        deleted = tuple(key for key, row in rows.items() if row is None)
        return Ok(Changes(found, deleted, self._version))

    def _apply(self, write: Write) -> int:
        self._version += 1
        self._history.append((self._version, write))
        if write.value is None:
            self._rows.pop(write.key, None)
            return ABSENT
        self._rows[write.key] = Row(write.key, write.value, self._version)
        return self._version
