"""Filter for VM lists that shrink suddenly."""

from collections.abc import Mapping

import msgspec

from basilhold.core import VmId
from basilhold.membership.suspect_loss import is_suspect_loss
from basilhold.ports import VmRecord, VmSnapshot

__all__ = ["VmListFilter"]

WITHHOLDING_MAX_MS = 30_000
"""Longest time for which a suspect list is withheld, in milliseconds."""


class VmListFilter:
    """Prevents a wrong or flapping VM list from being sent to all regions.

    The filter only reduces traffic. Each process decides for itself whether a VM is
    gone, and treats such a list as suspect regardless of how long it persists.

    Attributes
    ----------
    withheld_count : int
        Number of lists that were withheld.
    """

    def __init__(self):
        self._suspect_since_ms: float | None = None
        self.withheld_count = 0

    def apply(
        self, snapshot: VmSnapshot, known: Mapping[VmId, VmRecord], now_ms: float
    ) -> VmSnapshot:
        """Return the list to send.

        If the loss of VMs is suspect, the missing VMs are added to the list. The
        returned version is twice the platform's version, plus one if no VM was added,
        so that the later release of a withheld list is a new version as well.

        Parameters
        ----------
        snapshot : VmSnapshot
            List as read from the platform.
        known : mapping of VmId to VmRecord
            VMs of the last list that was sent.
        now_ms : float
            Time of the event loop's clock, in milliseconds.

        Returns
        -------
        VmSnapshot
        """
        listed = {record.vm_id for record in snapshot.records}
        missing = [record for vm_id, record in known.items() if vm_id not in listed]
        unchanged = msgspec.structs.replace(snapshot, version=snapshot.version * 2 + 1)
        if not is_suspect_loss(missing, known.values()):
            self._suspect_since_ms = None
            return unchanged
        if self._suspect_since_ms is None:
            self._suspect_since_ms = now_ms
        if now_ms - self._suspect_since_ms >= WITHHOLDING_MAX_MS:
            return unchanged
        self.withheld_count += 1
        return VmSnapshot(snapshot.version * 2, (*snapshot.records, *missing))
