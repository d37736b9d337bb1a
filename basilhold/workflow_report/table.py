"""Sums up workflows by queue. Pure."""

import statistics
from collections import Counter
from collections.abc import Iterable

import msgspec

from basilhold.workflow_report.records import STAGES, WorkflowRecord

__all__ = [
    "QueueSummary",
    "Window",
    "summarise",
    "summarise_windows",
    "write_table",
    "write_windows",
]


class QueueSummary(msgspec.Struct):
    """Workflows of one queue.

    Parameters
    ----------
    queue : str
    count : int
    states : Counter of str
        Workflows by final state; "open" for those without one.
    stages_s : tuple of float
        Medians of the durations of `STAGES`, over the completed ones; empty if there
        are none.
    slow_s : float
        Time that nine in ten of the completed ones took at most.
    answers : int
        Answers of the advice service.
    run_ends, not_started : Counter of str
    stops, useless_stops : int
        Stops of others' runs, and those after which none of the workflow's own started
        within `SOON_S`.
    """

    queue: str
    count: int
    states: Counter
    stages_s: tuple[float, ...]
    slow_s: float
    answers: int
    run_ends: Counter
    not_started: Counter
    stops: int
    useless_stops: int


class Window(msgspec.Struct):
    """Workflows of one queue that were accepted within a span of time.

    Parameters
    ----------
    begin_s : float
    summary : QueueSummary
    """

    begin_s: float
    summary: QueueSummary


def summarise(records: Iterable[WorkflowRecord]) -> list[QueueSummary]:
    """Return a summary of each queue, by name."""
    by_queue: dict[str, list[WorkflowRecord]] = {}
    for record in records:
        by_queue.setdefault(record.queue, []).append(record)
    return [_summary(queue, by_queue[queue]) for queue in sorted(by_queue)]


def _summary(queue: str, records: list[WorkflowRecord]) -> QueueSummary:
    stages = [stages for r in records if (stages := r.stages_s()) is not None]
    totals = sorted(sum(each) for each in stages)
    ends: Counter = Counter()
    not_started: Counter = Counter()
    for record in records:
        ends.update(record.run_ends)
        not_started.update(record.not_started)
    return QueueSummary(
        queue,
        len(records),
        Counter(record.state or "open" for record in records),
        tuple(statistics.median(each) for each in zip(*stages, strict=True)),
        totals[int(0.9 * len(totals))] if totals else 0.0,
        sum(len(record.answers_s) for record in records),
        ends,
        not_started,
        sum(len(record.stops_s) for record in records),
        sum(record.useless_stops() for record in records),
    )


def summarise_windows(
    records: Iterable[WorkflowRecord], width_s: float = 2.0
) -> list[Window]:
    """Return summaries by queue and time of acceptance, in that order."""
    windows: dict[tuple[str, float], list[WorkflowRecord]] = {}
    for record in records:
        begin_s = record.accepted_s // width_s * width_s
        windows.setdefault((record.queue, begin_s), []).append(record)
    return [
        Window(begin_s, _summary(queue, windows[queue, begin_s]))
        for queue, begin_s in sorted(windows)
    ]


def write_table(summaries: Iterable[QueueSummary]) -> str:
    """Return the summaries as text, one queue after the other."""
    lines = []
    for each in summaries:
        lines.append(f"{each.queue}: {each.count} workflows, {_counts(each.states)}")
        if each.stages_s:
            stages = ", ".join(
                f"{duration:.2f} s {stage}"
                for stage, duration in zip(STAGES, each.stages_s, strict=True)
            )
            lines.append(f"  median {stages}; nine in ten within {each.slow_s:.2f} s")
        lines.append(
            f"  runs {_counts(each.run_ends) or 'none'}; {each.answers} answers of the "
            f"advice service; {each.stops} runs of others stopped, "
            f"{each.useless_stops} of them without a start soon after"
        )
        if each.not_started:
            lines.append(f"  starts not carried out: {_counts(each.not_started)}")
    return "\n".join(lines)


def write_windows(windows: Iterable[Window]) -> str:
    """Return one line for each queue and window."""
    return "\n".join(
        f"{each.summary.queue} from {each.begin_s:.0f} s: "
        f"{each.summary.count} workflows, {_counts(each.summary.states)}; median "
        + (" ".join(f"{s:.2f}" for s in each.summary.stages_s) or "-")
        + f" s; {each.summary.stops} stops"
        for each in windows
    )


def _counts(counter: Counter) -> str:
    return ", ".join(f"{count} {name}" for name, count in counter.most_common())
