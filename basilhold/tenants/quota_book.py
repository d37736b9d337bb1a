"""What each tenant may still start in one service, and what it lacks.

`QuotaBook` joins the quotas of the newest configuration, the service's allotments and
the resources in use.
"""

import math
from collections.abc import Iterable
from typing import Any

import msgspec

from basilhold.core import JobId, Resources, ServiceName
from basilhold.tenants.allotment_policy import (
    AllotmentPolicy,
    AllotmentView,
    PartsRequest,
)
from basilhold.tenants.allotments import (
    NOTHING,
    WHOLE,
    AllotmentLedger,
    Parts,
    RecordedUse,
)
from basilhold.tenants.registry import NO_TENANT, TenantName, TenantRegistry
from basilhold.tenants.shares import (
    DEFAULT_WEIGHT,
    Amounts,
    TenantShares,
    dominant_share,
    share_weights,
)
from basilhold.tenants.usage import TenantUsage

__all__ = ["BlockedDemand", "QuotaBook", "TenantRequest"]

PEAK_HALF_LIFE_MS = 8_000.0
"""Time in which the recorded peak of an allotment's use decays by half."""

REPORT_INTERVAL_MS = 1_000.0
"""Shortest time between two reports that a tenant's work waits for quota."""

DESCRIBED_MAX = 100
"""Most tenants in a state dump."""

RECORDED_CHANGE_MIN = 0.02
"""Least recorded change of a tenant's recent use, as a share of the capacity."""

RECORDED_MAX = 8
"""Most tenants whose recent use is recorded at a time. Each changes a row, and a
transaction holds at most 100 entries."""

PROTECTED_MAX_MS = 2_000.0
"""How long waiting work keeps unused quota from work of another service that comes
after it. Work whose tenant uses less than half of its quota has to start within 3 s."""


class BlockedDemand(msgspec.Struct):
    """Work of one tenant that waits for nothing but quota.

    Parameters
    ----------
    size : Resources
        Resources of all its waiting tasks.
    claim : tuple of float
        Rank and latest start of its first step in the order; lower comes first.
    job_id : JobId
        Workflow of that step.
    """

    size: Resources
    claim: tuple[float, float]
    job_id: JobId = JobId("")

    def add(self, other: "BlockedDemand") -> None:
        """Add the demand of another step."""
        self.size = self.size + other.size
        if other.claim < self.claim:
            self.claim, self.job_id = other.claim, other.job_id


class TenantRequest(msgspec.Struct, frozen=True):
    """Request of a service for parts of one tenant's quota.

    Parameters
    ----------
    parts : PartsRequest
    claim : tuple of float, optional
        Claim of the waiting work, as in `BlockedDemand`; ``None`` if none waits.
    """

    parts: PartsRequest
    claim: tuple[float, float] | None = None


class _Peak(msgspec.Struct):
    parts: Parts
    at_ms: float


