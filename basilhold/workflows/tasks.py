"""A set of asyncio tasks with one owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["TaskSet"]


class TaskSet:
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
