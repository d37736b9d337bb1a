"""Limits on the use of GPU workers by work that needs no GPUs."""

from basilhold.core import Resources
from basilhold.placement.workers import WorkerState

__all__ = ["GpuGuard"]

_DEFAULT_KEPT_SHARE = 0.75
"""Share of a worker's cores and memory that is kept for its GPUs until a GPU job has
been submitted. Most GPU jobs use less than the proportional share of their GPUs."""

_DECAY_PER_JOB = 0.98
"""Factor by which the need per GPU of earlier jobs decays with each submitted GPU
job."""


class GpuGuard:
    """Decides whether work that needs no GPU may run on a GPU worker.

    Such work may run there while no GPU work waits, if each free GPU keeps the cores
    and memory that earlier GPU jobs declared per GPU.

    Attributes
    ----------
    gpu_work_waits : bool
        Whether GPU work waits that some worker could run.
    """

    def __init__(self):
        self.gpu_work_waits = False
        self._cores_per_gpu = 0.0
        self._memory_per_gpu = 0.0
        self._kept_by_capacity: dict[Resources, tuple[float, float]] = {}

    def record_task_size(self, size: Resources) -> None:
        """Update the need per GPU with the task size of a submitted job."""
        if size.gpus_milli <= 0:
            return
        self._kept_by_capacity.clear()
        self._cores_per_gpu = max(
            self._cores_per_gpu * _DECAY_PER_JOB, size.cores_milli / size.gpus_milli
        )
        self._memory_per_gpu = max(
            self._memory_per_gpu * _DECAY_PER_JOB, size.memory_bytes / size.gpus_milli
        )

    def spare(self, worker: WorkerState, starving: bool = False) -> Resources:
        """Return the resources that work without GPUs may use on a worker.

        While no GPU work waits, starving work may use all free resources. Otherwise, a
        task that fits only on an idle GPU worker would never start.
        """
        gpus = worker.capacity.gpus_milli
        if gpus == 0:
            return worker.free()
        if self.gpu_work_waits:
            return Resources()
        if starving:
            return worker.free()
        cores, memory = self._kept_per_gpu(worker.capacity)
        free_gpus = worker.free_gpus_milli
        return Resources(
            max(0, int(worker.free_cores_milli - cores * free_gpus)),
            max(0, int(worker.free_memory_bytes - memory * free_gpus)),
            0,
        )

    def allows(self, worker: WorkerState, size: Resources, starving: bool) -> bool:
        """Return whether a task without GPUs that fits on a GPU worker may run there.

        The rule is that of `spare`, but no `Resources` are created.
        """
        if self.gpu_work_waits or starving:
            return not self.gpu_work_waits
        cores, memory = self._kept_per_gpu(worker.capacity)
        free_gpus = worker.free_gpus_milli
        return (
            worker.free_cores_milli - cores * free_gpus >= size.cores_milli
            and worker.free_memory_bytes - memory * free_gpus >= size.memory_bytes
        )

    def _kept_per_gpu(self, capacity: Resources) -> tuple[float, float]:
        """Return the cores and memory that a worker keeps per thousandth of a free GPU.

        They are in thousandths of a core and in bytes.
        """
        kept = self._kept_by_capacity.get(capacity)
        if kept is None:
            gpus = capacity.gpus_milli
            kept = (
                _kept_amount(self._cores_per_gpu, capacity.cores_milli / gpus),
                _kept_amount(self._memory_per_gpu, capacity.memory_bytes / gpus),
            )
            self._kept_by_capacity[capacity] = kept
        return kept


def _kept_amount(learned: float, proportional: float) -> float:
    """Return the amount to keep per GPU, at most its proportional share."""
    if learned == 0.0:
        return proportional * _DEFAULT_KEPT_SHARE
    return min(proportional, learned)
