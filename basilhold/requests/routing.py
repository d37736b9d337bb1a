"""Upstreams of each service and the choice among them."""

import random
from collections.abc import Iterable
from enum import IntEnum

import msgspec

from basilhold.core import RegionName, ServiceName, UpstreamId, ZoneName
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests.health import BreakerState, HealthLimits, UpstreamHealth

__all__ = ["LEAVING_MS", "Distance", "Router", "Upstream"]

LEAVING_MS = 300_000
"""How long an upstream's own report that it is leaving is believed.

By then the VM list shows it, or the upstream has been restarted in place.
"""

DRAWS_MAX = 8
"""Candidates drawn in one choice before the tier counts as having none.

With half of a tier at weight 0, all draws fail once in 2**8 choices; the request then
waits for the next event, at most one tick.
"""


class Distance(IntEnum):
    """How far an upstream is from the gateway."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Upstream(msgspec.Struct):
    """An upstream as one gateway sees it."""

    upstream_id: UpstreamId
    service: ServiceName
    zone: ZoneName
    region: RegionName
    host: str
    port: int
    slots: int
    distance: Distance
    health: UpstreamHealth
    listed_leaving: bool = False
    leaving_until_ms: float = 0.0
    in_flight: int = 0


class _IndexedSet:
    """Set with random access, so that a draw does not depend on its size."""

    def __init__(self):
        self._items: list[UpstreamId] = []
        self._positions: dict[UpstreamId, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: UpstreamId) -> None:
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: UpstreamId) -> None:
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions[last] = position

    def draw(self, rng: random.Random) -> UpstreamId:
        return self._items[int(rng.random() * len(self._items))]


class Router:
    """Chooses upstreams for the requests of one gateway.

    Parameters
    ----------
    zone : ZoneName
    region : RegionName
    rng : random.Random
    limits : HealthLimits, optional
    """

    def __init__(
        self,
        zone: ZoneName,
        region: RegionName,
        rng: random.Random,
        limits: HealthLimits | None = None,
    ):
        self._zone = zone
        self._region = region
        self._rng = rng
        self._limits = limits or HealthLimits()
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._usable: dict[tuple[ServiceName, Distance], _IndexedSet] = {}
        self._by_service: dict[ServiceName, dict[UpstreamId, None]] = {}
        self._zone_distances: dict[ServiceName, dict[ZoneName, Distance]] = {}

    def update(self, records: Iterable[VmRecord]) -> None:
        """Replace the list of upstreams by that of the VM list."""
        listed = {}
        for record in records:
            if record.kind is VmKind.UPSTREAM and record.service is not None:
                listed[UpstreamId(record.vm_id)] = record
        for upstream_id in self._upstreams.keys() - listed.keys():
            self._forget(upstream_id)
        for upstream_id, record in listed.items():
            self._upsert(upstream_id, record)
        self._index_services()

    def _index_services(self) -> None:
        self._zone_distances = {}
        for service, upstream_ids in self._by_service.items():
            members = (self._upstreams[i] for i in upstream_ids)
            self._zone_distances[service] = {m.zone: m.distance for m in members}

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream, or ``None`` if the VM list does not show it."""
        return self._upstreams.get(upstream_id)

    def upstreams_of_service(self, service: ServiceName) -> frozenset[UpstreamId]:
        """Return the upstreams of a service."""
        return frozenset(self._by_service.get(service, ()))

    def knows_service(self, service: ServiceName) -> bool:
        """Return whether the VM list has shown an upstream of a service."""
        return service in self._by_service

    def distance_of(self, service: ServiceName, zone: ZoneName) -> Distance | None:
        """Return how far a zone is, or ``None`` if the service is not there."""
        return self._zone_distances.get(service, {}).get(zone)

    def zone_count(self, service: ServiceName, distance: Distance) -> int:
        """Return how many zones serve a service in this region, or in the others."""
        remote = distance is Distance.OTHER_REGION
        distances = self._zone_distances.get(service, {}).values()
        return sum((d is Distance.OTHER_REGION) == remote for d in distances)

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that have or had upstreams."""
        return tuple(self._by_service)

    def open_breaker_count(self, service: ServiceName) -> int:
        """Return how many upstreams of a service have an open circuit breaker."""
        return sum(
            self._upstreams[u].health.state is not BreakerState.CLOSED
            for u in self._by_service.get(service, ())
        )

    def has_usable(self, service: ServiceName) -> bool:
        """Return whether any upstream of a service has an idle token."""
        return any(self.usable_count(service, distance) for distance in Distance)

    def zones(self) -> dict[ZoneName, RegionName]:
        """Return the zones that have upstreams."""
        return {u.zone: u.region for u in self._upstreams.values()}

    def is_leaving(self, upstream_id: UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream must not receive new work."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return True
        return upstream.listed_leaving or now_ms < upstream.leaving_until_ms

    def self_reported_leaving(
        self, zone: ZoneName, now_ms: float
    ) -> tuple[UpstreamId, ...]:
        """Return the upstreams of a zone that have said that they are leaving."""
        return tuple(
            u.upstream_id
            for u in self._upstreams.values()
            if u.zone == zone and now_ms < u.leaving_until_ms
        )

    def report_leaving(self, upstream_id: UpstreamId, until_ms: float) -> None:
        """Record that an upstream itself has said that it is leaving."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None:
            upstream.leaving_until_ms = until_ms

    def set_idle_count(self, upstream_id: UpstreamId, idle_count: int) -> None:
        """Record how many idle tokens the gateway has for an upstream."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        tier = self._tier(upstream.service, upstream.distance)
        if idle_count > 0:
            tier.add(upstream_id)
        else:
            tier.discard(upstream_id)

    def usable_count(self, service: ServiceName, distance: Distance) -> int:
        """Return how many upstreams with idle tokens there are at a distance."""
        return len(self._tier(service, distance))

    def choose(
        self,
        service: ServiceName,
        now_ms: float,
        max_distance: Distance = Distance.OTHER_REGION,
        excluded: frozenset[UpstreamId] = frozenset(),
    ) -> Upstream | None:
        """Return the upstream for the next request of a service.

        Parameters
        ----------
        service : ServiceName
        now_ms : float
        max_distance : Distance
        excluded : frozenset of UpstreamId
            Upstreams that have failed the request before.
        """
        for distance in Distance:
            if distance > max_distance:
                break
            tier = self._usable.get((service, distance))
            if tier:
                upstream = self._choose_in(tier, now_ms, excluded)
                if upstream is not None:
                    return upstream
        return None

    def _choose_in(
        self, tier: _IndexedSet, now_ms: float, excluded: frozenset[UpstreamId]
    ) -> Upstream | None:
        first: Upstream | None = None
        for _ in range(DRAWS_MAX):
            upstream = self._upstreams[tier.draw(self._rng)]
            if upstream.upstream_id in excluded:
                continue
            if self.is_leaving(upstream.upstream_id, now_ms):
                continue
            weight = upstream.health.weight(now_ms)
            if weight < 1.0 and self._rng.random() >= weight:
                continue
            if first is not None:
                return upstream if upstream.in_flight < first.in_flight else first
            first = upstream
        return first

    def _upsert(self, upstream_id: UpstreamId, record: VmRecord) -> None:
        leaving = record.state is VmState.LEAVING
        known = self._upstreams.get(upstream_id)
        if known is not None and (known.host, known.port, known.service) == (
            record.host,
            record.port,
            record.service,
        ):
            known.listed_leaving = leaving
            return
        if known is not None:
            self._forget(upstream_id)
        self._upstreams[upstream_id] = Upstream(
            upstream_id=upstream_id,
            service=record.service,
            zone=record.zone,
            region=record.region,
            host=record.host,
            port=record.port,
            slots=record.slots,
            distance=self._distance(record),
            health=UpstreamHealth(self._limits, self._rng),
            listed_leaving=leaving,
        )
        self._by_service.setdefault(record.service, {})[upstream_id] = None

    def _forget(self, upstream_id: UpstreamId) -> None:
        upstream = self._upstreams.pop(upstream_id)
        self._tier(upstream.service, upstream.distance).discard(upstream_id)
        self._by_service[upstream.service].pop(upstream_id, None)

    def _distance(self, record: VmRecord) -> Distance:
        if record.zone == self._zone:
            return Distance.SAME_ZONE
        if record.region == self._region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def _tier(self, service: ServiceName, distance: Distance) -> _IndexedSet:
        return self._usable.setdefault((service, distance), _IndexedSet())
