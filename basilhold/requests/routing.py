"""Choice of upstreams for requests, by distance, health and load."""

import random
from collections.abc import Iterable
from enum import IntEnum

import msgspec

from basilhold.core import RegionName, ServiceName, UpstreamId, ZoneName
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests.health import BreakerState, HealthLimits, UpstreamHealth

__all__ = ["LEAVING_MS", "Distance", "Router", "Upstream"]

LEAVING_MS = 300_000
"""Time for which an upstream's own announcement that it is leaving is valid.

After it, either the VM list shows that the upstream is leaving, or the upstream has
been restarted on the same VM.
"""

DRAWS_MAX = 8
"""Maximum number of random candidates in one choice among equally distant upstreams.

If half of them have weight 0, all draws fail in one of 2**8 choices. The request then
waits for the next event, which comes after at most one tick of the dispatcher.
"""


class Distance(IntEnum):
    """Distance of an upstream from the gateway, nearest first."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Upstream(msgspec.Struct):
    """State of an upstream at one gateway.

    Parameters
    ----------
    upstream_id : UpstreamId
    service : ServiceName
    zone : ZoneName
    region : RegionName
    host : str
    port : int
    slots : int
        Number of requests that the upstream runs at a time.
    distance : Distance
    health : UpstreamHealth
    listed_leaving : bool
        Whether the VM list shows the upstream as leaving.
    leaving_until_ms : float
        Time until which the upstream's own announcement that it is leaving is valid,
        in milliseconds of a monotonic clock.
    in_flight : int
        Number of requests of this gateway that the upstream handles.
    """

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
    """Set from which a random element is drawn in constant time."""

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

    An upstream is usable if the gateway has an idle slot token for it. Times are in
    milliseconds of a monotonic clock.

    Parameters
    ----------
    zone : ZoneName
        Zone of the gateway.
    region : RegionName
        Region of the gateway.
    rng : random.Random
    limits : HealthLimits, optional
        Thresholds and delays of the circuit breakers.
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
        """Replace the upstreams by those of a VM list.

        An upstream whose address and service are unchanged keeps its health.
        """
        listed = {}
        for record in records:
            if record.kind is VmKind.UPSTREAM and record.service is not None:
                listed[UpstreamId(record.vm_id)] = record
        for upstream_id in self._upstreams.keys() - listed.keys():
            self._remove(upstream_id)
        for upstream_id, record in listed.items():
            self._upsert(upstream_id, record)
        self._index_zone_distances()

    def _index_zone_distances(self) -> None:
        self._zone_distances = {}
        for service, upstream_ids in self._by_service.items():
            members = (self._upstreams[i] for i in upstream_ids)
            self._zone_distances[service] = {m.zone: m.distance for m in members}

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream, or ``None`` if the VM list does not contain it."""
        return self._upstreams.get(upstream_id)

    def upstreams_of_service(self, service: ServiceName) -> frozenset[UpstreamId]:
        """Return the ids of the upstreams of a service."""
        return frozenset(self._by_service.get(service, ()))

    def knows_service(self, service: ServiceName) -> bool:
        """Return whether any VM list has contained an upstream of a service."""
        return service in self._by_service

    def distance_of(self, service: ServiceName, zone: ZoneName) -> Distance | None:
        """Return the distance of a zone, or ``None`` if it lacks the service."""
        return self._zone_distances.get(service, {}).get(zone)

    def zone_count(self, service: ServiceName, distance: Distance) -> int:
        """Return the number of zones that serve a service.

        Zones of other regions are counted if `distance` is ``OTHER_REGION``, and zones
        of the gateway's region otherwise.
        """
        remote = distance is Distance.OTHER_REGION
        distances = self._zone_distances.get(service, {}).values()
        return sum((d is Distance.OTHER_REGION) == remote for d in distances)

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that have or had upstreams."""
        return tuple(self._by_service)

    def open_breaker_count(self, service: ServiceName) -> int:
        """Return how many upstreams of a service have a circuit breaker not closed."""
        return sum(
            self._upstreams[u].health.state is not BreakerState.CLOSED
            for u in self._by_service.get(service, ())
        )

    def has_usable(self, service: ServiceName) -> bool:
        """Return whether any upstream of a service has an idle token."""
        return any(self.usable_count(service, distance) for distance in Distance)

    def zones(self) -> dict[ZoneName, RegionName]:
        """Return the zones that have upstreams, with their regions."""
        return {u.zone: u.region for u in self._upstreams.values()}

    def is_leaving(self, upstream_id: UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream must not receive new requests.

        True also for an unknown upstream.
        """
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return True
        return upstream.listed_leaving or now_ms < upstream.leaving_until_ms

    def self_reported_leaving(
        self, zone: ZoneName, now_ms: float
    ) -> tuple[UpstreamId, ...]:
        """Return the upstreams of a zone that have announced that they are leaving."""
        return tuple(
            u.upstream_id
            for u in self._upstreams.values()
            if u.zone == zone and now_ms < u.leaving_until_ms
        )

    def report_leaving(self, upstream_id: UpstreamId, until_ms: float) -> None:
        """Record the announcement of an upstream that it is leaving."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None:
            upstream.leaving_until_ms = until_ms

    def set_idle_count(self, upstream_id: UpstreamId, idle_count: int) -> None:
        """Record how many idle slot tokens the gateway has for an upstream."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        tier = self._tier(upstream.service, upstream.distance)
        if idle_count > 0:
            tier.add(upstream_id)
        else:
            tier.discard(upstream_id)

    def usable_count(self, service: ServiceName, distance: Distance) -> int:
        """Return how many usable upstreams of a service are at a distance."""
        return len(self._tier(service, distance))

    def choose(
        self,
        service: ServiceName,
        now_ms: float,
        max_distance: Distance = Distance.OTHER_REGION,
        excluded: frozenset[UpstreamId] = frozenset(),
    ) -> Upstream | None:
        """Choose an upstream for the next request of a service.

        The nearest distance with a suitable upstream is used. Of two upstreams drawn
        there at random, the one with fewer requests in flight is chosen.

        Parameters
        ----------
        service : ServiceName
        now_ms : float
        max_distance : Distance
        excluded : frozenset of UpstreamId
            Upstreams at which an earlier attempt of the request failed.

        Returns
        -------
        Upstream or None
            None if no suitable upstream was drawn.
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
            self._remove(upstream_id)
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

    def _remove(self, upstream_id: UpstreamId) -> None:
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
