"""Cost of control traffic: ``python -m basilhold.benchmarks.control``.

Everything is counted on the virtual clock; no figure depends on the machine.
"""

import asyncio
import random

import click
import msgspec
from absl import logging

from basilhold.accounting import Distance
from basilhold.config import ChangeRequest, encode_document
from basilhold.core import (
    ClassKind,
    ClassName,
    OfficeDocument,
    OfficeName,
    ProcessId,
    Resources,
    Team,
    TeamName,
    VmId,
    WorkClass,
)
from basilhold.ports import Condition, Transaction, VmKind, VmRecord, VmState, Write
from basilhold.relay import ReaderSettings, RelayState, StoreReader
from basilhold.testing import run_virtual
from basilhold.testing.control_cell import (
    TODAY,
    TWO_YEARS,
    CellLayout,
    ControlCell,
    ControlProcess,
    EntryVm,
    ShardRow,
    decode_shard,
    wait_in_force,
)

__all__ = [
    "ChangeCost",
    "DailyCost",
    "IdleCost",
    "make_document",
    "measure_change",
    "measure_day",
    "measure_idle",
    "measure_polling",
]

SETTLE_S = 10.0
DAY_S = 24 * 3600


class IdleCost(msgspec.Struct, frozen=True):
    """Cost of a cell in which nothing changes.

    Parameters
    ----------
    paid_bytes_per_s : float
        Bytes to other regions of all processes together, store traffic included.
    store_operations_per_s : float
        Operations on the table service.
    vm_list_reads_per_s : float
    daemon_bytes_per_s_max : float
        Bytes that the busiest daemon sends.
    """

    paid_bytes_per_s: float
    store_operations_per_s: float
    vm_list_reads_per_s: float
    daemon_bytes_per_s_max: float


class ChangeCost(msgspec.Struct, frozen=True):
    """Cost of one configuration change.

    Parameters
    ----------
    document_bytes : int
        JSON of the changed document.
    paid_bytes_per_region : float
        Bytes beyond the idle ones, per other region.
    write_paid_bytes : int
        The part that the accepting gateway's store operations cost on the paid link.
    in_force_ms : float
        Time from the operator's request, which is before its acceptance, until every
        process has the change in force.
    """

    document_bytes: int
    paid_bytes_per_region: float
    write_paid_bytes: int
    in_force_ms: float


class DailyCost(msgspec.Struct, frozen=True):
    """Cost of a cell with a day's rate of changes.

    Parameters
    ----------
    seconds : float
        Measured time.
    config_changes, vm_changes : int
        Changes in the measured time; at least the day's rate.
    daemon_bytes_per_s_max, paid_bytes_per_s : float
    """

    seconds: float
    config_changes: int
    vm_changes: int
    daemon_bytes_per_s_max: float
    paid_bytes_per_s: float


def make_document(
    layout: CellLayout, office: OfficeName, number: int
) -> OfficeDocument:
    """Return a document of the layout's size in which `number` changes one class.

    An office has 6 classes and 5 teams today, and 40 classes and 29 teams (half of
    58) in two years.
    """
    classes, teams = (6, 5) if layout is TODAY else (40, 29)
    rng = random.Random(office)
    made_classes = []
    for index in range(classes):
        target_ms = number if index == 0 else 0
        target_ms += rng.randrange(1000, 10_000_000)
        name = ClassName(f"{office}.{rng.getrandbits(40):010x}-{index}")
        made_classes.append(WorkClass(name, ClassKind.BATCH, target_ms))
    made_teams = tuple(
        Team(
            TeamName(f"{office}.{rng.getrandbits(40):010x}-{index}"),
            Resources(rng.randrange(10**6), rng.randrange(10**12), 1000),
            rng.randrange(1, 10**5),
        )
        for index in range(teams)
    )
    return OfficeDocument(office, tuple(made_classes), made_teams)


async def _change(
    cell: ControlCell, vm: EntryVm, document: OfficeDocument, base_version: int
) -> float:
    """Make a change at a VM's gateway; return the time until it is in force in ms."""
    request = ChangeRequest(document.office, "operator", base_version, document)
    gateway = cell.processes[vm.vm_id, "gateway"]
    asked_ms = cell.clock.monotonic_ms()
    changed = await cell.changer(gateway).change(request)
    await wait_in_force(cell, document.office, changed.ok.info.version)
    return cell.clock.monotonic_ms() - asked_ms


