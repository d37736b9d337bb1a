"""Client of the platform's metadata store: table service and change feed."""

import asyncio
import base64
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from basilhold.adapters import HttpAddress, HttpCall, HttpPool, HttpReply
from basilhold.core import JsonDecoder
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
"""A slow store takes 280 ms for a transaction. A call without a reply is abandoned
after this time, and one whose reply stops arriving."""

ROWS_PER_REPLY_MAX = 500
"""Largest number of rows in a reply."""

PARTS_PER_REPLY_MAX = 1_000
"""Largest number of parts of a table in a reply."""

FIRST_CHARACTER = " "
"""Lowest character in keys. No key lies between another key and that key followed by
this character."""

_STATUS_CONFLICT = 412
_STATUS_GONE = 410
_STATUS_BUSY = 429


class _WireRow(msgspec.Struct, omit_defaults=True):
    """A row in a reply.

    `part` is the transaction scope of the row, `ver` the version of its last write, and
    `value` is encoded in base64.
    """

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _WireReply(msgspec.Struct):
    """Body of a reply, with the store's newest version and its steady clock."""

    rows: list[_WireRow] = []
    parts: list[str] = []
    has_more: bool = False
    ver: int = 0
    now_ms: float = 0.0


class _StoreReply(msgspec.Struct):
    """A decoded reply of the store, with its HTTP status."""

    status: int
    body: _WireReply


_REPLY_DECODER = JsonDecoder(_WireReply)


def _split_key(key: str) -> tuple[str, str, str]:
    """Split a row key, ``table/part/key``; absent elements are empty."""
    table, part, name = (*key.split("/", 2), "", "")[:3]
    return table, part, name


def _join_key(row: _WireRow) -> str:
    return f"{row.table}/{row.part}/{row.key}"


def _decode_row(row: _WireRow) -> Row:
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # One undecodable row must not hide the others; readers reject an empty value.
        value = b""
    return Row(_join_key(row), value, row.ver)


