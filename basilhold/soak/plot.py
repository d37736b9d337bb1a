"""Plot of a soak run."""

from pathlib import Path

import matplotlib

from basilhold.soak.run import SoakResult

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["write_plot"]


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
        waits.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
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
