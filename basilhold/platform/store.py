"""The platform's metadata store as table service and change feed."""

import asyncio
import base64
from typing import Any
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from basilhold.adapters import HttpAddress, HttpCall, HttpPool, HttpReply
from basilhold.ports import (
    ChangeFeed,
    Changes,
    Condition,
    Conflict,
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
)
from basilhold.workflows.shared_time import SharedTime

__all__ = ["PlatformStore"]

CALL_TIMEOUT_MS = 1_200
"""A slow store takes 280 ms for a transaction; a silent channel is given up here."""

ROWS_MAX = 500
"""Most rows in a reply."""

_STATUS_CONFLICT = 412
_STATUS_GONE = 410


class _WireRow(msgspec.Struct, omit_defaults=True):
    """A row of a reply. `part` groups rows that share transactions."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _WireReply(msgspec.Struct):
    """`ver` is the store's newest version, `now_ms` its steady clock."""

    rows: list[_WireRow] = []
    parts: list[str] = []
    has_more: bool = False
    ver: int = 0
    now_ms: float = 0.0


class _Answer(msgspec.Struct):
    """A reply of the store that could be read."""

    status: int
    body: _WireReply


_REPLY = msgspec.json.Decoder(_WireReply)


def _split(key: str) -> tuple[str, str, str]:
    """Return table, part and key of one of our keys, ``table/part/key``."""
    table, part, name = (*key.split("/", 2), "", "")[:3]
    return table, part, name


def _join(row: _WireRow) -> str:
    return f"{row.table}/{row.part}/{row.key}"


def _row(row: _WireRow) -> Row:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # One unreadable row must not hide the others; its reader rejects it as empty.
        value = b""
    return Row(_join(row), value, row.ver)


