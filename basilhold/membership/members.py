"""Which VMs are live, leaving or gone."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from basilhold.core import ServiceName, VmId
from basilhold.membership.suspect_loss import is_suspect_loss
from basilhold.ports import VmKind, VmRecord, VmState

__all__ = ["GONE_AFTER_MS", "Liveness", "MemberChange", "Membership", "PeerReport"]

GONE_AFTER_MS = 30_000
"""Absence after which a VM is gone (section 7.3); tokens and leases rely on it."""

CONTINUITY_MS = 10_000
"""Longest gap between confirmations of the list.

What happened to a VM in a longer gap is not known, so its absence counts anew.
"""

LEAVING_HOLD_MS = 60_000
"""How long a VM's own word that it leaves outweighs a lagging list."""

GONE_KEPT = 10_000
"""VMs that are remembered after they are gone."""


class Liveness(Enum):
    """What is known about a VM.

    ``ABSENT`` is a VM that the list lacks and that is not yet proved gone; it gets
    no new work and nothing of it is given away.
    """

    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"
    GONE = "gone"


class MemberChange(msgspec.Struct, frozen=True):
    """A change of one VM; `old` is None for a new one."""

    record: VmRecord
    old: Liveness | None
    new: Liveness


class PeerReport(msgspec.Struct, frozen=True):
    """What another process saw of a VM.

    Parameters
    ----------
    vm_id : VmId
    is_reachable : bool
    age_ms : float
        Time since it was seen, in milliseconds.
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
        self.said_leaving_at_ms: float | None = None


class Membership:
    """Combines the lagging VM list with direct and reported evidence.

    All times are milliseconds of the event loop's clock. Changes are collected until
    `take_changes`.
    """

    def __init__(self):
        self._version = 0
        self._members: dict[VmId, _Member] = {}
        self._gone: OrderedDict[VmId, VmRecord] = OrderedDict()
        self._changes: list[MemberChange] = []
        self._confirmed_at_ms: float | None = None
        self._continuous_since_ms = 0.0
        self._is_doubted = False
        self.doubt_count = 0

    @property
    def is_list_suspect(self) -> bool:
        """Whether the list lacks so many VMs that its losses are not believed."""
        return self._is_doubted

    def apply_list(
        self, version: int, records: Sequence[VmRecord], confirmed_at_ms: float
    ) -> None:
        """Take over a list, or confirm the one that is known.

        Parameters
        ----------
        version : int
            A lower version than the last one is ignored, as are older confirmations.
        records : sequence of VmRecord
        confirmed_at_ms : float
            When the platform was asked for the list.
        """
        last_ms = self._confirmed_at_ms
        if version < self._version or (
            last_ms is not None and confirmed_at_ms < last_ms
        ):
            return
        if last_ms is None or confirmed_at_ms - last_ms > CONTINUITY_MS:
            self._restart_absences(confirmed_at_ms)
        self._confirmed_at_ms = confirmed_at_ms
        if version > self._version:
            self._version = version
            self._take_records(records, confirmed_at_ms)
        self._assess_doubt(confirmed_at_ms)
        self._decide()

    def note_contact(self, vm_id: VmId, now_ms: float) -> None:
        """Take note that a VM answered or sent something."""
        member = self._members.get(vm_id)
        if member is not None:
            member.contact_at_ms = max(member.contact_at_ms or now_ms, now_ms)

    def note_unreachable(self, vm_id: VmId, now_ms: float) -> None:
        """Take note that a VM did not answer, or that its lease ran out."""
        member = self._members.get(vm_id)
        if member is not None:
            member.unreachable_at_ms = max(member.unreachable_at_ms or now_ms, now_ms)
            self._decide()

    def note_leaving(self, vm_id: VmId, now_ms: float) -> None:
        """Take note that a VM said itself that it leaves, before the list shows it."""
        member = self._members.get(vm_id)
        if member is not None:
            member.said_leaving_at_ms = now_ms
            self._decide()

    def note_peer_reports(self, reports: Iterable[PeerReport], now_ms: float) -> None:
        """Take note of what other processes saw."""
        for report in reports:
            seen_at_ms = now_ms - report.age_ms
            if report.is_reachable:
                self.note_contact(report.vm_id, seen_at_ms)
            else:
                self.note_unreachable(report.vm_id, seen_at_ms)

    def liveness(self, vm_id: VmId) -> Liveness | None:
        """Return what is known about a VM; None if too little is.

        A VM that no list named since this process started counts as gone after the
        lists lacked it for 30 s.
        """
        member = self._members.get(vm_id)
        if member is not None:
            return member.liveness
        if vm_id in self._gone:
            return Liveness.GONE
        if self._confirmed_at_ms is None or self._is_doubted:
            return None
        watched_ms = self._confirmed_at_ms - self._continuous_since_ms
        return Liveness.GONE if watched_ms >= GONE_AFTER_MS else None

    def members(
        self,
        kind: VmKind,
        liveness: Liveness = Liveness.LIVE,
        service: ServiceName | None = None,
    ) -> tuple[VmRecord, ...]:
        """Return the VMs of a kind and liveness, optionally of one service."""
        return tuple(
            member.record
            for member in self._members.values()
            if member.record.kind is kind
            and member.liveness is liveness
            and service in (None, member.record.service)
        )

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Return the changes since the last call."""
        changes, self._changes = tuple(self._changes), []
        return changes

    def _take_records(
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

    def _restart_absences(self, since_ms: float) -> None:
        self._continuous_since_ms = since_ms
        for member in self._members.values():
            if member.absent_since_ms is not None:
                member.absent_since_ms = since_ms

    def _assess_doubt(self, now_ms: float) -> None:
        missing = [
            member.record
            for member in self._members.values()
            if member.absent_since_ms is not None
        ]
        known = [member.record for member in self._members.values()]
        was_doubted = self._is_doubted
        self._is_doubted = is_suspect_loss(missing, known)
        if self._is_doubted and not was_doubted:
            self.doubt_count += 1
        if was_doubted and not self._is_doubted:
            # Absence under a list that was not believed proves nothing.
            self._restart_absences(now_ms)

    def _decide(self) -> None:
        for vm_id, member in list(self._members.items()):
            new = self._assess(member)
            if new is member.liveness:
                continue
            self._changes.append(MemberChange(member.record, member.liveness, new))
            member.liveness = new
            if new is Liveness.GONE:
                del self._members[vm_id]
                self._gone[vm_id] = member.record
                while len(self._gone) > GONE_KEPT:
                    self._gone.popitem(last=False)

    def _assess(self, member: _Member) -> Liveness:
        now_ms = self._confirmed_at_ms
        if member.absent_since_ms is None:
            said_ms = member.said_leaving_at_ms
            is_held = said_ms is not None and now_ms - said_ms < LEAVING_HOLD_MS
            is_leaving = member.record.state is VmState.LEAVING or is_held
            return Liveness.LEAVING if is_leaving else Liveness.LIVE
        if now_ms - member.absent_since_ms < GONE_AFTER_MS:
            return Liveness.ABSENT
        contact_ms = member.contact_at_ms
        if contact_ms is not None and now_ms - contact_ms < GONE_AFTER_MS:
            return Liveness.ABSENT
        if self._is_doubted and not _is_proved(member):
            return Liveness.ABSENT
        return Liveness.GONE


def _is_proved(member: _Member) -> bool:
    """Whether direct evidence shows that an absent VM does not run."""
    unreachable_ms = member.unreachable_at_ms
    if unreachable_ms is None or unreachable_ms < member.absent_since_ms:
        return False
    return member.contact_at_ms is None or unreachable_ms > member.contact_at_ms
