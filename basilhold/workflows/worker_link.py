"""Link of an owner to one worker: renews the worker's lease and reads its run lists."""

import asyncio
from collections.abc import Callable

import msgspec

from basilhold.core import Clock
from basilhold.observability import log_event
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerClient
from basilhold.workflows import events
from basilhold.workflows.owner_lease import Lease
from basilhold.workflows.pool import (
    ListedRun,
    Listing,
    LossReason,
    Worker,
)
from basilhold.workflows.progress import ROW_BYTES_MAX
from basilhold.workflows.reconciliation import (
    EndedRun,
    reconcile,
)

__all__ = ["LEASE_MAX_MS", "PollResult", "OwnerLimits", "WorkerLink"]

CLOCK_DRIFT_FACTOR = 1.03
"""Allowance for the rate of a worker's clock, which may be 2% slow."""

LEASE_MARGIN_MS = 100.0
LEASE_MAX_MS = 6_500.0
"""Maximum lease of a worker. A long-running task has to run again within 9 s after its
worker has failed without notice, of which the advice query for another worker takes
1 s. Takeovers by another owner end within 4 s."""

CALL_DELAY_MAX_MS = 12_000.0
"""Longest time after which a worker may carry out a call that got no reply."""

RETRY_DELAY_MS = 200.0
RETRY_DELAY_MAX_MS = 1_000.0
COMMIT_WAIT_MS = 800.0
"""How long a link waits for the commit of the run ends that it has read, before it
renews the lease without acknowledging them."""


OBSERVED_MS = 100.0
"""Time after a reply for which a worker counts as observed without a pending poll."""


class OwnerLimits(msgspec.Struct, frozen=True):
    """Time and size limits of an owner.

    Parameters
    ----------
    lease_ms : float
        Maximum lease of a worker, in milliseconds of the worker's clock.
    wait_ms : int
        How long a worker may wait for the end of a run before it replies, in
        milliseconds.
    retention_ms : float
        How long the rows of a workflow are kept after its end, in milliseconds.
    row_bytes_max : int
        Maximum size of a row's value in the store, in bytes.
    stop_ms : float
        Maximum time that a worker takes to stop a run, in milliseconds.
    lease_limit_ms : float
        Longest lease that a worker grants, whatever is requested, in milliseconds of
        the worker's clock.
    """

    lease_ms: float
    wait_ms: int
    retention_ms: float = 150_000.0
    row_bytes_max: int = ROW_BYTES_MAX
    stop_ms: float = 400.0
    lease_limit_ms: float = 10_000.0

    def lease_expiry_ms(self) -> float:
        """Return the time after which a lease requested now has certainly expired.

        In milliseconds of the owner's clock.
        """
        return _expiry_ms(self.lease_ms)

    def any_lease_expiry_ms(self) -> float:
        """Return the time after which any lease granted now has certainly expired.

        In milliseconds of the owner's clock.
        """
        return _expiry_ms(self.lease_limit_ms)


def _expiry_ms(lease_ms: float) -> float:
    """Return the longest time that a lease can last by the owner's clock."""
    return lease_ms * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS


class PollResult(msgspec.Struct):
    """Result of one poll of a worker.

    Parameters
    ----------
    first : bool
        Whether the worker's run lists were read for the first time, or for the first
        time after a failed poll.
    fenced : bool
        Whether the worker rejected the call because it has seen a higher epoch.
    lost : LossReason, optional
        Why no task can be running on this incarnation any more; ``None`` if one may be.
    restarted : Listing, optional
        Run lists of a newer incarnation of the worker.
    ends, unknown : list
        Ended and unknown runs; see `Reconciled`.
    """

    first: bool = False
    fenced: bool = False
    lost: LossReason | None = None
    restarted: Listing | None = None
    ends: list[EndedRun] = []
    unknown: list[ListedRun] = []


