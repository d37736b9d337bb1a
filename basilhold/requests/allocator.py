"""Allocation of slot tokens to gateways by the owner of a zone's shard."""

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
"""Absence of a VM from the VM list after which its gateway counts as gone."""

CLAIM_PERIOD_MS = 15_000
"""Minimum time after a takeover in which unclaimed tokens stay frozen.

A gateway that starts in this period may still send its report to the predecessor and
obtain tokens there: its shard directory may be up to 4 s old, and its VM may be missing
from a delayed VM list.
"""

CONNECTION_CLOSE_MS = 1000
"""Time in which upstreams notice that an ended process closed its connections."""

RENEWAL_THRESHOLD_MS = 10 * 60_000
"""A lease is renewed when it ends this much earlier than the lease horizon."""


class SlotAllocator:
    """Grants gateways leases on the slots of one zone's upstreams.

    Each slot of an upstream is represented by one token, which at most one gateway
    holds at a time. Gateways state their tokens and their demand in reports; the
    replies grant tokens and recall them.

    Parameters
    ----------
    zone : ZoneName
        Zone of the upstreams.
    region : RegionName
        Region of the zone.
    epoch : Epoch
        Epoch in which this process owns the zone's shard.
    takeover : Takeover, optional
        State left by the previous owner; None if no previous owner can have granted
        tokens.
    longest_deadline_ms : int
        Longest timeout of any class, in milliseconds.
    vm_absence_ms : int
        Absence after which an entry VM counts as gone, in milliseconds; 0 if the
        calls of `update_entry_vms` omit only VMs that are proved to be gone.
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
        self._vm_absence_ms = vm_absence_ms
        self._ledger = SlotLedger()
        self._gateways: dict[ProcessId, GatewayState] = {}
        self._reported_vms: set[VmId] = set()
        self._latest_starts_unix_ms: dict[VmId, int] = {}
        self._absent_since_unix_ms: dict[VmId, int] = {}
        self._claims_settled = takeover is None
        self._horizon_unix_ms = 0
        self._can_grant = False
        self._leaving_until: dict[UpstreamId, int] = {}
        self._listed_upstreams: tuple[VmRecord, ...] = ()
        self.conflict_count = 0

    def set_horizon(self, horizon_unix_ms: int) -> None:
        """Set the lease horizon, the latest expiry in the shard's ``shard/`` row.

        The horizon never decreases; an earlier time is ignored.
        """
        self._horizon_unix_ms = max(self._horizon_unix_ms, horizon_unix_ms)

    def update_upstreams(self, records: Iterable[VmRecord]) -> None:
        """Replace the upstreams by the live ones of this zone in a VM list."""
        self._listed_upstreams = tuple(
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
            for record in self._listed_upstreams
            if record.vm_id not in self._leaving_until
        }
        for upstream_id in self._ledger.upstream_ids() - listed.keys():
            self._ledger.remove_upstream(upstream_id)
        state = SlotState.FREE if self._claims_settled else SlotState.UNCLAIMED
        for upstream_id, record in listed.items():
            self._ledger.add_upstream(upstream_id, record.service, record.slots, state)
        self._recall_unlisted()

    def update_entry_vms(self, present: frozenset[VmId], now_unix_ms: int) -> None:
        """Record which entry VMs a VM list shows that the membership filter trusts."""
        known = {g.vm_id for g in self._gateways.values()}
        if self._takeover is not None:
            known |= self._takeover.entry_vm_ids
        for vm_id in known:
            if vm_id in present:
                self._absent_since_unix_ms.pop(vm_id, None)
            else:
                self._absent_since_unix_ms.setdefault(vm_id, now_unix_ms)

    def apply_report(self, report: SlotReport, now_unix_ms: int) -> bool:
        """Apply a gateway's report.

        Returns
        -------
        bool
            Whether `reply` returns the answer to the report. It does not if the report
            is delayed, names a higher epoch or comes from a gateway that is stopping;
            the answer is then that of `rejection_reply`.
        """
        if report.epoch > self.epoch:
            return False
        latest_start_unix_ms = self._latest_starts_unix_ms.get(report.vm_id, 0)
        if report.started_unix_ms < latest_start_unix_ms:
            return False
        gateway = self._find_or_add_gateway(report, now_unix_ms)
        if report.number <= gateway.number:
            return False
        # The VM list may be delayed; a report proves that the VM exists.
        self._absent_since_unix_ms.pop(report.vm_id, None)
        gateway.number = report.number
        gateway.demand = {d.service: d.waiting for d in report.demand}
        self._reported_vms.add(report.vm_id)
        self._apply_holdings(gateway, report)
        for upstream_id in report.leaving_upstream_ids:
            self._leaving_until[upstream_id] = now_unix_ms + LEAVING_MS
        if report.leaving_upstream_ids:
            self._update_ledger()
        if report.leaving:
            del self._gateways[gateway.gateway_id]
            return False
        self._reclaim_expired(now_unix_ms)
        self._plan_recalls()
        return True

    def has_pending_changes(self, gateway_id: ProcessId) -> bool:
        """Return whether a reply to a gateway would grant or recall tokens."""
        gateway = self._gateways.get(gateway_id)
        if gateway is None:
            return True
        return gateway.has_new_recalls or any(
            self._grant_count(gateway, service) > 0
            for service in self._ledger.services()
        )

    def reply(self, gateway_id: ProcessId, now_unix_ms: int) -> SlotGrant:
        """Return the reply to a gateway's last report.

        The reply is empty if the gateway has been removed in the meantime.
        """
        self._reclaim_expired(now_unix_ms)
        gateway = self._gateways.get(gateway_id)
        if gateway is None:
            return SlotGrant(0, self.epoch)
        granted: list[HeldToken] = self._renewals(gateway)
        for service in self._ledger.services():
            granted.extend(self._grant(gateway, service))
        gateway.has_new_recalls = False
        return SlotGrant(
            gateway.number, self.epoch, tuple(granted), tuple(gateway.recalled)
        )

    def rejection_reply(self, report: SlotReport) -> SlotGrant:
        """Return the reply to a report for which `apply_report` returned False."""
        return SlotGrant(
            report.number, self.epoch, refused_epoch=report.epoch > self.epoch
        )

    def last_report_number(self, gateway_id: ProcessId) -> int:
        """Return the number of a gateway's last report, or 0 for an unknown gateway."""
        gateway = self._gateways.get(gateway_id)
        return 0 if gateway is None else gateway.number

    def frozen_count(self) -> int:
        """Return how many tokens are frozen.

        The previous owner may have granted them to gateways that have not reported to
        this one yet.
        """
        return len(self._ledger.unclaimed())

    def frozen_by_service(self) -> dict[ServiceName, int]:
        """Return the number of frozen tokens by service."""
        services = (self._ledger.service_of(t) for t in self._ledger.unclaimed())
        return dict(Counter(service for service in services if service is not None))

    def _find_or_add_gateway(
        self, report: SlotReport, now_unix_ms: int
    ) -> GatewayState:
        gateway = self._gateways.get(report.gateway_id)
        if gateway is None:
            for other in self._gateways.values():
                # The gateway binds a fixed port, so a VM runs only one at a time and
                # the other process has ended.
                if other.vm_id == report.vm_id and other.replaced_at_unix_ms is None:
                    other.replaced_at_unix_ms = now_unix_ms
            gateway = GatewayState(report)
            self._gateways[report.gateway_id] = gateway
            self._latest_starts_unix_ms[report.vm_id] = report.started_unix_ms
        return gateway

    def _apply_holdings(self, gateway: GatewayState, report: SlotReport) -> None:
        reported = {held.token: held for held in report.held}
        for token in self._ledger.held_by(gateway.gateway_id):
            if token not in reported:
                self._ledger.release(token)
                gateway.recalled.pop(token, None)
        for token, held in reported.items():
            holder = self._ledger.holder(token)
            if holder is not None and holder != gateway.gateway_id:
                self.conflict_count += 1
                gateway.recalled[token] = None
                gateway.has_new_recalls = True
                continue
            expires = max(held.expires_unix_ms, self._ledger.expiry(token))
            self._ledger.assign(token, gateway.gateway_id, expires)
        for token in [t for t in gateway.recalled if t not in reported]:
            del gateway.recalled[token]
        idle = report.held[len(report.held) - report.idle_count :]
        gateway.idle = [held.token for held in idle if report.idle_count]
        if any(token in gateway.recalled for token in gateway.idle):
            # The gateway did not receive the reply that recalled them.
            gateway.has_new_recalls = True
        self._recall_unlisted()

    def _recall_unlisted(self) -> None:
        for gateway in self._gateways.values():
            for token in self._ledger.held_by(gateway.gateway_id):
                if self._ledger.service_of(token) is None:
                    self._recall(gateway, token)

    def _recall(self, gateway: GatewayState, token: SlotToken) -> None:
        if token not in gateway.recalled:
            gateway.recalled[token] = None
            gateway.has_new_recalls = True

    def _renewals(self, gateway: GatewayState) -> list[HeldToken]:
        due = self._horizon_unix_ms - RENEWAL_THRESHOLD_MS
        renewed = []
        for token in self._ledger.held_by(gateway.gateway_id):
            if self._ledger.expiry(token) < due and token not in gateway.recalled:
                self._ledger.assign(token, gateway.gateway_id, self._horizon_unix_ms)
                renewed.append(HeldToken(token, self._horizon_unix_ms))
        return renewed

    def _fair_share(self, service: ServiceName, gateway: GatewayState) -> int:
        """Return the slots of a service that a gateway holds when no requests wait.

        Gateways of other regions hold none, so that they send no reports over the paid
        link between regions while they need no slots.
        """
        local_gateways = [g for g in self._live_gateways() if g.region == self._region]
        members = local_gateways or self._live_gateways()
        if gateway not in members:
            return 0
        return math.ceil(self._ledger.slot_count(service) / len(members))

    def _live_gateways(self) -> list[GatewayState]:
        return [g for g in self._gateways.values() if g.replaced_at_unix_ms is None]

    def _gateways_with_demand(self, service: ServiceName) -> list[GatewayState]:
        return [g for g in self._live_gateways() if g.demand.get(service)]

    def _grant_count(self, gateway: GatewayState, service: ServiceName) -> int:
        free = self._ledger.free_count(service)
        if not free or not self._can_grant:
            return 0
        demand = gateway.demand.get(service, 0)
        waiting_gateways = self._gateways_with_demand(service)
        if demand:
            return min(demand, math.ceil(free / len(waiting_gateways)))
        if waiting_gateways:
            return 0
        held = self._ledger.held_count(gateway.gateway_id, service)
        return max(0, min(free, self._fair_share(service, gateway) - held))

    def _grant(self, gateway: GatewayState, service: ServiceName) -> list[HeldToken]:
        count = self._grant_count(gateway, service)
        if not count:
            return []
        # Spread the granted slots over many upstreams, so that the gateway can balance
        # its requests among them.
        free = self._ledger.free(service)
        free.sort(key=lambda token: token.slot)
        granted = []
        for token in free[:count]:
            self._ledger.assign(token, gateway.gateway_id, self._horizon_unix_ms)
            granted.append(HeldToken(token, self._horizon_unix_ms))
        if gateway.demand.get(service):
            gateway.demand[service] = max(0, gateway.demand[service] - count)
        return granted

    def _plan_recalls(self) -> None:
        for service in self._ledger.services():
            waiting_gateways = self._gateways_with_demand(service)
            unmet = sum(g.demand[service] for g in waiting_gateways)
            unmet -= self._ledger.free_count(service)
            unmet -= self._recalled_count(service)
            if unmet > 0:
                unmet = self._recall_idle(service, waiting_gateways, unmet)
            if unmet > 0:
                self._recall_excess(service, waiting_gateways)
            if not waiting_gateways:
                self._rebalance(service)

    def _recalled_count(self, service: ServiceName) -> int:
        return sum(
            self._ledger.service_of(token) == service
            for g in self._live_gateways()
            for token in g.recalled
        )

    def _recall_idle(
        self, service: ServiceName, waiting_gateways: list[GatewayState], unmet: int
    ) -> int:
        others = [g for g in self._live_gateways() if g not in waiting_gateways]
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
        self, service: ServiceName, waiting_gateways: list[GatewayState]
    ) -> None:
        """Recall tokens above an equal share, also those in use.

        Thus every gateway with waiting requests gets some slots.
        """
        total = self._ledger.slot_count(service)
        held = {
            g.gateway_id: self._ledger.held_count(g.gateway_id, service)
            for g in self._live_gateways()
        }
        users = [
            g
            for g in self._live_gateways()
            if held[g.gateway_id] or g in waiting_gateways
        ]
        share = max(1, total // len(users))
        missing = sum(
            min(g.demand[service], max(0, share - held[g.gateway_id]))
            for g in waiting_gateways
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
        """Recall idle tokens for gateways that hold less than half of their share."""
        free = self._ledger.free_count(service) + self._recalled_count(service)
        for gateway in self._live_gateways():
            share = self._fair_share(service, gateway)
            held = self._ledger.held_count(gateway.gateway_id, service)
            wanted = share // 2 - held - free
            if wanted <= 0:
                continue
            for other in self._live_gateways():
                spare = self._ledger.held_count(other.gateway_id, service)
                spare -= self._fair_share(service, other)
                for token in other.idle[: max(0, spare)]:
                    if wanted > 0 and self._ledger.service_of(token) == service:
                        self._recall(other, token)
                        wanted -= 1

    def _reclaim_expired(self, now_unix_ms: int) -> None:
        self._can_grant = self._horizon_unix_ms > now_unix_ms + 2 * CLOCK_ERROR_MS
        no_longer_leaving = [
            u for u, until in self._leaving_until.items() if until < now_unix_ms
        ]
        for upstream_id in no_longer_leaving:
            del self._leaving_until[upstream_id]
        if no_longer_leaving:
            self._update_ledger()
        for gateway in list(self._gateways.values()):
            gone = self._is_gone(gateway.vm_id, now_unix_ms)
            replaced_at_unix_ms = gateway.replaced_at_unix_ms
            restarted = (
                replaced_at_unix_ms is not None
                and now_unix_ms - replaced_at_unix_ms > CONNECTION_CLOSE_MS
            )
            if gone or restarted:
                for token in self._ledger.held_by(gateway.gateway_id):
                    self._ledger.release(token)
                del self._gateways[gateway.gateway_id]
        margin_ms = self._longest_deadline_ms + 2 * CLOCK_ERROR_MS
        for token in self._ledger.all_held():
            if self._ledger.expiry(token) + margin_ms < now_unix_ms:
                self._ledger.release(token)
        self._release_unclaimed(now_unix_ms, margin_ms)

    def _is_gone(self, vm_id: VmId, now_unix_ms: int) -> bool:
        since = self._absent_since_unix_ms.get(vm_id)
        return since is not None and now_unix_ms - since >= self._vm_absence_ms

    def _release_unclaimed(self, now_unix_ms: int, margin_ms: int) -> None:
        takeover = self._takeover
        if self._claims_settled or takeover is None:
            return
        missing = {
            vm_id
            for vm_id in takeover.entry_vm_ids - self._reported_vms
            if not self._is_gone(vm_id, now_unix_ms)
        }
        settled = not missing and now_unix_ms >= takeover.at_unix_ms + CLAIM_PERIOD_MS
        expired = now_unix_ms > takeover.predecessor_horizon_unix_ms + margin_ms
        if settled or expired:
            self._claims_settled = True
            for token in self._ledger.unclaimed():
                self._ledger.release(token)
