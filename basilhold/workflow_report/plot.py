"""Plot of where the time of workflows went."""

import statistics
from collections.abc import Iterable
from pathlib import Path

import matplotlib

from basilhold.workflow_report.records import STAGES, WorkflowRecord

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["write_plot"]

WINDOW_S = 2.0


def write_plot(records: Iterable[WorkflowRecord], path: Path) -> None:
    """Draw the median time of each stage, by queue and time of acceptance."""
    by_queue: dict[str, dict[float, list[tuple[float, ...]]]] = {}
    for record in records:
        stages = record.stages_s()
        if stages is not None:
            window_s = record.accepted_s // WINDOW_S * WINDOW_S
            windows = by_queue.setdefault(record.queue, {})
            windows.setdefault(window_s, []).append(stages)
    figure, all_axes = pyplot.subplots(
        max(1, len(by_queue)),
        1,
        figsize=(10, 2 + 2 * len(by_queue)),
        sharex=True,
        squeeze=False,
        layout="constrained",
    )
    for axes, (queue, windows) in zip(
        all_axes[:, 0], sorted(by_queue.items()), strict=False
    ):
        times = sorted(windows)
        medians = [
            [statistics.median(each[stage] for each in windows[t]) for t in times]
            for stage in range(len(STAGES))
        ]
        axes.stackplot(times, medians, labels=STAGES)
        axes.set_title(queue, fontsize=9)
        axes.set_ylabel("median [s]")
    if by_queue:
        all_axes[0, 0].legend(fontsize=7)
    all_axes[-1, 0].set_xlabel("accepted at [s]")
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
