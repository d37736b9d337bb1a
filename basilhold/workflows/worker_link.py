"""Keeps the lease of one worker and reads its lists."""

import asyncio
from collections.abc import Callable

import msgspec

from basilhold.core import Clock
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerClient
from basilhold.workflows.owner_lease import Lease
from basilhold.workflows.pool import EndedRun, ListedRun, Listing, Worker, reconcile
from basilhold.workflows.progress import ROW_BYTES_MAX

__all__ = ["LEASE_MAX_MS", "Look", "OwnerLimits", "WorkerLink"]

CLOCK_DRIFT = 1.03
"""A worker's clock may be 2% slow."""

LAPSE_MARGIN_MS = 100.0
LEASE_MAX_MS = 6_500.0
"""Longest lease of a worker. A long-running task is to run again 9 s after its worker
has gone in silence, and an answer about another worker takes a second; takeovers by
another owner end within 4 s."""

RETRY_MS = 200.0
RETRY_MAX_MS = 1_000.0
ACKNOWLEDGE_WAIT_MS = 800.0
"""How long a link waits for a commit of the ends it has read, before it renews the
lease without acknowledging them."""


class OwnerLimits(msgspec.Struct, frozen=True):
    """Bounds of an owner.

    Parameters
    ----------
    lease_ms : float
        Longest lease, on the worker's clock.
    wait_ms : int
        How long a worker may wait for an end before it replies.
    forget_after_ms : float
        How long the rows of a workflow are kept after its end.
    row_bytes_max : int
        Largest value of a row that the store takes.
    stop_ms : float
        Longest time that a worker takes to stop a run.
    """

    lease_ms: float
    wait_ms: int
    forget_after_ms: float = 150_000.0
    row_bytes_max: int = ROW_BYTES_MAX
    stop_ms: float = 400.0

    def lapse_ms(self) -> float:
        """Return the time after which a lease that was asked for now has lapsed."""
        return self.lease_ms * CLOCK_DRIFT + LAPSE_MARGIN_MS


class Look(msgspec.Struct):
    """What one look at a worker has shown.

    Parameters
    ----------
    first : bool
        The worker's lists were read for the first time.
    fenced : bool
        The worker has seen a higher epoch.
    lost : str
        Why nothing runs on this incarnation any more; empty if it may.
    restarted : Listing, optional
        What a newer incarnation has listed.
    ends, unknown : list
        See `Reconciled`.
    """

    first: bool = False
    fenced: bool = False
    lost: str = ""
    restarted: Listing | None = None
    ends: list[EndedRun] = []
    unknown: list[ListedRun] = []


