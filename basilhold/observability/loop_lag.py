"""Measurement of the lag of the event loop."""

import asyncio
from types import TracebackType
from typing import Self

from basilhold.observability.metrics import Metric, Metrics

__all__ = ["LoopLagSampler"]


class LoopLagSampler:
    """Asynchronous context manager that records the lag of the event loop.

    The lag is the delay with which a periodic timer fires.

    Parameters
    ----------
    metrics : Metrics
    lag : Metric
        Histogram of the lag, in seconds.
    interval_s : float
        Interval of the timer, in seconds. A wake-up per second uses well under 0.1%
        of a core.
    """

    def __init__(self, metrics: Metrics, lag: Metric, interval_s: float = 1.0):
        self._metrics = metrics
        self._lag = lag
        self._interval_s = interval_s
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self._interval_s
            await asyncio.sleep(self._interval_s)
            self._metrics.observe(self._lag, max(0.0, loop.time() - due_s))
