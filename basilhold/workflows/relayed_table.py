"""Table service that relays calls through a peer while this machine cannot reach it.

A store that rejects one machine's calls, or is partitioned from it, often still serves
other machines. Without a relay, an owner on that machine would stop until another
process has taken over its service, and its callers would be rejected.
"""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from expression import Error, Result

from basilhold.core import Clock, RegionName
from basilhold.observability import log_event
from basilhold.ports import (
    ChangeFeed,
    Changes,
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
)
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.peers import (
    ChangesCall,
    Member,
    PeerClient,
    ReadCall,
    ScanCall,
    StoreCall,
    TransactCall,
)

__all__ = ["RelayedTable"]

PEER_ATTEMPTS_MAX = 2
"""Peers tried for one call. With two attempts and three of ten peers dead, nine calls
in ten succeed."""

REPLY_AGE_MAX_MS = 1_300.0
"""A peer relays calls only if the store has replied to it within this time. It calls
the store at least once a second."""

PROBE_INTERVAL_MS = 400
SLOW_PEER_MS = 250.0
SLOW_PEER_PAUSE_MS = 3_000.0
"""A peer whose call failed after more than `SLOW_PEER_MS` may be dead, and is skipped
for `SLOW_PEER_PAUSE_MS`."""

LATENCY_DECREASE_WEIGHT = 0.2
"""Weight of a new latency below the running average; a higher latency replaces the
average at once."""

SLOW_READ_MS = 150.0
"""Round trip of reads above which the store is considered slow. Reads between regions
take 60 ms."""

SLOW_READS_MIN = 2
"""Consecutive slow reads that make a store slow; a single one may have been delayed on
its way."""

TRANSACTION_WAIT_MS = 1_200
"""How long a transaction is waited for, unless a slow store still answers other calls:
then it probably waits in the queue of its partition."""

TRANSACTION_CHECK_MS = 100

OUTAGE_PAUSE_MS = 500.0
"""How long no peer is tried after all attempts through peers have failed."""

PROBE_KEY = "owners//probe"
"""Key read to check that the store replies; the row need not exist."""

_NO_REPLY_KINDS = (StoreErrorKind.NOT_APPLIED, StoreErrorKind.UNKNOWN)
_UNREACHABLE = StoreError(
    StoreErrorKind.NOT_APPLIED, "store is unreachable from this machine"
)


