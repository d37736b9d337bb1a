"""HTTP adapter of the table service."""

import msgspec
from expression import Result

from basilhold.adapters.http import HttpAddress, HttpCall, HttpPool, HttpReply
from basilhold.adapters.store import run_store_call
from basilhold.adapters.wire import ReadBody, ReadReply, ScanBody, TransactReply
from basilhold.core import decode_json
from basilhold.ports import Row, ScanPage, StoreError, TableService, Transaction

__all__ = ["HttpTable"]


def _decode_read(reply: HttpReply) -> dict[str, Row]:
    rows = decode_json(reply.body, ReadReply).rows
    return {row.key: row for row in rows}


def _decode_scan(reply: HttpReply) -> ScanPage:
    return decode_json(reply.body, ScanPage)


def _decode_transact(reply: HttpReply) -> dict[str, int]:
    return decode_json(reply.body, TransactReply).versions


class HttpTable(TableService):
    """Table service over HTTP.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
    timeout_ms : int
        Bound of one operation, in milliseconds.
    """

    def __init__(self, pool: HttpPool, address: HttpAddress, timeout_ms: int = 2_000):
        self._pool = pool
        self._address = address
        self._timeout_ms = timeout_ms

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the rows that exist among `keys`."""
        call = self._call("read", ReadBody(keys), repeatable=True)
        return await run_store_call(self._pool, call, _decode_read)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return up to `limit` rows of a prefix."""
        call = self._call("scan", ScanBody(prefix, after, limit), repeatable=True)
        return await run_store_call(self._pool, call, _decode_scan)

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction; it is sent at most once."""
        call = self._call("transact", transaction, repeatable=False)
        return await run_store_call(self._pool, call, _decode_transact)

    def _call(
        self, operation: str, body: msgspec.Struct, *, repeatable: bool
    ) -> HttpCall:
        return HttpCall(
            self._address,
            "POST",
            f"/v1/table/{operation}",
            msgspec.json.encode(body),
            self._timeout_ms,
            repeatable,
        )
