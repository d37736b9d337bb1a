"""Keeps GPU workers available to work that needs GPUs."""

from basilhold.core import Resources
from basilhold.placement.workers import WorkerState

__all__ = ["GpuGuard"]

_DEFAULT_SHARE = 0.75
"""Share of a worker's cores and memory that its GPUs need while no GPU work has been
seen: most GPU jobs leave some of their proportional part unused."""

_FADE = 0.98
"""Factor per GPU job by which an earlier, larger need is forgotten."""


class GpuGuard:
    """Decides whether work that needs no GPU may run on a GPU worker.

    It may while no GPU work waits, and only as far as the free GPUs keep the cores and
    memory that GPU work has declared per GPU.
    """

    def __init__(self):
        self.gpu_work_waits = False
        self._cores_per_gpu = 0.0
        self._memory_per_gpu = 0.0

    def observe(self, size: Resources) -> None:
        """Learn the need per GPU from a submitted job's task size."""
        if size.gpus_milli <= 0:
            return
        self._cores_per_gpu = max(
            self._cores_per_gpu * _FADE, size.cores_milli / size.gpus_milli
        )
        self._memory_per_gpu = max(
            self._memory_per_gpu * _FADE, size.memory_bytes / size.gpus_milli
        )

    def spare(self, worker: WorkerState, starving: bool = False) -> Resources:
        """Return what work without GPUs may use on a worker.

        Starving work may use all that is free, because a task that only fits on an
        otherwise idle GPU worker would never start.
        """
        gpus = worker.capacity.gpus_milli
        if gpus == 0:
            return worker.free()
        if self.gpu_work_waits:
            return Resources()
        if starving:
            return worker.free()
        capacity = worker.capacity
        cores = self._kept(self._cores_per_gpu, capacity.cores_milli, gpus)
        memory = self._kept(self._memory_per_gpu, capacity.memory_bytes, gpus)
        free_gpus = worker.free_gpus_milli
        return Resources(
            max(0, int(worker.free_cores_milli - cores * free_gpus)),
            max(0, int(worker.free_memory_bytes - memory * free_gpus)),
            0,
        )

    @staticmethod
    def _kept(learned: float, capacity: int, gpus: int) -> float:
        proportional = capacity / gpus
        if learned == 0.0:
            return proportional * _DEFAULT_SHARE
        return min(proportional, learned)