class RelayedTable(TableService, ChangeFeed):
    """Calls the store directly or, while that fails, through a peer.

    A transaction may reach the store twice, directly and through a peer. It is applied
    only once if it has a condition on the rows that it writes, as those of owners and
    submissions have.

    Parameters
    ----------
    table : TableService
    feed : ChangeFeed
        Direct clients of the store.
    peers : PeerClient
        Client for calls to peers.
    members : callable
        Returns the live members, this process first.
    region : RegionName
        Region of this machine.
    clock : Clock
        Clock of this process.
    rng : random.Random
        Shuffles the peers.
    reports_reads : bool
        Whether `table` calls `on_read_reply` for each of its reads. If not, calls that
        are a single read are measured here.
    """

    def __init__(
        self,
        table: TableService,
        feed: ChangeFeed,
        peers: PeerClient,
        members: Callable[[], list[Member]],
        region: RegionName,
        clock: Clock,
        rng: random.Random,
        reports_reads: bool = False,
    ):
        self._reports_reads = reports_reads
        self._table = table
        self._feed = feed
        self._peers = peers
        self._members = members
        self._region = region
        self._clock = clock
        self._rng = rng
        self._tasks = BackgroundTasks()
        self._last_reply_ms = -1e9
        self._last_rejection_ms = -1e9
        self._reachable = asyncio.Event()
        self._reachable.set()
        self._relay_paused_until_ms = -1e9
        self._relay_endpoint = ""
        self._skip_until_ms: dict[str, float] = {}
        self._typical_latency_ms = 0.0
        self._read_times_ms: deque[float] = deque(maxlen=SLOW_READS_MIN)
        self._last_slow_ms = -1e9
        self._rejects_reads = False
        self._transaction_ms = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether the store answers this machine's reads, but slowly."""
        return self._has_replied_recently() and self._had_slow_reads()

    def was_slow_since(self, begin_ms: float) -> bool:
        """Return whether the store answers, and slowly at some time since `begin_ms`.

        What has waited in a slow store may be answered after it has become fast again.
        """
        return self._has_replied_recently() and self._last_slow_ms >= begin_ms

    def _has_replied_recently(self) -> bool:
        silent_ms = self._clock.monotonic_ms() - self._last_reply_ms
        return silent_ms <= REPLY_AGE_MAX_MS

    def _had_slow_reads(self) -> bool:
        is_complete = len(self._read_times_ms) == SLOW_READS_MIN
        return is_complete and min(self._read_times_ms) > SLOW_READ_MS

    @property
    def last_reply_ms(self) -> float:
        """Monotonic time of the store's last direct reply, in milliseconds."""
        return self._last_reply_ms

    @property
    def last_sign_of_life_ms(self) -> float:
        """Monotonic time of the last reply, or of the last rejection by a full queue.

        It shows that the store works, though perhaps not that it applies transactions.
        """
        return max(self._last_reply_ms, self._last_rejection_ms)

    @property
    def typical_latency_ms(self) -> float:
        """Running average of the latency of direct calls, in milliseconds."""
        return self._typical_latency_ms

    def on_read_reply(self, latency_ms: float | None) -> None:
        """Note that the store has answered a single read of this process.

        Parameters
        ----------
        latency_ms : float, optional
            Round trip in milliseconds; ``None`` for a long poll.
        """
        self._last_reply_ms = self._clock.monotonic_ms()
        self._rejects_reads = False
        if latency_ms is not None:
            self._read_times_ms.append(latency_ms)
            if self._had_slow_reads():
                self._last_slow_ms = self._last_reply_ms

    @property
    def read_ms(self) -> float:
        """Shortest round trip of the last reads; 0 before the first one."""
        return min(self._read_times_ms, default=0.0)

    @property
    def transaction_ms(self) -> float:
        """Running average of the time of this process's own commits, in milliseconds.

        Writes of callers are not counted, as they wait for each other.
        """
        return self._transaction_ms

    async def close(self) -> None:
        """Stop probing the store."""
        await self._tasks.cancel()

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the rows that exist among `keys`."""
        return await self._run(ReadCall(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return up to `limit` rows of a prefix whose keys follow `after`."""
        return await self._run(ScanCall(prefix, after, limit))

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes of a prefix after a version.

        Waits up to `wait_ms` milliseconds for a change if there is none yet.
        """
        return await self._run(ChangesCall(prefix, after, wait_ms))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        return await self._transact(TransactCall(transaction), None)

    async def transact_within(
        self, transaction: Transaction, timeout_ms: int
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction.

        Its reply is waited for up to `timeout_ms` milliseconds while the store is slow,
        and as long as in `transact` otherwise: without replies to other calls, the
        store is probably cut off.
        """
        timeout_ms = max(timeout_ms, TRANSACTION_WAIT_MS)
        return await self._transact(TransactCall(transaction), timeout_ms)

    async def serve(self, call: StoreCall) -> Result[Any, StoreError]:
        """Execute a peer's call, unless the store has not replied here recently."""
        if self._clock.monotonic_ms() - self._last_reply_ms > REPLY_AGE_MAX_MS:
            return Error(_UNREACHABLE)
        return await self._direct(call)

    async def _run(self, call: StoreCall) -> Result[Any, StoreError]:
        if self._reachable.is_set():
            result = await self._direct(call)
            if not _has_no_reply(result):
                return result
            self._mark_unreachable(result.error.reason)
        return await self._relay_until_reachable(call)

    async def _relay_until_reachable(self, call: StoreCall) -> Result[Any, StoreError]:
        """Relay a read, or send it directly as soon as the store replies again.

        A relayed call may wait long for a peer that is cut off or dead. Meanwhile
        `_probe` calls the store, so that such peers delay a read only as long as the
        store cannot be reached.
        """
        relaying = asyncio.create_task(self._relay(call))
        probing = asyncio.create_task(self._reachable.wait())
        try:
            await asyncio.wait((relaying, probing), return_when=asyncio.FIRST_COMPLETED)
            if relaying.done() and _is_final(call, relaying.result()):
                return relaying.result()
            if probing.done():
                return await self._direct(call)
            return relaying.result()
        finally:
            relaying.cancel()
            probing.cancel()

    async def _transact(
        self, call: TransactCall, timeout_ms: int | None
    ) -> Result[Any, StoreError]:
        if not self._reachable.is_set():
            relayed = await self._relay(call)
            if _is_final(call, relayed):
                return relayed
        sent_ms = self._clock.monotonic_ms()
        result = await self._transact_directly(call, timeout_ms)
        if not _has_no_reply(result) or _is_busy(result):
            return result
        if not (self.was_slow_since(sent_ms) and self._last_reply_ms > sent_ms):
            self._mark_unreachable(result.error.reason)
        if _is_final(call, result):
            # The caller has to find out whether a transaction without a reply was
            # applied.
            return result
        relayed = await self._relay(call)
        return relayed if _is_final(call, relayed) else result

    async def _transact_directly(
        self, call: TransactCall, timeout_ms: int | None
    ) -> Result[Any, StoreError]:
        """Apply a transaction, and wait as long as the store seems to process it."""
        if timeout_ms is None:
            return await self._direct(call)
        sent_ms = self._clock.monotonic_ms()
        sending = asyncio.create_task(self._direct(call, timeout_ms))
        try:
            await asyncio.wait({sending}, timeout=TRANSACTION_WAIT_MS / 1000)
            while not sending.done() and self.was_slow_since(sent_ms):
                await asyncio.wait({sending}, timeout=TRANSACTION_CHECK_MS / 1000)
            if sending.done():
                return sending.result()
        finally:
            sending.cancel()
        return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))

    async def _direct(
        self, call: StoreCall, timeout_ms: int | None = None
    ) -> Result[Any, StoreError]:
        begin_ms = self._clock.monotonic_ms()
        result = await _call_store(self._table, self._feed, call, timeout_ms)
        if _is_busy(result):
            return self._classify_busy(call, result)
        if not _has_no_reply(result):
            self._last_reply_ms = self._clock.monotonic_ms()
            self._mark_reachable()
            if not (isinstance(call, ChangesCall) and call.wait_ms):
                self._record_latency(call, self._last_reply_ms - begin_ms)
            if isinstance(call, TransactCall) and timeout_ms is None:
                self._transaction_ms = _raise_or_decay(
                    self._transaction_ms, self._last_reply_ms - begin_ms
                )
        return result

    def _classify_busy(
        self, call: StoreCall, result: Result[Any, StoreError]
    ) -> Result[Any, StoreError]:
        """Return the result of a rejected call, `busy` only if no other path helps.

        In a slow store that answers reads, the queue of a partition is full for all
        machines. Otherwise the store may reject this machine's calls only.
        """
        is_transaction = isinstance(call, TransactCall)
        if not is_transaction:
            self._rejects_reads = True
        if is_transaction and self.is_slow and not self._rejects_reads:
            self._last_rejection_ms = self._clock.monotonic_ms()
            return result
        return Error(msgspec.structs.replace(result.error, busy=False))

    def _record_latency(self, call: StoreCall, latency_ms: float) -> None:
        # A scan may be several reads, one after another.
        if not self._reports_reads and isinstance(call, ReadCall | ChangesCall):
            self.on_read_reply(latency_ms)
        # The wait in the queue of a partition says nothing about other calls.
        latency_ms = min(latency_ms, TRANSACTION_WAIT_MS)
        self._typical_latency_ms = _raise_or_decay(self._typical_latency_ms, latency_ms)

    def _mark_unreachable(self, reason: str) -> None:
        if self._reachable.is_set():
            self._reachable.clear()
            self._tasks.start(self._probe(reason))

    def _mark_reachable(self) -> None:
        if not self._reachable.is_set():
            self._reachable.set()
            self._relay_endpoint = ""

    async def _probe(self, reason: str) -> None:
        """Call the store directly until it replies.

        A probe does not wait for the previous one, which may have been lost.
        """
        begin_ms = self._clock.monotonic_ms()
        logged = False
        while not self._reachable.is_set():
            self._tasks.start(self._direct(ReadCall((PROBE_KEY,))))
            if self._relay_endpoint and not logged:
                log_event(
                    events.STORE_RELAYED, peer=self._relay_endpoint, reason=reason
                )
                logged = True
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PROBE_INTERVAL_MS / 1000):
                    await self._reachable.wait()
        if logged:
            after_ms = round(self._clock.monotonic_ms() - begin_ms)
            log_event(events.STORE_DIRECT, after_ms=after_ms)

    async def _relay(self, call: StoreCall) -> Result[Any, StoreError]:
        if self._clock.monotonic_ms() < self._relay_paused_until_ms:
            return Error(_UNREACHABLE)
        result: Result[Any, StoreError] = Error(_UNREACHABLE)
        for endpoint in self._peer_order()[:PEER_ATTEMPTS_MAX]:
            begin_ms = self._clock.monotonic_ms()
            result = await self._peers.store_call(endpoint, call)
            if _is_final(call, result):
                self._relay_endpoint = "" if self._reachable.is_set() else endpoint
                return result
            now_ms = self._clock.monotonic_ms()
            if now_ms - begin_ms > SLOW_PEER_MS:
                self._skip_until_ms[endpoint] = now_ms + SLOW_PEER_PAUSE_MS
        self._relay_endpoint = ""
        self._relay_paused_until_ms = self._clock.monotonic_ms() + OUTAGE_PAUSE_MS
        return result

    def _peer_order(self) -> list[str]:
        """Return the endpoints of peers in the order in which to try them.

        The peer that relayed last comes first, then peers in the own region, and among
        those peers with a wide link: the commits of an owner of many workers saturate a
        narrow one.
        """
        now_ms = self._clock.monotonic_ms()
        others = [
            member
            for member in self._members()[1:]
            if self._skip_until_ms.get(member.endpoint, 0.0) <= now_ms
        ]
        self._rng.shuffle(others)
        others.sort(
            key=lambda m: (
                m.endpoint != self._relay_endpoint,
                m.region != self._region,
                not m.wide_link,
            )
        )
        return [member.endpoint for member in others]