async def _prepare(cell: ControlCell) -> None:
    for zone in sorted({vm.zone for vm in cell.vms}):
        owner = next(vm for vm in cell.vms if vm.zone == zone)
        process_id = ProcessId(f"scheduler@{owner.vm_id}")
        value = msgspec.json.encode(ShardRow(zone, process_id, owner.vm_id, 7001, 1))
        key = f"shard/{zone}"
        await cell.table.transact(
            Transaction((Condition(key, 0),), (Write(key, value),))
        )
    cell.start_all()
    await asyncio.sleep(SETTLE_S)
    for office in cell.layout.offices:
        await _change(cell, cell.vms[0], make_document(cell.layout, office, 0), 0)
    await asyncio.sleep(SETTLE_S)


def _daemon_bytes(cell: ControlCell) -> dict[tuple[VmId, str], int]:
    return {key: p.traffic.total_bytes() for key, p in cell.processes.items()}


def _largest_rate(before, after, seconds: float) -> float:
    return max((after[key] - before[key]) / seconds for key in before)


async def _measure_idle(layout: CellLayout, seconds: float) -> IdleCost:
    async with ControlCell(layout) as cell:
        await _prepare(cell)
        paid, operations = cell.paid_bytes(), cell.store_operations()
        reads, daemons = cell.vm_list.read_count, _daemon_bytes(cell)
        await asyncio.sleep(seconds)
        cell.check()
        return IdleCost(
            (cell.paid_bytes() - paid) / seconds,
            (cell.store_operations() - operations) / seconds,
            (cell.vm_list.read_count - reads) / seconds,
            _largest_rate(daemons, _daemon_bytes(cell), seconds),
        )


def measure_idle(layout: CellLayout, seconds: float = 120) -> IdleCost:
    """Measure a cell in which nothing changes."""
    return run_virtual(_measure_idle(layout, seconds))


async def _measure_change(
    layout: CellLayout, remote: bool, seconds: float
) -> ChangeCost:
    async with ControlCell(layout) as cell:
        await _prepare(cell)
        idle_from = cell.paid_bytes()
        await asyncio.sleep(seconds)
        idle = cell.paid_bytes() - idle_from
        vm = next(vm for vm in cell.vms if (vm.region != layout.store_region) is remote)
        document = make_document(layout, layout.offices[0], 1)
        before = cell.paid_bytes()
        gateway = cell.processes[vm.vm_id, "gateway"]
        store_before = gateway.traffic.total_bytes(Distance.OTHER_REGION)
        in_force_ms = await _change(cell, vm, document, 1)
        write = gateway.traffic.total_bytes(Distance.OTHER_REGION) - store_before
        await asyncio.sleep(seconds - in_force_ms / 1000)
        cell.check()
        paid = max(0, cell.paid_bytes() - before - idle)
        others = len(layout.regions) - 1
        size_bytes = len(encode_document(document))
        return ChangeCost(size_bytes, paid / others, write, in_force_ms)


def measure_change(layout: CellLayout, remote: bool, seconds: float = 60) -> ChangeCost:
    """Measure one change that is made inside or outside the store's region."""
    return run_virtual(_measure_change(layout, remote, seconds))


def _workers(count: int) -> list[VmRecord]:
    return [
        VmRecord(
            VmId(f"worker-{index}"),
            VmKind.WORKER,
            VmState.LIVE,
            "region-0",
            "zone-0a",
            f"rack-{index // 40}",
            f"10.0.{index // 250}.{index % 250}",
            9000,
            Resources(32_000, 128 << 30, 2000),
        )
        for index in range(count)
    ]