class PlatformStore(TableService, ChangeFeed):
    """Rows of the platform's store.

    Our key ``table/part/key`` names a row; rows of one transaction share a part.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
    time : SharedTime
        Learns the store's time from its replies.
    """

    def __init__(self, pool: HttpPool, address: HttpAddress, time: SharedTime):
        self._pool = pool
        self._address = address
        self._time = time

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the rows that exist among `keys`, each read by itself."""
        results = await asyncio.gather(*(self._read_one(key) for key in keys))
        rows: dict[str, Row] = {}
        for result in results:
            if result.is_error():
                return result
            rows.update((row.key, row) for row in result.ok.rows)
        return Ok(rows)

    async def _read_one(self, key: str) -> Result[ScanPage, StoreError]:
        table, part, name = _split(key)
        result = await self._range(table, part, name, 1)
        if result.is_error():
            return result
        return Ok(ScanPage(tuple(row for row in result.ok.rows if row.key == key)))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return rows of a prefix ``table/`` or ``table/part/``."""
        table, part, _ = _split(prefix)
        if prefix.count("/") < 2:
            return await self._scan_table(table)
        # The range includes its first key, which is the last one of the page before.
        wanted = min(limit + 1, ROWS_MAX) if after else limit
        result = await self._range(table, part, _split(after)[2], wanted)
        if result.is_error() or not after:
            return result
        rows = tuple(row for row in result.ok.rows if row.key != after)
        return Ok(ScanPage(rows, result.ok.next_after, result.ok.version))

    async def _scan_table(self, table: str) -> Result[ScanPage, StoreError]:
        """Return all rows of a table with few parts, as of the first page."""
        query = urlencode({"table": table})
        result = await self._get(f"/-/rows-parts?{query}", CALL_TIMEOUT_MS)
        if result.is_error():
            return result
        listed = result.ok.body
        rows: list[Row] = []
        version = listed.ver
        for part in listed.parts:
            page = await self._range(table, part, "", ROWS_MAX)
            if page.is_error():
                return page
            version = min(version or page.ok.version, page.ok.version)
            rows.extend(page.ok.rows)
        return Ok(ScanPage(tuple(rows), "", version))

    async def _range(
        self, table: str, part: str, first: str, limit: int
    ) -> Result[ScanPage, StoreError]:
        query: dict[str, Any] = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        result = await self._get(f"/-/rows-get?{urlencode(query)}", CALL_TIMEOUT_MS)
        if result.is_error():
            return result
        page = result.ok.body
        rows = tuple(_row(row) for row in page.rows)
        next_after = rows[-1].key if page.has_more and rows else ""
        return Ok(ScanPage(rows, next_after, page.ver))

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes of a table, restricted to a prefix."""
        table = _split(prefix)[0]
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        result = await self._get(f"/-/rows-feed?{query}", timeout_ms, gone_is_ok=True)
        if result.is_error():
            return result
        if result.ok.status == _STATUS_GONE:
            return Ok(Changes(complete=False))
        page = result.ok.body
        found = [row for row in page.rows if _join(row).startswith(prefix)]
        rows = tuple(_row(row) for row in found if not row.deleted)
        deleted = tuple(_join(row) for row in found if row.deleted)
        return Ok(Changes(rows, deleted, page.ver))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction; it is sent at most once."""
        body = msgspec.json.encode(_transaction_body(transaction))
        call = HttpCall(self._address, "POST", "/-/rows-tx", body, CALL_TIMEOUT_MS)
        result = await self._run(call)
        if result.is_error():
            return result
        if result.ok.status == _STATUS_CONFLICT:
            return Error(_conflict(transaction, result.ok.body))
        version = result.ok.body.ver
        if not version:
            # Taken for "no such row", it would end the lease with the next commit.
            reason = "the reply names no version"
            return Error(StoreError(StoreErrorKind.UNKNOWN, reason))
        return Ok(
            {
                write.key: 0 if write.value is None else version
                for write in transaction.writes
            }
        )

    async def _get(
        self, path: str, timeout_ms: int, gone_is_ok: bool = False
    ) -> Result[_Answer, StoreError]:
        call = HttpCall(
            self._address, "GET", path, timeout_ms=timeout_ms, repeatable=True
        )
        result = await self._run(call)
        if result.is_ok() and result.ok.status != 200:
            if gone_is_ok and result.ok.status == _STATUS_GONE:
                return result
            reason = f"status {result.ok.status}"
            return Error(StoreError(StoreErrorKind.INVALID, reason))
        return result

    async def _run(self, call: HttpCall) -> Result[_Answer, StoreError]:
        sent_ms = self._time.local_ms()
        result = await self._pool.run(call)
        if result.is_error():
            sent = result.error.sent
            kind = StoreErrorKind.UNKNOWN if sent else StoreErrorKind.NOT_APPLIED
            return Error(StoreError(kind, result.error.reason))
        status = result.ok.status
        if status == _STATUS_GONE:
            return Ok(_Answer(status, _WireReply()))
        if status in (200, _STATUS_CONFLICT):
            return self._read_reply(result.ok, sent_ms)
        # Refusals for load or for an outage say that nothing was done.
        if status in (429, 503, 507):
            kind = StoreErrorKind.NOT_APPLIED
        elif status >= 500:
            kind = StoreErrorKind.UNKNOWN
        else:
            kind = StoreErrorKind.INVALID
        return Error(StoreError(kind, f"status {status}"))

    def _read_reply(
        self, reply: HttpReply, sent_ms: float
    ) -> Result[_Answer, StoreError]:
        """Return what a reply says; a transaction may have taken effect if nothing."""
        try:
            body = _REPLY.decode(reply.body)
        except msgspec.DecodeError as error:
            reason = f"the reply cannot be read: {error}"
            return Error(StoreError(StoreErrorKind.UNKNOWN, reason))
        if body.now_ms:
            self._time.observe(body.now_ms, sent_ms, self._time.local_ms())
        return Ok(_Answer(reply.status, body))


def _transaction_body(transaction: Transaction) -> dict[str, Any]:
    parts = set()
    expected, puts, remove = [], [], []
    for condition in transaction.conditions:
        expected.append(_name(condition.key) | {"ver": condition.version})
        parts.add(_split(condition.key)[1])
    for write in transaction.writes:
        parts.add(_split(write.key)[1])
        if write.value is None:
            remove.append(_name(write.key))
        else:
            value = base64.b64encode(write.value).decode()
            puts.append(_name(write.key) | {"value": value})
    body: dict[str, Any] = {"expected": expected, "puts": puts, "remove": remove}
    if len(parts) > 1:
        body["cross_shard"] = True
    return body


def _name(key: str) -> dict[str, Any]:
    table, part, name = _split(key)
    return {"table": table, "part": part, "key": name}


def _conflict(transaction: Transaction, reply: _WireReply) -> StoreError:
    actual = {_join(row): row.ver for row in reply.rows}
    conflicts = tuple(
        Conflict(c.key, c.version, actual.get(c.key, 0))
        for c in transaction.conditions
        if _differs(c, actual)
    )
    return StoreError(StoreErrorKind.CONFLICT, "a condition failed", conflicts)


def _differs(condition: Condition, actual: dict[str, int]) -> bool:
    return actual.get(condition.key, 0) != condition.version
