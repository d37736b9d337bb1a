"""Measurements of whole cells on the virtual clock: slots, probes and the queue."""

import asyncio
import gc
import tracemalloc

import msgspec

from basilhold.accounting import Purpose
from basilhold.benchmarks.request_load import BENCH_CLASSES
from basilhold.cell import Cell, CellShape
from basilhold.core import (
    ClassName,
    Clock,
    OfficeDocument,
    OfficeName,
    RegionName,
    Resources,
    ServiceName,
    Team,
    TeamName,
    VmId,
    WorkClass,
    ZoneName,
)
from basilhold.gateway import CallerSink
from basilhold.nodes.directory import EntryPorts
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests import CallerRequest
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, run_virtual

__all__ = ["CellTraffic", "measure_cell", "measure_queued_memory"]

OFFICE = OfficeName("north")
REGION = RegionName("region-0")
SERVICE = ServiceName("desk")
TEAM = Team(TeamName("north.team"), Resources(10**6, 1 << 40, 1000))
CLASS = WorkClass(
    ClassName("north.quote"),
    BENCH_CLASSES[0].kind,
    10_000,
    service=SERVICE,
    timeout_ms=120_000,
)
SERVICE_MS = 1_000.0
SETTLE_S = 20


class CellTraffic(msgspec.Struct, frozen=True):
    """What all entry VMs of a cell send, per second and entry VM.

    Parameters
    ----------
    slot_messages, slot_bytes : float
        Reports of gateways and grants of owners.
    probe_messages, probe_bytes : float
    relay_bytes : float
    """

    slot_messages: float
    slot_bytes: float
    probe_messages: float
    probe_bytes: float
    relay_bytes: float


class _Sink(CallerSink):
    def set_outcome(self, outcome, replayed) -> None:
        return

    async def start(self, head) -> None:
        return

    async def write(self, data: bytes) -> None:
        return


def _zone(number: int, zones: int) -> ZoneName:
    return ZoneName(f"zone-{number % zones}")


def _entry(number: int, zones: int) -> EntryPorts:
    host, vm_id = f"10.0.0.{number + 1}", VmId(f"entry-{number}")
    return EntryPorts(vm_id, _zone(number, zones), REGION, host, 7002, 7003, 7004)


def _upstream(number: int, zones: int) -> VmRecord:
    return VmRecord(
        VmId(f"desk-{number}"),
        VmKind.UPSTREAM,
        VmState.LIVE,
        REGION,
        _zone(number, zones),
        "rack",
        "127.0.0.1",
        8080,
        service=SERVICE,
        slots=8,
        connections=64,
    )


def _entry_record(entry: EntryPorts) -> VmRecord:
    return VmRecord(
        entry.vm_id,
        VmKind.ENTRY,
        VmState.LIVE,
        entry.region,
        entry.zone,
        "rack",
        entry.host,
        entry.gateway_port,
    )


def _shape(entries: int, upstreams: int, zones: int) -> CellShape:
    ports = tuple(_entry(number, zones) for number in range(entries))
    lent = (_upstream(number, zones) for number in range(upstreams))
    vms = (*map(_entry_record, ports), *lent)
    return CellShape(
        ports, vms, frozenset([SERVICE]), (OFFICE,), (REGION,), REGION, 1.0, 30.0
    )


async def _start(
    entries: int, upstreams: int, zones: int = 2, settle_s: int = SETTLE_S
) -> Cell:
    cell = Cell(_shape(entries, upstreams, zones), Clock(VIRTUAL_EPOCH_UNIX_MS))
    for upstream in cell.upstreams.members.values():
        upstream.behaviour.service_ms = SERVICE_MS
    await cell.set_document(OfficeDocument(OFFICE, (CLASS,), (TEAM,)))
    await cell.__aenter__()
    await cell.wait_ready()
    await asyncio.sleep(settle_s)
    return cell


def _request() -> CallerRequest:
    return CallerRequest(CLASS.name, TEAM.name, "GET", "/", body=b"x" * 64)


async def _call_forever(cell: Cell, number: int) -> None:
    nodes = list(cell.entries.values())
    while True:
        await nodes[number % len(nodes)].gateway.service.handle(_request(), _Sink())


def _sums(cell: Cell) -> dict[Purpose, tuple[int, int]]:
    sums: dict[Purpose, tuple[int, int]] = {}
    for nodes in cell.entries.values():
        for entry in nodes.traffic.snapshot():
            messages, size_bytes = sums.get(entry.purpose, (0, 0))
            size_bytes += entry.payload_bytes + entry.overhead_bytes
            sums[entry.purpose] = (messages + entry.messages, size_bytes)
    return sums


async def _cell(
    entries: int, upstreams: int, busy: bool, seconds: int, zones: int, settle_s: int
) -> CellTraffic:
    cell = await _start(entries, upstreams, zones, settle_s)
    callers = 2 * 8 * upstreams if busy else 0
    tasks = [asyncio.create_task(_call_forever(cell, n)) for n in range(callers)]
    await asyncio.sleep(settle_s if busy else 0)
    before = _sums(cell)
    await asyncio.sleep(seconds)
    after = _sums(cell)
    cell.check()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await cell.__aexit__(RuntimeError, None, None)

    def rate(purpose: Purpose, index: int) -> float:
        gained = after.get(purpose, (0, 0))[index] - before.get(purpose, (0, 0))[index]
        return gained / seconds / entries

    return CellTraffic(
        rate(Purpose.SLOTS, 0),
        rate(Purpose.SLOTS, 1),
        rate(Purpose.PROBE, 0),
        rate(Purpose.PROBE, 1),
        rate(Purpose.RELAY, 1),
    )


def measure_cell(
    entries: int,
    upstreams: int,
    busy: bool,
    seconds: int = 30,
    zones: int = 2,
    settle_s: int = SETTLE_S,
) -> CellTraffic:
    """Measure a cell of one region.

    A busy cell has twice as many requests waiting or running as there are slots.
    """
    return run_virtual(_cell(entries, upstreams, busy, seconds, zones, settle_s))


async def _queued_memory(requests: int) -> float:
    cell = await _start(1, 2)
    for upstream in cell.upstreams.members.values():
        upstream.behaviour.service_ms = 100_000.0
    service = cell.entries[VmId("entry-0")].gateway.service
    fill = [asyncio.create_task(service.handle(_request(), _Sink())) for _ in range(16)]
    await asyncio.sleep(1)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    waiting = [
        asyncio.create_task(service.handle(_request(), _Sink()))
        for _ in range(requests)
    ]
    await asyncio.sleep(1)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if any(task.done() for task in (*fill, *waiting)):
        raise RuntimeError("a request did not wait")
    for task in (*fill, *waiting):
        task.cancel()
    await asyncio.gather(*fill, *waiting, return_exceptions=True)
    await cell.__aexit__(RuntimeError, None, None)
    return (after - before) / 1000


def measure_queued_memory(requests: int) -> float:
    """Return the memory of requests that wait for a slot, without sockets, in KB."""
    return run_virtual(_queued_memory(requests))
