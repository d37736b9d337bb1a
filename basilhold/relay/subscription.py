"""Stream of a gateway or a scheduler to a relay of its region."""

import asyncio
import random
from collections.abc import Callable, Sequence

from expression import Error, Result

from basilhold.config import ConfigInForce, decode_document, encode_document
from basilhold.core import Clock, OfficeDocument, OfficeName
from basilhold.observability import log_event
from basilhold.ports import VmRecord
from basilhold.relay import events
from basilhold.relay.documents import DocumentCopy
from basilhold.relay.links import WatchLink
from basilhold.relay.reports import ProcessIdentity, ProcessSource, Reporter
from basilhold.relay.state import RelayState
from basilhold.rpc import Address, RpcError, RpcErrorKind, Transport, call
from basilhold.rpc.messages_grpc import RelayStub
from basilhold.rpc.messages_pb2 import (
    ChangeMessage,
    ChangeReply,
    InForceReply,
    InForceRequest,
)

__all__ = ["RegionSubscription"]

BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 1.0

ASK_TIMEOUT_S = 3.0
SUBMIT_TIMEOUT_S = 4.0

STALE_MS = 6000
"""A relay without a confirmation for this long is left for the next one."""

HOLD_MIN_MS = 6000
HOLD_MAX_MS = 60_000
"""Bounds of the time for which a relay is kept although it is stale.

The time doubles, so that a cut-off region does not keep moving between its relays.
"""


class RegionSubscription:
    """Keeps the configuration, VM list and shard directory of a process up to date.

    Parameters
    ----------
    identity : ProcessIdentity
    transport : Transport
    candidates : callable
        Returns the addresses of relays in the order of preference: the one on this
        VM first, then the others of the region.
    in_force : ConfigInForce
    clock : Clock
    rng : random.Random, optional
        Source of jitter.

    Attributes
    ----------
    state : RelayState
        Shard directory, VM list and confirmations.
    changed : asyncio.Event
        Set after each update; the reader clears it.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        transport: Transport,
        candidates: Callable[[], Sequence[Address]],
        in_force: ConfigInForce,
        clock: Clock,
        rng: random.Random | None = None,
    ):
        self._identity = identity
        self._transport = transport
        self._candidates = candidates
        self._clock = clock
        self._random = rng or random.Random()
        self.in_force = in_force
        self.state = RelayState()
        self.changed = asyncio.Event()
        self._link = WatchLink(transport, self.state, clock, self._apply)
        self._source = ProcessSource(identity, in_force.versions)
        self._on_vms: list[Callable[[int, Sequence[VmRecord], float], None]] = []
        self._seen: dict[OfficeName, DocumentCopy] = {}
        self._hold_ms = HOLD_MIN_MS
        self._hold_until_ms = 0.0
        self.unreadable_count = 0

    @property
    def relay_address(self) -> Address | None:
        """Address of the relay that is followed, or None."""
        return self._link.address

    def listen_vms(
        self, listener: Callable[[int, Sequence[VmRecord], float], None]
    ) -> None:
        """Call a function with version, records and confirmation time of VM lists.

        It is called for each confirmation, in loop milliseconds, also if the list
        did not change; ``Membership.apply_list`` has this form.
        """
        self._on_vms.append(listener)

    async def run(self) -> None:
        """Follow relays until cancelled."""
        pause_s = BACKOFF_MIN_S
        index = 0
        while True:
            addresses = self._candidates()
            if addresses:
                address = addresses[index % len(addresses)]
                index += 1
                if await self._follow(address):
                    index, pause_s = 0, BACKOFF_MIN_S
            await asyncio.sleep(pause_s * (0.5 + self._random.random() / 2))
            pause_s = min(BACKOFF_MAX_S, pause_s * 2)

    def push(self, version: int, document: OfficeDocument) -> None:
        """Put an accepted document in force and pass it to the relay at once."""
        copy = DocumentCopy(document.office, version, encode_document(document))
        self.state.put_document(copy)
        self._apply()
        self._link.notify()

    async def ask_in_force(self, office: OfficeName, version: int) -> InForceReply:
        """Return whether a version is in force everywhere, and who lacks it.

        The answer has ``complete`` unset if the store's region could not be asked.
        """
        address = self._link.address
        if address is not None:
            stub = RelayStub(self._transport.channel(address))
            request = InForceRequest(office=office, version=version)
            reply = await call(stub.AskInForce, request, ASK_TIMEOUT_S)
            if reply.is_ok():
                return reply.ok
        return InForceReply(complete=False)

    async def submit_change(
        self, message: ChangeMessage
    ) -> Result[ChangeReply, RpcError]:
        """Send a change up the relays."""
        address = self._link.address
        if address is None:
            return Error(RpcError(RpcErrorKind.UNREACHABLE, "no relay is followed"))
        stub = RelayStub(self._transport.channel(address))
        return await call(stub.SubmitChange, message, SUBMIT_TIMEOUT_S)

    async def _follow(self, address: Address) -> bool:
        """Follow one relay; return whether it gave anything."""
        reporter = Reporter(self._identity, self._source, self.state, same_region=True)
        now_ms = self._clock.monotonic_ms()
        self._hold_until_ms = now_ms + self._hold_ms
        error = await self._link.run(
            address, reporter, same_region=True, is_wanted=self._is_worth_following
        )
        if error is None:
            self._hold_ms = min(HOLD_MAX_MS, self._hold_ms * 2)
            return False
        if error.kind is not RpcErrorKind.UNREACHABLE:
            log_event(
                events.STREAM_LOST,
                host=address.host,
                port=address.port,
                reason=error.reason,
            )
        # A relay that was followed and then died is not the first to be tried again.
        return self._link.update_count > 0 and error.kind is RpcErrorKind.BROKEN

    def _is_worth_following(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        age_ms = self.in_force.confirmed_age_ms(now_ms)
        if age_ms is not None and age_ms <= STALE_MS:
            self._hold_ms = HOLD_MIN_MS
            return True
        return now_ms < self._hold_until_ms

    def _apply(self) -> None:
        for office, copy in self.state.documents.items():
            if self._seen.get(office) is copy:
                continue
            self._seen[office] = copy
            document = decode_document(copy.content)
            if document.is_ok():
                self.in_force.apply(copy.version, document.ok)
            else:
                self.unreadable_count += 1
        # A document that cannot be read is not in force, so the rest is not
        # confirmed either.
        is_applied = self.in_force.versions() == self.state.versions()
        if is_applied and self.state.confirmed_at_ms is not None:
            self.in_force.confirm(self.state.confirmed_at_ms)
        vms, confirmed_at_ms = self.state.vms, self.state.vms_confirmed_at_ms
        if vms.version and confirmed_at_ms is not None:
            for listener in self._on_vms:
                listener(vms.version, tuple(vms.records.values()), confirmed_at_ms)
        self.changed.set()
