"""Sums up workflows by queue. Pure."""

import statistics
from collections import Counter
from collections.abc import Iterable

import msgspec

from basilhold.workflow_report.records import WorkflowRecord

__all__ = ["QueueSummary", "summarise", "write_table"]


class QueueSummary(msgspec.Struct):
    """Workflows of one queue.

    Parameters
    ----------
    queue : str
    count : int
    states : Counter of str
        Workflows by final state; "open" for those without one.
    stages_s : tuple of float
        Medians of the times to the first start, to the last one, and to the end, over
        the completed ones; empty if there are none.
    slow_s : float
        Time that nine in ten of the completed ones took at most.
    answers : int
        Answers of the advice service.
    run_ends : Counter of str
    stops_caused : int
    """

    queue: str
    count: int
    states: Counter
    stages_s: tuple[float, ...]
    slow_s: float
    answers: int
    run_ends: Counter
    stops_caused: int


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
    for record in records:
        ends.update(record.run_ends)
    return QueueSummary(
        queue,
        len(records),
        Counter(record.state or "open" for record in records),
        tuple(statistics.median(each) for each in zip(*stages, strict=True)),
        totals[int(0.9 * len(totals))] if totals else 0.0,
        sum(len(record.answers_s) for record in records),
        ends,
        sum(record.stops_caused for record in records),
    )


def write_table(summaries: Iterable[QueueSummary]) -> str:
    """Return the summaries as text, one queue after the other."""
    lines = []
    for each in summaries:
        lines.append(f"{each.queue}: {each.count} workflows, {_counts(each.states)}")
        if each.stages_s:
            first, spread, last = each.stages_s
            lines.append(
                f"  median {first:.2f} s to the first start, {spread:.2f} s to the "
                f"last, {last:.2f} s to the end; nine in ten within {each.slow_s:.2f} s"
            )
        lines.append(
            f"  runs {_counts(each.run_ends) or 'none'}; {each.answers} answers of the "
            f"advice service; {each.stops_caused} runs of others stopped"
        )
    return "\n".join(lines)


def _counts(counter: Counter) -> str:
    return ", ".join(f"{count} {name}" for name, count in counter.most_common())
