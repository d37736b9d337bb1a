"""Tables of ``docs/CAPACITY.md`` as Markdown."""

from collections.abc import Iterable

from basilhold.capacity.daemons import DAEMONS
from basilhold.capacity.measure import Measurements
from basilhold.capacity.roles import RoleLoad, role_loads, shard_peak
from basilhold.capacity.size import Bounds, TwoYearSize
from basilhold.capacity.slopes import Slope
from basilhold.capacity.verdicts import Verdict, verdicts

__all__ = ["make_tables"]


def _number(value: float) -> str:
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _table(head: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _role(load: RoleLoad) -> tuple[str, ...]:
    cores = "" if load.cores is None else f"{load.cores * 100:.2f}%"
    resident = "" if load.resident_mb is None else f"{load.resident_mb:.1f} MB"
    return (
        load.role,
        load.state,
        _number(load.messages_per_s),
        cores,
        resident,
        _number(load.store_ops_per_s),
        f"{load.bytes_per_s / 1000:,.1f} KB/s",
    )


def _verdict(verdict: Verdict) -> tuple[str, ...]:
    result = "met" if verdict.holds else "**exceeded**"
    value = f"{_number(verdict.value)} {verdict.unit}"
    return (verdict.name, f"{_number(verdict.bound)} {verdict.unit}", value, result)


def _slope(slope: Slope) -> tuple[str, ...]:
    samples = ", ".join(f"{s.size:g}: {_number(s.value)}" for s in slope.samples)
    return (
        slope.name,
        slope.unit,
        slope.per,
        samples,
        f"{slope.per_unit:.4g}",
        _number(slope.base),
        f"{slope.deviation() * 100:.0f}%",
        "count" if slope.exact else "this machine",
    )


def _daemons(data: Measurements) -> str:
    report = data.daemons
    rows = []
    for daemon in DAEMONS:
        idle, loaded = report.idle[daemon], report.loaded[daemon]
        pages = (report.pages[f"{daemon} {path}"] for path in ("/state", "/metrics"))
        rows.append(
            (
                daemon,
                f"{idle.resident_kb / 1000:.1f} MB",
                f"{loaded.resident_kb / 1000:.1f} MB",
                f"{report.idle_cores[daemon] * 100:.2f}%",
                *(f"{size:,} B, {cost_ms:.1f} ms" for size, cost_ms in pages),
            )
        )
    head = (
        "program",
        "resident, idle",
        "resident, after load",
        "processor, idle",
        "`/state`",
        "`/metrics`",
    )
    return _table(head, rows)


def _shard(data: Measurements, size: TwoYearSize) -> str:
    peak = shard_peak(data, size)
    rows = (
        ("exchanges with workers", f"{peak.exchanges:.1f} /s"),
        ("bytes of these, both directions", f"{peak.worker_bytes / 1000:.1f} KB/s"),
        ("rows read by the scan once a minute", f"{peak.scan_bytes / 1000:.1f} KB/s"),
        ("rows written in commits", f"{peak.written_bytes / 1000:.1f} KB/s"),
        ("store writes", f"{peak.store_writes:.2f} /s"),
        ("store reads", f"{peak.store_reads:.2f} /s"),
        ("memory of the owner's state", f"{peak.memory_mb:.1f} MB"),
    )
    return _table(("one shard at peak", "figure"), rows)


def _entry_vms(size: TwoYearSize) -> str:
    regions = len(size.zones_per_region)
    rows = [(f"{zones} zones", str(zones), str(zones + 1)) for zones in (3, 2)]
    rows.append(
        (f"whole cell, {regions} regions", str(size.shards), str(size.entry_vms))
    )
    return _table(("place", "shards", "entry VMs"), rows)


def make_tables(
    data: Measurements, size: TwoYearSize, bounds: Bounds
) -> dict[str, str]:
    """Return each table by its name on the page."""
    roles = _table(
        (
            "role",
            "state",
            "messages/s",
            "processor",
            "resident",
            "store operations/s",
            "bytes/s",
        ),
        map(_role, role_loads(data, size)),
    )
    slopes = _table(
        ("value", "unit", "per", "samples", "slope", "at 0", "off line", "kind"),
        map(_slope, data.slopes.values()),
    )
    return {
        "machine": f"Measured on: {data.machine}.",
        "roles": roles,
        "bounds": _table(
            ("bound", "at most", "at the two-year size", "result"),
            map(_verdict, verdicts(data, size, bounds)),
        ),
        "shard": _shard(data, size),
        "entry-vms": _entry_vms(size),
        "daemons": _daemons(data),
        "slopes": slopes,
    }
