"""Rules for the ownership of shards. Pure: the time is an argument."""

import msgspec
import xxhash

from basilhold.core import Epoch, ProcessId, RegionName, ZoneName
from basilhold.sharding.rows import ShardRecord
from basilhold.sharding.settings import ShardingSettings

__all__ = [
    "Observation",
    "ProcessInfo",
    "ShardInfo",
    "claim",
    "name_successor",
    "rank_owners",
    "renewed",
    "should_claim",
]


class ProcessInfo(msgspec.Struct, frozen=True):
    """A scheduler process that may own shards."""

    process_id: ProcessId
    zone: ZoneName
    region: RegionName
    host: str = ""
    port: int = 0


class ShardInfo(msgspec.Struct, frozen=True):
    """A shard is the set of workers of one availability zone."""

    zone: ZoneName
    region: RegionName


class Observation(msgspec.Struct, frozen=True):
    """What a standby knows about a shard.

    Parameters
    ----------
    record : ShardRecord or None
        The row as last read; ``None`` if it does not exist.
    unchanged_ms : float
        How long the row's version has been the same, by the standby's own clock.
    failed_probes : int
        Consecutive failed probes of the owner.
    rank : int
        Place of this process among the possible owners, without the current one.
    store_answers : bool
        Whether the last read of the row succeeded just now.
    mine : bool
        The row names this process, which does not run the shard: the reply to its
        claim was lost, or it has stepped down or restarted.
    """

    record: ShardRecord | None
    unchanged_ms: float
    failed_probes: int
    rank: int
    store_answers: bool
    mine: bool = False


def _tier(process: ProcessInfo, shard: ShardInfo) -> int:
    """Order another zone of the region first, then the same zone, then the rest."""
    if process.region != shard.region:
        return 2
    return 1 if process.zone == shard.zone else 0


def rank_owners(
    shard: ShardInfo, processes: tuple[ProcessInfo, ...]
) -> tuple[ProcessInfo, ...]:
    """Return the processes from the most to the least preferred owner of a shard.

    Within a tier the order is that of rendezvous hashing, so the shards spread
    evenly and one death moves only the shards of the process that died.
    """
    return tuple(
        sorted(
            processes,
            key=lambda process: (
                _tier(process, shard),
                xxhash.xxh64_intdigest(f"{shard.zone}|{process.process_id}".encode()),
                process.process_id,
            ),
        )
    )


def should_claim(
    seen: Observation, now_unix_ms: int, settings: ShardingSettings
) -> bool:
    """Return whether a standby takes the shard over now.

    These rules serve stability only; a takeover is safe at any time.
    """
    if not seen.store_answers:
        return False
    delay_ms = seen.rank * settings.rank_delay_ms
    if seen.record is None:
        return seen.unchanged_ms >= delay_ms
    if seen.mine:
        return True
    if now_unix_ms - seen.record.taken_unix_ms < settings.takeover_gap_ms:
        return False
    if seen.unchanged_ms >= settings.stale_shard_ms + delay_ms:
        return True
    return seen.rank == 0 and seen.failed_probes >= settings.probe_failures


def claim(
    shard: ShardInfo,
    previous: ShardRecord | None,
    me: ProcessInfo,
    now_unix_ms: int,
    claim_id: str,
    settings: ShardingSettings,
) -> ShardRecord:
    """Return the row that makes `me` the owner.

    The horizon never decreases, so one value covers the grants of all earlier
    owners.
    """
    horizon_ms = now_unix_ms + settings.horizon_ms
    if previous is not None:
        horizon_ms = max(horizon_ms, previous.horizon_unix_ms)
    return ShardRecord(
        zone=shard.zone,
        owner=me.process_id,
        epoch=Epoch((previous.epoch if previous else 0) + 1),
        horizon_unix_ms=horizon_ms,
        renewed_unix_ms=now_unix_ms,
        taken_unix_ms=now_unix_ms,
        claim_id=claim_id,
        host=me.host,
        port=me.port,
    )


def renewed(
    record: ShardRecord, now_unix_ms: int, settings: ShardingSettings
) -> ShardRecord:
    """Return the owner's row with a later horizon."""
    horizon_ms = max(record.horizon_unix_ms, now_unix_ms + settings.horizon_ms)
    return msgspec.structs.replace(
        record, renewed_unix_ms=now_unix_ms, horizon_unix_ms=horizon_ms
    )


def name_successor(record: ShardRecord, successor: ProcessId) -> ShardRecord:
    """Return the row of an owner that stops as planned."""
    return msgspec.structs.replace(record, successor=successor)
