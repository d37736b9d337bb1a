"""Helpers for tests and for randomised runs on a virtual clock."""

from basilhold.testing.virtual_time import (
    VIRTUAL_EPOCH_UNIX_MS,
    VirtualTimeTestCase,
    run_virtual,
)

__all__ = ["VIRTUAL_EPOCH_UNIX_MS", "VirtualTimeTestCase", "run_virtual"]
