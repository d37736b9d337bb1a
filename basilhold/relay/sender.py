"""What a relay sends to one receiver."""

from collections.abc import Iterable

from basilhold.core import OfficeName, RegionName, ZoneName
from basilhold.relay.documents import pack_document
from basilhold.relay.state import RelayState
from basilhold.rpc.messages_pb2 import (
    DocumentVersion,
    ReaderEntry,
    ShardEntry,
    WatchRequest,
    WatchUpdate,
)

__all__ = ["NEVER_CONFIRMED", "Subscriber"]

NEVER_CONFIRMED = (1 << 32) - 1
"""Age on the wire that stands for no confirmation."""

HEARTBEAT_MS = 1000
"""Interval of heartbeats inside a region."""

PAID_HEARTBEAT_MS = 2000
"""Interval of heartbeats to another region, whose link is paid by the byte."""

_ALIGN_MS = 500
"""How much earlier a heartbeat may go out to carry a new confirmation."""


class Subscriber:
    """Tracks what a receiver has and decides what to send to it.

    The messages of a stream arrive in order and whole, or the stream ends; a new
    stream starts from the versions that the receiver reports.

    Parameters
    ----------
    first : WatchRequest
        First request of the stream.
    same_region : bool
        Whether the receiver is in the relay's region.
    """

    def __init__(self, first: WatchRequest, same_region: bool):
        self.process_id = first.process_id
        self._interval_ms = HEARTBEAT_MS if same_region else PAID_HEARTBEAT_MS
        self._documents = _versions(first.have)
        self._vm_version = first.vm_list_version
        self._epochs: dict[ZoneName, int] = {}
        self._terms: dict[RegionName, int] = {}
        self._everywhere: dict[OfficeName, int] = {}
        self._wanted: set[OfficeName] = set(self._documents)
        self._sequence = 0
        self._sent_at_ms: float | None = None
        self._sent_confirmation_ms: float | None = None

    def note_request(self, request: WatchRequest) -> None:
        """Take note of versions that the receiver has without this relay."""
        for office, version in _versions(request.in_force).items():
            self._documents[office] = max(self._documents.get(office, 0), version)
        for document in request.pushed:
            office = OfficeName(document.office)
            known = self._documents.get(office, 0)
            self._documents[office] = max(known, document.version)

    def next_update(
        self, state: RelayState, now_ms: float, unix_ms: int
    ) -> WatchUpdate | None:
        """Return the update to send now, or None if nothing is due."""
        update = WatchUpdate()
        has_content = self._add_content(update, state)
        if not has_content and not self._heartbeat_due(state, now_ms):
            return None
        self._add_everywhere(update, state)
        self._sequence += 1
        update.sequence = self._sequence
        update.sent_unix_ms = unix_ms
        update.confirmed_age_ms = _age(state.confirmed_at_ms, now_ms, 1)
        update.vm_list_age_s = _age(state.vms_confirmed_at_ms, now_ms, 1000)
        self._sent_at_ms = now_ms
        self._sent_confirmation_ms = state.confirmed_at_ms
        return update

    def next_due_ms(self, now_ms: float) -> float:
        """Return when a heartbeat is due at the latest, in loop milliseconds."""
        if self._sent_at_ms is None:
            return now_ms
        return self._sent_at_ms + self._interval_ms + _ALIGN_MS

    def _heartbeat_due(self, state: RelayState, now_ms: float) -> bool:
        if self._sent_at_ms is None:
            return True
        silent_ms = now_ms - self._sent_at_ms
        if state.confirmed_at_ms != self._sent_confirmation_ms:
            return silent_ms >= self._interval_ms - _ALIGN_MS
        return silent_ms >= self._interval_ms + _ALIGN_MS

    def _add_content(self, update: WatchUpdate, state: RelayState) -> bool:
        self._add_documents(update, state)
        self._add_directory(update, state)
        delta = state.vms.delta_since(self._vm_version)
        if delta is not None:
            update.vm_delta.CopyFrom(delta)
            self._vm_version = state.vms.version
        return bool(
            update.documents
            or update.shards
            or update.readers
            or update.wanted_offices
            or delta is not None
        )

    def _add_documents(self, update: WatchUpdate, state: RelayState) -> None:
        for office, copy in state.documents.items():
            known = self._documents.get(office, 0)
            if copy.version > known:
                update.documents.append(pack_document(copy, state.base(office, known)))
                self._documents[office] = copy.version
        for office in sorted(self._wanted):
            if self._documents[office] > state.version(office):
                update.wanted_offices.append(office)
        self._wanted.clear()

    def _add_directory(self, update: WatchUpdate, state: RelayState) -> None:
        for zone, shard in state.shards.items():
            if self._epochs.get(zone, 0) < shard.epoch:
                update.shards.append(
                    ShardEntry(
                        zone=zone,
                        owner_process_id=shard.owner,
                        host=shard.address.host,
                        port=shard.address.port,
                        epoch=shard.epoch,
                    )
                )
                self._epochs[zone] = shard.epoch
        for region, reader in state.readers.items():
            if self._terms.get(region, 0) < reader.term:
                update.readers.append(
                    ReaderEntry(
                        region=region,
                        process_id=reader.process_id,
                        host=reader.host,
                        port=reader.port,
                        term=reader.term,
                    )
                )
                self._terms[region] = reader.term

    def _add_everywhere(self, update: WatchUpdate, state: RelayState) -> None:
        # Rides on other updates: a message of its own would cost more on the paid
        # link than the news is worth.
        for office, version in state.everywhere.items():
            if self._everywhere.get(office) != version:
                update.in_force_everywhere.append(
                    DocumentVersion(office=office, version=version)
                )
                self._everywhere[office] = version


def _versions(entries: Iterable[DocumentVersion]) -> dict[OfficeName, int]:
    return {OfficeName(entry.office): entry.version for entry in entries}


def _age(confirmed_at_ms: float | None, now_ms: float, unit_ms: int) -> int:
    if confirmed_at_ms is None:
        return NEVER_CONFIRMED
    # Rounded up, so that a confirmation never looks younger than it is.
    return min(NEVER_CONFIRMED - 1, -int(-(now_ms - confirmed_at_ms) // unit_ms))
