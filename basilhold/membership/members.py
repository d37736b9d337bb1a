"""Liveness of the VMs of a cell."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from basilhold.core import ServiceName, VmId
from basilhold.membership.suspect_loss import is_suspect_loss
from basilhold.ports import VmKind, VmRecord, VmState

__all__ = ["GONE_AFTER_MS", "Liveness", "MemberChange", "Membership", "PeerReport"]

GONE_AFTER_MS = 30_000
"""Absence after which a VM is considered gone, in milliseconds.

Slot tokens and leases depend on this value (design.md, section 7.3).
"""

CONFIRMATION_GAP_MAX_MS = 10_000
"""Longest gap between confirmations of the list, in milliseconds.

The state of VMs during a longer gap is unknown, so their absence is measured anew.
"""

LEAVING_NOTICE_MS = 60_000
"""Time in milliseconds for which a VM's own leaving notice overrides the list.

The list lags and may still show the VM as live.
"""

GONE_VMS_MAX = 10_000
"""Number of VMs that are remembered after they are gone."""


class Liveness(Enum):
    """Liveness of a VM as known to this process.

    ``ABSENT`` means that the VM is missing from the list but not yet considered gone.
    It gets no new work, and its tokens and leases are not reassigned.
    """

    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"
    GONE = "gone"


class MemberChange(msgspec.Struct, frozen=True):
    """Change of the liveness of a VM; `old` is None for a new VM."""

    record: VmRecord
    old: Liveness | None
    new: Liveness


class PeerReport(msgspec.Struct, frozen=True):
    """Reachability of a VM as observed by another process.

    Parameters
    ----------
    vm_id : VmId
    is_reachable : bool
    age_ms : float
        Time since the observation, in milliseconds.
    """

    vm_id: VmId
    is_reachable: bool
    age_ms: float


class _Member:
    def __init__(self, record: VmRecord):
        self.record = record
        self.liveness: Liveness | None = None
        self.absent_since_ms: float | None = None
        self.contact_at_ms: float | None = None
        self.unreachable_at_ms: float | None = None
        self.leaving_notice_at_ms: float | None = None


class Membership:
    """Liveness of VMs, derived from the VM list and from observed reachability.

    The VM list lags and may be wrong, so it is combined with observations of this
    process and of its peers. Changes are collected until `take_changes` is called.
    All times are in milliseconds of the event loop's clock.

    Attributes
    ----------
    suspect_list_count : int
        How often the list has become suspect.
    """

    def __init__(self):
        self._version = 0
        self._members: dict[VmId, _Member] = {}
        self._gone: OrderedDict[VmId, VmRecord] = OrderedDict()
        self._changes: list[MemberChange] = []
        self._confirmed_at_ms: float | None = None
        self._continuous_since_ms = 0.0
        self._is_list_suspect = False
        self.suspect_list_count = 0

    @property
    def is_list_suspect(self) -> bool:
        """Whether the list lacks so many VMs that absence from it is no evidence."""
        return self._is_list_suspect

    def apply_list(
        self, version: int, records: Sequence[VmRecord], confirmed_at_ms: float
    ) -> None:
        """Apply a new VM list, or confirm the current one.

        Parameters
        ----------
        version : int
            A call with a lower version than the last one, or with an earlier
            `confirmed_at_ms`, is ignored.
        records : sequence of VmRecord
        confirmed_at_ms : float
            Time at which the list was requested from the platform.
        """
        last_ms = self._confirmed_at_ms
        if version < self._version or (
            last_ms is not None and confirmed_at_ms < last_ms
        ):
            return
        if last_ms is None or confirmed_at_ms - last_ms > CONFIRMATION_GAP_MAX_MS:
            self._restart_absence_periods(confirmed_at_ms)
        self._confirmed_at_ms = confirmed_at_ms
        if version > self._version:
            self._version = version
            self._update_records(records, confirmed_at_ms)
        self._update_suspicion(confirmed_at_ms)
        self._update_liveness()

    def record_contact(self, vm_id: VmId, now_ms: float) -> None:
        """Record that a VM replied or sent a message."""
        member = self._members.get(vm_id)
        if member is not None:
            member.contact_at_ms = max(member.contact_at_ms or now_ms, now_ms)

    def record_unreachable(self, vm_id: VmId, now_ms: float) -> None:
        """Record that a VM did not reply, or that its lease expired."""
        member = self._members.get(vm_id)
        if member is not None:
            member.unreachable_at_ms = max(member.unreachable_at_ms or now_ms, now_ms)
            self._update_liveness()

    def record_leaving(self, vm_id: VmId, now_ms: float) -> None:
        """Record that a VM announced its shutdown, before the list shows it."""
        member = self._members.get(vm_id)
        if member is not None:
            member.leaving_notice_at_ms = now_ms
            self._update_liveness()

    def record_peer_reports(self, reports: Iterable[PeerReport], now_ms: float) -> None:
        """Record observations of other processes."""
        for report in reports:
            observed_at_ms = now_ms - report.age_ms
            if report.is_reachable:
                self.record_contact(report.vm_id, observed_at_ms)
            else:
                self.record_unreachable(report.vm_id, observed_at_ms)

    def liveness(self, vm_id: VmId) -> Liveness | None:
        """Return the liveness of a VM, or None if it cannot be determined.

        A VM that was in no list since this process started is considered gone once
        lists without it were confirmed for 30 s.
        """
        member = self._members.get(vm_id)
        if member is not None:
            return member.liveness
        if vm_id in self._gone:
            return Liveness.GONE
        if self._confirmed_at_ms is None or self._is_list_suspect:
            return None
        observed_ms = self._confirmed_at_ms - self._continuous_since_ms
        return Liveness.GONE if observed_ms >= GONE_AFTER_MS else None

    def members(
        self,
        kind: VmKind,
        liveness: Liveness = Liveness.LIVE,
        service: ServiceName | None = None,
    ) -> tuple[VmRecord, ...]:
        """Return the VMs with the given kind and liveness.

        Parameters
        ----------
        kind : VmKind
        liveness : Liveness
        service : ServiceName, optional
            Return only VMs of this service.
        """
        return tuple(
            member.record
            for member in self._members.values()
            if member.record.kind is kind
            and member.liveness is liveness
            and service in (None, member.record.service)
        )

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Return the changes since the last call and clear them."""
        changes, self._changes = tuple(self._changes), []
        return changes

    def _update_records(
        self, records: Sequence[VmRecord], confirmed_at_ms: float
    ) -> None:
        listed = set()
        for record in records:
            listed.add(record.vm_id)
            member = self._members.get(record.vm_id)
            if member is None:
                member = self._members[record.vm_id] = _Member(record)
                self._gone.pop(record.vm_id, None)
            member.record = record
            member.absent_since_ms = None
        for vm_id, member in self._members.items():
            if vm_id not in listed and member.absent_since_ms is None:
                member.absent_since_ms = confirmed_at_ms

    def _restart_absence_periods(self, since_ms: float) -> None:
        self._continuous_since_ms = since_ms
        for member in self._members.values():
            if member.absent_since_ms is not None:
                member.absent_since_ms = since_ms

    def _update_suspicion(self, now_ms: float) -> None:
        missing = [
            member.record
            for member in self._members.values()
            if member.absent_since_ms is not None
        ]
        known = [member.record for member in self._members.values()]
        was_suspect = self._is_list_suspect
        self._is_list_suspect = is_suspect_loss(missing, known)
        if self._is_list_suspect and not was_suspect:
            self.suspect_list_count += 1
        if was_suspect and not self._is_list_suspect:
            # Absence from a suspect list is no evidence that a VM is gone.
            self._restart_absence_periods(now_ms)

    def _update_liveness(self) -> None:
        for vm_id, member in list(self._members.items()):
            new = self._current_liveness(member)
            if new is member.liveness:
                continue
            self._changes.append(MemberChange(member.record, member.liveness, new))
            member.liveness = new
            if new is Liveness.GONE:
                del self._members[vm_id]
                self._gone[vm_id] = member.record
                while len(self._gone) > GONE_VMS_MAX:
                    self._gone.popitem(last=False)

    def _current_liveness(self, member: _Member) -> Liveness:
        now_ms = self._confirmed_at_ms
        if member.absent_since_ms is None:
            notice_ms = member.leaving_notice_at_ms
            has_notice = (
                notice_ms is not None and now_ms - notice_ms < LEAVING_NOTICE_MS
            )
            is_leaving = member.record.state is VmState.LEAVING or has_notice
            return Liveness.LEAVING if is_leaving else Liveness.LIVE
        if now_ms - member.absent_since_ms < GONE_AFTER_MS:
            return Liveness.ABSENT
        contact_ms = member.contact_at_ms
        if contact_ms is not None and now_ms - contact_ms < GONE_AFTER_MS:
            return Liveness.ABSENT
        if self._is_list_suspect and not _is_confirmed_down(member):
            return Liveness.ABSENT
        return Liveness.GONE


def _is_confirmed_down(member: _Member) -> bool:
    """Return whether an absent VM was unreachable since its last contact.

    Only observations since the VM disappeared from the list count.
    """
    unreachable_ms = member.unreachable_at_ms
    if unreachable_ms is None or unreachable_ms < member.absent_since_ms:
        return False
    return member.contact_at_ms is None or unreachable_ms > member.contact_at_ms
