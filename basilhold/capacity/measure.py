"""Runs the measurements and keeps them as slopes."""

import os
import platform

import msgspec

from basilhold.benchmarks.control import measure_change
from basilhold.benchmarks.sharding import measure_placements
from basilhold.capacity.cell_probes import measure_cell, measure_queued_memory
from basilhold.capacity.daemon_probe import (
    DaemonReport,
    measure_daemons,
    measure_idle_daemons,
)
from basilhold.capacity.once_probe import measure_once_writes
from basilhold.capacity.planner_probe import measure_planner
from basilhold.capacity.relay_probes import (
    entry_layout,
    measure_list,
    measure_relays,
    measure_vm_change,
)
from basilhold.capacity.shard_probes import (
    measure_churn,
    measure_idle_writes,
    measure_job_rows,
    measure_recovery,
    measure_shard_memory,
    measure_steady,
    measure_urgent_wait,
)
from basilhold.capacity.slopes import Slope, make_slope

__all__ = [
    "FULL",
    "Measurements",
    "Sizes",
    "measure_all",
    "measure_counts",
    "measure_memory",
]

TASKS_PER_WORKER = 8
WAITING_PER_WORKER = 40
PROCESS_WORKERS = (110, 440, 880)
"""Large enough that the clock tick of 10 ms hardly matters in 20 s."""


class Sizes(msgspec.Struct, frozen=True):
    """Sizes at which the slopes are measured.

    Parameters
    ----------
    workers, starts, tasks, jobs, shards : tuple of int
        Of one shard; the shards of an idle cell.
    entries_per_zone, gateways, upstreams, probed_zones, vms : tuple of int
    requests_per_s : tuple of int
        Keyed requests of one gateway.
    waiting : tuple of int
        Requests that wait for a slot.
    steady_s, churn_s, cell_s, settle_s, relay_s : int
        Lengths of runs on the virtual clock.
    relay_zones : int
        Zones of the cell in which relays are measured.
    """

    workers: tuple[int, ...] = (55, 110, 220)
    starts: tuple[int, ...] = (5, 15, 30)
    tasks: tuple[int, ...] = (440, 880, 1_760)
    jobs: tuple[int, ...] = (50, 100, 200)
    shards: tuple[int, ...] = (3, 7, 11)
    entries_per_zone: tuple[int, ...] = (1, 2, 3)
    gateways: tuple[int, ...] = (3, 5, 7)
    upstreams: tuple[int, ...] = (9, 18, 27)
    probed_zones: tuple[int, ...] = (2, 4, 6)
    vms: tuple[int, ...] = (300, 1_200, 2_400)
    requests_per_s: tuple[int, ...] = (10, 100, 1_000)
    waiting: tuple[int, ...] = (100, 200, 400)
    steady_s: int = 120
    churn_s: int = 30
    cell_s: int = 15
    settle_s: int = 20
    relay_s: int = 60
    relay_zones: int = 11


FULL = Sizes()


class Measurements(msgspec.Struct, frozen=True):
    """All measurements.

    Parameters
    ----------
    slopes : dict of str to Slope
    daemons : DaemonReport
    placement_writes_per_s : float
        Store writes per second at 3,000 placements a second.
    machine : str
    """

    slopes: dict[str, Slope]
    daemons: DaemonReport
    placement_writes_per_s: float
    machine: str


def _fields(prefix, per, pairs, names) -> dict[str, Slope]:
    """Return slopes through fields of structs that were measured at each size."""
    return {
        f"{prefix} {key}": make_slope(
            f"{prefix}: {key.replace('_', ' ')}",
            unit,
            per,
            [(size, getattr(value, key)) for size, value in pairs],
            exact,
        )
        for key, unit, exact in names
    }


def _values(key, unit, per, sizes, measure, exact=True) -> dict[str, Slope]:
    pairs = [(size, measure(size)) for size in sizes]
    return {key: make_slope(key, unit, per, pairs, exact)}


_LOAD = (
    ("exchanges", "/s", True),
    ("sent_bytes", "B/s", True),
    ("received_bytes", "B/s", True),
    ("store_writes", "/s", True),
    ("store_reads", "/s", True),
    ("written_bytes", "B/s", True),
    ("cpu_ms", "ms/s", False),
)


