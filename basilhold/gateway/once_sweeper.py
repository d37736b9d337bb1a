"""Periodic removal of expired at-most-once records."""

import asyncio
import random
from typing import Self

from basilhold.core import (
    Clock,
    RequestKey,
    decode_json,
)
from basilhold.gateway.once import OnceRegistry
from basilhold.ports import ObjectStore, Row, TableService
from basilhold.requests import OnceRecord
from basilhold.requests.once import (
    BUCKET_COUNT,
    bucket_prefix,
    chunk_name,
    is_expired,
)

__all__ = ["OnceSweeper"]

SWEEP_INTERVAL_MS = 60_000
"""Mean time between sweeps, in milliseconds.

Six gateways that each sweep one of 256 buckets a minute visit each bucket about once
in 45 minutes.
"""

PAGE_ROWS = 100
"""Rows per scan. A row has up to 44 KB, so a page of 100 rows stays below 5 MB."""


class OnceSweeper:
    """Removes the expired records of one randomly chosen bucket at a time.

    It must only run on gateways in the store's region: it reads whole records, and
    traffic between regions is charged. Use as an asynchronous context manager.

    Parameters
    ----------
    registry : OnceRegistry
    table : TableService
    objects : ObjectStore
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        registry: OnceRegistry,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ):
        self._registry = registry
        self._table = table
        self._objects = objects
        self._clock = clock
        self._rng = rng
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS * self._rng.uniform(0.5, 1.5) / 1000)
            await self.sweep(self._rng.randrange(BUCKET_COUNT))

    async def sweep(self, bucket: int) -> int:
        """Remove the expired records of a bucket and estimate the number of records.

        Returns
        -------
        int
            Number of records that were removed. The registry's estimate is updated
            only if all scans succeed.
        """
        removed_count, unexpired_count, after = 0, 0, ""
        while True:
            page = await self._table.scan(bucket_prefix(bucket), after, PAGE_ROWS)
            if page.is_error():
                return removed_count
            expired = []
            for row in page.ok.rows:
                record = decode_json(row.value, OnceRecord)
                if is_expired(record, self._clock.unix_ms()):
                    expired.append((row, record))
            unexpired_count += len(page.ok.rows) - len(expired)
            removed_count += sum(
                await asyncio.gather(*(self._remove_expired(*item) for item in expired))
            )
            after = page.ok.next_after
            if not after:
                break
        self._registry.record_count_estimate = unexpired_count * BUCKET_COUNT
        return removed_count

    async def _remove_expired(self, row: Row, record: OnceRecord) -> bool:
        key = RequestKey(row.key.rpartition("/")[2])
        answer = record.answer
        for index in range(answer.chunk_count if answer is not None else 0):
            deleted = await self._objects.delete(
                chunk_name(key, record.write_id, index)
            )
            if deleted.is_error():
                # The record is needed to find the remaining objects in the next sweep.
                return False
        return await self._registry.remove_expired(row)
