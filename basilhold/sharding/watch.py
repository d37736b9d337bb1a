"""Watches the shards that other processes own."""

import asyncio

import msgspec

from basilhold.core import Clock, ProcessId, Resources, TeamName, ZoneName
from basilhold.ports import ABSENT, Row, TableService
from basilhold.sharding.ownership import (
    Observation,
    ProcessInfo,
    ShardInfo,
    rank_owners,
    should_claim,
)
from basilhold.sharding.peers import SchedulerPeers, ShardSummary
from basilhold.sharding.rows import ShardRecord, decode, shard_key
from basilhold.sharding.settings import ShardingSettings

__all__ = ["SeenShard", "ShardWatch"]


class SeenShard(msgspec.Struct):
    """A shard's row as last read, and the probes of its owner."""

    record: ShardRecord | None = None
    version: int = ABSENT
    since_ms: float = 0.0
    failed_probes: int = 0


class ShardWatch:
    """Reads the shard rows, probes owners and tells which shards to claim.

    Parameters
    ----------
    me : ProcessInfo
    store : TableService
    clock : Clock
    peers : SchedulerPeers
    settings : ShardingSettings
    """

    def __init__(
        self,
        me: ProcessInfo,
        store: TableService,
        clock: Clock,
        peers: SchedulerPeers,
        settings: ShardingSettings,
    ):
        self._me = me
        self._store = store
        self._clock = clock
        self._peers = peers
        self._settings = settings
        self._seen: dict[ZoneName, SeenShard] = {}
        self._summaries: dict[ZoneName, tuple[ProcessId, ShardSummary]] = {}
        self._read_due_ms = 0.0
        self._remote_due_ms = 0.0
        self._store_answers = False

    def seen(self, zone: ZoneName) -> SeenShard:
        """Return what is known of a shard whose row was read."""
        return self._seen[zone]

    def forget(self, zone: ZoneName) -> None:
        """Read a shard's row again, as this process does not own it any more."""
        self._seen.pop(zone, None)
        self._read_due_ms = 0.0

    async def update(self, shards: tuple[ShardInfo, ...]) -> None:
        """Read the rows if that is due, and probe their owners."""
        now_ms = self._clock.monotonic_ms()
        if shards and now_ms >= self._read_due_ms:
            self._read_due_ms = now_ms + self._settings.directory_interval_ms
            await self.read_rows(shards)
        await self._probe_owners(shards)

    async def read_rows(self, shards: tuple[ShardInfo, ...]) -> bool:
        """Read shard rows; return whether the store answered."""
        keys = tuple(shard_key(shard.zone) for shard in shards)
        result = await self._store.read(keys)
        self._store_answers = result.is_ok()
        if result.is_error():
            return False
        now_ms = self._clock.monotonic_ms()
        for shard in shards:
            row = result.ok.get(shard_key(shard.zone))
            self._note_row(shard.zone, row, now_ms)
        return True

    def _note_row(self, zone: ZoneName, row: Row | None, now_ms: float) -> None:
        version = row.version if row else ABSENT
        seen = self._seen.get(zone)
        if seen is not None and seen.version == version:
            return
        record = decode(row.value, ShardRecord) if row else None
        failed = 0
        if seen and seen.record and record and seen.record.epoch == record.epoch:
            failed = seen.failed_probes
        self._seen[zone] = SeenShard(record, version, now_ms, failed)

    def _rank(self, shard: ShardInfo) -> int:
        """Return this process's place among the possible owners."""
        seen = self._seen[shard.zone]
        current = seen.record.owner if seen.record else None
        candidates = tuple(
            process
            for process in (*self._peers.processes(), self._me)
            if process.process_id != current or process == self._me
        )
        ids = [process.process_id for process in rank_owners(shard, candidates)]
        return list(dict.fromkeys(ids)).index(self._me.process_id)

    async def _probe_owners(self, shards: tuple[ShardInfo, ...]) -> None:
        """Probe the owners of the shards for which this process is the standby."""
        owners: dict[ProcessId, list[SeenShard]] = {}
        for shard in shards:
            seen = self._seen.get(shard.zone)
            if seen is None or seen.record is None or self._rank(shard) > 0:
                continue
            if seen.record.owner != self._me.process_id:
                owners.setdefault(seen.record.owner, []).append(seen)
        await asyncio.gather(
            *(self._probe(process_id, seen) for process_id, seen in owners.items())
        )

    async def _probe(self, process_id: ProcessId, watched: list[SeenShard]) -> None:
        shards = await self._ask(process_id)
        owned = {(summary.zone, summary.epoch) for summary in shards}
        for seen in watched:
            owns = (seen.record.zone, seen.record.epoch) in owned
            seen.failed_probes = 0 if owns else seen.failed_probes + 1

    async def _ask(self, process_id: ProcessId) -> tuple[ShardSummary, ...]:
        answer = await self._peers.probe(process_id)
        shards = answer.shards if answer else ()
        for summary in shards:
            self._summaries[summary.zone] = (process_id, summary)
        return shards

    def is_due(self, shard: ShardInfo) -> bool:
        """Return whether this process claims a shard now."""
        seen = self._seen.get(shard.zone)
        if seen is None:
            return False
        observation = Observation(
            seen.record,
            self._clock.monotonic_ms() - seen.since_ms,
            seen.failed_probes,
            self._rank(shard),
            self._store_answers,
            seen.record is not None and seen.record.owner == self._me.process_id,
        )
        return should_claim(observation, self._clock.unix_ms(), self._settings)

    # What other owners publish.

    async def ask_owners(self, mine: tuple[ShardSummary, ...]) -> None:
        """Learn the free capacity and the teams' usage in all shards."""
        own_zones = {summary.zone for summary in mine}
        others = {
            seen.record.owner
            for zone, seen in self._seen.items()
            if seen.record is not None and zone not in own_zones
        }
        asked = sorted((others - {self._me.process_id}) - self._not_due())
        await asyncio.gather(*(self._ask(process_id) for process_id in asked))
        for summary in mine:
            self._summaries[summary.zone] = (self._me.process_id, summary)

    def _not_due(self) -> set[ProcessId]:
        """Return the processes of other regions until it is time to ask them."""
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._remote_due_ms:
            self._remote_due_ms = now_ms + self._settings.remote_peers_interval_ms
            return set()
        return {
            process.process_id
            for process in self._peers.processes()
            if process.region != self._me.region
        }

    def owner_of(self, zone: ZoneName) -> ProcessId | None:
        """Return the process that last published a shard's summary."""
        entry = self._summaries.get(zone)
        return entry[0] if entry else None

    def summaries_elsewhere(self, zone: ZoneName) -> dict[ZoneName, ShardSummary]:
        """Return what the owners of the other shards published last."""
        return {
            other: summary
            for other, (_, summary) in self._summaries.items()
            if other != zone
        }

    def usage_elsewhere(self, zone: ZoneName) -> dict[TeamName, Resources]:
        """Return what each team uses in the other shards."""
        used: dict[TeamName, Resources] = {}
        for other, (_, summary) in self._summaries.items():
            if other != zone:
                for usage in summary.team_usage:
                    used[usage.team] = used.get(usage.team, Resources()) + usage.used
        return used