def _shard(sizes: Sizes) -> dict[str, Slope]:
    steady = [
        (n, measure_steady(n, n * TASKS_PER_WORKER, sizes.steady_s))
        for n in sizes.workers
    ]
    churn = [
        (n, measure_churn(sizes.workers[-1], n, sizes.churn_s)) for n in sizes.starts
    ]
    recovery = [(n, measure_recovery(n, n * TASKS_PER_WORKER)) for n in sizes.workers]
    names = (
        ("seconds", "s", True),
        ("store_reads", "reads", True),
        ("exchanges", "exchanges", True),
        ("received_bytes", "B", True),
        ("cpu_ms", "ms", False),
    )
    return {
        **_fields("steady", "worker with 8 tasks", steady, _LOAD),
        **_fields("churn", "start per second", churn, _LOAD),
        **_fields("recovery", "worker with 8 tasks", recovery, names),
    }


def _shard_rows(sizes: Sizes) -> dict[str, Slope]:
    return {
        **_values("job rows", "B", "finished job", sizes.jobs, measure_job_rows),
        **_values(
            "idle store writes", "/s", "shard", sizes.shards, measure_idle_writes
        ),
        **_values(
            "urgent wait",
            "s",
            "worker",
            sizes.workers,
            lambda n: measure_urgent_wait(n, n * TASKS_PER_WORKER),
        ),
    }


def _memory(sizes: Sizes) -> dict[str, Slope]:
    most, least = sizes.workers[-1], sizes.workers[0]
    planner = [(n, measure_planner(n, n * WAITING_PER_WORKER)) for n in sizes.workers]
    waiting = [(cost.waiting, cost.waiting_kb) for _, cost in planner]
    placed = [(cost.placed, cost.plan_ms) for _, cost in planner]
    workers = [(n, cost.workers_kb) for n, cost in planner]
    return {
        **_values(
            "shard memory by worker",
            "KB",
            "worker",
            sizes.workers,
            lambda n: measure_shard_memory(n, 0),
            False,
        ),
        **_values(
            "shard memory by task",
            "KB",
            "running task",
            sizes.tasks,
            lambda n: measure_shard_memory(most, n),
            False,
        ),
        **_values(
            "shard memory by finished job",
            "KB",
            "finished job",
            sizes.jobs,
            lambda n: measure_shard_memory(least, 0, n),
            False,
        ),
        "planner memory by worker": make_slope(
            "planner memory by worker", "KB", "worker", workers, False
        ),
        "planner memory by task": make_slope(
            "planner memory by task", "KB", "waiting task", waiting, False
        ),
        "planner time": make_slope("planner time", "ms", "placement", placed, False),
    }


def _slots(sizes: Sizes) -> dict[str, Slope]:
    most, few = sizes.upstreams[-1], sizes.gateways[0]
    idle = [
        (n, measure_cell(n, most, False, sizes.cell_s, settle_s=sizes.settle_s))
        for n in sizes.gateways
    ]
    busy = [
        (n, measure_cell(n, most, True, sizes.cell_s, settle_s=sizes.settle_s))
        for n in sizes.gateways
    ]
    by_upstream = [
        (n, measure_cell(few, n, True, sizes.cell_s, settle_s=sizes.settle_s))
        for n in sizes.upstreams
    ]
    idle_by_upstream = [
        (n, measure_cell(few, n, False, sizes.cell_s, settle_s=sizes.settle_s))
        for n in sizes.upstreams
    ]
    slots = (("slot_messages", "/s", True), ("slot_bytes", "B/s", True))
    return {
        **_fields("idle", "entry VM", idle, (*slots, ("relay_bytes", "B/s", True))),
        **_fields("busy", "entry VM", busy, slots),
        **_fields("idle by upstream", "upstream", idle_by_upstream, slots),
        **_fields("busy by upstream", "upstream", by_upstream, slots),
    }