class PlatformStore(TableService, ChangeFeed):
    """Client of the platform's metadata store.

    A row key has the form ``table/part/key``. Transactions on rows of several parts are
    marked as such in the request.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
    shared_time : SharedTime
        Is updated with the store's clock from each reply.

    Attributes
    ----------
    on_read : callable or None
        Called with the round trip of each read that is answered, in milliseconds, or
        ``None`` after a long poll. A scan consists of several reads.
    """

    def __init__(self, pool: HttpPool, address: HttpAddress, shared_time: SharedTime):
        self._pool = pool
        self._address = address
        self._shared_time = shared_time
        self.on_read: Callable[[float | None], None] | None = None

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return those rows of `keys` that exist; each is read in a separate call."""
        results = await asyncio.gather(*(self._read_one(key) for key in keys))
        rows: dict[str, Row] = {}
        for result in results:
            if result.is_error():
                return result
            rows.update((row.key, row) for row in result.ok.rows)
        return Ok(rows)

    async def _read_one(self, key: str) -> Result[ScanPage, StoreError]:
        table, part, name = _split_key(key)
        result = await self._read_range(table, part, name, 1)
        if result.is_error():
            return result
        return Ok(ScanPage(tuple(row for row in result.ok.rows if row.key == key)))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return the rows with a prefix, ``table/`` or ``table/part/``.

        Parameters
        ----------
        prefix : str
        after : str
            Key after which to start; only used for a prefix with a part.
        limit : int
            Largest number of rows; only used for a prefix with a part.
        """
        table, part, _ = _split_key(prefix)
        if prefix.count("/") < 2:
            return await self._scan_table(table)
        return await self._read_page(table, part, after, limit)

    async def _read_page(
        self, table: str, part: str, after: str, limit: int
    ) -> Result[ScanPage, StoreError]:
        """Return the rows of a part whose keys follow `after`, if it is not empty."""
        # The store's range includes `after`; request one more row, and drop that one.
        row_limit = min(limit + 1, ROWS_PER_REPLY_MAX) if after else limit
        name = _split_key(after)[2]
        result = await self._read_range(table, part, name, row_limit)
        if result.is_error() or not after:
            return result
        rows = tuple(row for row in result.ok.rows if row.key != after)
        if not rows and result.ok.next_after:
            # The dropped row has filled the reply.
            return await self._read_range(table, part, name + FIRST_CHARACTER, limit)
        return Ok(ScanPage(rows, result.ok.next_after, result.ok.version))

    async def _scan_table(self, table: str) -> Result[ScanPage, StoreError]:
        """Return all rows of a table with few parts.

        The version is the oldest one of the replies, so that a feed from there misses
        no change made in the meantime.
        """
        listed = await self._list_parts(table)
        if listed.is_error():
            return listed
        parts, version = listed.ok
        rows: list[Row] = []
        for part in parts:
            after = ""
            while True:
                page = await self._read_page(table, part, after, ROWS_PER_REPLY_MAX)
                if page.is_error():
                    return page
                version = min(version or page.ok.version, page.ok.version)
                rows.extend(page.ok.rows)
                after = page.ok.next_after
                if not after:
                    break
        return Ok(ScanPage(tuple(rows), "", version))

    async def _list_parts(
        self, table: str
    ) -> Result[tuple[list[str], int], StoreError]:
        """Return the parts of a table, and the version of the first reply."""
        parts: list[str] = []
        version = 0
        while True:
            query = {"table": table}
            if parts:
                query["after"] = parts[-1]
            path = f"/-/rows-parts?{urlencode(query)}"
            result = await self._get(path, CALL_TIMEOUT_MS)
            if result.is_error():
                return result
            reply = result.ok.body
            version = version or reply.ver
            parts.extend(reply.parts)
            if len(reply.parts) < PARTS_PER_REPLY_MAX:
                return Ok((parts, version))

    async def _read_range(
        self, table: str, part: str, first_key: str, limit: int
    ) -> Result[ScanPage, StoreError]:
        query: dict[str, Any] = {"table": table, "part": part, "limit": limit}
        if first_key:
            query["from"] = first_key
        result = await self._get(f"/-/rows-get?{urlencode(query)}", CALL_TIMEOUT_MS)
        if result.is_error():
            return result
        page = result.ok.body
        rows = tuple(_decode_row(row) for row in page.rows)
        next_after = rows[-1].key if page.has_more and rows else ""
        return Ok(ScanPage(rows, next_after, page.ver))

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes of rows with a prefix; a long poll.

        Parameters
        ----------
        prefix : str
            Begins with the table, ``table/``.
        after : int
            Version after which to return changes.
        wait_ms : int
            How long the store waits for a change, in milliseconds.

        Returns
        -------
        Result of (Changes, StoreError)
            Not `complete` if the store has dropped the history after that version.
        """
        table = _split_key(prefix)[0]
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        result = await self._get(
            f"/-/rows-feed?{query}", timeout_ms, gone_allowed=True, is_poll=wait_ms > 0
        )
        if result.is_error():
            return result
        if result.ok.status == _STATUS_GONE:
            return Ok(Changes(complete=False))
        page = result.ok.body
        matching = [row for row in page.rows if _join_key(row).startswith(prefix)]
        rows = tuple(_decode_row(row) for row in matching if not row.deleted)
        deleted = tuple(_join_key(row) for row in matching if row.deleted)
        return Ok(Changes(rows, deleted, page.ver))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction; it is sent at most once.

        Returns
        -------
        Result of (dict, StoreError)
            New version of each written row by key, 0 for deleted ones. The error is
            `StoreErrorKind.UNKNOWN` if the transaction may have taken effect.
        """
        return await self.transact_within(transaction, CALL_TIMEOUT_MS)

    async def transact_within(
        self, transaction: Transaction, timeout_ms: int
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction, and wait for the reply up to `timeout_ms` milliseconds.

        See `transact`.
        """
        body = msgspec.json.encode(_encode_transaction(transaction))
        call = HttpCall(self._address, "POST", "/-/rows-tx", body, timeout_ms)
        result = await self._call(call)
        if result.is_error():
            return result
        if result.ok.status == _STATUS_CONFLICT:
            return Error(_make_conflict_error(transaction, result.ok.body))
        version = result.ok.body.ver
        if not version:
            # Version 0 means "no such row": the owner's next commit would fail its
            # condition and so end the lease.
            reason = "the reply has no version"
            return Error(StoreError(StoreErrorKind.UNKNOWN, reason))
        return Ok(
            {
                write.key: 0 if write.value is None else version
                for write in transaction.writes
            }
        )

    async def _get(
        self,
        path: str,
        timeout_ms: int,
        gone_allowed: bool = False,
        is_poll: bool = False,
    ) -> Result[_StoreReply, StoreError]:
        call = HttpCall(
            self._address,
            "GET",
            path,
            timeout_ms=timeout_ms,
            stall_ms=CALL_TIMEOUT_MS,
            repeatable=True,
        )
        sent_ms = self._shared_time.local_ms()
        result = await self._call(call)
        if result.is_ok() and self.on_read is not None:
            self.on_read(None if is_poll else self._shared_time.local_ms() - sent_ms)
        if result.is_ok() and result.ok.status != 200:
            if gone_allowed and result.ok.status == _STATUS_GONE:
                return result
            reason = f"status {result.ok.status}"
            return Error(StoreError(StoreErrorKind.INVALID, reason))
        return result

    async def _call(self, call: HttpCall) -> Result[_StoreReply, StoreError]:
        sent_ms = self._shared_time.local_ms()
        result = await self._pool.run(call)
        if result.is_error():
            sent = result.error.sent
            kind = StoreErrorKind.UNKNOWN if sent else StoreErrorKind.NOT_APPLIED
            return Error(StoreError(kind, result.error.reason))
        status = result.ok.status
        if status == _STATUS_GONE:
            return Ok(_StoreReply(status, _WireReply()))
        if status in (200, _STATUS_CONFLICT):
            return self._decode_reply(result.ok, sent_ms)
        # With these statuses, for overload or an outage, nothing has been applied.
        if status in (_STATUS_BUSY, 503, 507):
            kind = StoreErrorKind.NOT_APPLIED
        elif status >= 500:
            kind = StoreErrorKind.UNKNOWN
        else:
            kind = StoreErrorKind.INVALID
        busy = status == _STATUS_BUSY
        return Error(StoreError(kind, f"status {status}", busy=busy))

    def _decode_reply(
        self, reply: HttpReply, sent_ms: float
    ) -> Result[_StoreReply, StoreError]:
        """Decode a reply and pass on the store's clock.

        The outcome of a call with an undecodable reply is unknown, as a transaction may
        have taken effect.
        """
        try:
            body = _REPLY_DECODER.decode(reply.body)
        except msgspec.DecodeError as error:
            reason = f"the reply cannot be read: {error}"
            return Error(StoreError(StoreErrorKind.UNKNOWN, reason))
        if body.now_ms:
            self._shared_time.observe(
                body.now_ms, sent_ms, self._shared_time.local_ms()
            )
        return Ok(_StoreReply(reply.status, body))


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    parts = set()
    expected, puts, remove = [], [], []
    for condition in transaction.conditions:
        expected.append(_encode_key(condition.key) | {"ver": condition.version})
        parts.add(_split_key(condition.key)[1])
    for write in transaction.writes:
        parts.add(_split_key(write.key)[1])
        if write.value is None:
            remove.append(_encode_key(write.key))
        else:
            value = base64.b64encode(write.value).decode()
            puts.append(_encode_key(write.key) | {"value": value})
    body: dict[str, Any] = {"expected": expected, "puts": puts, "remove": remove}
    if len(parts) > 1:
        body["cross_shard"] = True
    return body


def _encode_key(key: str) -> dict[str, Any]:
    table, part, name = _split_key(key)
    return {"table": table, "part": part, "key": name}


def _make_conflict_error(transaction: Transaction, reply: _WireReply) -> StoreError:
    actual = {_join_key(row): row.ver for row in reply.rows}
    conflicts = tuple(
        Conflict(condition.key, condition.version, actual.get(condition.key, 0))
        for condition in transaction.conditions
        if _is_violated(condition, actual)
    )
    return StoreError(StoreErrorKind.CONFLICT, "a condition failed", conflicts)


def _is_violated(condition: Condition, actual: dict[str, int]) -> bool:
    return actual.get(condition.key, 0) != condition.version
