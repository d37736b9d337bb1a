"""Copy of the VM list with the changes between its versions."""

import zlib
from collections import deque
from collections.abc import Iterable

import msgspec

from basilhold.core import (
    VmId,
    decode_json,
)
from basilhold.ports import VmRecord
from basilhold.rpc.messages_pb2 import VmDelta

__all__ = ["VmListCopy"]

VERSIONS_KEPT = 256
"""Versions from which a delta can be made; other receivers get the whole list."""

_LIST_BYTES_MAX = 1 << 24


class VmListCopy:
    """The VM list at one version, from which deltas to later versions are made.

    Attributes
    ----------
    version : int
        0 until a list is known.
    records : dict of VmId to VmRecord
    """

    def __init__(self):
        self.version = 0
        self.records: dict[VmId, VmRecord] = {}
        self._changed_at: dict[VmId, int] = {}
        self._removed_at: dict[VmId, int] = {}
        # A receiver can be at a version that this copy never had, from another
        # relay; what that version held is not known here.
        self._bases: deque[int] = deque(maxlen=VERSIONS_KEPT)

    def replace(self, version: int, records: Iterable[VmRecord]) -> bool:
        """Take over a whole list and return whether it was newer."""
        if version <= self.version:
            return False
        new = {record.vm_id: record for record in records}
        for vm_id in self.records.keys() - new.keys():
            self._remove(vm_id, version)
        for vm_id, record in new.items():
            if self.records.get(vm_id) != record:
                self._put(record, version)
        self._advance(version)
        return True

    def delta_since(self, version: int) -> VmDelta | None:
        """Return the message for a receiver at a version; None if it needs none."""
        if not self.version or version >= self.version:
            return None
        if version not in self._bases:
            return self._message(0, self.records.values(), ())
        changed = [
            self.records[vm_id]
            for vm_id, changed_at in self._changed_at.items()
            if changed_at > version
        ]
        removed = [vm for vm, at in self._removed_at.items() if at > version]
        return self._message(version, changed, removed)

    def apply(self, delta: VmDelta) -> bool:
        """Apply a message.

        Returns
        -------
        bool
            False if the delta does not start at this version or cannot be read; the
            receiver then asks anew.
        """
        if delta.to_version <= self.version:
            return True
        if delta.from_version not in (0, self.version):
            return False
        try:
            inflater = zlib.decompressobj()
            content = inflater.decompress(delta.changed, _LIST_BYTES_MAX)
            records = decode_json(content, list[VmRecord])
        except (zlib.error, msgspec.MsgspecError):
            return False
        if delta.from_version == 0:
            return self.replace(delta.to_version, records)
        for vm_id in delta.removed_vm_ids:
            self._remove(VmId(vm_id), delta.to_version)
        for record in records:
            self._put(record, delta.to_version)
        self._advance(delta.to_version)
        return True

    def _message(self, from_version, changed, removed) -> VmDelta:
        content = zlib.compress(msgspec.json.encode(list(changed)), 6)
        return VmDelta(
            from_version=from_version,
            to_version=self.version,
            changed=content,
            removed_vm_ids=removed,
        )

    def _put(self, record: VmRecord, version: int) -> None:
        self.records[record.vm_id] = record
        self._changed_at[record.vm_id] = version
        self._removed_at.pop(record.vm_id, None)

    def _remove(self, vm_id: VmId, version: int) -> None:
        if self.records.pop(vm_id, None) is None:
            return
        self._changed_at.pop(vm_id, None)
        self._removed_at[vm_id] = version

    def _advance(self, version: int) -> None:
        self.version = version
        self._bases.append(version)
        oldest = self._bases[0]
        self._removed_at = {
            vm_id: at for vm_id, at in self._removed_at.items() if at > oldest
        }
