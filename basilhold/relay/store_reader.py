"""Reads the platform for the region that holds the store."""

import asyncio
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from basilhold.config import decode_head, decode_stored, head_key, history_key
from basilhold.core import Clock, OfficeName, RegionName
from basilhold.membership import VmListFilter, decode_reader, reader_key
from basilhold.ports import Row, StoreError, StoreErrorKind, TableService, VmList
from basilhold.relay.documents import DocumentCopy
from basilhold.relay.state import RelayState, ShardLocation

__all__ = ["ReaderSettings", "StoreReader"]

SHARD_PREFIX = "shard/"


class ReaderSettings(msgspec.Struct, frozen=True):
    """What a reader reads and how often.

    Parameters
    ----------
    offices : tuple of OfficeName
        Offices of the cell.
    regions : tuple of RegionName
        Regions of the cell.
    config_interval_ms, vms_interval_ms, shards_interval_ms : int
        Intervals of reads, in milliseconds.
    """

    offices: tuple[OfficeName, ...]
    regions: tuple[RegionName, ...]
    config_interval_ms: int = 1000
    vms_interval_ms: int = 1000
    shards_interval_ms: int = 2000


class StoreReader:
    """Polls the configuration, the shard directory and the VM list into a state.

    Parameters
    ----------
    settings : ReaderSettings
    table : TableService
    vm_list : VmList
    decode_shard : callable
        Returns the location that a ``shard/`` row holds, or None.
    state : RelayState
    clock : Clock
    on_change : callable
        Called after each read that changed or confirmed something.
    """

    def __init__(
        self,
        settings: ReaderSettings,
        table: TableService,
        vm_list: VmList,
        decode_shard: Callable[[Row], ShardLocation | None],
        state: RelayState,
        clock: Clock,
        on_change: Callable[[], None],
    ):
        self._settings = settings
        self._table = table
        self._vm_list = vm_list
        self._decode_shard = decode_shard
        self._state = state
        self._clock = clock
        self._on_change = on_change
        self._guard = VmListFilter()
        self.unreadable_count = 0

    async def run(self, is_wanted: Callable[[], bool]) -> None:
        """Poll until the reader is no longer wanted."""
        settings = self._settings
        async with asyncio.TaskGroup() as group:
            for read, interval_ms in (
                (self.read_config, settings.config_interval_ms),
                (self.read_vms, settings.vms_interval_ms),
                (self.read_shards, settings.shards_interval_ms),
            ):
                group.create_task(self._repeat(read, interval_ms, is_wanted))

    async def _repeat(self, read, interval_ms: int, is_wanted) -> None:
        while is_wanted():
            started_ms = self._clock.monotonic_ms()
            if (await read()).is_ok():
                self._on_change()
            taken_ms = self._clock.monotonic_ms() - started_ms
            # A store that answers slower than the interval gets a pause as well.
            pause_ms = max(interval_ms - taken_ms, interval_ms / 4)
            await asyncio.sleep(pause_ms / 1000)

    async def read_config(self) -> Result[None, StoreError]:
        """Read the heads of the documents, and the documents that are newer."""
        started_ms = self._clock.monotonic_ms()
        offices, regions = self._settings.offices, self._settings.regions
        keys = (*map(head_key, offices), *map(reader_key, regions))
        rows = await self._table.read(keys)
        if rows.is_error():
            return Error(rows.error)
        for region in regions:
            reader = decode_reader(rows.ok.get(reader_key(region)))
            if reader is not None:
                self._state.put_reader(reader)
        newer = self._newer_versions(rows.ok)
        if newer.is_error():
            return newer
        if newer.ok:
            fetched = await self._fetch(newer.ok)
            if fetched.is_error():
                return fetched
        self._state.confirm(started_ms)
        return Ok(None)

    async def read_vms(self) -> Result[None, StoreError]:
        """Read the VM list."""
        started_ms = self._clock.monotonic_ms()
        snapshot = await self._vm_list.read()
        if snapshot.is_error():
            return Error(snapshot.error)
        checked = self._guard.apply(snapshot.ok, self._state.vms.records, started_ms)
        self._state.vms.replace(checked.version, checked.records)
        self._state.confirm_vms(started_ms)
        return Ok(None)

    async def read_shards(self) -> Result[None, StoreError]:
        """Read the shard directory."""
        after = ""
        while True:
            page = await self._table.scan(SHARD_PREFIX, after)
            if page.is_error():
                return Error(page.error)
            for row in page.ok.rows:
                shard = self._decode_shard(row)
                if shard is not None:
                    self._state.put_shard(shard)
            after = page.ok.next_after
            if not after:
                return Ok(None)

    def _newer_versions(
        self, rows: dict[str, Row]
    ) -> Result[dict[OfficeName, int], StoreError]:
        newer: dict[OfficeName, int] = {}
        for office in self._settings.offices:
            row = rows.get(head_key(office))
            if row is None:
                continue
            head = decode_head(row)
            if head.is_error():
                return self._unreadable(head.error.reason)
            if head.ok.version > self._state.version(office):
                newer[office] = head.ok.version
        return Ok(newer)

    async def _fetch(self, versions: dict[OfficeName, int]) -> Result[None, StoreError]:
        keys = {
            office: history_key(office, version) for office, version in versions.items()
        }
        rows = await self._table.read(tuple(keys.values()))
        if rows.is_error():
            return Error(rows.error)
        for office, key in keys.items():
            if key not in rows.ok:
                # A hundred newer versions were written between the two reads.
                return self._unreadable(f"{key} is missing")
            decoded = decode_stored(rows.ok[key])
            if decoded.is_error():
                return self._unreadable(decoded.error.reason)
            copy = DocumentCopy(office, versions[office], decoded.ok[1])
            self._state.put_document(copy)
        return Ok(None)

    def _unreadable(self, reason: str) -> Result:
        self.unreadable_count += 1
        return Error(StoreError(StoreErrorKind.INVALID, reason))