class WorkerLink:
    """Polls one incarnation of a worker.

    Parameters
    ----------
    worker : Worker
        State of the worker, updated by each poll.
    runners : RunnerClient
        Client for calls to workers.
    lease : Lease
        Lease of the service's owner.
    limits : OwnerLimits
        Limits of the owner.

    Attributes
    ----------
    closed : bool
        Whether the owner no longer uses this link.
    on_poll : callable
        Called with the `PollResult` of each poll that `refresh` makes.
    on_silence : callable
        Called when the worker does not answer a poll, once until it answers again.
    """

    def __init__(
        self, worker: Worker, runners: RunnerClient, lease: Lease, limits: OwnerLimits
    ):
        self.worker = worker
        self.closed = False
        self.on_poll: Callable[[PollResult], object] = lambda result: None
        self.on_silence: Callable[[], object] = lambda: None
        self._runners = runners
        self._lease = lease
        self._limits = limits
        self._acknowledged = asyncio.Event()
        self._has_answered = False
        self._failures = 0
        self._newest_poll = 0
        self._sent_acknowledgement = 0
        self._refreshing = False
        self._refresh_requested = False
        self._pending_polls = 0

    def is_observed(self, now_ms: float) -> bool:
        """Return whether a restart of the worker would have been noticed.

        Parameters
        ----------
        now_ms : float
            Monotonic time of this process, in milliseconds.
        """
        return self._pending_polls > 0 or now_ms - self.worker.heard_ms < OBSERVED_MS

    def extend_lease_bound(self, now_ms: float, lease_ms: float) -> None:
        """Record that a call sent at `now_ms` may extend the worker's lease.

        Parameters
        ----------
        now_ms : float
            Monotonic time of this process, in milliseconds.
        lease_ms : float
            Lease that the call grants, in milliseconds of the worker's clock.
        """
        self.worker.note_lease(now_ms + _expiry_ms(lease_ms))

    def note_start(self, now_ms: float, valid_ms: float) -> None:
        """Record that a start sent at `now_ms` may extend the worker's lease.

        Parameters
        ----------
        now_ms : float
            Monotonic time of this process, in milliseconds.
        valid_ms : float
            Time for which the start is valid, in milliseconds of the worker's clock.
        """
        self.extend_lease_bound(now_ms, valid_ms)
        if not self._has_answered:
            self._note_foreign_calls(now_ms + _expiry_ms(valid_ms))

    def note_former_start(self, sent_ms: float) -> None:
        """Record that a start sent to a former incarnation may still be carried out.

        Parameters
        ----------
        sent_ms : float
            Monotonic time at which the start was sent, in milliseconds.
        """
        self._note_foreign_calls(sent_ms + CALL_DELAY_MAX_MS)

    def _note_answer(self, now_ms: float) -> None:
        """Record that the worker has carried out a call of this link."""
        if not self._has_answered:
            self._has_answered = True
            self._note_foreign_calls(now_ms)

    def _note_foreign_calls(self, until_ms: float) -> None:
        """Record that calls of earlier links may have been carried out up to a time.

        The expiry that a call for a former incarnation requests is a time of that
        one's clock, so the present incarnation may grant its longest lease.
        """
        self.worker.note_lease(until_ms + self._limits.any_lease_expiry_ms())

    def acknowledge(self, processed: int) -> None:
        """Allow the worker to discard run ends up to a number.

        Parameters
        ----------
        processed : int
            Sequence number of the last run end that is committed.
        """
        if processed > self.worker.acknowledged_sequence:
            self.worker.acknowledged_sequence = processed
        self._acknowledged.set()

    async def refresh(self, clock: Clock) -> None:
        """Poll the worker at once; calls during such a poll share the next one."""
        if self._refreshing:
            self._refresh_requested = True
            return
        self._refreshing = True
        try:
            while True:
                self._refresh_requested = False
                self.on_poll(await self.poll(clock, immediate=True))
                if not self._refresh_requested:
                    return
        finally:
            self._refreshing = False

    async def poll(self, clock: Clock, immediate: bool = False) -> PollResult:
        """Renew the lease and read the run lists once.

        Parameters
        ----------
        clock : Clock
            Clock of this process.
        immediate : bool
            Whether to poll in addition to the regular polls, without waiting for a
            commit or for the end of a run.
        """
        worker = self.worker
        if not immediate:
            await self._wait_for_commit()
        if self.closed:
            return PollResult(lost=LossReason.CLOSED)
        sent_ms = clock.monotonic_ms()
        if not self._lease.is_valid():
            if immediate:
                return PollResult()
            await asyncio.sleep(RETRY_DELAY_MS / 1000)
            return self._check_expiry(clock)
        until_ms = 0.0
        # A renewal without a reply may have taken effect. Repeating it would delay the
        # time after which no task can be running on the worker.
        if worker.clock_ms and not self._failures:
            until_ms = worker.clock_at(sent_ms) + self._limits.lease_ms
            self.extend_lease_bound(sent_ms, self._limits.lease_ms)
        acknowledged = self._new_acknowledgement()
        # While a call waits at the worker, a new incarnation could list run ends with
        # the same numbers, so a call with an acknowledgement does not wait.
        wait_ms = 0 if immediate or acknowledged else self._wait_ms()
        call = RenewLeaseCall(worker.fence, acknowledged, until_ms, wait_ms)
        worker.poll_count += 1
        number = worker.poll_count
        self._pending_polls += 1
        try:
            result = await self._runners.renew_lease(worker, call)
        finally:
            self._pending_polls -= 1
        now_ms = clock.monotonic_ms()
        is_successor = result.is_ok() and self._is_from_successor(result.ok)
        if is_successor:
            self._report_successor(result.ok, call, now_ms - sent_ms)
        if self.closed:
            return PollResult(lost=LossReason.CLOSED)
        if result.is_error():
            if immediate:
                return PollResult(fenced=result.error is CallOutcome.FENCED)
            return await self._after_failure(result.error, clock, sent_ms)
        self._failures = 0
        listing = result.ok
        if is_successor:
            return PollResult(restarted=listing)
        self._note_answer(now_ms)
        self._sent_acknowledgement = max(self._sent_acknowledgement, acknowledged)
        if number < self._newest_poll:
            # A poll that was sent later has already returned.
            return PollResult()
        self._newest_poll = number
        worker.note_reply(now_ms)
        if not wait_ms:
            worker.note_round_trip(now_ms - sent_ms)
        first = not worker.listed
        changed = reconcile(worker, listing, number, now_ms)
        return PollResult(first=first, ends=changed.ends, unknown=changed.unknown)

    def _is_from_successor(self, listing: Listing) -> bool:
        """Return whether another incarnation of the worker has answered."""
        known_unix_ms = self.worker.info.born_unix_ms
        return known_unix_ms > 0 and listing.born_unix_ms != known_unix_ms

    def _report_successor(
        self, listing: Listing, call: RenewLeaseCall, age_ms: float
    ) -> None:
        log_event(
            events.RENEWAL_REACHED_SUCCESSOR,
            worker=self.worker.worker_id,
            age_ms=round(age_ms),
            clock_ms=round(listing.clock_ms),
            until_clock_ms=round(call.until_clock_ms),
            acknowledged=call.acknowledged,
        )

    def _new_acknowledgement(self) -> int:
        """Return the number up to which the worker may discard run ends.

        Returns 0 if there is nothing new to acknowledge, or after a failed poll: the
        next reply may come from a new incarnation, which numbers its run ends from 1.
        """
        if (
            self._failures
            or self.worker.acknowledged_sequence <= self._sent_acknowledgement
        ):
            return 0
        return self.worker.acknowledged_sequence

    def _wait_ms(self) -> int:
        uncommitted = self.worker.processed_sequence > self.worker.acknowledged_sequence
        if not self.worker.listed or uncommitted:
            return 0
        return self._limits.wait_ms

    async def _wait_for_commit(self) -> None:
        if self.worker.processed_sequence <= self.worker.acknowledged_sequence:
            return
        self._acknowledged.clear()
        try:
            async with asyncio.timeout(COMMIT_WAIT_MS / 1000):
                await self._acknowledged.wait()
        except TimeoutError:
            pass

    async def _after_failure(
        self, outcome: CallOutcome, clock: Clock, sent_ms: float
    ) -> PollResult:
        if outcome is CallOutcome.FENCED:
            return PollResult(fenced=True)
        if outcome is CallOutcome.ABSENT:
            return PollResult(lost=LossReason.REPLACED)
        self._failures += 1
        self.worker.listed = False
        disconnected = outcome is CallOutcome.DISCONNECTED
        now_ms = clock.monotonic_ms()
        if self.worker.note_silence(now_ms, disconnected, sent_ms):
            self.on_silence()
        delay_ms = min(RETRY_DELAY_MS * self._failures, RETRY_DELAY_MAX_MS)
        if disconnected:
            # A worker that has crashed is back soon, and its runs wait for that.
            delay_ms = RETRY_DELAY_MS
        await asyncio.sleep(delay_ms / 1000)
        return self._check_expiry(clock)

    def _check_expiry(self, clock: Clock) -> PollResult:
        if clock.monotonic_ms() > self.worker.lease_expires_ms and self.worker.runs:
            return PollResult(lost=LossReason.LAPSED)
        return PollResult()
