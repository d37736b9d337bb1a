"""Holds back VM lists that are suddenly much smaller."""

from collections.abc import Mapping

import msgspec

from basilhold.core import VmId
from basilhold.membership.suspect_loss import is_suspect_loss
from basilhold.ports import VmRecord, VmSnapshot

__all__ = ["VmListFilter"]

HOLD_MS = 30_000
"""How long a much smaller list is held back."""


class VmListFilter:
    """Keeps a wrong or flapping VM list from being sent to every region.

    It only saves traffic. Whether a VM is gone is decided by each process, which
    doubts such a list however long it lasts.

    Attributes
    ----------
    held_count : int
        Lists that were held back.
    """

    def __init__(self):
        self._doubtful_since_ms: float | None = None
        self.held_count = 0

    def check(
        self, snapshot: VmSnapshot, known: Mapping[VmId, VmRecord], now_ms: float
    ) -> VmSnapshot:
        """Return the list to pass on.

        Its version is twice the platform's, and one more if nothing was held back, so
        that releasing what was held is a new version too.
        """
        listed = {record.vm_id for record in snapshot.records}
        missing = [record for vm_id, record in known.items() if vm_id not in listed]
        whole = msgspec.structs.replace(snapshot, version=snapshot.version * 2 + 1)
        if not is_suspect_loss(missing, known.values()):
            self._doubtful_since_ms = None
            return whole
        if self._doubtful_since_ms is None:
            self._doubtful_since_ms = now_ms
        if now_ms - self._doubtful_since_ms >= HOLD_MS:
            return whole
        self.held_count += 1
        return VmSnapshot(snapshot.version * 2, (*snapshot.records, *missing))
