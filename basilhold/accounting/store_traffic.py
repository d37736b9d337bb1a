"""Counts the bytes of a table service that is reached without a real connection."""

import msgspec
from expression import Result

from basilhold.accounting.traffic import Distance, Purpose, TrafficCounter
from basilhold.ports import Row, ScanPage, StoreError, TableService, Transaction

__all__ = ["TrafficCountingTableService"]


class TrafficCountingTableService(TableService):
    """Counts requests and responses as HTTP with JSON bodies.

    Programs count the bytes of their HTTP client; cells over stand-ins use this. The
    responses are counted too, since both directions of a paid link are paid for.

    Parameters
    ----------
    inner : TableService
    traffic : TrafficCounter
    distance : Distance
        From the process to the store.
    """

    def __init__(
        self, inner: TableService, traffic: TrafficCounter, distance: Distance
    ):
        self._inner = inner
        self._traffic = traffic
        self._distance = distance

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows."""
        self._count(keys)
        return self._counted(await self._inner.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Scan rows."""
        self._count((prefix, after, limit))
        return self._counted(await self._inner.scan(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        self._count(transaction)
        return self._counted(await self._inner.transact(transaction))

    def _counted(self, result: Result) -> Result:
        self._count(result.ok if result.is_ok() else result.error)
        return result

    def _count(self, content: object) -> None:
        size_bytes = len(msgspec.json.encode(content))
        self._traffic.add_http(Purpose.STORE, self._distance, size_bytes)
