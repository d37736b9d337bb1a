"""Summary and plot of a soak run."""

from collections.abc import Iterator
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from basilhold.soak.records import Wait  # noqa: E402
from basilhold.soak.run import SoakResult  # noqa: E402

__all__ = ["summarise", "write_plot"]


def summarise(result: SoakResult) -> str:
    """Return the summary that the command prints."""
    return "\n".join(_lines(result))


def _lines(result: SoakResult) -> Iterator[str]:
    record, options = result.record, result.options
    yield (
        f"seed {options.seed}, cell {options.cell}: {options.seconds:.0f} s of load, "
        f"settled at {result.virtual_s:.0f} s of virtual time"
    )
    yield from _counts("faults that took effect", record.faults)
    yield from _counts("messages with a fault", result.message_faults)
    yield from _counts("requests", record.outcomes)
    yield from _counts("submissions of jobs", record.submissions)
    yield from _counts("tasks at the end", result.job_states)
    yield from _counts("changes of the configuration", record.changes)
    yield "waits against target:"
    for class_name, waits in sorted(record.waits.items()):
        yield f"  {class_name}: {_describe_waits(waits)}"
    packing = [sample.packing for sample in record.samples]
    if packing:
        yield (
            f"packing: mean {sum(packing) / len(packing):.1%}, "
            f"highest {max(packing):.1%} of the reachable workers' cores"
        )
        last = record.samples[-1]
        yield from _counts("control bytes by distance", last.bytes_by_distance)
    yield from _counts("store operations", result.store_operations)
    yield f"event log: {len(record.events)} events, hash {result.digest}"


def _counts(title: str, counts: dict[str, int]) -> Iterator[str]:
    yield f"{title}:"
    for name, count in sorted(counts.items()):
        yield f"  {name}: {count}"


def _describe_waits(waits: list[Wait]) -> str:
    met = sum(wait.waited_ms <= wait.target_ms for wait in waits)
    ordered = sorted(wait.waited_ms for wait in waits)
    median_s = ordered[len(ordered) // 2] / 1000
    return (
        f"{met} of {len(waits)} started within the target ({met / len(waits):.1%}), "
        f"median {median_s:.3f} s, longest {ordered[-1] / 1000:.1f} s, "
        f"target {waits[-1].target_ms / 1000:.1f} s"
    )


def write_plot(result: SoakResult, path: Path) -> None:
    """Draw waiting times against targets, packing and control bytes over time."""
    record = result.record
    figure, (waits, packing, traffic) = pyplot.subplots(
        3, 1, figsize=(10, 12), sharex=True, layout="constrained"
    )
    for class_name, values in sorted(record.waits.items()):
        waits.plot(
            [wait.at_s for wait in values],
            [max(wait.waited_ms, 0.1) / wait.target_ms for wait in values],
            ".",
            markersize=3,
            label=class_name,
        )
    waits.axhline(1.0, color="black", linewidth=0.8)
    waits.set_yscale("log")
    waits.set_ylabel("waiting time / target")
    if record.waits:
        waits.legend(fontsize=7, loc="upper left")
    times = [sample.at_s for sample in record.samples]
    packing.plot(times, [100 * sample.packing for sample in record.samples])
    packing.set_ylabel("cores in use [%]")
    distances = sorted({d for s in record.samples for d in s.bytes_by_distance})
    for distance in distances:
        totals = [s.bytes_by_distance.get(distance, 0) for s in record.samples]
        traffic.plot(times, [total / 1000 for total in totals], label=distance)
    traffic.set_ylabel("control traffic since the start [KB]")
    traffic.set_xlabel("virtual time [s]")
    if distances:
        traffic.legend(fontsize=7)
    figure.suptitle(f"{result.options.cell}, seed {result.options.seed}")
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
