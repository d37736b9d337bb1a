"""Stores the submissions and cancellations of a service in groups, at its owner.

Safety does not depend on being the owner: a submission is conditional on the absence of
its id, and a cancellation may be stored twice.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from basilhold.core import Clock, ServiceName
from basilhold.observability import Metrics, log_event, metric
from basilhold.ports import StoreError, StoreErrorKind, Transaction
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.submission_groups import PendingWrite, SubmissionGroups

__all__ = ["SubmissionCollector"]

BUSY_DELAY_MS = 1_000.0
"""Delay after which a group is sent again that a full queue has rejected. The queue of
a partition with waiting transactions of 1 s needs that time."""

RETRY_DELAY_MS = 250.0
"""Delay after which a group is sent again that was not applied for another reason, or
whose outcome is unknown."""

SENT_KEYS_KEPT_MS = 10_000.0
"""How long a row that was sent is remembered. A caller may submit the same job again
while its first transaction is in flight, and must not learn that it is not stored."""

ResolveConflict = Callable[[StoreError], Awaitable[StoreOutcome]]


class _CollectedWrite(PendingWrite, kw_only=True, eq=False):
    """A pending write with what is needed to store it and to answer it."""

    transaction: Transaction
    resolve_conflict: ResolveConflict
    outcome: asyncio.Future[StoreOutcome | None]


class SubmissionCollector:
    """Collects the writes of callers to one service, and stores them in groups.

    Parameters
    ----------
    service : ServiceName
    table : RelayedTable
    clock : Clock
    metrics : Metrics, optional
    """

    def __init__(
        self,
        service: ServiceName,
        table: RelayedTable,
        clock: Clock,
        metrics: Metrics | None = None,
    ):
        self._service = service
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._groups = SubmissionGroups()
        self._tasks = BackgroundTasks()
        self._draining: set[str] = set()
        self._collected: set[_CollectedWrite] = set()
        self._sent_keys: dict[str, float] = {}
        self._is_grouping = False
        self._is_closed = False

    async def close(self) -> None:
        """Answer what is not sent as not stored, and the rest as unknown."""
        self._is_closed = True
        for item in list(self._collected):
            is_unsent = self._groups.withdraw(item)
            outcome = self._refuse(item) if is_unsent else StoreOutcome.UNKNOWN
            self._finish(item, outcome)
        await self._tasks.cancel()

    def is_grouping(self) -> bool:
        """Return whether a write that arrives now is to be stored in a group."""
        now_ms = self._clock.monotonic_ms()
        self._groups.observe_arrival(now_ms)
        is_grouping = not self._is_closed and self._table.is_slow
        if is_grouping:
            self._groups.observe_store(self._table.read_ms, self._table.transaction_ms)
            is_grouping = self._groups.decide_grouping(now_ms)
        if is_grouping != self._is_grouping:
            self._is_grouping = is_grouping
            log_event(
                events.GROUPING_BEGUN if is_grouping else events.GROUPING_ENDED,
                service=self._service,
                arrivals=round(self._groups.arrivals_per_s(now_ms)),
                read_ms=round(self._table.read_ms),
                transaction_ms=round(self._table.transaction_ms),
            )
        return is_grouping

    async def store(
        self,
        transaction: Transaction,
        deadline_ms: float,
        resolve_conflict: ResolveConflict,
    ) -> StoreOutcome | None:
        """Store a write with the next group of its partition.

        Parameters
        ----------
        transaction : Transaction
        deadline_ms : float
            Monotonic time until which the outcome is waited for, in milliseconds.
        resolve_conflict : callable
            Returns the outcome if one of the conditions is violated.

        Returns
        -------
        StoreOutcome or None
            ``None`` if the write was not stored and has to be stored directly.
        """
        key = transaction.writes[0].key
        item = _CollectedWrite(
            key,
            key.split("/")[1],
            len(transaction.conditions) + len(transaction.writes),
            sum(len(write.value or b"") for write in transaction.writes),
            deadline_ms,
            transaction=transaction,
            resolve_conflict=resolve_conflict,
            outcome=asyncio.get_running_loop().create_future(),
        )
        now_ms = self._clock.monotonic_ms()
        if self._is_closed or not self._groups.add(item, now_ms):
            self._count_refusal("deadline")
            return self._refuse(item)
        self._collected.add(item)
        if item.partition not in self._draining:
            self._draining.add(item.partition)
            self._tasks.start(self._drain(item.partition))
        await asyncio.wait({item.outcome}, timeout=(deadline_ms - now_ms) / 1000)
        if not item.outcome.done():
            is_unsent = self._groups.withdraw(item)
            if is_unsent:
                self._count_refusal("late")
            outcome = self._refuse(item) if is_unsent else StoreOutcome.UNKNOWN
            self._finish(item, outcome)
        return item.outcome.result()

    def _refuse(self, item: PendingWrite) -> StoreOutcome:
        """Return the outcome of a write that is not sent, or not any more."""
        if item.is_uncertain or item.key in self._sent_keys:
            return StoreOutcome.UNKNOWN
        return StoreOutcome.NOT_STORED

    def _note_sent(self, group: list[_CollectedWrite], now_ms: float) -> None:
        while self._sent_keys:
            key, sent_ms = next(iter(self._sent_keys.items()))
            if now_ms - sent_ms < SENT_KEYS_KEPT_MS:
                break
            del self._sent_keys[key]
        for item in group:
            self._sent_keys.pop(item.key, None)
            self._sent_keys[item.key] = now_ms
            item.is_uncertain = True

    def _finish(self, item: _CollectedWrite, outcome: StoreOutcome | None) -> None:
        self._collected.discard(item)
        if not item.outcome.done():
            item.outcome.set_result(outcome)

    async def _drain(self, partition: str) -> None:
        """Store the groups of a partition, one after another, until none is left."""
        try:
            while True:
                delay_ms = self._groups.delay_ms(partition, self._clock.monotonic_ms())
                if delay_ms:
                    await asyncio.sleep(delay_ms / 1000)
                now_ms = self._clock.monotonic_ms()
                group, refused = self._groups.take_group(partition, now_ms)
                for item in refused:
                    self._count_refusal("deadline")
                    self._finish(item, self._refuse(item))
                if not group:
                    return
                await self._store_group(partition, group)
        finally:
            self._draining.discard(partition)

    async def _store_group(self, partition: str, group: list[_CollectedWrite]) -> None:
        """Send a group until its outcome is known, or nobody waits for it."""
        while group:
            transaction = Transaction(
                tuple(c for item in group for c in item.transaction.conditions),
                tuple(w for item in group for w in item.transaction.writes),
            )
            sent_ms = self._clock.monotonic_ms()
            last_ms = max(item.deadline_ms for item in group)
            self._groups.on_sent(partition, sent_ms)
            # Another copy of the write may be in flight.
            uncertain = [
                item.is_uncertain or item.key in self._sent_keys for item in group
            ]
            self._note_sent(group, sent_ms)
            result = await self._table.transact_within(
                transaction, max(0, int(last_ms - sent_ms))
            )
            now_ms = self._clock.monotonic_ms()
            self._groups.on_done(partition, now_ms, result.is_ok())
            self._count("basilhold_submission_groups_total")
            if result.is_ok():
                self._count("basilhold_submission_group_writes_total", len(group))
                for item in group:
                    self._finish(item, StoreOutcome.STORED)
                return
            kind = result.error.kind
            if kind is StoreErrorKind.UNKNOWN:
                if now_ms + RETRY_DELAY_MS >= last_ms:
                    for item in group:
                        self._finish(item, StoreOutcome.UNKNOWN)
                    return
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
                continue
            for item, was_uncertain in zip(group, uncertain, strict=True):
                item.is_uncertain = was_uncertain
                if not was_uncertain and kind is not StoreErrorKind.CONFLICT:
                    self._sent_keys.pop(item.key, None)
            if kind is StoreErrorKind.CONFLICT:
                group = self._split_conflicts(group, result.error)
                continue
            self._give_up_attempt(group, result.error, now_ms)
            return

    def _split_conflicts(
        self, group: list[_CollectedWrite], error: StoreError
    ) -> list[_CollectedWrite]:
        """Resolve the writes with violated conditions; return the others.

        After an attempt without a reply, a group conflicts with itself.
        """
        rest = []
        for item in group:
            keys = {condition.key for condition in item.transaction.conditions}
            conflicts = tuple(c for c in error.conflicts if c.key in keys)
            if conflicts:
                own = msgspec.structs.replace(error, conflicts=conflicts)
                self._tasks.start(self._resolve(item, own))
            else:
                rest.append(item)
        if len(rest) < len(group):
            return rest
        # Without the rows that exist, no group can be formed.
        for item in group:
            self._finish(item, StoreOutcome.UNKNOWN if item.is_uncertain else None)
        return []

    async def _resolve(self, item: _CollectedWrite, error: StoreError) -> None:
        outcome = StoreOutcome.UNKNOWN
        try:
            outcome = await item.resolve_conflict(error)
        finally:
            if outcome is StoreOutcome.NOT_STORED and item.is_uncertain:
                outcome = StoreOutcome.UNKNOWN
            self._finish(item, outcome)

    def _give_up_attempt(
        self, group: list[_CollectedWrite], error: StoreError, now_ms: float
    ) -> None:
        """Send a group again later that was not applied, or directly if invalid."""
        if error.kind is StoreErrorKind.INVALID:
            for item in group:
                self._finish(item, StoreOutcome.UNKNOWN if item.is_uncertain else None)
            return
        delay_ms = BUSY_DELAY_MS if error.busy else RETRY_DELAY_MS
        waiting = [item for item in group if not item.outcome.done()]
        self._groups.put_back(waiting, now_ms + delay_ms)

    def _count(self, name: str, amount: float = 1.0) -> None:
        if self._metrics is not None:
            self._metrics.add(metric(name), amount, service=self._service)

    def _count_refusal(self, reason: str) -> None:
        if self._metrics is not None:
            refused = metric("basilhold_submissions_refused_total")
            self._metrics.add(refused, service=self._service, reason=reason)
