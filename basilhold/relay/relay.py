"""A relay: follows its region's reader, or is the reader itself."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from basilhold.config import ConfigStore, WriteMark
from basilhold.core import Clock, OfficeName, RegionName
from basilhold.membership import ReaderLocation, decode_reader, reader_key
from basilhold.observability import log_event
from basilhold.ports import (
    Row,
    TableService,
    VmKind,
    VmList,
    VmState,
)
from basilhold.relay import events
from basilhold.relay.acknowledgements import AckBoard, covered_name
from basilhold.relay.changes import read_change
from basilhold.relay.election import BACKOFF_MIN_S, Backoff, ReaderElection
from basilhold.relay.links import WatchLink
from basilhold.relay.reports import ProcessIdentity, RelaySource, Reporter
from basilhold.relay.service import RelayService, UpperRegion
from basilhold.relay.state import RelayState, ShardLocation
from basilhold.relay.store_reader import ReaderSettings, StoreReader
from basilhold.rpc import Address, RpcError, RpcErrorKind, Transport, call
from basilhold.rpc.messages_grpc import RelayStub
from basilhold.rpc.messages_pb2 import (
    ChangeMessage,
    ChangeReply,
    InForceReply,
    InForceRequest,
)

__all__ = ["Relay", "RelaySettings"]

MISSING_MAX = 32
"""Missing processes that an answer names."""

STALE_READER_MS = 10_000
"""Age of the last confirmation at which a reader that answers is doubted."""

ASK_TIMEOUT_S = 2.0
SUBMIT_TIMEOUT_S = 3.0


class RelaySettings(msgspec.Struct, frozen=True):
    """Place and duties of a relay.

    Parameters
    ----------
    identity : ProcessIdentity
    address : Address
        Address at which the relay serves; others find it in the reader's row.
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


class Relay(UpperRegion):
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
        self._store = ConfigStore(table, clock)
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
        self._logged_term = 0
        self._election = ReaderElection(
            identity, settings.address, table, self.state, clock, self._random
        )

    @property
    def is_reader(self) -> bool:
        """Whether this relay is its region's reader, as far as it knows."""
        reader = self.state.readers.get(self._settings.identity.region)
        return reader is not None and self._is_self(reader)

    @property
    def reads_store(self) -> bool:
        """Whether this relay is the reader of the store's region."""
        return self._is_top

    async def run(self) -> None:
        """Serve and follow until cancelled."""
        served = await self._transport.serve([self.service], self._settings.address)
        if served.is_error():
            raise OSError(served.error.reason)
        pause = Backoff(self._random)
        while True:
            reader = await self._election.choose()
            if reader is None:
                await pause.wait()
                continue
            self.state.put_reader(reader)
            if self._is_self(reader):
                await self._lead()
            else:
                await self._follow(reader)
            if self._link.update_count:
                pause.reset()
            else:
                # While the store is down a dead reader is chosen again and again.
                await pause.wait()

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

    async def submit_change(self, message: ChangeMessage) -> ChangeReply:
        """Apply a change, or pass it on to the store's region."""
        if self._is_top:
            return await self._apply_change(message)
        above = self._link.address
        if above is not None:
            stub = RelayStub(self._transport.channel(above))
            reply = await call(stub.SubmitChange, message, SUBMIT_TIMEOUT_S)
            if reply.is_ok():
                return reply.ok
        return ChangeReply(accepted=False)

    async def _apply_change(self, message: ChangeMessage) -> ChangeReply:
        unpacked = read_change(self.state, message)
        if unpacked.is_error():
            return ChangeReply(accepted=False)
        request, copy = unpacked.ok
        mark = WriteMark(message.write_id, message.restored_version)
        changed = await self._store.change(request, None, mark)
        if changed.is_error():
            return ChangeReply(accepted=False)
        self.state.put_document(copy)
        self._changed()
        changed_unix_ms = changed.ok.info.changed_unix_ms
        return ChangeReply(accepted=True, changed_unix_ms=changed_unix_ms)

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

    async def _follow(self, reader: ReaderLocation) -> None:
        """Follow the region's reader until another one replaces it or it is dead."""
        region = self._settings.identity.region
        self._log_change(reader)
        address = Address(reader.host, reader.port)
        started_ms = self._clock.monotonic_ms()
        failures = 0
        while self._is_worth_following(reader, started_ms):
            reporter = Reporter(
                self._settings.identity, self._source, self.state, same_region=True
            )
            error = await self._link.run(
                address,
                reporter,
                same_region=True,
                is_wanted=lambda: self._is_worth_following(reader, started_ms),
            )
            if error is None:
                break
            failures = 1 if self._link.update_count else failures + 1
            # A silent reader, or one that refuses twice, is taken for dead.
            if error.kind is RpcErrorKind.TIMEOUT or failures > 1:
                self._election.suspect(reader, error.reason)
                return
            await asyncio.sleep(BACKOFF_MIN_S * (0.5 + self._random.random()))
        if self.state.readers[region].term == reader.term:
            # If the store can be read from here, the reader itself is cut off;
            # otherwise the election returns the same reader.
            self._election.suspect(reader, "it has no confirmation from the store")

    def _log_change(self, reader: ReaderLocation) -> None:
        if reader.term != self._logged_term:
            self._logged_term = reader.term
            log_event(
                events.READER_CHANGED,
                region=reader.region,
                process_id=reader.process_id,
                term=reader.term,
            )

    def _is_worth_following(self, reader: ReaderLocation, started_ms: float) -> bool:
        known = self.state.readers[reader.region]
        return known.term == reader.term and self._is_confirmed(started_ms)

    def _is_confirmed(self, started_ms: float) -> bool:
        """Whether a stream that started at a time gave a confirmation lately."""
        confirmed_ms = max(started_ms, self.state.confirmed_at_ms or started_ms)
        return self._clock.monotonic_ms() - confirmed_ms <= STALE_READER_MS

    async def _lead(self) -> None:
        """Read for the region until another relay is its reader."""
        if self._in_store_region:
            await self._store_reader.run(lambda: self.is_reader)
            return
        pause = Backoff(self._random)
        upper = self.state.readers.get(self._settings.store_region)
        while self.is_reader:
            if upper is not None:
                error = await self._follow_upper(upper)
                if error is not None and self._link.update_count:
                    pause.reset()
            await pause.wait()
            upper = await self._find_upper()

    async def _follow_upper(self, upper: ReaderLocation) -> RpcError | None:
        reporter = Reporter(
            self._settings.identity, self._source, self.state, same_region=False
        )
        address = Address(upper.host, upper.port)
        started_ms = self._clock.monotonic_ms()
        error = await self._link.run(
            address,
            reporter,
            same_region=False,
            is_wanted=lambda: self.is_reader and self._is_confirmed(started_ms),
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
        expected = self._expected()
        missing = list(self.board.missing(office, version, name, expected))
        if self.state.version(office) < version:
            missing.insert(0, f"{name} (has version {self.state.version(office)})")
        return InForceReply(
            everywhere=complete and not missing,
            missing=missing[:MISSING_MAX],
            missing_count=len(missing),
            complete=complete,
            expected_count=len(self.board.summary(name, {}).covered.union(expected)),
        )
