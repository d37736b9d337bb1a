"""Index of workers by shape and free resources."""

from collections.abc import Iterator

from sortedcontainers import SortedDict

from basilhold.core import Resources, WorkerId
from basilhold.placement.workers import WorkerState

__all__ = ["WorkerIndex"]

_Group = dict[WorkerId, tuple[WorkerState, int, int, int]]


def _level(amount: int) -> int:
    """Return the logarithmic level of an amount, with four levels per doubling."""
    if amount < 4:
        return max(amount, 0)
    bits = amount.bit_length()
    return (bits << 2) | ((amount >> (bits - 3)) & 3)


class _ShapeIndex:
    """Index of the workers of one capacity, grouped by similar amounts.

    The key of a group consists of the levels of GPUs, cores and memory. See `_level`.
    """

    __slots__ = ("capacity", "groups", "memory_per_core")

    def __init__(self, capacity: Resources):
        self.capacity = capacity
        self.groups: SortedDict = SortedDict()
        self.memory_per_core = capacity.memory_bytes / max(1, capacity.cores_milli)

    def fitting(self, size: Resources) -> Iterator[WorkerState]:
        """Yield the workers with room, in ascending order of their group's key."""
        cores, memory, gpus = size.cores_milli, size.memory_bytes, size.gpus_milli
        low_gpus, low_cores, low_memory = _level(gpus), _level(cores), _level(memory)
        for key in self.groups.irange(minimum=(low_gpus, low_cores, low_memory)):
            if key[1] < low_cores or key[2] < low_memory:
                continue
            cell = self.groups[key]
            if key[0] > low_gpus and key[1] > low_cores and key[2] > low_memory:
                for member in cell.values():
                    yield member[0]
                continue
            for worker, free_cores, free_memory, free_gpus in cell.values():
                if cores <= free_cores and memory <= free_memory and gpus <= free_gpus:
                    yield worker


class WorkerIndex:
    """Index that finds workers with given amounts of resources without a full scan.

    Workers of equal capacity have the same shape. Within a shape, workers are grouped
    by the logarithmic level of each amount, so that a search visits only the groups at
    or above the levels that it needs.
    """

    def __init__(self):
        self._shapes: dict[Resources, _ShapeIndex] = {}
        self._positions: dict[WorkerId, tuple[_ShapeIndex, tuple[int, int, int]]] = {}
        self._shape_order: dict[tuple[bool, int], list[_ShapeIndex]] = {}

    def put(self, worker: WorkerState, cores: int, memory: int, gpus: int) -> None:
        """Insert a worker or update its amounts.

        Parameters
        ----------
        worker : WorkerState
        cores : int
            Thousandths of a core.
        memory : int
            Bytes.
        gpus : int
            Thousandths of a GPU.
        """
        key = (_level(gpus), _level(cores), _level(memory))
        position = self._positions.get(worker.worker_id)
        if position is not None:
            shape, old_key = position
            if old_key == key and shape.capacity is worker.capacity:
                shape.groups[key][worker.worker_id] = (worker, cores, memory, gpus)
                return
            self.discard(worker.worker_id)
        shape = self._shapes.get(worker.capacity)
        if shape is None:
            shape = self._shapes[worker.capacity] = _ShapeIndex(worker.capacity)
            self._shape_order.clear()
        cell: _Group | None = shape.groups.get(key)
        if cell is None:
            cell = shape.groups[key] = {}
        cell[worker.worker_id] = (worker, cores, memory, gpus)
        self._positions[worker.worker_id] = (shape, key)

    def discard(self, worker_id: WorkerId) -> None:
        """Remove a worker if it is present."""
        position = self._positions.pop(worker_id, None)
        if position is None:
            return
        shape, key = position
        cell = shape.groups[key]
        del cell[worker_id]
        if not cell:
            del shape.groups[key]

    def amounts(self, worker_id: WorkerId) -> Resources | None:
        """Return a worker's amounts, or ``None`` if it is not present."""
        position = self._positions.get(worker_id)
        if position is None:
            return None
        shape, key = position
        return Resources(*shape.groups[key][worker_id][1:])

    def fitting(
        self, size: Resources, gpu_shapes: bool = True
    ) -> Iterator[WorkerState]:
        """Yield the workers whose amounts cover a size, the most suitable shapes first.

        The index must not change while the iterator is in use.

        Parameters
        ----------
        size : Resources
            Resources that a task needs.
        gpu_shapes : bool
            Whether to include workers with GPUs.
        """
        for shape in self._shapes_for(size):
            if size.fits_in(shape.capacity) and (
                gpu_shapes or shape.capacity.gpus_milli == 0
            ):
                yield from shape.fitting(size)

    def _shapes_for(self, size: Resources) -> list[_ShapeIndex]:
        """Return all shapes in the order in which to search them.

        Those with the fewest GPUs come first, then those whose memory per core is
        closest to that of the size.
        """
        ratio = size.memory_bytes / max(1, size.cores_milli)
        order_key = (size.gpus_milli > 0, _level(int(ratio)))
        order = self._shape_order.get(order_key)
        if order is None:
            order = sorted(
                self._shapes.values(),
                key=lambda shape: (
                    shape.capacity.gpus_milli,
                    abs(shape.memory_per_core - ratio),
                ),
            )
            self._shape_order[order_key] = order
        return order