def _call_store(
    table: TableService,
    feed: ChangeFeed,
    call: StoreCall,
    timeout_ms: int | None = None,
) -> Awaitable[Result[Any, StoreError]]:
    if isinstance(call, ReadCall):
        return table.read(call.keys)
    if isinstance(call, ScanCall):
        return table.scan(call.prefix, call.after, call.limit)
    if isinstance(call, ChangesCall):
        return feed.changes(call.prefix, call.after, call.wait_ms)
    if timeout_ms is None:
        return table.transact(call.transaction)
    return table.transact_within(call.transaction, timeout_ms)


def _raise_or_decay(average_ms: float, value_ms: float) -> float:
    """Return a running average that follows a higher value at once."""
    weight = 1.0 if value_ms > average_ms else LATENCY_DECREASE_WEIGHT
    return average_ms + weight * (value_ms - average_ms)


def _has_no_reply(result: Result[Any, StoreError]) -> bool:
    return result.is_error() and result.error.kind in _NO_REPLY_KINDS


def _is_busy(result: Result[Any, StoreError]) -> bool:
    return result.is_error() and result.error.busy


def _is_final(call: StoreCall, result: Result[Any, StoreError]) -> bool:
    """Return whether a result is final, so that no other path should be tried."""
    if result.is_ok():
        return True
    if result.error.busy:
        # Every machine's transactions wait in the same queue.
        return True
    if result.error.kind is StoreErrorKind.UNKNOWN:
        return isinstance(call, TransactCall)
    return result.error.kind is not StoreErrorKind.NOT_APPLIED