class QuotaBook:
    """Quota of the tenants in one service.

    Parameters
    ----------
    usage : TenantUsage
        What the runs of the service use.
    policy : AllotmentPolicy

    Attributes
    ----------
    registry : TenantRegistry, optional
        Tenants of the newest configuration; ``None`` if the deployment has none.
    ledger : AllotmentLedger, optional
        ``None`` until it has been read from the store. Nothing may start until then.
    blocked : dict of TenantName to BlockedDemand
        What the last planning pass could not start for lack of quota.
    shares : TenantShares
        What each tenant uses, now and in the last seconds.
    """

    def __init__(self, usage: TenantUsage, policy: AllotmentPolicy):
        self._usage = usage
        self._policy = policy
        self._peaks: dict[TenantName, _Peak] = {}
        self._blocked_since_ms: dict[TenantName, float] = {}
        self._reported_ms: dict[TenantName, float] = {}
        self.shares = TenantShares(usage)
        self._weights: dict[TenantName, float] = {}
        self._default_weight = DEFAULT_WEIGHT
        self.registry: TenantRegistry | None = None
        self.ledger: AllotmentLedger | None = None
        self.blocked: dict[TenantName, BlockedDemand] = {}

    def update_registry(self, registry: TenantRegistry | None) -> bool:
        """Apply the tenants of the newest configuration; return whether it is new."""
        if registry is self.registry:
            return False
        self.registry = registry
        self._weights = share_weights(registry)
        self._default_weight = min([DEFAULT_WEIGHT, *self._weights.values()])
        if self.ledger is not None:
            self._note_quotas()
        return True

    def open(self, ledger: AllotmentLedger) -> None:
        """Set the ledger that was read from the store."""
        self.ledger = ledger
        self._note_quotas()

    def _note_quotas(self) -> None:
        for tenant in self.registry or ():
            self.ledger.note_quota(tenant)

    def quota(self, name: TenantName) -> Resources:
        """Return the quota of a tenant in all services; 0 for no limit.

        The workflows of a tenant that was removed run to their end within the last
        quota that it had.
        """
        tenant = self.registry.get(name) if self.registry is not None else None
        if tenant is not None:
            return tenant.quota
        return self.ledger.last_quota(name) if self.ledger else Resources()

    def weight(self, name: TenantName) -> float:
        """Return a valid weight of a tenant.

        A tenant that was removed, or has no valid weight, gets a default that is at
        most the lowest one.
        """
        return self._weights.get(name, self._default_weight)

    def used(self, name: TenantName) -> Resources:
        """Return what the tenant's runs in this service use."""
        return self._usage.used(name)

    def room(self, name: TenantName) -> Resources | None:
        """Return what a tenant may still start here, or ``None`` if it has no limit."""
        if name == NO_TENANT:
            return None
        if self.ledger is None:
            return Resources() if self.registry is not None else None
        quota = self.quota(name)
        if quota == Resources():
            return None
        return self.ledger.held(name).amount_of(quota) - self._usage.used(name)

    def is_exceeded(self, name: TenantName) -> bool:
        """Return whether a tenant's runs use more than its allotment."""
        room = self.room(name)
        return room is not None and room.is_negative()

    def may_ever_start(self, name: TenantName, size: Resources) -> bool:
        """Return whether an amount fits into the quota when nothing else runs."""
        return name == NO_TENANT or size.fits_in(WHOLE.amount_of(self.quota(name)))

    def note_blocked(
        self, blocked: dict[TenantName, BlockedDemand], now_ms: float
    ) -> list[TenantName]:
        """Record what a planning pass could not start for lack of quota.

        Returns
        -------
        list of TenantName
            Tenants to report: those that had enough quota before, each at most once in
            `REPORT_INTERVAL_MS`.
        """
        self.blocked = blocked
        since_ms = self._blocked_since_ms
        self._blocked_since_ms = {name: since_ms.get(name, now_ms) for name in blocked}
        due = [
            name
            for name in blocked
            if name not in since_ms
            and now_ms - self._reported_ms.get(name, -math.inf) > REPORT_INTERVAL_MS
        ]
        self._reported_ms.update((name, now_ms) for name in due)
        return due

    def explain(self, name: TenantName) -> dict[str, Any]:
        """Return why work of a tenant waits, as fields of a log line."""
        quota, held = self.quota(name), self.ledger.held(name)
        return {
            "tenant": name,
            "job": self.blocked[name].job_id,
            "used": msgspec.structs.astuple(self.used(name)),
            "allotment": msgspec.structs.astuple(held.amount_of(quota)),
            "quota": msgspec.structs.astuple(quota),
            "version": self.registry.version if self.registry is not None else 0,
        }

    def describe(self, capacity: Amounts | None = None) -> dict[str, Any]:
        """Return use, allotment and waiting work, for the state dump.

        Only tenants that use or wait for something are included, at most
        `DESCRIBED_MAX`.

        Parameters
        ----------
        capacity : tuple of float, optional
            Capacity of the service, if it is divided by shares; these are included
            then.
        """
        names = {*self._usage.tenants(), *self.blocked}
        if capacity is None:
            return {name: self._describe_tenant(name) for name in _first(names)}
        names |= self.shares.tenants_everywhere() | self.shares.behind_counts().keys()
        return {
            name: self._describe_tenant(name) | self.describe_share(name, capacity)
            for name in _first(names)
        }

    def describe_share(self, name: TenantName, capacity: Amounts) -> dict[str, float]:
        """Return the share of a tenant, what it is due, and its work behind others.

        Shares are of all services that have reported. Recent use is included in
        `share`. While there is enough capacity, everything is due.
        """
        total = self.shares.total_capacity(capacity)
        share = dominant_share(self.shares.charged_everywhere(name), total)
        return {
            "share": round(share, 4),
            "due_share": round(self.shares.due_share(self.weight(name)), 4),
            "steps_behind": self.shares.behind_counts()[name],
        }

    def _describe_tenant(self, name: TenantName) -> dict[str, Any]:
        held = self.ledger.held(name) if self.ledger else NOTHING
        demand = self.blocked.get(name)
        return {
            "quota": msgspec.structs.asdict(self.quota(name)),
            "allotment_ppm": msgspec.structs.astuple(held),
            "used": msgspec.structs.asdict(self.used(name)),
            "waiting": msgspec.structs.asdict(demand.size) if demand else {},
        }

    def used_ratio(self) -> float:
        """Return the largest share of an allotment that runs use."""
        if self.ledger is None:
            return 0.0
        ratios = [0.0]
        for name in self._usage.tenants():
            used, held = self._used_parts(name), self.ledger.held(name)
            pairs = zip(
                msgspec.structs.astuple(used),
                msgspec.structs.astuple(held),
                strict=True,
            )
            ratios.extend(part / max(1, whole) for part, whole in pairs)
        return max(ratios)

    def observe_use(self, now_ms: float) -> None:
        """Update the recent peaks; called regularly."""
        for name in {*self._peaks, *self._usage.tenants()}:
            used = self._used_parts(name)
            decayed = self._peak(name, now_ms)
            peak = decayed.at_least(used)
            if peak:
                self._peaks[name] = _Peak(peak, now_ms)
            else:
                self._peaks.pop(name, None)

    def _peak(self, name: TenantName, now_ms: float) -> Parts:
        peak = self._peaks.get(name)
        if peak is None:
            return NOTHING
        age_ms = now_ms - peak.at_ms
        return peak.parts.scaled(0.5 ** (age_ms / PEAK_HALF_LIFE_MS))

    def _used_parts(self, name: TenantName) -> Parts:
        return Parts.needed_for(self._usage.used(name), self.quota(name))

    def _view(
        self, name: TenantName, now_ms: float, protected: bool = False
    ) -> AllotmentView:
        held, used = self.ledger.held(name), self._used_parts(name)
        missing = NOTHING
        demand = self.blocked.get(name)
        if demand is not None:
            needed = Parts.needed_for(demand.size, self.quota(name))
            missing = (needed - (held - used)).at_least(NOTHING).at_most(WHOLE - held)
        peak = self._peak(name, now_ms).at_least(used)
        return AllotmentView(held, used, peak, missing, protected)

    def restore_shares(self) -> None:
        """Continue with the recent use that a previous owner has recorded."""
        for name, use in self.ledger.recorded_uses().items():
            amounts = (use.cores_milli, use.memory_bytes, use.gpus_milli)
            self.shares.restore(name, amounts, use.at_ms)

    def record_shares(self, capacity: Amounts, now_ms: float) -> None:
        """Record the recent use of the tenants in the ledger; called regularly.

        Only changes that matter are recorded, `RECORDED_MAX` at a time.

        Parameters
        ----------
        capacity : tuple of float
            Capacity of the service.
        now_ms : float
            Time of the store's clock, in milliseconds.
        """
        recorded, recent = self.ledger.recorded_uses(), self.shares.recent()
        changes: list[tuple[float, TenantName]] = []
        for name in {*recorded, *recent}:
            use = recorded.get(name)
            known = (
                (use.cores_milli, use.memory_bytes, use.gpus_milli)
                if use is not None
                else (0, 0, 0)
            )
            amounts = recent.get(name, (0.0, 0.0, 0.0))
            change = abs(
                dominant_share(amounts, capacity) - dominant_share(known, capacity)
            )
            if change > RECORDED_CHANGE_MIN or (use is not None and name not in recent):
                changes.append((change, name))
        for _, name in sorted(changes, reverse=True)[:RECORDED_MAX]:
            amounts = recent.get(name)
            use = None
            if amounts is not None:
                use = RecordedUse(*map(round, amounts), round(now_ms))
            self.ledger.record_use(name, use)

    def requests(
        self, names: Iterable[TenantName], service_count: int, now_ms: float
    ) -> dict[TenantName, TenantRequest]:
        """Return what this service should ask the other ones for, by tenant.

        Parameters
        ----------
        names : iterable of TenantName
            Tenants to look at.
        service_count : int
            Number of services that share the quotas.
        now_ms : float
            Time of the monotonic clock, in milliseconds.
        """
        requests: dict[TenantName, TenantRequest] = {}
        for name in names:
            if self.quota(name) == Resources():
                continue
            parts = self._policy.request(self._view(name, now_ms), service_count)
            if parts:
                demand = self.blocked.get(name)
                requests[name] = TenantRequest(parts, demand.claim if demand else None)
        return requests

    def grant(
        self,
        receiver: ServiceName,
        requests: dict[TenantName, TenantRequest],
        service_count: int,
        now_ms: float,
    ) -> dict[TenantName, Parts]:
        """Give parts of allotments to a service that asks; return what was given.

        They are taken off at once, and reach the receiver after they are stored.
        """
        given: dict[TenantName, Parts] = {}
        for name, request in requests.items():
            protected = self._is_protected(name, receiver, request, now_ms)
            view = self._view(name, now_ms, protected)
            parts = self._policy.grant(view, request.parts, service_count)
            if parts:
                self.ledger.send(name, receiver, parts)
                given[name] = parts
        return given

    def _is_protected(
        self,
        name: TenantName,
        receiver: ServiceName,
        request: TenantRequest,
        now_ms: float,
    ) -> bool:
        """Return whether own waiting work comes before that of another service.

        Both services compare in the same order, so two gangs that each wait for what
        the other service holds do not block each other.
        """
        demand = self.blocked.get(name)
        if demand is None:
            return False
        own = (demand.claim, self.ledger.service)
        if request.claim is not None and own > (request.claim, receiver):
            return False
        return now_ms - self._blocked_since_ms[name] < PROTECTED_MAX_MS


def _first(names: Iterable[TenantName]) -> list[TenantName]:
    return sorted(names)[:DESCRIBED_MAX]
