"""A relay: follows its region's reader, or is the reader itself."""

import asyncio
import random
import secrets
from collections import deque
from collections.abc import Callable

import msgspec

from basilhold.core import Clock, OfficeName, RegionName
from basilhold.membership import (
    ReaderLocation,
    claim_reader,
    decode_reader,
    reader_key,
)
from basilhold.observability import log_event
from basilhold.ports import (
    Row,
    StoreErrorKind,
    TableService,
    VmKind,
    VmList,
    VmState,
)
from basilhold.relay import events
from basilhold.relay.acknowledgements import AckBoard, covered_name
from basilhold.relay.links import WatchLink
from basilhold.relay.reports import ProcessIdentity, RelaySource, Reporter
from basilhold.relay.service import InForceAnswerer, RelayService
from basilhold.relay.state import RelayState, ShardLocation
from basilhold.relay.store_reader import ReaderSettings, StoreReader
from basilhold.rpc import Address, RpcError, RpcErrorKind, Transport, call
from basilhold.rpc.messages_grpc import RelayStub
from basilhold.rpc.messages_pb2 import InForceReply, InForceRequest

__all__ = ["Relay", "RelaySettings"]

MISSING_MAX = 32
"""Missing processes that an answer names."""

ASK_TIMEOUT_S = 2.0

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.0
"""Longest pause between attempts.

A region that was cut off applies what it missed within 4 s of the link's return; an
attempt takes up to 1 s as well.
"""

CLAIM_WINDOW_MS = 60_000
CLAIM_PAUSE_MAX_S = 10.0


class RelaySettings(msgspec.Struct, frozen=True):
    """Place and duties of a relay.

    Parameters
    ----------
    identity : ProcessIdentity
    address : Address
        Address at which the relay serves.
    store_region : RegionName
        Region that holds the store.
    reader : ReaderSettings
    programs : tuple of str
        Programs that run on every entry VM.
    """

    identity: ProcessIdentity
    address: Address
    store_region: RegionName
    reader: ReaderSettings
    programs: tuple[str, ...] = ("gateway", "scheduler", "relay")


