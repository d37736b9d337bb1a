"""Groups of asyncio tasks, and loops that are restarted after unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from basilhold.observability import log_event
from basilhold.workflows.events import LOOP_FAILED

__all__ = ["BackgroundTasks", "restart_on_error"]


async def restart_on_error(
    name: str, run: Callable[[], Awaitable[None]], delay_ms: float
) -> None:
    """Run a loop until it returns, restarting it after each unexpected exception.

    Parameters
    ----------
    name : str
        Name of the loop in the log.
    run : callable
        Returns the awaitable of one run.
    delay_ms : float
        Delay before a restart, in milliseconds.
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
    """A group of asyncio tasks that are cancelled together.

    It keeps references to the tasks, as the event loop alone holds only weak ones.
    """

    def __init__(self):
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that belongs to the group."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks except the current one and wait until they have ended."""
        tasks = [t for t in self._tasks if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
