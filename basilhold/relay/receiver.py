"""What a relay or a process takes over from a relay's updates."""

from enum import Enum

from basilhold.core import Clock, OfficeName, ProcessId, RegionName, ZoneName
from basilhold.membership import ReaderLocation
from basilhold.relay.documents import unpack_document
from basilhold.relay.sender import NEVER_CONFIRMED
from basilhold.relay.state import RelayState, ShardLocation
from basilhold.rpc import Address
from basilhold.rpc.messages_pb2 import Document, WatchUpdate

__all__ = ["Reception", "UpdateReceiver", "take_document"]


class Reception(Enum):
    """What became of an update.

    After ``BROKEN`` the receiver opens a new stream, which starts from the versions
    that it has.
    """

    APPLIED = "applied"
    LATE = "late"
    BROKEN = "broken"


def take_document(state: RelayState, message: Document) -> bool:
    """Take over a document message and return whether it could be read.

    A document that is not newer than the known one is skipped.
    """
    office = OfficeName(message.office)
    if message.version <= state.version(office):
        return True
    base = state.base(office, message.base_version) if message.base_version else None
    unpacked = unpack_document(message, base)
    if unpacked.is_error():
        return False
    state.put_document(unpacked.ok)
    return True


class UpdateReceiver:
    """Applies the updates of one stream in their order.

    Parameters
    ----------
    state : RelayState
    clock : Clock
    """

    def __init__(self, state: RelayState, clock: Clock):
        self._state = state
        self._clock = clock
        self._expected_sequence = 1

    def receive(self, update: WatchUpdate) -> Reception:
        """Apply an update.

        An update that was already received is ignored. After a gap nothing is
        applied, because a confirmation would claim documents that did not arrive.
        """
        if update.sequence < self._expected_sequence:
            return Reception.LATE
        if update.sequence > self._expected_sequence:
            return Reception.BROKEN
        self._expected_sequence += 1
        if not self._apply_content(update):
            return Reception.BROKEN
        self._apply_confirmations(update)
        return Reception.APPLIED

    def _apply_content(self, update: WatchUpdate) -> bool:
        state = self._state
        readable = all([take_document(state, entry) for entry in update.documents])
        for entry in update.shards:
            address = Address(entry.host, entry.port)
            owner = ProcessId(entry.owner_process_id)
            state.put_shard(
                ShardLocation(ZoneName(entry.zone), owner, address, entry.epoch)
            )
        for entry in update.readers:
            reader = ReaderLocation(
                RegionName(entry.region),
                ProcessId(entry.process_id),
                entry.host,
                entry.port,
                entry.term,
            )
            state.put_reader(reader)
        for entry in update.in_force_everywhere:
            state.everywhere[OfficeName(entry.office)] = entry.version
        if update.HasField("vm_delta"):
            readable = state.vms.apply(update.vm_delta) and readable
        return readable

    def _apply_confirmations(self, update: WatchUpdate) -> None:
        # The stated age plus the time on the way by the clocks: updates that waited
        # behind a cut link are not taken for fresh ones.
        transit_ms = max(0, self._clock.unix_ms() - update.sent_unix_ms)
        sent_at_ms = self._clock.monotonic_ms() - transit_ms
        if update.confirmed_age_ms != NEVER_CONFIRMED:
            self._state.confirm(sent_at_ms - update.confirmed_age_ms)
        if update.vm_list_age_s != NEVER_CONFIRMED:
            self._state.confirm_vms(sent_at_ms - update.vm_list_age_s * 1000)
