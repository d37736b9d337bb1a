"""Owner's side of the slot token protocol."""

import math
from collections import Counter
from collections.abc import Iterable

from basilhold.core import (
    CLOCK_ERROR_MS,
    Epoch,
    ProcessId,
    RegionName,
    ServiceName,
    UpstreamId,
    VmId,
    ZoneName,
)
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests.gateway_state import GatewayState, Takeover
from basilhold.requests.ledger import SlotLedger, SlotState
from basilhold.requests.routing import LEAVING_MS
from basilhold.requests.tokens import HeldToken, SlotGrant, SlotReport, SlotToken

__all__ = ["SlotAllocator"]

VM_ABSENCE_MS = 30_000
"""A gateway is gone once the VM list has not shown its VM for this long."""

CLAIM_MS = 15_000
"""Unclaimed tokens stay frozen at least this long after a takeover.

A gateway that starts in this time may still be sent to the predecessor: its shard
directory may be 4 s old, and a lagging VM list may not show its VM yet.
"""

RESTART_LINGER_MS = 1000
"""Upstreams see the connections of a process that has ended closed within this time."""

RENEW_BEFORE_MS = 10 * 60_000
"""Leases are extended when the horizon has moved by this much."""


class SlotAllocator:
    """Lends the slots of one zone's upstreams to gateways.

    Parameters
    ----------
    zone : ZoneName
    region : RegionName
    epoch : Epoch
    takeover : Takeover, optional
        None if no predecessor can have lent tokens.
    longest_deadline_ms : int
        Longest timeout of any class, in milliseconds.
    vm_absence_ms : int
        Absence after which an entry VM is gone, in milliseconds; 0 if the caller of
        `update_entry_vms` leaves out only VMs that are proved gone.
    """

    def __init__(
        self,
        zone: ZoneName,
        region: RegionName,
        epoch: Epoch,
        takeover: Takeover | None = None,
        longest_deadline_ms: int = 60_000,
        vm_absence_ms: int = VM_ABSENCE_MS,
    ):
        self.zone = zone
        self._region = region
        self.epoch = epoch
        self._takeover = takeover
        self._longest_deadline_ms = longest_deadline_ms
        self._gone_ms = vm_absence_ms
        self._ledger = SlotLedger()
        self._gateways: dict[ProcessId, GatewayState] = {}
        self._reported_vms: set[VmId] = set()
        self._newest_starts: dict[VmId, int] = {}
        self._gone_since: dict[VmId, int] = {}
        self._all_claimed = takeover is None
        self._horizon_unix_ms = 0
        self._may_lend = False
        self._leaving_until: dict[UpstreamId, int] = {}
        self._listed: tuple[VmRecord, ...] = ()
        self.conflict_count = 0

    def set_horizon(self, horizon_unix_ms: int) -> None:
        """Set the lease horizon that the ``shard/`` row holds."""
        self._horizon_unix_ms = max(self._horizon_unix_ms, horizon_unix_ms)

    def update_upstreams(self, records: Iterable[VmRecord]) -> None:
        """Replace the list of upstreams by those of this zone in the VM list."""
        self._listed = tuple(
            record
            for record in records
            if record.kind is VmKind.UPSTREAM
            and record.zone == self.zone
            and record.service is not None
            and record.state is VmState.LIVE
        )
        self._update_ledger()

    def _update_ledger(self) -> None:
        listed = {
            UpstreamId(record.vm_id): record
            for record in self._listed
            if record.vm_id not in self._leaving_until
        }
        for upstream_id in self._ledger.upstream_ids() - listed.keys():
            self._ledger.remove_upstream(upstream_id)
        state = SlotState.FREE if self._all_claimed else SlotState.UNCLAIMED
        for upstream_id, record in listed.items():
            self._ledger.add_upstream(upstream_id, record.service, record.slots, state)
        self._recall_unlisted()

    def update_entry_vms(self, present: frozenset[VmId], now_unix_ms: int) -> None:
        """Take the entry VMs of a VM list that the membership filter trusts."""
        known = {g.vm_id for g in self._gateways.values()}
        if self._takeover is not None:
            known |= self._takeover.entry_vm_ids
        for vm_id in known:
            if vm_id in present:
                self._gone_since.pop(vm_id, None)
            else:
                self._gone_since.setdefault(vm_id, now_unix_ms)

    def apply_report(self, report: SlotReport, now_unix_ms: int) -> bool:
        """Take a report and return whether it gets a reply from `reply`.

        Delayed reports and those with a higher epoch do not.
        """
        if report.epoch > self.epoch:
            return False
        newest = self._newest_starts.get(report.vm_id, 0)
        if report.started_unix_ms < newest:
            return False
        gateway = self._gateway(report, now_unix_ms)
        if report.number <= gateway.number:
            return False
        # The VM list lags; a report proves that the VM is there.
        self._gone_since.pop(report.vm_id, None)
        gateway.number = report.number
        gateway.demand = {d.service: d.waiting for d in report.demand}
        self._reported_vms.add(report.vm_id)
        self._take_holdings(gateway, report)
        for upstream_id in report.leaving_upstream_ids:
            self._leaving_until[upstream_id] = now_unix_ms + LEAVING_MS
        if report.leaving_upstream_ids:
            self._update_ledger()
        if report.leaving:
            del self._gateways[gateway.gateway_id]
            return False
        self._expire(now_unix_ms)
        self._plan_recalls()
        return True

    def has_pending_changes(self, gateway_id: ProcessId) -> bool:
        """Return whether a gateway's reply would say anything new."""
        gateway = self._gateways.get(gateway_id)
        if gateway is None:
            return True
        return gateway.has_recall_news or any(
            self._grant_count(gateway, service) > 0
            for service in self._ledger.services()
        )

    def reply(self, gateway_id: ProcessId, now_unix_ms: int) -> SlotGrant:
        """Return the reply to a gateway's last report."""
        self._expire(now_unix_ms)
        gateway = self._gateways.get(gateway_id)
        if gateway is None:
            return SlotGrant(0, self.epoch)
        granted: list[HeldToken] = self._renewals(gateway)
        for service in self._ledger.services():
            granted.extend(self._grant(gateway, service))
        gateway.has_recall_news = False
        return SlotGrant(
            gateway.number, self.epoch, tuple(granted), tuple(gateway.recalled)
        )

    def rejection_reply(self, report: SlotReport) -> SlotGrant:
        """Return the reply to a report that `report` did not take."""
        return SlotGrant(
            report.number, self.epoch, refused_epoch=report.epoch > self.epoch
        )

    def last_report_number(self, gateway_id: ProcessId) -> int:
        """Return the number of a gateway's last report."""
        gateway = self._gateways.get(gateway_id)
        return 0 if gateway is None else gateway.number

    def frozen_count(self) -> int:
        """Return how many tokens may be held by gateways that have not reported."""
        return len(self._ledger.unclaimed())

    def frozen_by_service(self) -> dict[ServiceName, int]:
        """Return `frozen_count` by service."""
        services = (self._ledger.service_of(t) for t in self._ledger.unclaimed())
        return dict(Counter(service for service in services if service is not None))

    def _gateway(self, report: SlotReport, now_unix_ms: int) -> GatewayState:
        gateway = self._gateways.get(report.gateway_id)
        if gateway is None:
            for other in self._gateways.values():
                # A VM runs one gateway, which binds its port, so the other has ended.
                if other.vm_id == report.vm_id and other.dead_since_unix_ms is None:
                    other.dead_since_unix_ms = now_unix_ms
            gateway = GatewayState(report)
            self._gateways[report.gateway_id] = gateway
            self._newest_starts[report.vm_id] = report.started_unix_ms
        return gateway

    def _take_holdings(self, gateway: GatewayState, report: SlotReport) -> None:
        reported = {held.token: held for held in report.held}
        for token in self._ledger.held_by(gateway.gateway_id):
            if token not in reported:
                self._ledger.take_back(token)
                gateway.recalled.pop(token, None)
        for token, held in reported.items():
            holder = self._ledger.holder(token)
            if holder is not None and holder != gateway.gateway_id:
                self.conflict_count += 1
                gateway.recalled[token] = None
                gateway.has_recall_news = True
                continue
            expires = max(held.expires_unix_ms, self._ledger.expiry(token))
            self._ledger.give(token, gateway.gateway_id, expires)
        for token in [t for t in gateway.recalled if t not in reported]:
            del gateway.recalled[token]
        idle = report.held[len(report.held) - report.idle_count :]
        gateway.idle = [held.token for held in idle if report.idle_count]
        if any(token in gateway.recalled for token in gateway.idle):
            # The reply that recalled them was lost.
            gateway.has_recall_news = True
        self._recall_unlisted()

    def _recall_unlisted(self) -> None:
        for gateway in self._gateways.values():
            for token in self._ledger.held_by(gateway.gateway_id):
                if self._ledger.service_of(token) is None:
                    self._recall(gateway, token)

    def _recall(self, gateway: GatewayState, token: SlotToken) -> None:
        if token not in gateway.recalled:
            gateway.recalled[token] = None
            gateway.has_recall_news = True

    def _renewals(self, gateway: GatewayState) -> list[HeldToken]:
        due = self._horizon_unix_ms - RENEW_BEFORE_MS
        renewed = []
        for token in self._ledger.held_by(gateway.gateway_id):
            if self._ledger.expiry(token) < due and token not in gateway.recalled:
                self._ledger.give(token, gateway.gateway_id, self._horizon_unix_ms)
                renewed.append(HeldToken(token, self._horizon_unix_ms))
        return renewed

    def _share(self, service: ServiceName, gateway: GatewayState) -> int:
        """Return how many slots of a service a gateway has when nobody is short.

        Gateways of other regions have none, so that they exchange no reports over
        the paid link while they need no slots.
        """
        home = [g for g in self._live() if g.region == self._region]
        members = home or self._live()
        if gateway not in members:
            return 0
        return math.ceil(self._ledger.slot_count(service) / len(members))

    def _live(self) -> list[GatewayState]:
        return [g for g in self._gateways.values() if g.dead_since_unix_ms is None]

    def _demanders(self, service: ServiceName) -> list[GatewayState]:
        return [g for g in self._live() if g.demand.get(service)]

    def _grant_count(self, gateway: GatewayState, service: ServiceName) -> int:
        free = self._ledger.free_count(service)
        if not free or not self._may_lend:
            return 0
        demand = gateway.demand.get(service, 0)
        demanders = self._demanders(service)
        if demand:
            return min(demand, math.ceil(free / len(demanders)))
        if demanders:
            return 0
        held = self._ledger.held_count(gateway.gateway_id, service)
        return max(0, min(free, self._share(service, gateway) - held))

    def _grant(self, gateway: GatewayState, service: ServiceName) -> list[HeldToken]:
        count = self._grant_count(gateway, service)
        if not count:
            return []
        # Slots of many upstreams rather than many slots of one, so that a gateway
        # can balance its requests.
        free = self._ledger.free(service)
        free.sort(key=lambda token: token.slot)
        granted = []
        for token in free[:count]:
            self._ledger.give(token, gateway.gateway_id, self._horizon_unix_ms)
            granted.append(HeldToken(token, self._horizon_unix_ms))
        if gateway.demand.get(service):
            gateway.demand[service] = max(0, gateway.demand[service] - count)
        return granted

    def _plan_recalls(self) -> None:
        for service in self._ledger.services():
            demanders = self._demanders(service)
            unmet = sum(g.demand[service] for g in demanders)
            unmet -= self._ledger.free_count(service)
            unmet -= self._recalled_count(service)
            if unmet > 0:
                unmet = self._recall_idle(service, demanders, unmet)
            if unmet > 0:
                self._recall_excess(service, demanders)
            if not demanders:
                self._rebalance(service)

    def _recalled_count(self, service: ServiceName) -> int:
        return sum(
            self._ledger.service_of(token) == service
            for g in self._live()
            for token in g.recalled
        )

    def _recall_idle(
        self, service: ServiceName, demanders: list[GatewayState], unmet: int
    ) -> int:
        others = [g for g in self._live() if g not in demanders]
        others.sort(key=lambda g: -len(g.idle))
        for gateway in others:
            for token in gateway.idle:
                if unmet <= 0:
                    return 0
                if token in gateway.recalled:
                    continue
                if self._ledger.service_of(token) == service:
                    self._recall(gateway, token)
                    unmet -= 1
        return unmet

    def _recall_excess(
        self, service: ServiceName, demanders: list[GatewayState]
    ) -> None:
        """Recall slots in use, so that all gateways with waiting requests get some."""
        total = self._ledger.slot_count(service)
        held = {
            g.gateway_id: self._ledger.held_count(g.gateway_id, service)
            for g in self._live()
        }
        users = [g for g in self._live() if held[g.gateway_id] or g in demanders]
        share = max(1, total // len(users))
        missing = sum(
            min(g.demand[service], max(0, share - held[g.gateway_id]))
            for g in demanders
        )
        missing -= self._recalled_count(service)
        for gateway in sorted(users, key=lambda g: -held[g.gateway_id]):
            excess = held[gateway.gateway_id] - share
            for token in self._ledger.held_by(gateway.gateway_id):
                if missing <= 0 or excess <= 0:
                    break
                if self._ledger.service_of(token) != service:
                    continue
                excess -= 1
                if token not in gateway.recalled:
                    self._recall(gateway, token)
                    missing -= 1

    def _rebalance(self, service: ServiceName) -> None:
        """Recall idle slots for a gateway that has less than half of its share."""
        free = self._ledger.free_count(service) + self._recalled_count(service)
        for gateway in self._live():
            share = self._share(service, gateway)
            held = self._ledger.held_count(gateway.gateway_id, service)
            wanted = share // 2 - held - free
            if wanted <= 0:
                continue
            for other in self._live():
                spare = self._ledger.held_count(other.gateway_id, service)
                spare -= self._share(service, other)
                for token in other.idle[: max(0, spare)]:
                    if wanted > 0 and self._ledger.service_of(token) == service:
                        self._recall(other, token)
                        wanted -= 1

    def _expire(self, now_unix_ms: int) -> None:
        self._may_lend = self._horizon_unix_ms > now_unix_ms + 2 * CLOCK_ERROR_MS
        stayed = [u for u, until in self._leaving_until.items() if until < now_unix_ms]
        for upstream_id in stayed:
            del self._leaving_until[upstream_id]
        if stayed:
            self._update_ledger()
        for gateway in list(self._gateways.values()):
            gone = self._is_gone(gateway.vm_id, now_unix_ms)
            dead = gateway.dead_since_unix_ms
            restarted = dead is not None and now_unix_ms - dead > RESTART_LINGER_MS
            if gone or restarted:
                for token in self._ledger.held_by(gateway.gateway_id):
                    self._ledger.take_back(token)
                del self._gateways[gateway.gateway_id]
        margin_ms = self._longest_deadline_ms + 2 * CLOCK_ERROR_MS
        for token in self._ledger.all_held():
            if self._ledger.expiry(token) + margin_ms < now_unix_ms:
                self._ledger.take_back(token)
        self._free_unclaimed(now_unix_ms, margin_ms)

    def _is_gone(self, vm_id: VmId, now_unix_ms: int) -> bool:
        since = self._gone_since.get(vm_id)
        return since is not None and now_unix_ms - since >= self._gone_ms

    def _free_unclaimed(self, now_unix_ms: int, margin_ms: int) -> None:
        takeover = self._takeover
        if self._all_claimed or takeover is None:
            return
        missing = {
            vm_id
            for vm_id in takeover.entry_vm_ids - self._reported_vms
            if not self._is_gone(vm_id, now_unix_ms)
        }
        settled = not missing and now_unix_ms >= takeover.at_unix_ms + CLAIM_MS
        expired = now_unix_ms > takeover.predecessor_horizon_unix_ms + margin_ms
        if settled or expired:
            self._all_claimed = True
            for token in self._ledger.unclaimed():
                self._ledger.take_back(token)
