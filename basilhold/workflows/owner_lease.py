"""Ownership of a service: a stored lease with a fencing token.

The owner record changes with every commit of the owner, so a commit also renews the
lease and is conditional on it. A commit whose reply was lost is repeated unchanged
until its outcome is known; a copy that takes effect later fails its condition.
"""

import asyncio
from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Error, Ok, Result

from basilhold.core import Epoch, ProcessId, ServiceName
from basilhold.observability import log_event
from basilhold.ports import (
    ABSENT,
    Condition,
    Row,
    StoreErrorKind,
    TableService,
    Transaction,
    Write,
)
from basilhold.workflows import events
from basilhold.workflows.rows import Incarnation, OwnerRecord, owner_key

__all__ = [
    "CommitOutcome",
    "Lease",
    "OwnerView",
    "SuspendAwareClock",
    "claim_delay_ms",
    "try_claim",
]

TAKEOVER_AFTER_MS = 2_000
"""How long an owner record must be unchanged, in a store that answers, before others
may claim it. Work survives on the workers for at least 5 s without an owner."""

SUSPECT_AFTER_MS = 650
"""How long an owner record must be unchanged before its holder is asked, and may be
claimed if that does not own the service any more. Just above the time between two
renewals. The condition of the claim and the epoch make a claim safe, not the wait."""

LEASE_VALIDITY_MS = 4_000
"""How long an owner acts after its last renewal, by a clock that counts suspension. A
successor that cannot reach a worker waits this long and one lease of the worker."""

RETRY_DELAY_MS = 60
RETRY_DELAY_MAX_MS = 400
CLAIM_DELAY_PER_ROUND_TRIP = 15.0
CLAIM_DELAY_PER_OWNED_SERVICE_MS = 400.0

_DECODER = msgspec.json.Decoder(OwnerRecord)


class SuspendAwareClock(ABC):
    """A clock that also advances while the machine is suspended."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the time in milliseconds."""


class CommitOutcome(Enum):
    """Outcome of a commit; `LOST` means that another process owns the service."""

    DONE = "done"
    LOST = "lost"