class WorkerLink:
    """Looks at one incarnation of a worker again and again.

    Parameters
    ----------
    worker : Worker
    runners : RunnerClient
    lease : Lease
        Of the service's owner.
    limits : OwnerLimits
    """

    def __init__(
        self, worker: Worker, runners: RunnerClient, lease: Lease, limits: OwnerLimits
    ):
        self.worker = worker
        self.closed = False
        self.on_look: Callable[[Look], object] = lambda look: None
        self._runners = runners
        self._lease = lease
        self._limits = limits
        self._acknowledged = asyncio.Event()
        self._failures = 0
        self._newest_asked_ms = 0.0
        self._told = 0
        self._refreshing = False
        self._refresh_again = False

    def note_lease(self, now_ms: float, lease_ms: float) -> None:
        """Note that an order sent now may extend the worker's lease."""
        until_ms = now_ms + lease_ms * CLOCK_DRIFT + LAPSE_MARGIN_MS
        self.worker.lease_expires_ms = max(self.worker.lease_expires_ms, until_ms)

    def acknowledge(self, processed: int) -> None:
        """Allow the worker to forget ends up to a number, which are stored."""
        if processed > self.worker.acknowledged_sequence:
            self.worker.acknowledged_sequence = processed
        self._acknowledged.set()

    async def refresh(self, clock: Clock) -> None:
        """Look at the worker at once; calls while one is under way share the next."""
        if self._refreshing:
            self._refresh_again = True
            return
        self._refreshing = True
        try:
            while True:
                self._refresh_again = False
                self.on_look(await self.look(clock, at_once=True))
                if not self._refresh_again:
                    return
        finally:
            self._refreshing = False

    async def look(self, clock: Clock, at_once: bool = False) -> Look:
        """Renew the lease and read the lists once.

        Parameters
        ----------
        clock : Clock
        at_once : bool
            Look beside the regular looks, without waiting for an end.
        """
        worker = self.worker
        if not at_once:
            await self._wait_for_commit()
        if self.closed:
            return Look(lost="it was replaced")
        asked_ms = clock.monotonic_ms()
        if not self._lease.is_valid():
            if at_once:
                return Look()
            await asyncio.sleep(RETRY_MS / 1000)
            return self._check_lapse(clock)
        until_ms = 0.0
        # A renewal without a reply may have taken effect. Repeating it would put off
        # the moment from which nothing can run on the worker any more.
        if worker.clock_ms and not self._failures:
            until_ms = worker.clock_at(asked_ms) + self._limits.lease_ms
            self.note_lease(asked_ms, self._limits.lease_ms)
        acknowledged = self._new_acknowledgement()
        # While a call waits, a new incarnation could list ends of the same numbers.
        wait_ms = 0 if at_once or acknowledged else self._wait_ms()
        call = RenewLeaseCall(self._lease.epoch, acknowledged, until_ms, wait_ms)
        result = await self._runners.renew_lease(worker, call)
        now_ms = clock.monotonic_ms()
        if self.closed:
            return Look(lost="it was replaced")
        if result.is_error():
            if at_once:
                return Look(fenced=result.error is CallOutcome.FENCED)
            return await self._after_failure(result.error, clock)
        self._failures = 0
        listing = result.ok
        if (
            worker.info.born_unix_ms
            and listing.born_unix_ms != worker.info.born_unix_ms
        ):
            return Look(restarted=listing)
        self._told = max(self._told, acknowledged)
        if asked_ms < self._newest_asked_ms:
            # A look that was asked for later has overtaken this one.
            return Look()
        self._newest_asked_ms = asked_ms
        first = not worker.listed
        changed = reconcile(worker, listing, asked_ms, now_ms)
        return Look(first=first, ends=changed.ends, unknown=changed.unknown)

    def _new_acknowledgement(self) -> int:
        """Return up to which number the worker may forget ends; 0 for nothing new.

        A failed look may mean that a new incarnation answers next, whose ends are
        numbered from 1 again.
        """
        if self._failures or self.worker.acknowledged_sequence <= self._told:
            return 0
        return self.worker.acknowledged_sequence

    def _wait_ms(self) -> int:
        unread = self.worker.processed_sequence > self.worker.acknowledged_sequence
        if not self.worker.listed or unread:
            return 0
        return self._limits.wait_ms

    async def _wait_for_commit(self) -> None:
        if self.worker.processed_sequence <= self.worker.acknowledged_sequence:
            return
        self._acknowledged.clear()
        try:
            async with asyncio.timeout(ACKNOWLEDGE_WAIT_MS / 1000):
                await self._acknowledged.wait()
        except TimeoutError:
            pass

    async def _after_failure(self, outcome: CallOutcome, clock: Clock) -> Look:
        if outcome is CallOutcome.FENCED:
            return Look(fenced=True)
        if outcome is CallOutcome.ABSENT:
            return Look(lost="another worker has its address")
        self._failures += 1
        self.worker.listed = False
        await asyncio.sleep(min(RETRY_MS * self._failures, RETRY_MAX_MS) / 1000)
        return self._check_lapse(clock)

    def _check_lapse(self, clock: Clock) -> Look:
        if clock.monotonic_ms() > self.worker.lease_expires_ms and self.worker.runs:
            return Look(lost="its lease has lapsed")
        return Look()
