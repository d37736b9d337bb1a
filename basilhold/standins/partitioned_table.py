"""In-memory table service whose partitions apply transactions one after another."""

import asyncio

from expression import Error, Result

from basilhold.ports import Row, StoreError, StoreErrorKind, Transaction
from basilhold.standins.feed_table import FeedTable

__all__ = ["PartitionedTable"]

ENTRIES_MAX = 100
"""Most conditions, writes and removals in one transaction."""

QUEUE_MAX_MS = 1_000.0
"""Time of waiting transactions above which a partition rejects further ones."""

TIMEOUT_MS = 1_200
"""Time after which a client gives up, unless it sets another one."""


class PartitionedTable(FeedTable):
    """Table service that becomes slow as a whole, and whose partitions have queues.

    A partition holds the rows with the same second element of the key. A transaction
    over several partitions takes twice as long, in each of them.

    Attributes
    ----------
    call_ms : float
        Time that each call takes besides its work in the partitions, in milliseconds.
    tx_ms : float
        Time that a transaction in one partition takes, in milliseconds.
    rejects_reads : bool
        Answer reads as partitions with a full queue do.
    transact_calls, rejected_calls : int
        Transactions that arrived, and those that were rejected by a full queue.
    """

    def __init__(self):
        super().__init__()
        self.call_ms = 2.0
        self.tx_ms = 4.0
        self.rejects_reads = False
        self.transact_calls = 0
        self.rejected_calls = 0
        self._free_at_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def slow_down(self, call_ms: float = 350.0, tx_ms: float = 312.0) -> None:
        """Make calls and transactions slow."""
        self.call_ms, self.tx_ms = call_ms, tx_ms

    def recover(self) -> None:
        """End the slowness; the queues of the partitions are processed quickly."""
        self.call_ms, self.tx_ms = 2.0, 4.0
        self._free_at_s.clear()

    async def _run(self, operation):
        await asyncio.sleep(self.call_ms / 1000)
        return _rejection() if self.rejects_reads else operation()

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction, also if its client gives up meanwhile."""
        return await self.transact_within(transaction, TIMEOUT_MS)

    async def transact_within(
        self, transaction: Transaction, timeout_ms: int
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction; its client gives up after `timeout_ms` milliseconds."""
        task = asyncio.create_task(self._transact(transaction))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait({task}, timeout=timeout_ms / 1000)
        if task.done():
            return task.result()
        return Error(StoreError(StoreErrorKind.UNKNOWN, "timed out"))

    async def _transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        self.transact_calls += 1
        await asyncio.sleep(self.call_ms / 2000)
        if len(transaction.conditions) + len(transaction.writes) > ENTRIES_MAX:
            return Error(StoreError(StoreErrorKind.INVALID, "too many entries"))
        now_s = asyncio.get_running_loop().time()
        entries = (*transaction.conditions, *transaction.writes)
        partitions = {entry.key.split("/")[1] for entry in entries}
        begin_s = max(now_s, *(self._free_at_s.get(name, 0.0) for name in partitions))
        if (begin_s - now_s) * 1000 > QUEUE_MAX_MS:
            self.rejected_calls += 1
            await asyncio.sleep(self.call_ms / 2000)
            return _rejection()
        work_ms = self.tx_ms * (2 if len(partitions) > 1 else 1)
        end_s = begin_s + work_ms / 1000
        self._free_at_s.update(dict.fromkeys(partitions, end_s))
        await asyncio.sleep(end_s - now_s)
        result = self.transact_now(transaction)
        await asyncio.sleep(self.call_ms / 2000)
        return result

    def fill_queue(self, partition: str) -> None:
        """Let a partition reject transactions for about a second."""
        now_s = asyncio.get_running_loop().time()
        self._free_at_s[partition] = now_s + 2 * QUEUE_MAX_MS / 1000

    def find(self, key: str) -> Row | None:
        """Return a row without latency."""
        return self.read_now((key,)).ok.get(key)


def _rejection() -> Result:
    return Error(StoreError(StoreErrorKind.NOT_APPLIED, "status 429", busy=True))