class OwnerView(msgspec.Struct):
    """What a process knows about a service's owner.

    Parameters
    ----------
    record : OwnerRecord, optional
        ``None`` before the first claim.
    version : int
        Version of the row.
    since_ms : float
        Time from which the row was seen unchanged in a store that answered.
    holder_gone : bool
        Whether the holder was asked since then, and does not own the service any more.
    """

    record: OwnerRecord | None = None
    version: int = ABSENT
    unchanged_since_ms: float = 0.0
    is_holder_gone: bool = False

    def update(self, row: Row | None, now_ms: float) -> None:
        """Take over the row as it was read.

        A row that cannot be read is logged; the record before it stays.
        """
        version = row.version if row else ABSENT
        if version == self.version:
            return
        self.version = version
        self.unchanged_since_ms = now_ms
        self.is_holder_gone = False
        try:
            self.record = _DECODER.decode(row.value) if row else None
        except msgspec.DecodeError as error:
            log_event(events.BAD_ROW, key=row.key, reason=error)

    def is_claimable(self, holder: ProcessId, now_ms: float) -> bool:
        """Return whether the owner is gone, as far as the row shows.

        A record that names the caller is one of its own earlier incarnations, which
        ended before the caller started.
        """
        record = self.record
        if record is None and self.version != ABSENT:
            # The epoch of the last owner is not known, so no higher one can be chosen.
            return False
        if record is None or record.released or record.holder == holder:
            return True
        unchanged_ms = now_ms - self.unchanged_since_ms
        return unchanged_ms >= (
            SUSPECT_AFTER_MS if self.is_holder_gone else TAKEOVER_AFTER_MS
        )

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether the holder should be asked if it still owns the service."""
        record = self.record
        if record is None or record.released or self.is_holder_gone:
            return False
        return now_ms - self.unchanged_since_ms >= SUSPECT_AFTER_MS


def claim_delay_ms(
    round_trip_ms: float,
    owned_services: int,
    penalty_ms: float,
    has_no_owner: bool,
    jitter: float,
) -> float:
    """Return how long a process leaves a claim to better candidates.

    Parameters
    ----------
    round_trip_ms : float
        To the store: an owner commits before each start.
    owned_services : int
        How many services the process owns already.
    handicap_ms : float
        For a machine that is small or has a narrow link.
    is_empty : bool
        Whether the service has no owner at all.
    jitter : float
        Between 0 and 1.
    """
    delay_ms = penalty_ms + CLAIM_DELAY_PER_ROUND_TRIP * min(round_trip_ms, 80.0)
    delay_ms += CLAIM_DELAY_PER_OWNED_SERVICE_MS * owned_services
    return delay_ms + jitter * (100.0 if has_no_owner else 60.0)


class Lease:
    """A held lease; commits go through it one after another.

    Parameters
    ----------
    table : TableService
    clock : SuspendAwareClock
    service : ServiceName
    record : OwnerRecord
    version : int
        Version of the row that holds `record`.
    claimed_ms : float
        Time of `clock` at which the claim was sent.
    """

    def __init__(
        self,
        table: TableService,
        clock: SuspendAwareClock,
        service: ServiceName,
        record: OwnerRecord,
        version: int,
        claimed_ms: float,
    ):
        self._table = table
        self._clock = clock
        self._key = owner_key(service)
        self._version = version
        self._renewed_ms = claimed_ms
        self._lost = False
        self.service = service
        self.record = record
        self.member_count = 0

    @property
    def epoch(self) -> Epoch:
        """Fencing token of this lease."""
        return self.record.epoch

    def is_valid(self) -> bool:
        """Return whether the process may still act as the owner."""
        return (
            not self._lost
            and self._clock.now_ms() - self._renewed_ms < LEASE_VALIDITY_MS
        )

    @property
    def is_lost(self) -> bool:
        """Whether another process is known to own the service."""
        return self._lost

    def age_ms(self) -> float:
        """Return the time since the last renewal, in milliseconds."""
        return self._clock.now_ms() - self._renewed_ms

    def invalidate(self) -> None:
        """Act as the owner no more."""
        self._lost = True

    async def commit(
        self, writes: tuple[Write, ...], released: bool = False
    ) -> CommitOutcome:
        """Apply writes and renew the lease.

        Waits until the outcome is known, however long the store does not answer. A
        transaction that the store calls invalid ends the lease.
        """
        record = msgspec.structs.replace(
            self.record,
            sequence=self.record.sequence + 1,
            released=released,
            member_count=self.member_count,
        )
        transaction = Transaction(
            (Condition(self._key, self._version),),
            (Write(self._key, msgspec.json.encode(record)), *writes),
        )
        first_sent_ms = self._clock.now_ms()
        outcome_unknown = False
        delay_ms = RETRY_DELAY_MS
        while not self._lost:
            result = await self._table.transact(transaction)
            if result.is_ok():
                self._record_renewal(record, result.ok[self._key], first_sent_ms)
                return CommitOutcome.DONE
            kind = result.error.kind
            if kind is StoreErrorKind.CONFLICT:
                if outcome_unknown and await self._was_applied(record, first_sent_ms):
                    return CommitOutcome.DONE
                break
            if kind is StoreErrorKind.INVALID:
                # Repeating it would block the service for good.
                log_event(
                    events.COMMIT_INVALID,
                    service=self.service,
                    rows=len(transaction.writes),
                    reason=result.error.reason,
                )
                break
            if kind is StoreErrorKind.UNKNOWN:
                outcome_unknown = True
            elif not outcome_unknown:
                first_sent_ms = self._clock.now_ms()
            await asyncio.sleep(delay_ms / 1000)
            delay_ms = min(2 * delay_ms, RETRY_DELAY_MAX_MS)
        self._lost = True
        return CommitOutcome.LOST

    def _record_renewal(
        self, record: OwnerRecord, version: int, sent_ms: float
    ) -> None:
        self.record = record
        self._version = version
        self._renewed_ms = sent_ms

    async def _was_applied(self, record: OwnerRecord, sent_ms: float) -> bool:
        """Return whether an attempt without a reply took effect."""
        while not self._lost:
            result = await self._table.read((self._key,))
            if result.is_ok():
                row = result.ok.get(self._key)
                if row is None or _DECODER.decode(row.value) != record:
                    return False
                self._record_renewal(record, row.version, sent_ms)
                return True
            await asyncio.sleep(RETRY_DELAY_MAX_MS / 1000)
        return False


async def try_claim(
    table: TableService,
    clock: SuspendAwareClock,
    service: ServiceName,
    view: OwnerView,
    holder: ProcessId,
    endpoint: str,
    incarnation: Incarnation,
) -> Result[Lease, str]:
    """Claim a service whose record is claimable.

    A claim without a reply is found by its incarnation at the next look at the row.
    """
    key = owner_key(service)
    epoch = Epoch(view.record.epoch + 1 if view.record else 1)
    record = OwnerRecord(holder, endpoint, epoch, 0, incarnation)
    transaction = Transaction(
        (Condition(key, view.version),), (Write(key, msgspec.json.encode(record)),)
    )
    sent_ms = clock.now_ms()
    result = await table.transact(transaction)
    if result.is_error():
        return Error(f"{result.error.kind.value}: {result.error.reason}")
    lease = Lease(table, clock, service, record, result.ok[key], sent_ms)
    return Ok(lease)
