"""Measurements of relays: streams, the VM list and its changes."""

import asyncio
import time
import tracemalloc

import msgspec

from basilhold.core import Resources, VmId
from basilhold.ports import VmKind, VmRecord, VmSnapshot, VmState
from basilhold.testing import run_virtual
from basilhold.testing.control_cell import TWO_YEARS, CellLayout, ControlCell

__all__ = [
    "ListCost",
    "RelayLoad",
    "entry_layout",
    "measure_list",
    "measure_relays",
    "measure_vm_change",
]

SETTLE_S = 15.0
DECODE_ROUNDS = 5


class RelayLoad(msgspec.Struct, frozen=True):
    """Load of the relays of a cell in which nothing changes, per second.

    Parameters
    ----------
    reader_bytes, reader_messages : float
        Of the busiest relay, the reader of the store's region.
    watcher_bytes : float
        Of the busiest gateway or scheduler.
    paid_bytes : float
        To other regions, all processes together.
    store_operations : float
    """

    reader_bytes: float
    reader_messages: float
    watcher_bytes: float
    paid_bytes: float
    store_operations: float


class ListCost(msgspec.Struct, frozen=True):
    """One read of the VM list.

    Parameters
    ----------
    size_bytes : int
        JSON of the whole list.
    decode_ms : float
        Processor time to decode it.
    memory_kb : float
        Memory of the decoded list.
    """

    size_bytes: int
    decode_ms: float
    memory_kb: float


def entry_layout(per_zone: int, zones: int = 11) -> CellLayout:
    """Return the two-year layout with this many entry VMs in each zone, at most 3.

    Only the first zones are kept.
    """
    kept = sorted({vm.zone for vm in TWO_YEARS.vms})[:zones]
    chosen = tuple(
        vm
        for vm in TWO_YEARS.vms
        if vm.zone in kept and int(vm.vm_id.rsplit("-", 1)[1]) < per_zone
    )
    return msgspec.structs.replace(TWO_YEARS, vms=chosen)


def _records(count: int) -> tuple[VmRecord, ...]:
    return tuple(
        VmRecord(
            VmId(f"inspect-worker-{number}"),
            VmKind.WORKER,
            VmState.LIVE,
            f"region-{number % 5}",
            f"zone-{number % 11}",
            f"zone-{number % 11}-inspect-{number // 40}",
            f"10.{number % 11}.{number // 250}.{number % 250}",
            9000,
            Resources(64_000, 256 << 30, 8_000),
        )
        for number in range(count)
    )


def _relay_totals(cell: ControlCell) -> dict[tuple[VmId, str], tuple[int, int]]:
    return {
        key: (
            process.traffic.total_bytes(),
            sum(entry.messages for entry in process.traffic.snapshot()),
        )
        for key, process in cell.processes.items()
    }


async def _relays(layout: CellLayout, seconds: float) -> RelayLoad:
    async with ControlCell(layout) as cell:
        cell.start_all()
        await asyncio.sleep(SETTLE_S)
        before, paid = _relay_totals(cell), cell.paid_bytes()
        operations = cell.store_operations()
        await asyncio.sleep(seconds)
        after = _relay_totals(cell)
        cell.check()

        def largest(index: int, relays: bool) -> float:
            return max(
                (after[key][index] - before[key][index]) / seconds
                for key in before
                if (key[1] == "relay") is relays
            )

        return RelayLoad(
            largest(0, True),
            largest(1, True),
            largest(0, False),
            (cell.paid_bytes() - paid) / seconds,
            (cell.store_operations() - operations) / seconds,
        )


def measure_relays(layout: CellLayout, seconds: float = 60) -> RelayLoad:
    """Measure the relays of a cell in which nothing changes."""
    return run_virtual(_relays(layout, seconds))


async def _vm_change(layout: CellLayout, seconds: float) -> float:
    async with ControlCell(layout) as cell:
        records = _records(20)
        cell.vm_list.put(*records)
        cell.start_all()
        await asyncio.sleep(SETTLE_S)
        start = cell.relay_bytes()
        await asyncio.sleep(seconds)
        idle = cell.relay_bytes() - start
        start = cell.relay_bytes()
        cell.vm_list.mark_leaving(records[0].vm_id)
        await asyncio.sleep(seconds)
        cell.check()
        return cell.relay_bytes() - start - idle


def measure_vm_change(layout: CellLayout, seconds: float = 20) -> float:
    """Return the bytes of all relay streams for one change of the VM list."""
    return run_virtual(_vm_change(layout, seconds))


def measure_list(vms: int) -> ListCost:
    """Measure one read of the whole VM list."""
    data = msgspec.json.encode(VmSnapshot(1, _records(vms)))
    began_s = time.process_time()
    for _ in range(DECODE_ROUNDS):
        msgspec.json.decode(data, type=VmSnapshot)
    taken_s = time.process_time() - began_s
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    snapshot = msgspec.json.decode(data, type=VmSnapshot)
    memory_kb = (tracemalloc.get_traced_memory()[0] - before) / 1000
    tracemalloc.stop()
    del snapshot
    return ListCost(len(data), taken_s * 1000 / DECODE_ROUNDS, memory_kb)
