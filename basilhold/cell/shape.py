"""VMs of a cell, laid out from the settings."""

from collections.abc import Iterator
from itertools import cycle

import msgspec

from basilhold.core import (
    OfficeName,
    RegionName,
    Resources,
    ServiceName,
    VmId,
    ZoneName,
)
from basilhold.nodes.directory import EntryPorts
from basilhold.nodes.entries import entry_ports
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.settings import Settings

__all__ = ["CellShape", "make_shape"]

AGENT_PORT = 9000
UPSTREAM_PORT = 8080


class CellShape(msgspec.Struct, frozen=True):
    """VMs of a cell and where they stand.

    Parameters
    ----------
    entries : tuple of EntryPorts
    vms : tuple of VmRecord
        Entry VMs, workers and upstreams.
    services : frozenset of ServiceName
    offices : tuple of OfficeName
    regions : tuple of RegionName
    store_region : RegionName
    zone_latency_ms, region_latency_ms : float
        One-way latencies.
    """

    entries: tuple[EntryPorts, ...]
    vms: tuple[VmRecord, ...]
    services: frozenset[ServiceName]
    offices: tuple[OfficeName, ...]
    regions: tuple[RegionName, ...]
    store_region: RegionName
    zone_latency_ms: float
    region_latency_ms: float

    def of_kind(self, kind: VmKind) -> tuple[VmRecord, ...]:
        """Return the VMs of a kind."""
        return tuple(record for record in self.vms if record.kind is kind)


def make_shape(settings: Settings, distinct_hosts: bool = False) -> CellShape:
    """Return the VMs that the settings describe.

    Workers of a shape and upstreams of a service are spread over the zones in turn.

    Parameters
    ----------
    settings : Settings
    distinct_hosts : bool
        Gives each entry VM an address of its own, for in-memory networks.
    """
    entries = entry_ports(settings)
    if distinct_hosts:
        entries = tuple(
            msgspec.structs.replace(entry, host=f"10.0.0.{number}")
            for number, entry in enumerate(entries, start=1)
        )
    vms = (*_entry_records(entries), *_workers(settings), *_upstreams(settings))
    return CellShape(
        entries=entries,
        vms=vms,
        services=frozenset(ServiceName(service.name) for service in settings.services),
        offices=tuple(OfficeName(office) for office in settings.offices),
        regions=tuple(RegionName(region.name) for region in settings.regions),
        store_region=RegionName(settings.store_region),
        zone_latency_ms=settings.latency.zone_us / 1000,
        region_latency_ms=settings.latency.region_us / 1000,
    )


def _entry_records(entries: tuple[EntryPorts, ...]) -> Iterator[VmRecord]:
    for entry in entries:
        yield VmRecord(
            entry.vm_id,
            VmKind.ENTRY,
            VmState.LIVE,
            entry.region,
            entry.zone,
            f"{entry.zone}-entry",
            entry.host,
            entry.gateway_port,
        )


def _workers(settings: Settings) -> Iterator[VmRecord]:
    for shape in settings.worker_shapes:
        zones = cycle(settings.zones)
        for number in range(shape.count):
            zone = next(zones)
            rack = number // len(settings.zones) // shape.workers_per_rack
            yield VmRecord(
                VmId(f"{shape.name}-worker-{number + 1}"),
                VmKind.WORKER,
                VmState.LIVE,
                RegionName(zone.region),
                ZoneName(zone.name),
                f"{zone.name}-{shape.name}-{rack + 1}",
                "127.0.0.1",
                AGENT_PORT,
                Resources(shape.cores_milli, shape.memory_bytes, shape.gpus_milli),
            )


def _upstreams(settings: Settings) -> Iterator[VmRecord]:
    for service in settings.services:
        zones = cycle(settings.zones)
        for number in range(service.upstream_count):
            zone = next(zones)
            yield VmRecord(
                VmId(f"{service.name}-{number + 1}"),
                VmKind.UPSTREAM,
                VmState.LIVE,
                RegionName(zone.region),
                ZoneName(zone.name),
                f"{zone.name}-{service.name}",
                "127.0.0.1",
                UPSTREAM_PORT,
                service=ServiceName(service.name),
                slots=service.slots,
                connections=service.connections,
            )
