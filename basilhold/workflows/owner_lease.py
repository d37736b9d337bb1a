"""Lease on the ownership of a service, stored with a fencing token.

Every commit of an owner updates the owner record and is conditional on its version. A
commit therefore renews the lease, and fails once another process has claimed it. A
commit whose reply was lost is repeated unchanged until its outcome is known; a
duplicate that takes effect later fails the condition.
"""

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    Epoch,
    JsonDecoder,
    ProcessId,
    ServiceName,
    WorkerId,
)
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
from basilhold.workflows.shared_time import CLOCK_DRIFT_MAX

__all__ = [
    "CommitOutcome",
    "Lease",
    "OwnerView",
    "Predecessor",
    "SuspendAwareClock",
    "WorkerLeases",
    "claim_delay_ms",
    "try_claim",
]

TAKEOVER_AFTER_MS = 2_000
"""How long an owner record must be unchanged, in a store that answers, before other
processes may claim it. Workers keep their runs for at least 5 s without an owner."""

SUSPECT_AFTER_MS = 650
"""How long an owner record must be unchanged before its holder is probed. The lease may
be claimed if the holder no longer owns the service. The value is just above the time
between two renewals. Safety does not depend on it: it comes from the claim's condition
and from the epoch."""

EARLY_PROBE_AFTER_MS = 320
"""How long an owner record must be unchanged before the processes that would claim it
first probe its holder. The value is just below the interval of polls. A machine that is
lost does not answer, so its probes have timed out when the record may be claimed."""

LEASE_VALIDITY_MS = 4_000
"""How long a lease is valid after its last renewal, by a clock that advances while the
machine is suspended. A successor that cannot reach a worker waits for this time plus
one lease of the worker, unless the record that it replaces says that the worker was
silent."""

RETRY_DELAY_MS = 60
"""Delay before the first retry of a commit; it doubles with each further one."""

RETRY_DELAY_MAX_MS = 400
"""Longest delay between retries of a commit."""

CLAIM_DELAY_PER_ROUND_TRIP = 15.0
"""Delay of a claim as a multiple of the round-trip time to the store."""

CLAIM_DELAY_PER_OWNED_SERVICE_MS = 400.0
"""Delay of a claim for each service that the process owns already."""

FENCES_PER_EPOCH = 1 << 20
"""Number of fencing tokens that a claim reserves. An owner uses one for each link that
it opens to a worker."""

_DECODER = JsonDecoder(OwnerRecord)


class SuspendAwareClock(ABC):
    """A clock that also advances while the machine is suspended."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the time in milliseconds since an arbitrary origin."""


class CommitOutcome(Enum):
    """Outcome of a commit; `LOST` means that another process owns the service."""

    DONE = "done"
    LOST = "lost"


class OwnerView(msgspec.Struct):
    """The owner record of a service as last read by this process.

    Parameters
    ----------
    record : OwnerRecord, optional
        ``None`` before the first claim.
    version : int
        Version of the row; `ABSENT` if there is none.
    unchanged_since_ms : float
        Time of the monotonic clock since which the row was unchanged in a store that
        answered.
    is_holder_gone : bool
        Whether the holder was probed since then and does not own the service any more.
    is_holder_confirmed : bool
        Whether the holder was probed since then and still owned the service.
    is_readable : bool
        Whether `record` is from this version of the row.
    """

    record: OwnerRecord | None = None
    version: int = ABSENT
    unchanged_since_ms: float = 0.0
    is_holder_gone: bool = False
    is_holder_confirmed: bool = False
    is_readable: bool = True

    def update(self, row: Row | None, now_ms: float) -> None:
        """Update the view from the row as read from the store.

        A row that cannot be decoded is logged, and the previous record is kept.
        """
        version = row.version if row else ABSENT
        if version == self.version:
            return
        self.version = version
        self.unchanged_since_ms = now_ms
        self.is_holder_gone = False
        self.is_holder_confirmed = False
        self.is_readable = True
        try:
            self.record = _DECODER.decode(row.value) if row else None
        except msgspec.DecodeError as error:
            self.is_readable = False
            log_event(events.BAD_ROW, key=row.key, reason=error)

    def is_claimable(self, holder: ProcessId, now_ms: float) -> bool:
        """Return whether a process may claim the lease.

        A record that names the process itself is from an earlier incarnation of it,
        which ended before this one started.

        Parameters
        ----------
        holder : ProcessId
            Process that would claim the lease.
        now_ms : float
            Time of the monotonic clock.
        """
        record = self.record
        if record is None and self.version != ABSENT:
            # The row cannot be decoded, so the epoch of the last owner is unknown and
            # no higher one can be chosen.
            return False
        if record is None or record.released or record.holder == holder:
            return True
        unchanged_ms = now_ms - self.unchanged_since_ms
        return unchanged_ms >= (
            SUSPECT_AFTER_MS if self.is_holder_gone else TAKEOVER_AFTER_MS
        )

    def should_probe(self, now_ms: float, is_candidate: bool) -> bool:
        """Return whether to ask the holder if it still owns the service.

        A holder that has just confirmed that it owns the service is only probed again
        once its lease should have been renewed.

        Parameters
        ----------
        now_ms : float
            Time of the monotonic clock.
        is_candidate : bool
            Whether this process would claim the service without much delay.
        """
        record = self.record
        if record is None or record.released or self.is_holder_gone:
            return False
        is_early = is_candidate and not self.is_holder_confirmed
        after_ms = EARLY_PROBE_AFTER_MS if is_early else SUSPECT_AFTER_MS
        return now_ms - self.unchanged_since_ms >= after_ms

    def claimable_at_ms(self) -> float:
        """Return when the lease of a holder that is gone may be claimed.

        It is a time of the monotonic clock, infinite while the holder is not known to
        be gone.
        """
        if not self.is_holder_gone:
            return math.inf
        return self.unchanged_since_ms + SUSPECT_AFTER_MS


