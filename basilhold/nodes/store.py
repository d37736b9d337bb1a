"""Table service of a process, with its budget and counters."""

from expression import Result

from basilhold.accounting import (
    BudgetedTableService,
    CountingTableService,
    OperationCounter,
    StoreBudget,
    StorePriority,
)
from basilhold.ports import Row, ScanPage, StoreError, TableService, Transaction

__all__ = ["ProcessStore"]

_LEASE_PREFIXES = ("shard/", "reader/")
_COMMIT_PREFIXES = ("commit/", "once/")


class ProcessStore(TableService):
    """Sends each operation with the priority of its rows.

    Ownership rows come first, then commits and at-most-once records, then reads,
    then the rest.

    Parameters
    ----------
    inner : TableService
    budget : StoreBudget
    counter : OperationCounter
    purpose : str
        Purpose under which the operations are counted.
    """

    def __init__(
        self,
        inner: TableService,
        budget: StoreBudget,
        counter: OperationCounter,
        purpose: str,
    ):
        counting = CountingTableService(inner, counter, purpose)
        self._by_priority = {
            priority: BudgetedTableService(counting, budget, priority)
            for priority in StorePriority
        }

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows."""
        leases = any(key.startswith(_LEASE_PREFIXES) for key in keys)
        priority = StorePriority.LEASES if leases else StorePriority.READS
        return await self._by_priority[priority].read(keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Scan rows."""
        return await self._by_priority[StorePriority.READS].scan(prefix, after, limit)

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        keys = tuple(write.key for write in transaction.writes)
        priority = StorePriority.REST
        if any(key.startswith(_LEASE_PREFIXES) for key in keys):
            priority = StorePriority.LEASES
        elif any(key.startswith(_COMMIT_PREFIXES) for key in keys):
            priority = StorePriority.COMMITS
        return await self._by_priority[priority].transact(transaction)
