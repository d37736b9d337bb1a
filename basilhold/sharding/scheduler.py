"""A scheduler process: watches all shards and owns some of them."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from expression import Result

from basilhold.core import (
    Clock,
    InvariantError,
    JobId,
    ProcessId,
    Resources,
    TeamName,
    WorkerId,
    ZoneName,
)
from basilhold.observability import log_event
from basilhold.placement import Explanation, Planner
from basilhold.ports import (
    ABSENT,
    Condition,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
    WorkerAgent,
    Write,
)
from basilhold.sharding.balance import pick_moves
from basilhold.sharding.changes import MoveJob
from basilhold.sharding.events import SHARD_HANDED_OVER, SHARD_LOST, SHARD_TAKEN
from basilhold.sharding.health import ConsecutiveFailures, WorkerHealth
from basilhold.sharding.owner import OwnerServices, ShardOwner
from basilhold.sharding.ownership import (
    Observation,
    ProcessInfo,
    ShardInfo,
    claim,
    rank_owners,
    should_claim,
)
from basilhold.sharding.peers import (
    CellView,
    HandOverState,
    SchedulerPeers,
    ShardSummary,
    WorkerGrant,
)
from basilhold.sharding.rows import ShardRecord, decode, encode, shard_key
from basilhold.sharding.settings import ShardingSettings

__all__ = ["ShardScheduler"]

_STOP_TIMEOUT_S = 10
"""Longest wait for the last commit of a planned stop."""


class _Seen(msgspec.Struct):
    """A shard's row as last read, and the probes of its owner."""

    record: ShardRecord | None = None
    version: int = ABSENT
    since_ms: float = 0.0
    failed_probes: int = 0