async def _measure_day(
    layout: CellLayout,
    workers: int,
    config_per_day: int,
    vms_per_day: int,
    seconds: float,
) -> DailyCost:
    changes = -(-config_per_day * int(seconds) // DAY_S)
    vm_changes = -(-vms_per_day * int(seconds) // DAY_S)
    async with ControlCell(layout) as cell:
        records = _workers(workers)
        cell.vm_list.put(*records)
        await _prepare(cell)
        paid, daemons = cell.paid_bytes(), _daemon_bytes(cell)
        for number in range(max(changes, vm_changes)):
            started_s = asyncio.get_running_loop().time()
            if number < vm_changes:
                cell.vm_list.remove(records[number].vm_id)
            if number < changes:
                document = make_document(layout, layout.offices[0], number + 1)
                await _change(cell, cell.vms[-1], document, number + 1)
            taken_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(seconds / max(changes, vm_changes) - taken_s)
        cell.check()
        return DailyCost(
            seconds,
            changes,
            vm_changes,
            _largest_rate(daemons, _daemon_bytes(cell), seconds),
            (cell.paid_bytes() - paid) / seconds,
        )


def measure_day(seconds: float = 200) -> DailyCost:
    """Measure the two-year size with a day's rate of changes.

    Each failure or restart of a VM changes the list up to three times (leaving,
    removed, added).
    """
    return run_virtual(_measure_day(TWO_YEARS, 2400, 860, 3 * (15 + 670), seconds))


class _Poller:
    """The baseline: a process that reads the store itself."""

    def __init__(self, cell: ControlCell, process: ControlProcess):
        state = RelayState()
        self.reader = StoreReader(
            ReaderSettings(cell.layout.offices, ()),
            process.table,
            cell.vm_list,
            decode_shard,
            state,
            cell.clock,
            lambda: None,
        )


async def _measure_polling(layout: CellLayout, seconds: float) -> IdleCost:
    async with ControlCell(layout) as cell:
        await _prepare(cell)
        for process in list(cell.processes.values()):
            await process.kill()
        cell.processes.clear()
        for vm in cell.vms:
            for program in ("gateway", "scheduler"):
                process = ControlProcess(cell, vm, program)
                cell.processes[vm.vm_id, program] = process
                process.run(_Poller(cell, process).reader.run(lambda: True))
        await asyncio.sleep(SETTLE_S)
        paid, operations = cell.paid_bytes(), cell.store_operations()
        reads, daemons = cell.vm_list.read_count, _daemon_bytes(cell)
        await asyncio.sleep(seconds)
        return IdleCost(
            (cell.paid_bytes() - paid) / seconds,
            (cell.store_operations() - operations) / seconds,
            (cell.vm_list.read_count - reads) / seconds,
            _largest_rate(daemons, _daemon_bytes(cell), seconds),
        )


def measure_polling(layout: CellLayout, seconds: float = 60) -> IdleCost:
    """Measure the baseline in which every gateway and scheduler polls the store.

    The bytes of VM lists are not counted, in favour of the baseline.
    """
    return run_virtual(_measure_polling(layout, seconds))


def _print_idle(name: str, cost: IdleCost) -> None:
    click.echo(
        f"{name}: {cost.paid_bytes_per_s:.0f} bytes/s on paid links, "
        f"{cost.store_operations_per_s:.1f} store operations/s, "
        f"{cost.vm_list_reads_per_s:.1f} VM list reads/s, "
        f"{cost.daemon_bytes_per_s_max:.0f} bytes/s of the busiest daemon"
    )


def _print_change(name: str, cost: ChangeCost) -> None:
    click.echo(
        f"{name}: {cost.paid_bytes_per_region:.0f} paid bytes per other region "
        f"(document {cost.document_bytes} bytes, store write "
        f"{cost.write_paid_bytes} paid bytes), in force everywhere after "
        f"{cost.in_force_ms:.0f} ms"
    )


@click.command()
def main() -> None:
    """Print the cost of control traffic and that of the baseline."""
    logging.set_verbosity(logging.FATAL)
    for name, layout in (("today", TODAY), ("two years", TWO_YEARS)):
        _print_idle(f"idle, {name}, relays", measure_idle(layout))
        _print_idle(f"idle, {name}, every process polls", measure_polling(layout))
        for remote in (False, True):
            where = "outside" if remote else "inside"
            title = f"change, {name}, made {where} the store's region"
            _print_change(title, measure_change(layout, remote))
    day = measure_day()
    click.echo(
        f"day's rate, two years: {day.daemon_bytes_per_s_max:.0f} bytes/s of the "
        f"busiest daemon, {day.paid_bytes_per_s:.0f} bytes/s on paid links "
        f"({day.config_changes} configuration and {day.vm_changes} VM changes in "
        f"{day.seconds:.0f} s)"
    )


if __name__ == "__main__":
    main()
