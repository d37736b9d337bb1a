"""Counts and durations of store operations by purpose."""

import asyncio
from collections import Counter, deque
from enum import Enum

import msgspec
from expression import Result

from basilhold.ports import Row, ScanPage, StoreError, TableService, Transaction

__all__ = [
    "CountingTableService",
    "OperationCounter",
    "OperationDuration",
    "OperationEntry",
    "OperationKind",
]


DURATIONS_MAX = 10_000
"""Maximum number of durations kept between exports; the oldest are dropped."""


class OperationKind(Enum):
    """Kind of a store operation."""

    READ = "read"
    WRITE = "write"


class OperationEntry(msgspec.Struct, frozen=True):
    """Operation counts of one purpose and kind.

    Parameters
    ----------
    purpose : str
        Part of the program that issued the operations.
    kind : OperationKind
        Whether the operations read or write.
    count : int
        Number of operations, including the failed ones.
    failed_count : int
        Number of operations that failed, including conflicts.
    """

    purpose: str
    kind: OperationKind
    count: int
    failed_count: int


class OperationDuration(msgspec.Struct, frozen=True):
    """Kind and duration, in seconds, of one store operation."""

    kind: OperationKind
    duration_s: float


class OperationCounter:
    """Counter of the store operations of one process.

    Attributes
    ----------
    durations : deque of OperationDuration
        Durations of recent operations, oldest first. The exporter of the metrics
        removes the ones that it has read.
    """

    def __init__(self):
        self._counts: Counter[tuple[str, OperationKind]] = Counter()
        self._failed: Counter[tuple[str, OperationKind]] = Counter()
        self.durations: deque[OperationDuration] = deque(maxlen=DURATIONS_MAX)

    def add(self, purpose: str, kind: OperationKind, is_ok: bool) -> None:
        """Count one operation as succeeded or failed."""
        self._counts[purpose, kind] += 1
        if not is_ok:
            self._failed[purpose, kind] += 1

    def snapshot(self) -> tuple[OperationEntry, ...]:
        """Return the counts since the start, sorted by purpose and kind."""
        keys = sorted(self._counts, key=lambda key: (key[0], key[1].value))
        return tuple(
            OperationEntry(*key, self._counts[key], self._failed[key]) for key in keys
        )

    def total(self, kind: OperationKind | None = None) -> int:
        """Return the number of operations of one kind, or of all kinds."""
        return sum(
            count for key, count in self._counts.items() if kind in (None, key[1])
        )


class CountingTableService(TableService):
    """Table service that counts and times its operations under one purpose.

    Parameters
    ----------
    inner : TableService
        Service that runs the operations.
    counter : OperationCounter
        Receives the counts and durations.
    purpose : str
        Purpose under which the operations are counted.
    """

    def __init__(self, inner: TableService, counter: OperationCounter, purpose: str):
        self._inner = inner
        self._counter = counter
        self._purpose = purpose

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows by key."""
        started_s = _now_s()
        result = await self._inner.read(keys)
        return self._count(OperationKind.READ, result, started_s)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Read a page of the rows whose keys have a prefix."""
        started_s = _now_s()
        result = await self._inner.scan(prefix, after, limit)
        return self._count(OperationKind.READ, result, started_s)

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        started_s = _now_s()
        result = await self._inner.transact(transaction)
        return self._count(OperationKind.WRITE, result, started_s)

    def _count(self, kind: OperationKind, result: Result, started_s: float) -> Result:
        self._counter.add(self._purpose, kind, result.is_ok())
        duration = OperationDuration(kind, _now_s() - started_s)
        self._counter.durations.append(duration)
        return result


def _now_s() -> float:
    return asyncio.get_running_loop().time()