class WorkerLeases(msgspec.Struct, frozen=True):
    """What an owner stores about the leases of its workers.

    Parameters
    ----------
    silent_workers : dict of WorkerId to int
        See `OwnerRecord`.
    longest_ms : int, optional
        See ``leases_left_ms`` of `OwnerRecord`.
    """

    silent_workers: dict[WorkerId, int] = {}
    longest_ms: int | None = None


class Predecessor(msgspec.Struct, frozen=True):
    """The owner whose record a claim has replaced.

    Parameters
    ----------
    record : OwnerRecord
        Its last record; the claim is conditional on it.
    stored_ms : float
        Time of the successor's monotonic clock by which the record was stored.
    """

    record: OwnerRecord
    stored_ms: float

    def lease_bound_ms(self, worker_id: WorkerId, lease_expiry_ms: float) -> float:
        """Return until when a lease granted by the owner, or one before it, may last.

        All times that the record implies are counted from `stored_ms`, which is later
        than the time at which the owner measured them, and allow for the drift of the
        two clocks. System clocks and the store's time are not needed.

        Parameters
        ----------
        worker_id : WorkerId
            Worker that has not answered this process.
        lease_expiry_ms : float
            Time after which any lease granted now has certainly expired.

        Returns
        -------
        float
            Time of the successor's monotonic clock, in milliseconds.
        """
        record = self.record
        if worker_id in record.silent_workers:
            return self._after(record.silent_workers[worker_id])
        left_ms = record.leases_left_ms
        if record.released and left_ms is not None:
            return self._after(left_ms)
        usual_ms = self._after(LEASE_VALIDITY_MS) + lease_expiry_ms
        return max(self._after(left_ms or 0), usual_ms)

    def _after(self, duration_ms: float) -> float:
        return self.stored_ms + duration_ms * (1 + CLOCK_DRIFT_MAX)


def claim_delay_ms(
    round_trip_ms: float,
    owned_services: int,
    penalty_ms: float,
    has_no_owner: bool,
    jitter: float,
) -> float:
    """Return how long a process delays a claim in favour of better candidates.

    Parameters
    ----------
    round_trip_ms : float
        Round-trip time to the store. An owner commits before each start, so a process
        near the store is preferred; times above 80 ms count as 80 ms.
    owned_services : int
        Number of services that the process owns already.
    penalty_ms : float
        Additional delay for a machine that is small or has a narrow link.
    has_no_owner : bool
        Whether the service never had an owner.
    jitter : float
        Random number between 0 and 1.

    Returns
    -------
    float
        Delay in milliseconds.
    """
    delay_ms = penalty_ms + CLAIM_DELAY_PER_ROUND_TRIP * min(round_trip_ms, 80.0)
    delay_ms += CLAIM_DELAY_PER_OWNED_SERVICE_MS * owned_services
    return delay_ms + jitter * (100.0 if has_no_owner else 60.0)


