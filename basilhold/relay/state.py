"""What a relay or a process knows."""

from collections import deque

import msgspec

from basilhold.core import OfficeName, ProcessId, RegionName, ZoneName
from basilhold.membership import ReaderLocation
from basilhold.relay.documents import DocumentCopy
from basilhold.relay.vm_copies import VmListCopy
from basilhold.rpc import Address

__all__ = ["RelayState", "ShardLocation"]

_BASES_KEPT = 4
"""Versions of a document that are kept as compression dictionaries."""


class ShardLocation(msgspec.Struct, frozen=True):
    """Owner of a shard, as far as the shard's row tells."""

    zone: ZoneName
    owner: ProcessId
    address: Address
    epoch: int


class RelayState:
    """Documents, shard directory, readers and VM list, each only going forward.

    Attributes
    ----------
    documents : dict of OfficeName to DocumentCopy
    shards : dict of ZoneName to ShardLocation
    readers : dict of RegionName to ReaderLocation
    vms : VmListCopy
    everywhere : dict of OfficeName to int
        Oldest version in force in any process, as the store's region knows it.
    confirmed_at_ms, vms_confirmed_at_ms : float or None
        Loop time at which the documents and the VM list were last known to be the
        newest, in milliseconds.
    """

    def __init__(self):
        self.documents: dict[OfficeName, DocumentCopy] = {}
        self.shards: dict[ZoneName, ShardLocation] = {}
        self.readers: dict[RegionName, ReaderLocation] = {}
        self.vms = VmListCopy()
        self.everywhere: dict[OfficeName, int] = {}
        self.confirmed_at_ms: float | None = None
        self.vms_confirmed_at_ms: float | None = None
        self._bases: dict[OfficeName, deque[DocumentCopy]] = {}

    def put_document(self, copy: DocumentCopy) -> bool:
        """Take over a document if it is newer and return whether it was."""
        if copy.version <= self.version(copy.office):
            return False
        self.documents[copy.office] = copy
        bases = self._bases.setdefault(copy.office, deque(maxlen=_BASES_KEPT))
        bases.append(copy)
        return True

    def version(self, office: OfficeName) -> int:
        """Return the version of an office's document; 0 if there is none."""
        copy = self.documents.get(office)
        return copy.version if copy else 0

    def versions(self) -> dict[OfficeName, int]:
        """Return the version of each document."""
        return {office: copy.version for office, copy in self.documents.items()}

    def base(self, office: OfficeName, version: int) -> DocumentCopy | None:
        """Return a recent version of a document, to be used as a dictionary."""
        for copy in self._bases.get(office, ()):
            if copy.version == version:
                return copy
        return None

    def put_shard(self, shard: ShardLocation) -> bool:
        """Take over a shard's location if its epoch is greater."""
        known = self.shards.get(shard.zone)
        if known is not None and shard.epoch <= known.epoch:
            return False
        self.shards[shard.zone] = shard
        return True

    def put_reader(self, reader: ReaderLocation) -> bool:
        """Take over a region's reader if its term is greater."""
        known = self.readers.get(reader.region)
        if known is not None and reader.term <= known.term:
            return False
        self.readers[reader.region] = reader
        return True

    def confirm(self, confirmed_at_ms: float) -> None:
        """Note a confirmation of the documents."""
        self.confirmed_at_ms = _latest(self.confirmed_at_ms, confirmed_at_ms)

    def confirm_vms(self, confirmed_at_ms: float) -> None:
        """Note a confirmation of the VM list."""
        self.vms_confirmed_at_ms = _latest(self.vms_confirmed_at_ms, confirmed_at_ms)


def _latest(known: float | None, new: float) -> float:
    return new if known is None else max(known, new)
