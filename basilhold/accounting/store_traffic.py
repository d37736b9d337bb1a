"""Estimated traffic of a table service that is called in process."""

import msgspec
from expression import Result

from basilhold.accounting.traffic import Distance, Purpose, TrafficCounter
from basilhold.ports import Row, ScanPage, StoreError, TableService, Transaction

__all__ = ["TrafficCountingTableService"]


class TrafficCountingTableService(TableService):
    """Table service that counts its calls as HTTP traffic with JSON bodies.

    It is used by simulated cells, whose store is an in-memory object. Real programs
    use `CountingHttpClient` instead. Responses are counted as well as requests,
    because traffic on a paid link is charged in both directions.

    Parameters
    ----------
    inner : TableService
        Service that runs the operations.
    traffic : TrafficCounter
        Receives the counts, under ``Purpose.STORE``.
    distance : Distance
        Distance from the process to the store.
    """

    def __init__(
        self, inner: TableService, traffic: TrafficCounter, distance: Distance
    ):
        self._inner = inner
        self._traffic = traffic
        self._distance = distance

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows by key."""
        self._count(keys)
        return self._count_response(await self._inner.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Read a page of the rows whose keys have a prefix."""
        self._count((prefix, after, limit))
        return self._count_response(await self._inner.scan(prefix, after, limit))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        self._count(transaction)
        return self._count_response(await self._inner.transact(transaction))

    def _count_response(self, result: Result) -> Result:
        self._count(result.ok if result.is_ok() else result.error)
        return result

    def _count(self, body: object) -> None:
        size_bytes = len(msgspec.json.encode(body))
        self._traffic.add_http(Purpose.STORE, self._distance, size_bytes)