class Lease:
    """A lease held by this process, through which the owner commits.

    Commits must not overlap.

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
    predecessor : Predecessor, optional
        ``None`` if there was no owner before, or its last record cannot be decoded.

    Attributes
    ----------
    member_count : int
        Number of processes of the deployment, which is stored with each commit.
    describe_leases : callable
        Returns what each commit stores about the leases of workers. Called with
        whether the commit releases the lease.
    count_task_units : callable
        Returns the units of the active workflows, which each commit stores.
    """

    def __init__(
        self,
        table: TableService,
        clock: SuspendAwareClock,
        service: ServiceName,
        record: OwnerRecord,
        version: int,
        claimed_ms: float,
        predecessor: Predecessor | None = None,
    ):
        self._table = table
        self._clock = clock
        self._key = owner_key(service)
        self._version = version
        self._renewed_ms = claimed_ms
        self._lost = False
        self._next_fence = max(1, record.epoch - FENCES_PER_EPOCH + 1)
        self.service = service
        self.record = record
        self.member_count = 0
        self.predecessor = predecessor
        self.describe_leases: Callable[[bool], WorkerLeases] = lambda released: (
            WorkerLeases()
        )
        self.count_task_units: Callable[[], int] = lambda: 0
        self._stored_silent: set[WorkerId] = set()

    @property
    def epoch(self) -> Epoch:
        """Epoch of this lease, which is its highest fencing token."""
        return self.record.epoch

    def take_fence(self) -> Epoch:
        """Return a fencing token above all earlier ones.

        The lease is lost once it has none left; a new claim reserves more.
        """
        fence = self._next_fence
        if fence > self.epoch:
            self._lost = True
            return self.epoch
        self._next_fence += 1
        return Epoch(fence)

    def is_valid(self) -> bool:
        """Return whether the lease is neither lost nor expired."""
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
        """Mark the lease as lost, so that the process stops acting as the owner."""
        self._lost = True

    def may_extend(self, worker_id: WorkerId) -> bool:
        """Return whether the lease of a worker may be extended.

        A successor gives up the runs of a worker that is stored as silent when the
        stored time has passed, so a record without the worker must be stored first.
        """
        return worker_id not in self._stored_silent

    async def commit(
        self,
        writes: tuple[Write, ...],
        released: bool = False,
    ) -> CommitOutcome:
        """Store writes and renew the lease in one transaction.

        The transaction is retried until its outcome is known, however long the store
        does not answer. The lease is lost if another process has claimed it, or if the
        store rejects the transaction as invalid.

        Parameters
        ----------
        writes : tuple of Write
        released : bool
            Mark the lease as released, so that it can be claimed at once. Nothing may
            extend the lease of a worker any more.

        Returns
        -------
        CommitOutcome
        """
        leases = self.describe_leases(released)
        record = msgspec.structs.replace(
            self.record,
            sequence=self.record.sequence + 1,
            released=released,
            member_count=self.member_count,
            silent_workers=leases.silent_workers,
            leases_left_ms=leases.longest_ms,
            task_units=self.count_task_units(),
        )
        # Until the outcome is known, this record or the one before it may be the last.
        self._stored_silent.update(record.silent_workers)
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
                # A retry would fail in the same way and block the service for good.
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
        self._stored_silent = set(record.silent_workers)

    async def _was_applied(self, record: OwnerRecord, sent_ms: float) -> bool:
        """Return whether an earlier attempt without a reply took effect."""
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

    If the reply of a claim that took effect is lost, the next poll finds a record of
    this process, which it may claim again at once.

    Parameters
    ----------
    table : TableService
    clock : SuspendAwareClock
    service : ServiceName
    view : OwnerView
        Record that the claim replaces; the claim fails if it has changed since.
    holder : ProcessId
        This process.
    endpoint : str
        ``host:port`` at which this process serves its peers.
    incarnation : Incarnation

    Returns
    -------
    Result
        The lease, or the reason of the failure.
    """
    key = owner_key(service)
    # All tokens of the claim are stored before one is used, so a process that only adds
    # one to the stored epoch is above them too.
    last_epoch = view.record.epoch if view.record else 0
    epoch = Epoch(last_epoch + FENCES_PER_EPOCH)
    record = OwnerRecord(holder, endpoint, epoch, 0, incarnation)
    transaction = Transaction(
        (Condition(key, view.version),), (Write(key, msgspec.json.encode(record)),)
    )
    sent_ms = clock.now_ms()
    result = await table.transact(transaction)
    if result.is_error():
        return Error(f"{result.error.kind.value}: {result.error.reason}")
    predecessor = None
    if view.record is not None and view.is_readable:
        predecessor = Predecessor(view.record, view.unchanged_since_ms)
    version = result.ok[key]
    return Ok(Lease(table, clock, service, record, version, sent_ms, predecessor))
