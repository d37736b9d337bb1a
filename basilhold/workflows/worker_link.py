"""Link of an owner to one worker: renews the worker's lease and reads its run lists."""

import asyncio
import contextlib
import math
from collections.abc import Callable

import msgspec

from basilhold.core import Clock, Epoch
from basilhold.observability import log_event
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerClient
from basilhold.workflows import events
from basilhold.workflows.owner_lease import Lease
from basilhold.workflows.poll_turns import PollTurns
from basilhold.workflows.pool import (
    ListedRun,
    Listing,
    LossReason,
    Run,
    RunKey,
    Worker,
)
from basilhold.workflows.progress import ROW_BYTES_MAX
from basilhold.workflows.reconciliation import (
    EndedRun,
    reconcile,
)

__all__ = [
    "LEASE_MAX_MS",
    "WATCHED_SILENT_MAX",
    "OwnerLimits",
    "PollResult",
    "WorkerLink",
    "late_run_bound_ms",
]

CLOCK_DRIFT_FACTOR = 1.03
"""Allowance for the rate of a worker's clock, which may be 2% slow."""

LEASE_MARGIN_MS = 100.0
LEASE_MAX_MS = 6_500.0
"""Maximum lease of a worker. A long-running task has to run again within 9 s after its
worker has failed without notice, of which the advice query for another worker takes
1 s. Takeovers by another owner end within 4 s."""

CALL_DELAY_MAX_MS = 12_000.0
"""How late a call for a former incarnation is expected to be carried out at most. Once
the present one has answered, its fencing token rules such calls out for good."""

WATCH_INTERVAL_MS = 200.0
"""Time between two polls of a worker that is being watched."""

WATCH_TIMEOUT_MS = 50.0
"""Time, beside two round trips, after which such a poll is given up and sent again. A
poll that was sent while the worker was down never gets a reply."""

WATCHED_SILENT_MAX = 32
"""Most watched workers without a reply that an owner polls at a time."""

RETRY_DELAY_MS = 200.0
RETRY_DELAY_MAX_MS = 1_000.0
COMMIT_WAIT_MS = 800.0
"""How long a link waits for the commit of the run ends that it has read, before it
renews the lease without acknowledging them, and for the commit after which it may
renew the lease of a worker that was silent."""


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


def late_run_bound_ms(sent_ms: float, limits: OwnerLimits) -> float:
    """Return until when a run may be at work whose start got no reply.

    An incarnation that nobody has noticed may carry the start out and grant its longest
    lease.

    Parameters
    ----------
    sent_ms : float
        Time of the event loop's clock at which the start was sent, in milliseconds.
    limits : OwnerLimits

    Returns
    -------
    float
        Time of the event loop's clock, in milliseconds.
    """
    return sent_ms + CALL_DELAY_MAX_MS + limits.any_lease_expiry_ms()


