"""Asyncio tasks with one owner, and loops that outlive unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from basilhold.observability import log_event
from basilhold.workflows.events import LOOP_FAILED

__all__ = ["BackgroundTasks", "restart_on_error"]


async def restart_on_error(
    name: str, run: Callable[[], Awaitable[None]], delay_ms: float
) -> None:
    """Run a loop, and again after each unexpected error, until it returns.

    Parameters
    ----------
    name : str
        Names the loop in the log.
    run : callable
    pause_ms : float
        Rest after an error.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log_event(LOOP_FAILED, loop=name, error=repr(error))
            await asyncio.sleep(delay_ms / 1000)
        else:
            return


class BackgroundTasks:
    """Keeps references to running tasks and cancels them together."""

    def __init__(self):
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that belongs to the set."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks but the caller's and wait until they have ended."""
        tasks = [t for t in self._tasks if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
