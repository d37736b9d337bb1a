"""Summary of a soak run."""

from collections.abc import Iterator

from basilhold.soak.records import Wait
from basilhold.soak.run import SoakResult

__all__ = ["summarise"]


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