class PollResult(msgspec.Struct):
    """Result of one poll of a worker.

    Parameters
    ----------
    first : bool
        Whether the worker's run lists were read for the first time, or for the first
        time after a failed poll.
    fenced : Epoch, optional
        Fencing token of the call, if the worker rejected it for a higher one.
    lost : LossReason, optional
        Why no task can be running on this incarnation any more; ``None`` if one may be.
    restarted : Listing, optional
        Run lists of a newer incarnation of the worker.
    ends, unknown, begun : list
        Ended, unknown and begun runs; see `Reconciled`.
    """

    first: bool = False
    fenced: Epoch | None = None
    lost: LossReason | None = None
    restarted: Listing | None = None
    ends: list[EndedRun] = []
    unknown: list[ListedRun] = []
    begun: list[RunKey] = []


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
    turns : PollTurns, optional
        Bounds the polls of the process; there is no bound by default.

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
        self,
        worker: Worker,
        runners: RunnerClient,
        lease: Lease,
        limits: OwnerLimits,
        turns: PollTurns | None = None,
    ):
        self.worker = worker
        self.closed = False
        self.on_poll: Callable[[PollResult], object] = lambda result: None
        self.on_silence: Callable[[], object] = lambda: None
        self._runners = runners
        self._lease = lease
        self._limits = limits
        self._turns = turns or PollTurns()
        self._had_turn = False
        self._must_pause = False
        self._acknowledged = asyncio.Event()
        self._has_answered = False
        self._failures = 0
        self._newest_poll = 0
        self._sent_acknowledgement = 0
        self._refreshing = False
        self._refresh_requested = False
        self._pending_polls = 0
        self._watching = False

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
            until_ms = now_ms + _expiry_ms(valid_ms)
            self.worker.note_foreign_lease(self._foreign_expiry_ms(until_ms))

    def note_restart(self, now_ms: float) -> None:
        """Record that calls for a former incarnation may still be carried out.

        The lease is not renewed before the worker has answered a poll.
        """
        self._has_answered = False
        self._failures = max(1, self._failures)
        until_ms = now_ms + CALL_DELAY_MAX_MS
        self.worker.note_foreign_lease(self._foreign_expiry_ms(until_ms))

    def note_unanswered_start(self, run: Run) -> None:
        """Record that a start may still be carried out, also by a later incarnation.

        Any further call has a higher fencing token, which rules the start out for each
        incarnation that it reaches.
        """
        worker = self.worker
        worker.fence = self._lease.take_fence()
        until_ms = run.sent_ms + CALL_DELAY_MAX_MS
        worker.late_calls_until_ms = max(worker.late_calls_until_ms, until_ms)
        run.held_until_ms = late_run_bound_ms(run.sent_ms, self._limits)

    async def watch(self, clock: Clock, silent_polls: asyncio.Semaphore) -> None:
        """Poll the worker often while a start may still be carried out.

        A later incarnation would carry it out, as it knows no fencing token until the
        first call reaches it.

        Parameters
        ----------
        clock : Clock
            Clock of this process.
        silent_polls : asyncio.Semaphore
            Held by each poll that follows one without a reply.
        """
        if self._watching:
            return
        self._watching = True
        is_silent = False
        try:
            while not self.closed and (
                clock.monotonic_ms() < self.worker.late_calls_until_ms
            ):
                async with silent_polls if is_silent else contextlib.nullcontext():
                    is_silent = not await self._reach(clock)
                if not is_silent:
                    await asyncio.sleep(WATCH_INTERVAL_MS / 1000)
        finally:
            self._watching = False

    async def _reach(self, clock: Clock) -> bool:
        """Poll the worker once with a short timeout; return whether it has replied."""
        sent_ms = clock.monotonic_ms()
        timeout_ms = WATCH_TIMEOUT_MS + 2 * self.worker.round_trip_ms
        result = await self._poll(clock, immediate=True, timeout_ms=timeout_ms)
        now_ms = clock.monotonic_ms()
        is_reached = self.worker.heard_ms >= sent_ms or result != PollResult()
        self.on_poll(result)
        if not is_reached:
            # A refused connection ends the poll at once.
            await asyncio.sleep(max(0.0, sent_ms + timeout_ms - now_ms) / 1000)
        return is_reached

    def _note_answer(self, now_ms: float) -> None:
        """Record that the worker has carried out a call of this link."""
        if not self._has_answered:
            self._has_answered = True
            self.worker.limit_foreign_lease(self._foreign_expiry_ms(now_ms))

    def _foreign_expiry_ms(self, until_ms: float) -> float:
        """Return until when a lease may last if foreign calls arrive up to a time.

        The expiry that a call for a former incarnation requests is a time of that
        one's clock, so the present incarnation may grant its longest lease.
        """
        return until_ms + self._limits.any_lease_expiry_ms()

    def awaits_acknowledgement(self) -> bool:
        """Return whether ends were read that may not be discarded, or the link waits.

        It may wait for a commit without the worker among the silent ones.
        """
        worker = self.worker
        return (
            worker.processed_sequence > worker.acknowledged_sequence
            or not self._may_extend()
        )

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
        if immediate:
            return await self._poll(clock, immediate)
        await self._wait_for_commit()
        await self._pause()
        async with self._limit_contacts():
            return await self._poll(clock, immediate)

    async def _poll(
        self, clock: Clock, immediate: bool, timeout_ms: float = 0.0
    ) -> PollResult:
        """Poll the worker.

        Parameters
        ----------
        clock : Clock
        immediate : bool
        timeout_ms : float
            Time after which the poll is given up, in milliseconds; 0 for that of the
            client. A poll with a timeout of its own does not renew the lease, as the
            time by which that has expired would depend on polls without a reply.
        """
        worker = self.worker
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
        renews = worker.clock_ms > 0 and not self._failures and not timeout_ms
        if renews and self._may_extend():
            until_ms = worker.clock_at(sent_ms) + self._limits.lease_ms
            self.extend_lease_bound(sent_ms, self._limits.lease_ms)
        acknowledged = self._new_acknowledgement()
        # While a call waits at the worker, a new incarnation could list run ends with
        # the same numbers, so a call with an acknowledgement does not wait.
        wait_ms = 0 if immediate or acknowledged else self._wait_ms()
        has_turn = wait_ms > 0 and self._take_turn()
        if not has_turn:
            wait_ms = 0
        call = RenewLeaseCall(
            worker.fence, acknowledged, until_ms, wait_ms, math.ceil(timeout_ms)
        )
        worker.poll_count += 1
        number = worker.poll_count
        self._pending_polls += 1
        try:
            result = await self._runners.renew_lease(worker, call)
        finally:
            self._pending_polls -= 1
            if has_turn:
                self._turns.give_back()
        now_ms = clock.monotonic_ms()
        is_successor = result.is_ok() and self._is_from_successor(result.ok)
        if is_successor:
            self._report_successor(result.ok, call, now_ms - sent_ms)
        if self.closed:
            return PollResult(lost=LossReason.CLOSED)
        if result.is_error():
            if result.error is CallOutcome.FENCED:
                return PollResult(fenced=call.epoch)
            if immediate:
                return PollResult()
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
        return PollResult(
            first=first,
            ends=changed.ends,
            unknown=changed.unknown,
            begun=changed.begun,
        )

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
        if not self.worker.listed or uncommitted or not self._may_extend():
            return 0
        return self._limits.wait_ms

    def _take_turn(self) -> bool:
        """Return whether a poll that would wait for the end of a run may do so."""
        self._had_turn = self._turns.take(bool(self.worker.runs), self._had_turn)
        self._must_pause = not self._had_turn
        return self._had_turn

    async def _pause(self) -> None:
        """Wait after a poll that was not allowed to wait at the worker."""
        if not self._must_pause or self.closed:
            return
        self._must_pause = False
        if not self._new_acknowledgement():
            pause_ms = self._turns.pause_ms(bool(self.worker.runs))
            await asyncio.sleep(pause_ms / 1000)

    def _limit_contacts(self) -> contextlib.AbstractAsyncContextManager:
        """Return what bounds the polls at a time that may get no prompt reply."""
        if self._failures:
            return self._turns.retries
        if not self.worker.listed:
            return self._turns.first_polls
        return contextlib.nullcontext()

    async def _wait_for_commit(self) -> None:
        uncommitted = self.worker.processed_sequence > self.worker.acknowledged_sequence
        if not uncommitted and not self._awaits_extension():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COMMIT_WAIT_MS / 1000):
                while uncommitted or self._awaits_extension():
                    self._acknowledged.clear()
                    await self._acknowledged.wait()
                    uncommitted = False

    def _may_extend(self) -> bool:
        return self._lease.may_extend(self.worker.worker_id)

    def _awaits_extension(self) -> bool:
        """Return whether a worker that answers again is still stored as silent."""
        return not self._failures and not self._may_extend()

    async def _after_failure(
        self, outcome: CallOutcome, clock: Clock, sent_ms: float
    ) -> PollResult:
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
        if self.worker.runs and self.worker.has_lapsed(clock.monotonic_ms()):
            return PollResult(lost=LossReason.LAPSED)
        return PollResult()
