"""Amounts of processor cores, memory and GPUs."""

from typing import Self

import msgspec

__all__ = ["Resources"]


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """An amount of each type of resource of a VM.

    Parameters
    ----------
    cores_milli : int
        Processor time, in thousandths of a core.
    memory_bytes : int
        Memory, in bytes.
    gpus_milli : int
        GPUs, in thousandths of a GPU.

    Examples
    --------
    >>> vm = Resources(32_000, 64 << 30, 0)
    >>> task = Resources(500, 1 << 30, 0)
    >>> task.fits_in(vm)
    True
    >>> (vm - task).cores_milli
    31500
    """

    cores_milli: int = 0
    memory_bytes: int = 0
    gpus_milli: int = 0

    def __add__(self, other: Self) -> "Resources":
        return Resources(
            self.cores_milli + other.cores_milli,
            self.memory_bytes + other.memory_bytes,
            self.gpus_milli + other.gpus_milli,
        )

    def __sub__(self, other: Self) -> "Resources":
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_bytes - other.memory_bytes,
            self.gpus_milli - other.gpus_milli,
        )

    def scaled(self, factor: int) -> "Resources":
        """Return this amount multiplied by `factor`."""
        return Resources(
            self.cores_milli * factor,
            self.memory_bytes * factor,
            self.gpus_milli * factor,
        )

    def fits_in(self, free: Self) -> bool:
        """Return whether no component exceeds that of `free`."""
        return (
            self.cores_milli <= free.cores_milli
            and self.memory_bytes <= free.memory_bytes
            and self.gpus_milli <= free.gpus_milli
        )

    def is_negative(self) -> bool:
        """Return whether any component is negative."""
        return self.cores_milli < 0 or self.memory_bytes < 0 or self.gpus_milli < 0