def _probes(sizes: Sizes) -> dict[str, Slope]:
    entries = sizes.probed_zones[-1]
    loads = [
        (n, measure_cell(entries, n, False, sizes.cell_s, n, sizes.settle_s))
        for n in sizes.probed_zones
    ]
    messages = [(n, load.probe_messages * entries) for n, load in loads]
    sent = [(n, load.probe_bytes * entries) for n, load in loads]
    return {
        "probes messages": make_slope("probes: messages", "/s", "shard", messages),
        "probes bytes": make_slope("probes: bytes", "B/s", "shard", sent),
    }


def _relays(sizes: Sizes) -> dict[str, Slope]:
    layouts = [entry_layout(n, sizes.relay_zones) for n in sizes.entries_per_zone]
    loads = [
        (len(layout.vms), measure_relays(layout, sizes.relay_s)) for layout in layouts
    ]
    changes = [
        (len(layout.vms), measure_vm_change(layout, sizes.relay_s // 3))
        for layout in layouts
    ]
    config = [
        (len(layout.vms), measure_change(layout, True, seconds=10))
        for layout in layouts
    ]
    names = (
        ("reader_bytes", "B/s", True),
        ("reader_messages", "/s", True),
        ("watcher_bytes", "B/s", True),
        ("paid_bytes", "B/s", True),
        ("store_operations", "/s", True),
    )
    return {
        **_fields("relays", "entry VM", loads, names),
        "VM change": make_slope("VM change", "B", "entry VM", changes),
        **_fields(
            "configuration change",
            "entry VM",
            config,
            (("in_force_ms", "ms", True), ("paid_bytes_per_region", "B", True)),
        ),
    }


def _lists(sizes: Sizes) -> dict[str, Slope]:
    pairs = [(n, measure_list(n)) for n in sizes.vms]
    names = (
        ("size_bytes", "B", True),
        ("decode_ms", "ms", False),
        ("memory_kb", "KB", False),
    )
    return _fields("VM list", "VM", pairs, names)


def _keyed(sizes: Sizes) -> dict[str, Slope]:
    return _values(
        "writes per keyed request",
        "writes",
        "keyed request per second",
        sizes.requests_per_s,
        measure_once_writes,
    )


def _queued(sizes: Sizes) -> dict[str, Slope]:
    return _values(
        "queued requests",
        "KB",
        "waiting request",
        sizes.waiting,
        measure_queued_memory,
        False,
    )


def measure_counts(sizes: Sizes) -> dict[str, Slope]:
    """Measure counts on the virtual clock, with the processor time beside them."""
    parts = (_shard, _shard_rows, _slots, _probes, _relays, _lists, _keyed)
    return {key: slope for part in parts for key, slope in part(sizes).items()}


def measure_memory(sizes: Sizes) -> dict[str, Slope]:
    """Measure memory by `tracemalloc`, and the planner's time."""
    return _memory(sizes) | _queued(sizes)


def _daemon_slopes(report: DaemonReport) -> dict[str, Slope]:
    names = (
        ("gateway time", "ms", "request", report.request_cpu_ms),
        ("scheduler time", "ms", "start", report.task_cpu_ms),
        ("scheduler resident", "KB", "running task", report.task_resident_kb),
    )
    return {
        name: make_slope(name, unit, per, pairs, False)
        for name, unit, per, pairs in names
    }


def _idle_daemons() -> dict[str, Slope]:
    pairs = [(n, measure_idle_daemons(n)) for n in PROCESS_WORKERS]
    names = [
        (f"{daemon}_{kind}", unit, False)
        for daemon in ("scheduler", "relay", "gateway")
        for kind, unit in (("ms", "ms/s"), ("kb", "KB"))
    ]
    return _fields("processes", "worker", pairs, names)


def measure_all() -> Measurements:
    """Measure everything; takes a few minutes."""
    daemons = measure_daemons()
    figures = {figure.name: figure.value for figure in measure_placements()}
    return Measurements(
        measure_counts(FULL)
        | measure_memory(FULL)
        | _daemon_slopes(daemons)
        | _idle_daemons(),
        daemons,
        figures["store writes per second at 3,000 placements per second"],
        f"{os.cpu_count()} cores, {platform.system()} {platform.machine()}, "
        f"Python {platform.python_version()}",
    )
