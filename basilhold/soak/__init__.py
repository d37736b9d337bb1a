"""Long randomised runs of a whole cell with its guarantees checked inside."""

from basilhold.soak.records import Sample, SoakRecord, Wait
from basilhold.soak.run import (
    SoakError,
    SoakOptions,
    SoakResult,
    SoakRun,
    run_soak,
)

__all__ = [
    "Sample",
    "SoakError",
    "SoakOptions",
    "SoakRecord",
    "SoakResult",
    "SoakRun",
    "Wait",
    "run_soak",
]
