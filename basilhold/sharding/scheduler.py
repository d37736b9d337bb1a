"""A scheduler process: watches all shards and owns some of them."""

import asyncio
import random
from collections.abc import Callable

from expression import Result

from basilhold.core import (
    Clock,
    InvariantError,
    JobId,
    WorkerId,
    ZoneName,
)
from basilhold.observability import log_event
from basilhold.placement import Explanation, Planner, WorkerHealth
from basilhold.ports import (
    Condition,
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
from basilhold.sharding.owner import OwnerServices, ShardOwner
from basilhold.sharding.ownership import (
    ProcessInfo,
    ShardInfo,
    claim,
    rank_owners,
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
from basilhold.sharding.state import ShardState
from basilhold.sharding.watch import SeenShard, ShardWatch

__all__ = ["ShardScheduler"]

_STOP_TIMEOUT_S = 10
"""Longest wait for the last commit of a planned stop."""


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
        make_health: Callable[[], WorkerHealth] = WorkerHealth,
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
        self._shard_watch = ShardWatch(me, store, clock, peers, self._settings)
        self._notices: set[asyncio.Task] = set()
        self._peers_due_ms = 0.0
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

    def notify_jobs(
        self, job_ids: tuple[JobId, ...], zone: ZoneName | None = None
    ) -> bool:
        """Take a hint at new or cancelled jobs; a shard reads the rows that it has.

        Parameters
        ----------
        job_ids : tuple of JobId
        zone : ZoneName, optional
            Shard of the jobs; all shards of this process by default.

        Returns
        -------
        bool
            Whether a shard of this process took the hint.
        """
        zones = (zone,) if zone else self.owned_zones()
        owners = [self._owners[zone] for zone in zones if zone in self._owners]
        feeds = [owner.jobs for owner in owners if owner.jobs is not None]
        for feed in feeds:
            feed.notify(job_ids)
        return bool(feeds)

    def explain(self, job_id: JobId) -> Explanation | None:
        """Return why a job waits, if it belongs to a shard of this process."""
        for owner in self._owners.values():
            if owner.tables is not None and job_id in owner.tables.jobs:
                return owner.explain(job_id)
        return None

    def shard_state(self, zone: ZoneName) -> ShardState | None:
        """Return what an operator sees of a shard of this process."""
        owner = self._owners.get(zone)
        return owner.state() if owner else None

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
        if not await self._shard_watch.read_rows((shard,)):
            return False
        seen = self._shard_watch.seen(state.zone)
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
        shards = tuple(s for s in self._cell.shards() if s.zone not in self._owners)
        await self._shard_watch.update(shards)
        await asyncio.gather(*(self._consider(shard) for shard in shards))
        now_ms = self._clock.monotonic_ms()
        if self._owners and now_ms >= self._peers_due_ms:
            self._peers_due_ms = now_ms + self._settings.peers_interval_ms
            await self._shard_watch.ask_owners(self.summaries())
            self._use_summaries()

    async def _consider(self, shard: ShardInfo) -> None:
        """Claim a shard if its owner is dead; the row is read again first."""
        watch = self._shard_watch
        if not watch.is_due(shard) or not await watch.read_rows((shard,)):
            return
        if watch.is_due(shard) and not self._stopping:
            await self._claim(shard, watch.seen(shard.zone), ())

    # Taking over.

    async def _claim(
        self, shard: ShardInfo, seen: SeenShard, grants: tuple[WorkerGrant, ...]
    ) -> bool:
        claim_id = f"{seen.version}-{self._rng.getrandbits(96):024x}"
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
            self._shard_watch.forget(shard.zone)
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
                self._shard_watch.forget(zone)
        if reason:
            log_event(SHARD_LOST, zone=zone, epoch=owner.epoch, reason=reason)

    # Other owners.

    def _use_summaries(self) -> None:
        """Pass usage on, and offer jobs that wait too long to a zone with room."""
        watch = self._shard_watch
        now_ms = self._clock.monotonic_ms()
        for zone, owner in self._owners.items():
            if not owner.recovered.is_set():
                continue
            owner.set_usage_elsewhere(watch.usage_elsewhere(zone))
            others = watch.summaries_elsewhere(zone)
            for move in pick_moves(
                owner.tables, owner.jobs.waiting_jobs(), others, now_ms
            ):
                owner.move_job(move, self._announce_move)

    def _announce_move(self, move: MoveJob) -> None:
        owner = self._owners.get(move.to_zone)
        if owner is not None:
            owner.jobs.notify((move.job_id,))
            return
        process_id = self._shard_watch.owner_of(move.to_zone)
        if process_id is not None:
            task = asyncio.create_task(
                self._peers.notify_jobs(process_id, (move.job_id,))
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