class Relay(InForceAnswerer):
    """Passes configuration, VM list and shard directory on inside a region.

    Every relay serves streams. The region's reader gets its content from the store,
    or in other regions from the reader of the store's region; the other relays get it
    from the region's reader.

    Parameters
    ----------
    settings : RelaySettings
    transport : Transport
    table : TableService
    vm_list : VmList
    decode_shard : callable
        Returns the location that a ``shard/`` row holds, or None.
    clock : Clock
    rng : random.Random, optional
        Source of jitter.

    Attributes
    ----------
    state : RelayState
    board : AckBoard
    """

    def __init__(
        self,
        settings: RelaySettings,
        transport: Transport,
        table: TableService,
        vm_list: VmList,
        decode_shard: Callable[[Row], ShardLocation | None],
        clock: Clock,
        rng: random.Random | None = None,
    ):
        identity = settings.identity
        self._settings = settings
        self._transport = transport
        self._table = table
        self._clock = clock
        self._random = rng or random.Random()
        self.state = RelayState()
        self.board = AckBoard(identity.region)
        self.service = RelayService(
            identity.region, self.state, self.board, clock, self, self._changed
        )
        self._link = WatchLink(transport, self.state, clock, self._changed)
        self._source = RelaySource(identity, self.state, self.board)
        self._store_reader = StoreReader(
            settings.reader,
            table,
            vm_list,
            decode_shard,
            self.state,
            clock,
            self._read_from_store,
        )
        self._suspected_term = 0
        self._claims_at_ms: deque[float] = deque()

    @property
    def is_reader(self) -> bool:
        """Whether this relay is its region's reader, as far as it knows."""
        reader = self.state.readers.get(self._settings.identity.region)
        return reader is not None and self._is_self(reader)

    async def run(self) -> None:
        """Serve and follow until cancelled."""
        served = await self._transport.serve([self.service], self._settings.address)
        if served.is_error():
            raise OSError(served.error.reason)
        self._address = served.ok.address
        pause = _Backoff(self._random)
        while True:
            reader = await self._choose_reader()
            if reader is None:
                await pause.wait()
                continue
            pause.reset()
            self.state.put_reader(reader)
            if self._is_self(reader):
                await self._lead()
            else:
                await self._follow(reader)

    async def ask_in_force(self, office: OfficeName, version: int) -> InForceReply:
        """Return whether a version is in force everywhere, and who lacks it."""
        if self._is_top:
            return self._in_force_reply(office, version, complete=True)
        above = self._link.address
        if above is not None:
            stub = RelayStub(self._transport.channel(above))
            request = InForceRequest(office=office, version=version)
            reply = await call(stub.AskInForce, request, ASK_TIMEOUT_S)
            if reply.is_ok():
                return reply.ok
        return self._in_force_reply(office, version, complete=False)

    @property
    def _is_top(self) -> bool:
        return self.is_reader and self._in_store_region

    @property
    def _in_store_region(self) -> bool:
        return self._settings.identity.region == self._settings.store_region

    def _is_self(self, reader: ReaderLocation) -> bool:
        return reader.process_id == self._settings.identity.process_id

    def _changed(self) -> None:
        self.service.notify()
        self._link.notify()

    def _read_from_store(self) -> None:
        self._update_everywhere()
        self.service.notify()

    async def _choose_reader(self) -> ReaderLocation | None:
        """Return the reader to follow, which may be this relay itself."""
        region = self._settings.identity.region
        known = self.state.readers.get(region)
        if known and known.term > self._suspected_term and not self._is_self(known):
            return known
        key = reader_key(region)
        rows = await self._table.read((key,))
        if rows.is_error():
            reason = rows.error.reason
            log_event(events.STORE_UNREADABLE, reason=reason)
            # The store cannot confirm a take-over, so the last known reader is tried
            # again meanwhile.
            return None if known is None or self._is_self(known) else known
        row = rows.ok.get(key)
        reader = decode_reader(row)
        is_other = reader is not None and not self._is_self(reader)
        if is_other and reader.term > self._suspected_term:
            return reader
        return await self._claim(row)

    async def _claim(self, row: Row | None) -> ReaderLocation | None:
        await self._pause_before_claim()
        identity = self._settings.identity
        claim = ReaderLocation(
            identity.region,
            identity.process_id,
            self._address.host,
            self._address.port,
            0,
            secrets.token_hex(4),
        )
        result = await self._table.transact(claim_reader(claim, row))
        if result.is_error() and result.error.kind is not StoreErrorKind.UNKNOWN:
            return None
        rows = await self._table.read((reader_key(identity.region),))
        if rows.is_error():
            return None
        reader = decode_reader(rows.ok.get(reader_key(identity.region)))
        if reader is not None and reader.write_id == claim.write_id:
            log_event(events.READER_CLAIMED, region=identity.region, term=reader.term)
            return reader
        return None

    async def _pause_before_claim(self) -> None:
        """Keep two relays that cannot reach each other from claiming in turns."""
        now_ms = self._clock.monotonic_ms()
        while self._claims_at_ms and (now_ms - self._claims_at_ms[0] > CLAIM_WINDOW_MS):
            self._claims_at_ms.popleft()
        self._claims_at_ms.append(now_ms)
        recent = len(self._claims_at_ms)
        if recent > 2:
            pause_s = min(CLAIM_PAUSE_MAX_S, 2.0 ** (recent - 3))
            await asyncio.sleep(pause_s * (0.5 + self._random.random() / 2))

    async def _follow(self, reader: ReaderLocation) -> None:
        """Follow the region's reader until another one replaces it or it is dead."""
        region = self._settings.identity.region
        log_event(
            events.READER_CHANGED,
            region=region,
            process_id=reader.process_id,
            term=reader.term,
        )
        address = Address(reader.host, reader.port)
        failures = 0
        while self.state.readers[region].term == reader.term:
            reporter = Reporter(
                self._settings.identity, self._source, self.state, same_region=True
            )
            error = await self._link.run(
                address,
                reporter,
                same_region=True,
                is_wanted=lambda: self.state.readers[region].term == reader.term,
            )
            if error is None:
                return
            failures = 1 if self._link.update_count else failures + 1
            # A silent reader, or one that refuses twice, is taken for dead.
            if error.kind is RpcErrorKind.TIMEOUT or failures > 1:
                self._suspect(reader, error)
                return
            await asyncio.sleep(BACKOFF_MIN_S * (0.5 + self._random.random()))

    def _suspect(self, reader: ReaderLocation, error: RpcError) -> None:
        self._suspected_term = reader.term
        log_event(
            events.READER_SUSPECTED,
            process_id=reader.process_id,
            region=reader.region,
            reason=error.reason,
        )

    async def _lead(self) -> None:
        """Read for the region until another relay is its reader."""
        if self._in_store_region:
            await self._store_reader.run(lambda: self.is_reader)
            return
        pause = _Backoff(self._random)
        upper = self.state.readers.get(self._settings.store_region)
        while self.is_reader:
            if upper is not None:
                error = await self._follow_upper(upper)
                if error is None:
                    return
                if self._link.update_count:
                    pause.reset()
            await pause.wait()
            upper = await self._find_upper()

    async def _follow_upper(self, upper: ReaderLocation) -> RpcError | None:
        reporter = Reporter(
            self._settings.identity, self._source, self.state, same_region=False
        )
        address = Address(upper.host, upper.port)
        error = await self._link.run(
            address, reporter, same_region=False, is_wanted=lambda: self.is_reader
        )
        if error is not None:
            log_event(
                events.STREAM_LOST,
                host=address.host,
                port=address.port,
                reason=error.reason,
            )
        return error

    async def _find_upper(self) -> ReaderLocation | None:
        """Read who the reader of the store's region is."""
        region = self._settings.store_region
        own = self._settings.identity.region
        keys = (reader_key(region), reader_key(own))
        rows = await self._table.read(keys)
        if rows.is_ok():
            for key in keys:
                reader = decode_reader(rows.ok.get(key))
                if reader is not None:
                    self.state.put_reader(reader)
        return self.state.readers.get(region)

    def _expected(self) -> list[str]:
        return [
            covered_name(record.vm_id, program)
            for record in self.state.vms.records.values()
            if record.kind is VmKind.ENTRY and record.state is VmState.LIVE
            for program in self._settings.programs
        ]

    def _update_everywhere(self) -> None:
        self.board.advance(self._clock.monotonic_ms())
        summary = self.board.summary(
            self._settings.identity.name, self.state.versions()
        )
        if not summary.covered.issuperset(self._expected()):
            return
        for office, version in summary.in_force.items():
            if version > self.state.everywhere.get(office, 0):
                self.state.everywhere[office] = version

    def _in_force_reply(
        self, office: OfficeName, version: int, complete: bool
    ) -> InForceReply:
        self.board.advance(self._clock.monotonic_ms())
        name = self._settings.identity.name
        missing = list(self.board.missing(office, version, name, self._expected()))
        if self.state.version(office) < version:
            missing.insert(0, f"{name} (has version {self.state.version(office)})")
        return InForceReply(
            everywhere=complete and not missing,
            missing=missing[:MISSING_MAX],
            missing_count=len(missing),
            complete=complete,
        )


class _Backoff:
    """Pauses that double up to a bound, with jitter."""

    def __init__(self, rng: random.Random):
        self._random = rng
        self._pause_s = BACKOFF_MIN_S

    def reset(self) -> None:
        self._pause_s = BACKOFF_MIN_S

    async def wait(self) -> None:
        pause_s = self._pause_s * (0.5 + self._random.random() / 2)
        self._pause_s = min(BACKOFF_MAX_S, self._pause_s * 2)
        await asyncio.sleep(pause_s)
