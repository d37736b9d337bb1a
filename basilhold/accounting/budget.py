"""Budget of store operations of one process."""

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
    """Order in which waiting operations are sent."""

    LEASES = 0
    COMMITS = 1
    READS = 2
    REST = 3


class BudgetSettings(msgspec.Struct, frozen=True):
    """Bounds of a budget.

    Parameters
    ----------
    rate_max_per_s, rate_min_per_s : float
        Bounds of the rate of operations.
    rate_start_per_s : float
        Rate of a process that just started.
    increase_per_s : float
        How much the rate rises in each second of fast operations at the full rate.
    decrease_ratio : float
        Factor by which the rate falls after a slow or failed operation.
    decrease_interval_ms : int
        The rate falls at most once in this time, because operations that were sent
        together fail together.
    slow_ms : int
        Operations that take longer are slow.
    in_flight_max : int
        Operations that are sent at a time.
    waiting_max : int
        Operations that wait at a time; more are refused.
    wait_max_ms : int
        Longest wait before an operation is refused.
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
    """State of a budget, for export as metrics."""

    rate_per_s: float
    in_flight: int
    waiting: int
    granted: dict[str, int]
    refused: dict[str, int]
    slow: int


class _Waiter(msgspec.Struct, order=True):
    priority: int
    number: int
    granted: asyncio.Future[None]


class StoreBudget:
    """Paces the store operations of a process.

    The rate falls by a factor when the store is slow or fails, and rises by a
    constant while it is fast. Each pause between operations is jittered, so that
    processes that were stopped by the same outage do not return in step.

    Parameters
    ----------
    settings : BudgetSettings, optional
    rng : random.Random, optional
        Source of jitter.
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
        self._number = 0
        self._in_flight = 0
        self._next_at_s = 0.0
        self._decreased_at_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._granted: Counter[StorePriority] = Counter()
        self._refused: Counter[StorePriority] = Counter()
        self._slow = 0

    async def acquire(self, priority: StorePriority) -> bool:
        """Wait for the turn of an operation.

        Returns
        -------
        bool
            False if the operation must not be sent; otherwise `release` follows.
        """
        if len(self._waiters) >= self.settings.waiting_max and not self._make_room(
            priority
        ):
            self._refused[priority] += 1
            return False
        loop = asyncio.get_running_loop()
        self._number += 1
        waiter = _Waiter(int(priority), self._number, loop.create_future())
        heapq.heappush(self._waiters, waiter)
        self._grant_due()
        try:
            async with asyncio.timeout(self.settings.wait_max_ms / 1000):
                await waiter.granted
        except TimeoutError:
            is_granted = False
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        else:
            is_granted = waiter.granted.result()
        if is_granted:
            self._granted[priority] += 1
            return True
        self._withdraw(waiter)
        self._refused[priority] += 1
        return False

    def release(self, taken_ms: float, is_available: bool) -> None:
        """Take note of an operation's end.

        Parameters
        ----------
        taken_ms : float
            Time from sending to the reply, in milliseconds.
        is_available : bool
            Whether the store answered, be it with a conflict.
        """
        self._in_flight -= 1
        settings = self.settings
        if is_available and taken_ms <= settings.slow_ms:
            # A rate r gives r operations a second, so the rate rises by
            # `increase_per_s` in a second at the full rate.
            raised = self.rate_per_s + settings.increase_per_s / self.rate_per_s
            step = min(raised, self.rate_per_s + settings.increase_per_s)
            self.rate_per_s = min(settings.rate_max_per_s, step)
        else:
            self._slow += 1
            self._decrease()
        self._grant_due()

    def snapshot(self) -> BudgetSnapshot:
        """Return the state and the counts since the start."""
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
        if now_s - self._decreased_at_s < settings.decrease_interval_ms / 1000:
            return
        self._decreased_at_s = now_s
        lowered = self.rate_per_s * settings.decrease_ratio
        self.rate_per_s = max(settings.rate_min_per_s, lowered)

    def _grant_due(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiters and self._in_flight < self.settings.in_flight_max:
            if loop.time() < self._next_at_s:
                self._wake_later(loop)
                return
            waiter = heapq.heappop(self._waiters)
            if waiter.granted.done():
                continue
            waiter.granted.set_result(True)
            self._in_flight += 1
            pause_s = (0.5 + self._random.random()) / self.rate_per_s
            self._next_at_s = loop.time() + pause_s

    def _wake_later(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(self._next_at_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._grant_due()

    def _make_room(self, priority: StorePriority) -> bool:
        """Refuse the least important waiter if it is less important than this."""
        last = max(self._waiters)
        if last.priority <= priority:
            return False
        self._waiters.remove(last)
        heapq.heapify(self._waiters)
        if not last.granted.done():
            last.granted.set_result(False)
        return True

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter.granted.done() and not waiter.granted.cancelled():
            if waiter.granted.result():
                self._in_flight -= 1
                self._grant_due()
            return
        waiter.granted.cancel()
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)


class BudgetedTableService(TableService):
    """Sends the operations of one call site within a process's budget.

    An operation that gets no turn is refused as ``NOT_APPLIED``: it was never sent.

    Parameters
    ----------
    inner : TableService
    budget : StoreBudget
    priority : StorePriority
    """

    def __init__(
        self, inner: TableService, budget: StoreBudget, priority: StorePriority
    ):
        self._inner = inner
        self._budget = budget
        self._priority = priority

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows."""
        return await self._run(lambda: self._inner.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Read a page of rows."""
        return await self._run(lambda: self._inner.scan(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        return await self._run(lambda: self._inner.transact(transaction))

    async def _run(self, operation) -> Result:
        if not await self._budget.acquire(self._priority):
            reason = "no turn within the store budget"
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
