"""Adaptive rate limit for the store operations of one process."""

import asyncio
import heapq
import random
from collections import Counter
from enum import IntEnum

import msgspec
from expression import Error, Result

from basilhold.ports import (
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
)

__all__ = [
    "BudgetSettings",
    "BudgetSnapshot",
    "BudgetedTableService",
    "StoreBudget",
    "StorePriority",
]


class StorePriority(IntEnum):
    """Priority of a waiting operation; lower values are sent first."""

    LEASES = 0
    COMMITS = 1
    READS = 2
    REST = 3


class BudgetSettings(msgspec.Struct, frozen=True):
    """Limits and step sizes of a `StoreBudget`.

    Parameters
    ----------
    rate_max_per_s, rate_min_per_s : float
        Upper and lower bound of the rate, in operations per second.
    rate_start_per_s : float
        Initial rate, in operations per second.
    increase_per_s : float
        Additive increase of the rate, in operations per second, for each second in
        which operations are sent at the current rate and none is slow or fails.
    decrease_ratio : float
        Factor by which the rate is multiplied after a slow or failed operation.
    decrease_interval_ms : int
        Minimum time between two decreases, in milliseconds. Operations that are in
        flight together usually fail together and must count as one failure.
    slow_ms : int
        Duration above which an operation counts as slow, in milliseconds.
    in_flight_max : int
        Maximum number of concurrent operations.
    waiting_max : int
        Maximum number of waiting operations. When it is reached, a new operation
        replaces a waiting one of lower priority or is rejected.
    wait_max_ms : int
        Time after which a waiting operation is rejected, in milliseconds.
    """

    rate_max_per_s: float = 200.0
    rate_min_per_s: float = 0.5
    rate_start_per_s: float = 20.0
    increase_per_s: float = 2.0
    decrease_ratio: float = 0.5
    decrease_interval_ms: int = 500
    slow_ms: int = 250
    in_flight_max: int = 32
    waiting_max: int = 1000
    wait_max_ms: int = 5000


class BudgetSnapshot(msgspec.Struct, frozen=True):
    """State and counters of a `StoreBudget`, for export as metrics.

    Parameters
    ----------
    rate_per_s : float
        Current rate, in operations per second.
    in_flight, waiting : int
        Operations that are in flight and that wait for a permit.
    granted, refused : dict of str to int
        Operations permitted and rejected since the start, by name of priority.
    slow : int
        Operations that were slow or failed since the start.
    """

    rate_per_s: float
    in_flight: int
    waiting: int
    granted: dict[str, int]
    refused: dict[str, int]
    slow: int


class _Waiter(msgspec.Struct, order=True):
    priority: int
    sequence_number: int
    granted: asyncio.Future[None]


