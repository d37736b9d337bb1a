"""The table service, reached through a peer where this machine does not reach it.

A store that refuses one machine, or is cut off from it, often serves the others. An
owner on such a machine would stop for a whole takeover, and its callers be refused.
Answers load: machines that lose the store while it serves the rest.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

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
    PeerCalls,
    ReadCall,
    ScanCall,
    StoreCall,
    TransactCall,
)

__all__ = ["RelayedTable"]

PEERS_TRIED_MAX = 2
"""Peers asked for one call: with three of ten peers dead, nine calls in ten succeed."""

FRESH_MS = 1_300.0
"""A peer relays while the store has answered it this recently; it asks once a second at
least."""

PROBE_INTERVAL_MS = 400
SLOW_PEER_MS = 250.0
SILENT_PEER_MS = 3_000.0
"""A peer that took this long to fail may be dead, and is not asked for a while."""

USUAL_WEIGHT = 0.2
"""How fast a usual time that has become shorter is learnt; a longer one is taken at
once."""

OUTAGE_PAUSE_MS = 500.0
"""How long peers are left alone once none of them reaches the store either."""

PROBE_KEY = "owners//probe"
"""A row that need not exist; reading it shows that the store answers."""

_WITHOUT_ANSWER = (StoreErrorKind.NOT_APPLIED, StoreErrorKind.UNKNOWN)
_REFUSED = StoreError(StoreErrorKind.NOT_APPLIED, "the store does not answer here")


class RelayedTable(TableService, ChangeFeed):
    """Calls the store directly or, while that fails, through a peer.

    A transaction that reaches the store twice, by both ways, applies once if it has a
    condition on what it writes; owners and submissions see to that.

    Parameters
    ----------
    table : TableService
    feed : ChangeFeed
        The store as this machine reaches it.
    peers : PeerCalls
    members : callable
        Returns the processes that are alive, this one first.
    region : RegionName
        Of this machine.
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        table: TableService,
        feed: ChangeFeed,
        peers: PeerCalls,
        members: Callable[[], list[Member]],
        region: RegionName,
        clock: Clock,
        rng: random.Random,
    ):
        self._table = table
        self._feed = feed
        self._peers = peers
        self._members = members
        self._region = region
        self._clock = clock
        self._rng = rng
        self._tasks = BackgroundTasks()
        self._answered_ms = -1e9
        self._lost_ms: float | None = None
        self._no_peers_until_ms = -1e9
        self._helper = ""
        self._silent_until_ms: dict[str, float] = {}
        self._usual_ms = 0.0

    @property
    def answered_ms(self) -> float:
        """Time of the loop's clock at which the store last answered directly."""
        return self._answered_ms

    @property
    def usual_ms(self) -> float:
        """Time that a call takes, as far as the last answers tell."""
        return self._usual_ms

    async def close(self) -> None:
        """Stop looking for the store."""
        await self._tasks.cancel()

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Return the rows that exist among `keys`."""
        return await self._run(ReadCall(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Return rows of a prefix."""
        return await self._run(ScanCall(prefix, after, limit))

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes of a prefix after a version."""
        return await self._run(ChangesCall(prefix, after, wait_ms))

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        return await self._run(TransactCall(transaction))

    async def serve(self, call: StoreCall) -> Result[Any, StoreError]:
        """Run a peer's call, if the store has answered this machine lately."""
        if self._clock.monotonic_ms() - self._answered_ms > FRESH_MS:
            return Error(_REFUSED)
        return await self._direct(call)

    async def _run(self, call: StoreCall) -> Result[Any, StoreError]:
        if self._lost_ms is not None:
            relayed = await self._relay(call)
            if _is_final(call, relayed):
                return relayed
        result = await self._direct(call)
        if result.is_ok() or result.error.kind not in _WITHOUT_ANSWER:
            return result
        self._note_lost(result.error.reason)
        if _is_final(call, result):
            # Whether a transaction without a reply was applied is for the caller.
            return result
        relayed = await self._relay(call)
        return relayed if _is_final(call, relayed) else result

    def _direct(self, call: StoreCall) -> Awaitable[Result[Any, StoreError]]:
        return self._note_answer(call, _call(self._table, self._feed, call))

    async def _note_answer(
        self, call: StoreCall, answer: Awaitable[Result[Any, StoreError]]
    ) -> Result:
        begin_ms = self._clock.monotonic_ms()
        result = await answer
        if result.is_ok() or result.error.kind not in _WITHOUT_ANSWER:
            self._answered_ms = self._clock.monotonic_ms()
            if not (isinstance(call, ChangesCall) and call.wait_ms):
                self._note_time(self._answered_ms - begin_ms)
        return result

    def _note_time(self, took_ms: float) -> None:
        weight = 1.0 if took_ms > self._usual_ms else USUAL_WEIGHT
        self._usual_ms += weight * (took_ms - self._usual_ms)

    def _note_lost(self, reason: str) -> None:
        if self._lost_ms is None:
            self._lost_ms = self._clock.monotonic_ms()
            self._tasks.start(self._probe(reason))

    async def _probe(self, reason: str) -> None:
        """Ask the store directly until it answers."""
        lost_ms = self._clock.monotonic_ms()
        logged = False
        while (await self._direct(ReadCall((PROBE_KEY,)))).is_error():
            if self._helper and not logged:
                log_event(events.STORE_RELAYED, peer=self._helper, reason=reason)
                logged = True
            await asyncio.sleep(PROBE_INTERVAL_MS / 1000)
        self._lost_ms = None
        self._helper = ""
        if logged:
            after_ms = round(self._clock.monotonic_ms() - lost_ms)
            log_event(events.STORE_DIRECT, after_ms=after_ms)

    async def _relay(self, call: StoreCall) -> Result[Any, StoreError]:
        if self._clock.monotonic_ms() < self._no_peers_until_ms:
            return Error(_REFUSED)
        result: Result[Any, StoreError] = Error(_REFUSED)
        for endpoint in self._peer_order()[:PEERS_TRIED_MAX]:
            asked_ms = self._clock.monotonic_ms()
            result = await self._peers.store_call(endpoint, call)
            if _is_final(call, result):
                self._helper = endpoint if self._lost_ms is not None else ""
                return result
            now_ms = self._clock.monotonic_ms()
            if now_ms - asked_ms > SLOW_PEER_MS:
                self._silent_until_ms[endpoint] = now_ms + SILENT_PEER_MS
        self._helper = ""
        self._no_peers_until_ms = self._clock.monotonic_ms() + OUTAGE_PAUSE_MS
        return result

    def _peer_order(self) -> list[str]:
        """Return the peers to ask, the one that helped last first.

        Of the others come those in the own region first, and of these those with wide
        links: the commits of an owner of many workers fill a narrow one.
        """
        now_ms = self._clock.monotonic_ms()
        others = [
            member
            for member in self._members()[1:]
            if self._silent_until_ms.get(member.endpoint, 0.0) <= now_ms
        ]
        self._rng.shuffle(others)
        others.sort(
            key=lambda m: (
                m.endpoint != self._helper,
                m.region != self._region,
                not m.wide_link,
            )
        )
        return [member.endpoint for member in others]


def _call(
    table: TableService, feed: ChangeFeed, call: StoreCall
) -> Awaitable[Result[Any, StoreError]]:
    if isinstance(call, ReadCall):
        return table.read(call.keys)
    if isinstance(call, ScanCall):
        return table.scan(call.prefix, call.after, call.limit)
    if isinstance(call, ChangesCall):
        return feed.changes(call.prefix, call.after, call.wait_ms)
    return table.transact(call.transaction)


def _is_final(call: StoreCall, result: Result[Any, StoreError]) -> bool:
    """Return whether a result stands, so that no other way should be tried."""
    if result.is_ok():
        return True
    if result.error.kind is StoreErrorKind.UNKNOWN:
        return isinstance(call, TransactCall)
    return result.error.kind is not StoreErrorKind.NOT_APPLIED
