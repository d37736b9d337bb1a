"""Writes at-most-once records in batches."""

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
"""Short beside the store's latency; longer windows would delay a lone request."""

BATCH_OPERATIONS_MAX = 250
"""Each operation has a condition and a write; a transaction holds 512 in all."""

BATCH_BYTES_MAX = 900 << 10
PENDING_OPERATIONS_MAX = 2000
PENDING_BYTES_MAX = 4 << 20
ATTEMPTS_MAX = 3


class WriteErrorKind(Enum):
    """Why a record was not written.

    ``CONFLICT_UNREAD`` means that another row is in the way, or the own row of an
    earlier copy of the transaction, and that it can't be read.
    """

    CONFLICT = "conflict"
    CONFLICT_UNREAD = "conflict-unread"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


class WriteError(msgspec.Struct, frozen=True):
    """A record that was not written, or may not have been.

    Parameters
    ----------
    kind : WriteErrorKind
    row : Row, optional
        The row that is in the way; absent if it was deleted or can't be read.
    """

    kind: WriteErrorKind
    row: Row | None = None


class _Operation:
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

    At most one transaction is in flight, so batches grow while the store is slow.

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
        self._wake = asyncio.Event()
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
        """Write or delete a row that has a given version.

        Parameters
        ----------
        key : str
        version : int
            `ABSENT` to create the row.
        value : bytes, optional
            ``None`` to delete the row.

        Returns
        -------
        Result
            The new version. A cancelled call may still take effect.
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
        self._wake.set()
        return await operation.future

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_WINDOW_MS / 1000)
            batch = self._take_batch()
            try:
                await self._write_batch(batch)
            finally:
                for operation in batch:
                    operation.resolve(Error(WriteError(WriteErrorKind.UNKNOWN)))

    def _take_batch(self) -> list[_Operation]:
        batch: list[_Operation] = []
        kept: list[_Operation] = []
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
                kept.append(operation)
        self._pending = kept
        self._pending_bytes -= size
        if not kept:
            self._wake.clear()
        return batch

    async def _write_batch(self, batch: list[_Operation]) -> None:
        reply_was_lost = False
        attempts = 0
        while batch and attempts < ATTEMPTS_MAX:
            result = await self._transact(batch)
            if result.is_ok():
                for operation in batch:
                    operation.resolve(Ok(result.ok[operation.key]))
                return
            error: StoreError = result.error
            if error.kind is StoreErrorKind.CONFLICT:
                batch = await self._settle_conflicts(batch, error)
            elif error.kind is StoreErrorKind.UNKNOWN:
                # Sending the same transaction again is safe: both copies are
                # conditional on the same versions, so at most one is applied.
                reply_was_lost = True
                attempts += 1
            else:
                attempts = ATTEMPTS_MAX
        kind = WriteErrorKind.UNKNOWN if reply_was_lost else WriteErrorKind.NOT_APPLIED
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

    async def _settle_conflicts(
        self, batch: list[_Operation], error: StoreError
    ) -> list[_Operation]:
        conflicting = {conflict.key for conflict in error.conflicts}
        settled = [o for o in batch if o.key in conflicting]
        read = await self._table.read(tuple(o.key for o in settled))
        for operation in settled:
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
