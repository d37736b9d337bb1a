"""Runs coroutines on an event loop whose clock advances only when all tasks wait."""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism

__all__ = ["VIRTUAL_EPOCH_UNIX_MS", "VirtualTimeTestCase", "run_virtual"]

VIRTUAL_EPOCH_UNIX_MS = 1_800_000_000_000
"""Unix time at which virtual runs start, in milliseconds."""

T = TypeVar("T")


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new loop with a virtual clock.

    Sleeping takes no real time, and the same program takes the same steps in each
    run.

    Examples
    --------
    >>> import asyncio
    >>> async def main():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(main())
    3600.0
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)


class VirtualTimeTestCase(unittest.TestCase):
    """Test case whose ``async def test_*`` methods run on a virtual clock."""

    def _callTestMethod(self, method):  # noqa: N802
        if asyncio.iscoroutinefunction(method):
            run_virtual(method())
            return
        super()._callTestMethod(method)
