"""Capacities of the workers of one shard."""

from collections import Counter

from basilhold.core import Resources

__all__ = ["WorkerShapes", "count_fitting"]

_SLOTS_MAX = 1 << 20


def count_fitting(free: Resources, size: Resources) -> int:
    """Return how many tasks of a size fit in an amount.

    Examples
    --------
    >>> count_fitting(Resources(4000, 8, 0), Resources(1000, 4, 0))
    2
    """
    slots = _SLOTS_MAX
    if size.cores_milli:
        slots = min(slots, free.cores_milli // size.cores_milli)
    if size.memory_bytes:
        slots = min(slots, free.memory_bytes // size.memory_bytes)
    if size.gpus_milli:
        slots = min(slots, free.gpus_milli // size.gpus_milli)
    return slots


class WorkerShapes:
    """Counts workers by capacity."""

    def __init__(self):
        self._counts: Counter[Resources] = Counter()

    def add(self, capacity: Resources) -> None:
        """Count a worker."""
        self._counts[capacity] += 1

    def remove(self, capacity: Resources) -> None:
        """Stop counting a worker."""
        self._counts[capacity] -= 1
        if self._counts[capacity] == 0:
            del self._counts[capacity]

    def could_run(self, size: Resources) -> bool:
        """Return whether any worker could run a task of this size when empty."""
        return any(size.fits_in(capacity) for capacity in self._counts)

    def needs_gpu_workers(self, size: Resources) -> bool:
        """Return whether only workers with GPUs could run a task of this size."""
        return size.gpus_milli > 0 or not any(
            size.fits_in(capacity) and capacity.gpus_milli == 0
            for capacity in self._counts
        )
