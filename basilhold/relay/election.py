"""Finds a region's reader and takes its place when it is dead."""

import asyncio
import random
import secrets
from collections import deque

from basilhold.core import Clock
from basilhold.membership import (
    ReaderLocation,
    decode_reader,
    make_reader_claim,
    reader_key,
)
from basilhold.observability import log_event
from basilhold.ports import Row, StoreErrorKind, TableService
from basilhold.relay import events
from basilhold.relay.reports import ProcessIdentity
from basilhold.relay.state import RelayState
from basilhold.rpc import Address

__all__ = ["BACKOFF_MIN_S", "Backoff", "ReaderElection"]

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.0
"""Longest pause between attempts.

A region that was cut off applies what it missed within 4 s of the link's return; an
attempt takes up to 1 s as well.
"""

CLAIM_WINDOW_MS = 60_000
CLAIM_PAUSE_MAX_S = 10.0


class Backoff:
    """Pauses that double up to a bound, with jitter.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random):
        self._random = rng
        self._pause_s = BACKOFF_MIN_S

    def reset(self) -> None:
        """Start again with the shortest pause."""
        self._pause_s = BACKOFF_MIN_S

    async def wait(self) -> None:
        """Wait for the next pause."""
        pause_s = self._pause_s * (0.5 + self._random.random() / 2)
        self._pause_s = min(BACKOFF_MAX_S, self._pause_s * 2)
        await asyncio.sleep(pause_s)


class ReaderElection:
    """Chooses the reader of a region by compare-and-set on its row.

    Parameters
    ----------
    identity : ProcessIdentity
    address : Address
        Address under which this relay would be the reader.
    table : TableService
    state : RelayState
        Readers that are known from the streams.
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        address: Address,
        table: TableService,
        state: RelayState,
        clock: Clock,
        rng: random.Random,
    ):
        self._identity = identity
        self._address = address
        self._table = table
        self._state = state
        self._clock = clock
        self._random = rng
        self._suspected_term = 0
        self._claims_at_ms: deque[float] = deque()

    def suspect(self, reader: ReaderLocation, reason: str) -> None:
        """Take a reader for dead or cut off."""
        self._suspected_term = reader.term
        log_event(
            events.READER_SUSPECTED,
            process_id=reader.process_id,
            region=reader.region,
            reason=reason,
        )

    async def choose(self) -> ReaderLocation | None:
        """Return the reader to follow, which may be this relay itself.

        Returns
        -------
        ReaderLocation or None
            None if there is nothing to follow yet; the caller pauses and asks again.
        """
        region = self._identity.region
        known = self._state.readers.get(region)
        if known and known.term > self._suspected_term and not self._is_self(known):
            return known
        rows = await self._table.read((reader_key(region),))
        if rows.is_error():
            log_event(events.STORE_UNREADABLE, reason=rows.error.reason)
            # The store cannot confirm a take-over, so the last known reader is tried
            # again meanwhile.
            return None if known is None or self._is_self(known) else known
        row = rows.ok.get(reader_key(region))
        reader = decode_reader(row)
        is_other = reader is not None and not self._is_self(reader)
        if is_other and reader.term > self._suspected_term:
            return reader
        return await self._claim(row)

    def _is_self(self, reader: ReaderLocation) -> bool:
        return reader.process_id == self._identity.process_id

    async def _claim(self, row: Row | None) -> ReaderLocation | None:
        await self._pause_before_claim()
        region = self._identity.region
        claim = ReaderLocation(
            region,
            self._identity.process_id,
            self._address.host,
            self._address.port,
            0,
            secrets.token_hex(4),
        )
        result = await self._table.transact(make_reader_claim(claim, row))
        if result.is_error() and result.error.kind is not StoreErrorKind.UNKNOWN:
            return None
        # The reply may be lost, so the row tells who won.
        rows = await self._table.read((reader_key(region),))
        if rows.is_error():
            return None
        reader = decode_reader(rows.ok.get(reader_key(region)))
        if reader is None or reader.write_id != claim.write_id:
            return None
        log_event(events.READER_CLAIMED, region=region, term=reader.term)
        return reader

    async def _pause_before_claim(self) -> None:
        """Keep two relays that cannot reach each other from claiming in turns."""
        now_ms = self._clock.monotonic_ms()
        claims = self._claims_at_ms
        while claims and now_ms - claims[0] > CLAIM_WINDOW_MS:
            claims.popleft()
        claims.append(now_ms)
        if len(claims) > 2:
            pause_s = min(CLAIM_PAUSE_MAX_S, 2.0 ** (len(claims) - 3))
            await asyncio.sleep(pause_s * (0.5 + self._random.random() / 2))
