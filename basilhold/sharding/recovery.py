"""Rebuilds a shard's tables from its rows."""

import asyncio
from collections.abc import AsyncIterator

from basilhold.core import ZoneName
from basilhold.ports import Row, TableService
from basilhold.sharding.ownership import ShardInfo
from basilhold.sharding.rows import (
    CommitRecord,
    ShardRecord,
    commit_key,
    decode,
    job_prefix,
    worker_prefix,
)
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.tables import ShardTables

__all__ = ["load_tables", "scan_rows"]


async def scan_rows(
    store: TableService, prefix: str, settings: ShardingSettings
) -> AsyncIterator[Row]:
    """Yield all rows of a prefix; a page that fails is asked for again."""
    after, retry_ms = "", settings.store_retry_ms
    while True:
        result = await store.scan(prefix, after)
        if result.is_error():
            await asyncio.sleep(retry_ms / 1000)
            retry_ms = min(2 * retry_ms, settings.store_retry_max_ms)
            continue
        for row in result.ok.rows:
            yield row
        after = result.ok.next_after
        if not after:
            return


async def _read_commit(
    store: TableService, zone: ZoneName, settings: ShardingSettings
) -> Row | None:
    while True:
        result = await store.read((commit_key(zone),))
        if result.is_ok():
            return result.ok.get(commit_key(zone))
        await asyncio.sleep(settings.store_retry_ms / 1000)


async def load_tables(
    store: TableService,
    shard: ShardInfo,
    record: ShardRecord,
    version: int,
    settings: ShardingSettings,
) -> ShardTables:
    """Return a shard's tables, read after its row was taken over.

    No other process can change the commit and worker rows from then on, so they need
    not be read at one point in time. Job rows are conditional in each transaction.
    """
    zone = shard.zone
    commit_row = await _read_commit(store, zone, settings)
    tables = ShardTables(zone, record, version)
    if commit_row is not None:
        tables.commit_version = commit_row.version
        tables.sequence = decode(commit_row.value, CommitRecord).sequence

    async def load_workers():
        async for row in scan_rows(store, worker_prefix(zone), settings):
            tables.load_worker(row)

    async def load_jobs():
        async for row in scan_rows(store, job_prefix(zone), settings):
            tables.load_job(row)

    await asyncio.gather(load_workers(), load_jobs())
    return tables