class ShardScheduler:
    """Owns the shards that fall to this process and takes over those of dead ones.

    An asynchronous context manager; leaving it hands the shards over.

    Parameters
    ----------
    me : ProcessInfo
    store : TableService
    agents : WorkerAgent
    clock : Clock
    peers : SchedulerPeers
    cell : CellView
    make_planner : callable
        Returns the planner of a shard.
    settings : ShardingSettings, optional
    make_health : callable, optional
        Returns the judge of a shard's workers.
    seed : int
        Seed of the random ids and the jitter; programs pass a random one, as two
        processes with the same seed would draw the same transaction ids.
    """

    def __init__(
        self,
        me: ProcessInfo,
        store: TableService,
        agents: WorkerAgent,
        clock: Clock,
        peers: SchedulerPeers,
        cell: CellView,
        make_planner: Callable[[ShardInfo], Planner],
        settings: ShardingSettings | None = None,
        make_health: Callable[[], WorkerHealth] = ConsecutiveFailures,
        seed: int = 0,
    ):
        self.me = me
        self._store = store
        self._clock = clock
        self._peers = peers
        self._cell = cell
        self._settings = settings or ShardingSettings()
        self._services = OwnerServices(
            store, agents, clock, cell, self._settings, make_planner, make_health
        )
        self._rng = random.Random(f"{me.process_id}:{seed}")
        self._owners: dict[ZoneName, ShardOwner] = {}
        self._owner_tasks: dict[ZoneName, asyncio.Task] = {}
        self._seen: dict[ZoneName, _Seen] = {}
        self._summaries: dict[ZoneName, tuple[ProcessId, ShardSummary]] = {}
        self._notices: set[asyncio.Task] = set()
        self._read_due_ms = 0.0
        self._peers_due_ms = 0.0
        self._store_answers = False
        self._stopping = False
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._loop_task: asyncio.Task | None = None

    async def __aenter__(self) -> "ShardScheduler":
        self._loop_task = asyncio.create_task(self._run())
        self._loop_task.add_done_callback(self._note_end)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        if exc_type is None:
            await self.stop()
        else:
            await self.abort()

    async def wait_failed(self) -> None:
        """Wait until an invariant is broken.

        Raises
        ------
        InvariantError
        """
        await asyncio.shield(self._failure)

    @property
    def failure(self) -> BaseException | None:
        """The error that ended a part of the scheduler, if any."""
        return self._failure.exception() if self._failure.done() else None

    # Queries and messages of other processes.

    def owner(self, zone: ZoneName) -> ShardOwner | None:
        """Return the shard of a zone if this process owns it."""
        return self._owners.get(zone)

    def owned_zones(self) -> tuple[ZoneName, ...]:
        """Return the zones whose shards this process owns."""
        return tuple(sorted(self._owners))

    def summaries(self) -> tuple[ShardSummary, ...]:
        """Return the content of an answer to `Probe`."""
        return tuple(self._owners[zone].summary() for zone in self.owned_zones())

    def notify_jobs(self, job_ids: tuple[JobId, ...]) -> None:
        """Take a gateway's hint; each shard reads the rows that it has."""
        for owner in self._owners.values():
            if owner.jobs is not None:
                owner.jobs.notify(job_ids)

    def explain(self, job_id: JobId) -> Explanation | None:
        """Return why a job waits, if it belongs to a shard of this process."""
        for owner in self._owners.values():
            if owner.tables is not None and job_id in owner.tables.jobs:
                return owner.explain(job_id)
        return None

    def attest_lost(
        self, zone: ZoneName, worker_ids: tuple[WorkerId, ...]
    ) -> tuple[WorkerId, ...]:
        """Place the tasks of destroyed workers again; return the known workers."""
        owner = self._owners.get(zone)
        return owner.attest_lost(worker_ids) if owner else ()

    async def receive_hand_over(self, state: HandOverState) -> bool:
        """Take a shard over from an owner that stops."""
        shard = self._shard(state.zone)
        if shard is None or self._stopping or state.zone in self._owners:
            return False
        if not await self._read_rows((shard,)):
            return False
        seen = self._seen[state.zone]
        record = seen.record
        if (
            record is None
            or record.epoch != state.epoch
            or record.owner != state.from_process_id
            or record.successor != self.me.process_id
        ):
            return False
        return await self._claim(shard, seen, state.grants)

    # Life cycle.

    async def stop(self) -> None:
        """Hand all shards over and end."""
        self._stopping = True
        await self._end_task(self._loop_task)
        await asyncio.gather(*(self._hand_over(zone) for zone in self.owned_zones()))
        await self.abort()

    async def abort(self) -> None:
        """End at once, as a killed process does."""
        self._stopping = True
        tasks = [*self._owner_tasks.values(), self._loop_task]
        for task in tasks:
            await self._end_task(task)
        self._owners.clear()

    async def _end_task(self, task: asyncio.Task | None) -> None:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _hand_over(self, zone: ZoneName) -> None:
        owner = self._owners[zone]
        task = self._owner_tasks[zone]
        successor = self._successor(owner.shard)
        owner.stop(successor.process_id if successor else None)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await asyncio.shield(task)
        except TimeoutError:
            await self._end_task(task)
            return
        if successor is None or owner.tables is None:
            return
        state = owner.hand_over_state(self.me.process_id)
        if await self._peers.hand_over(successor.process_id, state):
            log_event(SHARD_HANDED_OVER, zone=zone, successor=successor.process_id)

    def _successor(self, shard: ShardInfo) -> ProcessInfo | None:
        others = tuple(
            process
            for process in self._peers.processes()
            if process.process_id != self.me.process_id
        )
        return next(iter(rank_owners(shard, others)), None)

    def _note_end(self, task: asyncio.Task) -> None:
        """Pass a broken invariant on to `wait_failed`."""
        if task.cancelled() or task.exception() is None or self._failure.done():
            return
        self._failure.set_exception(_first_error(task.exception()))
        self._failure.exception()

    # Watching.

    async def _run(self) -> None:
        interval_ms = self._settings.probe_interval_ms
        while True:
            next_ms = self._clock.monotonic_ms() + interval_ms
            await self._watch()
            wait_ms = next_ms - self._clock.monotonic_ms()
            await asyncio.sleep(max(wait_ms, 1) / 1000)

    async def _watch(self) -> None:
        now_ms = self._clock.monotonic_ms()
        shards = tuple(s for s in self._cell.shards() if s.zone not in self._owners)
        if shards and now_ms >= self._read_due_ms:
            self._read_due_ms = now_ms + self._settings.directory_interval_ms
            await self._read_rows(shards)
        await self._probe_owners(shards)
        await asyncio.gather(*(self._consider(shard) for shard in shards))
        if self._owners and now_ms >= self._peers_due_ms:
            self._peers_due_ms = now_ms + self._settings.directory_interval_ms
            await self._ask_owners()
            self._move_jobs()

    async def _read_rows(self, shards: tuple[ShardInfo, ...]) -> bool:
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
        self._seen[zone] = _Seen(record, version, now_ms, failed)

    def _rank(self, shard: ShardInfo) -> int:
        """Return this process's place among the possible owners."""
        seen = self._seen[shard.zone]
        current = seen.record.owner if seen.record else None
        candidates = tuple(
            process
            for process in (*self._peers.processes(), self.me)
            if process.process_id != current or process == self.me
        )
        ids = [process.process_id for process in rank_owners(shard, candidates)]
        return list(dict.fromkeys(ids)).index(self.me.process_id)

    async def _probe_owners(self, shards: tuple[ShardInfo, ...]) -> None:
        """Probe the owners of the shards for which this process is the standby."""
        owners: dict[ProcessId, list[_Seen]] = {}
        for shard in shards:
            seen = self._seen.get(shard.zone)
            if seen is None or seen.record is None or self._rank(shard) > 0:
                continue
            if seen.record.owner != self.me.process_id:
                owners.setdefault(seen.record.owner, []).append(seen)
        await asyncio.gather(
            *(self._probe(process_id, seen) for process_id, seen in owners.items())
        )

    async def _probe(self, process_id: ProcessId, watched: list[_Seen]) -> None:
        answer = await self._peers.probe(process_id)
        for seen in watched:
            owns = answer is not None and any(
                summary.zone == seen.record.zone and summary.epoch == seen.record.epoch
                for summary in answer.shards
            )
            seen.failed_probes = 0 if owns else seen.failed_probes + 1
        for summary in answer.shards if answer else ():
            self._summaries[summary.zone] = (process_id, summary)

    async def _consider(self, shard: ShardInfo) -> None:
        """Claim a shard if its owner is dead; the row is read again first."""
        if not self._is_due(shard) or not await self._read_rows((shard,)):
            return
        if self._is_due(shard):
            await self._claim(shard, self._seen[shard.zone], ())

    def _is_due(self, shard: ShardInfo) -> bool:
        seen = self._seen.get(shard.zone)
        if seen is None or self._stopping:
            return False
        observation = Observation(
            seen.record,
            self._clock.monotonic_ms() - seen.since_ms,
            seen.failed_probes,
            self._rank(shard),
            self._store_answers,
            seen.record is not None and seen.record.owner == self.me.process_id,
        )
        return should_claim(observation, self._clock.unix_ms(), self._settings)

    # Taking over.

    async def _claim(
        self, shard: ShardInfo, seen: _Seen, grants: tuple[WorkerGrant, ...]
    ) -> bool:
        claim_id = f"{self._rng.getrandbits(96):024x}"
        record = claim(
            shard,
            seen.record,
            self.me,
            self._clock.unix_ms(),
            claim_id,
            self._settings,
        )
        key = shard_key(shard.zone)
        transaction = Transaction(
            (Condition(key, seen.version),), (Write(key, encode(record)),)
        )
        result = await self._store.transact(transaction)
        version = await self._claimed_version(result, key, claim_id)
        if version is None or shard.zone in self._owners:
            return False
        previous = seen.record.owner if seen.record else "nobody"
        log_event(SHARD_TAKEN, zone=shard.zone, epoch=record.epoch, previous=previous)
        owner = ShardOwner(
            shard,
            record,
            version,
            self._services,
            random.Random(self._rng.getrandbits(64)),
            seen.record,
            grants,
        )
        self._owners[shard.zone] = owner
        task = asyncio.create_task(self._own(owner))
        task.add_done_callback(self._note_end)
        self._owner_tasks[shard.zone] = task
        return True

    async def _claimed_version(
        self, result: Result[dict[str, int], StoreError], key: str, claim_id: str
    ) -> int | None:
        """Return the row's version if the claim was applied.

        A claim whose reply was lost and whose row cannot be read is given up: if it
        was applied, the row is not renewed and is claimed again later.
        """
        if result.is_ok():
            return result.ok[key]
        if result.error.kind is not StoreErrorKind.UNKNOWN:
            self._read_due_ms = 0.0
            return None
        read = await self._store.read((key,))
        row = read.ok.get(key) if read.is_ok() else None
        if row is None or decode(row.value, ShardRecord).claim_id != claim_id:
            return None
        return row.version

    async def _own(self, owner: ShardOwner) -> None:
        zone = owner.shard.zone
        try:
            reason = await owner.run()
        finally:
            if self._owners.get(zone) is owner and not self._stopping:
                del self._owners[zone]
                self._seen.pop(zone, None)
                self._read_due_ms = 0.0
        if reason:
            log_event(SHARD_LOST, zone=zone, epoch=owner.epoch, reason=reason)

    # Other owners.

    async def _ask_owners(self) -> None:
        """Learn the free capacity and the teams' usage in other shards."""
        others = {
            seen.record.owner
            for zone, seen in self._seen.items()
            if seen.record is not None and zone not in self._owners
        }
        for process_id in sorted(others - {self.me.process_id}):
            answer = await self._peers.probe(process_id)
            for summary in answer.shards if answer else ():
                self._summaries[summary.zone] = (process_id, summary)
        for zone, owner in self._owners.items():
            self._summaries[zone] = (self.me.process_id, owner.summary())
        for zone, owner in self._owners.items():
            owner.set_usage_elsewhere(self._usage_elsewhere(zone))

    def _usage_elsewhere(self, zone: ZoneName) -> dict[TeamName, Resources]:
        used: dict[TeamName, Resources] = {}
        for other, (_, summary) in self._summaries.items():
            if other != zone:
                for usage in summary.team_usage:
                    used[usage.team] = used.get(usage.team, Resources()) + usage.used
        return used

    def _move_jobs(self) -> None:
        """Offer jobs that wait too long to a zone that has room for them."""
        free = {zone: summary.free for zone, (_, summary) in self._summaries.items()}
        for zone, owner in self._owners.items():
            if not owner.recovered.is_set():
                continue
            elsewhere = {other: room for other, room in free.items() if other != zone}
            now_ms = self._clock.monotonic_ms()
            waiting = owner.jobs.waiting_jobs()
            for move in pick_moves(owner.tables, waiting, elsewhere, now_ms):
                owner.move_job(move, self._announce_move)

    def _announce_move(self, move: MoveJob) -> None:
        owner = self._owners.get(move.to_zone)
        if owner is not None:
            owner.jobs.notify((move.job_id,))
            return
        entry = self._summaries.get(move.to_zone)
        if entry is not None:
            task = asyncio.create_task(
                self._peers.notify_jobs(entry[0], (move.job_id,))
            )
            self._notices.add(task)
            task.add_done_callback(self._notices.discard)

    def _shard(self, zone: ZoneName) -> ShardInfo | None:
        return next((s for s in self._cell.shards() if s.zone == zone), None)


def _first_error(error: BaseException) -> BaseException:
    """Return the broken invariant in a group of errors."""
    if isinstance(error, BaseExceptionGroup):
        found = error.subgroup(InvariantError)
        return _first_error((found or error).exceptions[0])
    return error
