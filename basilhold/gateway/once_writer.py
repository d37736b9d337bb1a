"""Batched writes of at-most-once records."""

import asyncio
from enum import Enum
from typing import Self

import msgspec
from expression import Error, Ok, Result

from basilhold.gateway.counters import Count, RequestCounters
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

__all__ = ["OnceWriter", "WriteError", "WriteErrorKind"]

BATCH_WINDOW_MS = 5
"""Time to collect operations for a batch, in milliseconds.

It is short compared with the latency of the store; a longer one would delay a request
that has a batch of its own.
"""

BATCH_OPERATIONS_MAX = 250
"""Each operation has a condition and a write, and a transaction is limited to 512 of
both together."""

BATCH_BYTES_MAX = 900 << 10
PENDING_OPERATIONS_MAX = 2000
PENDING_BYTES_MAX = 4 << 20
ATTEMPTS_MAX = 3
"""How often a transaction is sent while its outcome is unknown."""


class WriteErrorKind(Enum):
    """Why a record was not written.

    ``CONFLICT`` means that the row has another version than expected.
    ``CONFLICT_UNREAD`` means the same, but the row can't be read, so that it may also
    have been written by an earlier copy of the transaction. ``UNKNOWN`` means that
    the write may have been applied.
    """

    CONFLICT = "conflict"
    CONFLICT_UNREAD = "conflict-unread"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


class WriteError(msgspec.Struct, frozen=True):
    """Failure of a write that was not applied, or whose outcome is unknown.

    Parameters
    ----------
    kind : WriteErrorKind
    row : Row, optional
        The conflicting row; absent if it was deleted or can't be read.
    """

    kind: WriteErrorKind
    row: Row | None = None


class _Operation:
    """A pending write or deletion of one row, and the future of its result."""

    __slots__ = ("future", "key", "value", "version")

    def __init__(self, key: str, version: int, value: bytes | None):
        self.key = key
        self.version = version
        self.value = value
        self.future: asyncio.Future[Result[int, WriteError]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, result: Result[int, WriteError]) -> None:
        if not self.future.done():
            self.future.set_result(result)

    def size(self) -> int:
        return len(self.value or b"")


class OnceWriter:
    """Collects operations for `BATCH_WINDOW_MS` and writes them in one transaction.

    At most one transaction is in flight, so batches grow while the store is slow. Use
    as an asynchronous context manager.

    Parameters
    ----------
    table : TableService
    counters : RequestCounters
    """

    def __init__(self, table: TableService, counters: RequestCounters):
        self._table = table
        self._counters = counters
        self._pending: list[_Operation] = []
        self._pending_bytes = 0
        self._has_pending = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for operation in self._pending:
            operation.resolve(Error(WriteError(WriteErrorKind.NOT_APPLIED)))

    async def write(
        self, key: str, version: int, value: bytes | None
    ) -> Result[int, WriteError]:
        """Write or delete a row if it has the given version.

        Parameters
        ----------
        key : str
        version : int
            Expected version; `ABSENT` to create the row.
        value : bytes, optional
            ``None`` to delete the row.

        Returns
        -------
        Result
            The new version, or a `WriteError`; ``NOT_APPLIED`` if too many operations
            are pending. A cancelled call may still take effect.
        """
        operation = _Operation(key, version, value)
        full = (
            len(self._pending) >= PENDING_OPERATIONS_MAX
            or self._pending_bytes + operation.size() > PENDING_BYTES_MAX
        )
        if full:
            return Error(WriteError(WriteErrorKind.NOT_APPLIED))
        self._pending.append(operation)
        self._pending_bytes += operation.size()
        self._counters.counts[Count.RECORD_OPERATIONS] += 1
        self._has_pending.set()
        return await operation.future

    async def _run(self) -> None:
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(BATCH_WINDOW_MS / 1000)
            batch = self._take_batch()
            try:
                await self._write_batch(batch)
            finally:
                for operation in batch:
                    operation.resolve(Error(WriteError(WriteErrorKind.UNKNOWN)))

    def _take_batch(self) -> list[_Operation]:
        batch: list[_Operation] = []
        remaining: list[_Operation] = []
        keys: set[str] = set()
        size = 0
        for operation in self._pending:
            fits = (
                len(batch) < BATCH_OPERATIONS_MAX
                and size + operation.size() <= BATCH_BYTES_MAX
                and operation.key not in keys
            )
            if fits:
                batch.append(operation)
                keys.add(operation.key)
                size += operation.size()
            else:
                remaining.append(operation)
        self._pending = remaining
        self._pending_bytes -= size
        if not remaining:
            self._has_pending.clear()
        return batch

    async def _write_batch(self, batch: list[_Operation]) -> None:
        is_outcome_unknown = False
        attempts = 0
        while batch and attempts < ATTEMPTS_MAX:
            result = await self._transact(batch)
            if result.is_ok():
                for operation in batch:
                    operation.resolve(Ok(result.ok[operation.key]))
                return
            error: StoreError = result.error
            if error.kind is StoreErrorKind.CONFLICT:
                batch = await self._resolve_conflicts(batch, error)
            elif error.kind is StoreErrorKind.UNKNOWN:
                # Resending the transaction is safe: both copies are conditional on the
                # same versions, so at most one of them is applied.
                is_outcome_unknown = True
                attempts += 1
            else:
                attempts = ATTEMPTS_MAX
        kind = (
            WriteErrorKind.UNKNOWN if is_outcome_unknown else WriteErrorKind.NOT_APPLIED
        )
        for operation in batch:
            operation.resolve(Error(WriteError(kind)))

    async def _transact(
        self, batch: list[_Operation]
    ) -> Result[dict[str, int], StoreError]:
        self._counters.counts[Count.RECORD_TRANSACTIONS] += 1
        return await self._table.transact(
            Transaction(
                tuple(Condition(o.key, o.version) for o in batch),
                tuple(Write(o.key, o.value) for o in batch),
            )
        )

    async def _resolve_conflicts(
        self, batch: list[_Operation], error: StoreError
    ) -> list[_Operation]:
        conflicting = {conflict.key for conflict in error.conflicts}
        conflicted = [o for o in batch if o.key in conflicting]
        read = await self._table.read(tuple(o.key for o in conflicted))
        for operation in conflicted:
            if read.is_error():
                operation.resolve(Error(WriteError(WriteErrorKind.CONFLICT_UNREAD)))
                continue
            row = read.ok.get(operation.key)
            if row is not None and row.value == operation.value:
                operation.resolve(Ok(row.version))
            elif row is None and operation.value is None:
                operation.resolve(Ok(ABSENT))
            else:
                operation.resolve(Error(WriteError(WriteErrorKind.CONFLICT, row)))
        return [o for o in batch if o.key not in conflicting]