class StoreBudget:
    """Limits the rate and concurrency of the store operations of a process.

    The rate follows additive increase and multiplicative decrease: it drops by a
    factor when the store is slow or fails, and rises by a constant while the store
    is fast. Intervals between operations are jittered so that processes that were
    blocked by the same outage do not resume in lockstep.

    Parameters
    ----------
    settings : BudgetSettings, optional
    rng : random.Random, optional
        Random number generator for the jitter.
    """

    def __init__(
        self,
        settings: BudgetSettings | None = None,
        rng: random.Random | None = None,
    ):
        self.settings = settings or BudgetSettings()
        self.rate_per_s = self.settings.rate_start_per_s
        self._random = rng or random.Random()
        self._waiters: list[_Waiter] = []
        self._sequence_number = 0
        self._in_flight = 0
        self._next_grant_at_s = 0.0
        self._last_decrease_at_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._granted: Counter[StorePriority] = Counter()
        self._refused: Counter[StorePriority] = Counter()
        self._slow = 0

    async def acquire(self, priority: StorePriority) -> bool:
        """Wait for a permit to send one operation.

        Parameters
        ----------
        priority : StorePriority
            Priority of the operation among those that wait.

        Returns
        -------
        bool
            True if the operation may be sent; the caller must call `release` when
            it ends. False if the operation was rejected, because too many operations
            wait or it waited too long, and must not be sent.
        """
        if len(self._waiters) >= self.settings.waiting_max and not self._evict_lower(
            priority
        ):
            self._refused[priority] += 1
            return False
        loop = asyncio.get_running_loop()
        self._sequence_number += 1
        waiter = _Waiter(int(priority), self._sequence_number, loop.create_future())
        heapq.heappush(self._waiters, waiter)
        self._grant_permits()
        try:
            async with asyncio.timeout(self.settings.wait_max_ms / 1000):
                await waiter.granted
        except TimeoutError:
            is_granted = False
        except asyncio.CancelledError:
            self._cancel_waiter(waiter)
            raise
        else:
            is_granted = waiter.granted.result()
        if is_granted:
            self._granted[priority] += 1
            return True
        self._cancel_waiter(waiter)
        self._refused[priority] += 1
        return False

    def release(self, duration_ms: float, is_available: bool) -> None:
        """Return the permit of a finished operation and adjust the rate.

        Parameters
        ----------
        duration_ms : float
            Time from sending the operation to its end, in milliseconds.
        is_available : bool
            Whether the store replied. A reply that reports a conflict or an invalid
            request counts.
        """
        self._in_flight -= 1
        settings = self.settings
        if is_available and duration_ms <= settings.slow_ms:
            # At a rate of r, r operations complete per second. Adding
            # increase_per_s / r for each one adds `increase_per_s` per second.
            increased_rate = self.rate_per_s + settings.increase_per_s / self.rate_per_s
            new_rate = min(increased_rate, self.rate_per_s + settings.increase_per_s)
            self.rate_per_s = min(settings.rate_max_per_s, new_rate)
        else:
            self._slow += 1
            self._decrease()
        self._grant_permits()

    def snapshot(self) -> BudgetSnapshot:
        """Return the current state and the counters since the start."""
        return BudgetSnapshot(
            self.rate_per_s,
            self._in_flight,
            len(self._waiters),
            {p.name.lower(): self._granted[p] for p in StorePriority},
            {p.name.lower(): self._refused[p] for p in StorePriority},
            self._slow,
        )

    def _decrease(self) -> None:
        settings, now_s = self.settings, asyncio.get_running_loop().time()
        if now_s - self._last_decrease_at_s < settings.decrease_interval_ms / 1000:
            return
        self._last_decrease_at_s = now_s
        decreased_rate = self.rate_per_s * settings.decrease_ratio
        self.rate_per_s = max(settings.rate_min_per_s, decreased_rate)

    def _grant_permits(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiters and self._in_flight < self.settings.in_flight_max:
            if loop.time() < self._next_grant_at_s:
                self._schedule_grants(loop)
                return
            waiter = heapq.heappop(self._waiters)
            if waiter.granted.done():
                continue
            waiter.granted.set_result(True)
            self._in_flight += 1
            interval_s = (0.5 + self._random.random()) / self.rate_per_s
            self._next_grant_at_s = loop.time() + interval_s

    def _schedule_grants(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is not None:
            self._timer.cancel()
        # A delay below the clock resolution would make the timer fire repeatedly
        # before the next permit is due, a busy loop.
        fire_at_s = max(self._next_grant_at_s, loop.time() + 0.001)
        self._timer = loop.call_at(fire_at_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._grant_permits()

    def _evict_lower(self, priority: StorePriority) -> bool:
        """Reject the waiter that is last in order if its priority is lower.

        Parameters
        ----------
        priority : StorePriority
            Priority of the operation that needs a place in the queue.

        Returns
        -------
        bool
            Whether a waiter was rejected.
        """
        candidate = max(self._waiters)
        if candidate.priority <= priority:
            return False
        self._waiters.remove(candidate)
        heapq.heapify(self._waiters)
        if not candidate.granted.done():
            candidate.granted.set_result(False)
        return True

    def _cancel_waiter(self, waiter: _Waiter) -> None:
        if waiter.granted.done() and not waiter.granted.cancelled():
            if waiter.granted.result():
                self._in_flight -= 1
                self._grant_permits()
            return
        waiter.granted.cancel()
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)


class BudgetedTableService(TableService):
    """Table service whose operations are subject to a `StoreBudget`.

    An operation that the budget rejects fails with ``NOT_APPLIED``, because it was
    never sent.

    Parameters
    ----------
    inner : TableService
        Service that runs the permitted operations.
    budget : StoreBudget
        Budget of the process.
    priority : StorePriority
        Priority of all operations of this instance.
    """

    def __init__(
        self, inner: TableService, budget: StoreBudget, priority: StorePriority
    ):
        self._inner = inner
        self._budget = budget
        self._priority = priority

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows by key."""
        return await self._run(lambda: self._inner.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Read a page of the rows whose keys have a prefix."""
        return await self._run(lambda: self._inner.scan(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        return await self._run(lambda: self._inner.transact(transaction))

    async def _run(self, operation) -> Result:
        if not await self._budget.acquire(self._priority):
            reason = "rejected by the store budget before it was sent"
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, reason))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        is_available = False
        try:
            result = await operation()
            is_available = result.is_ok() or result.error.kind in (
                StoreErrorKind.CONFLICT,
                StoreErrorKind.INVALID,
            )
            return result
        finally:
            self._budget.release((loop.time() - started_s) * 1000, is_available)
