"""Event loop on which the processes of one VM can be paused."""

import asyncio
import contextvars
import heapq
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism

__all__ = ["VmGate", "run_pausable"]

T = TypeVar("T")

_GATE: contextvars.ContextVar["VmGate | None"] = contextvars.ContextVar(
    "basilhold-soak-gate", default=None
)


class VmGate:
    """Holds back every callback and timer of one VM's tasks while it is paused.

    Tasks that are started in `context` belong to the VM, and so do the tasks that
    they start.
    """

    def __init__(self):
        self.context = contextvars.Context()
        self.context.run(_GATE.set, self)
        self.paused = False
        self.held: list[asyncio.Handle] = []

    def pause(self) -> None:
        """Stop the VM's processes where they are."""
        self.paused = True

    def resume(self) -> None:
        """Let the processes go on; what became due meanwhile runs now."""
        self.paused = False
        held, self.held = self.held, []
        for handle in held:
            if not handle.cancelled():
                handle.run_again()

    def create_task(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Start a task of the VM."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=self.context.copy())


class _GatedHandle(asyncio.Handle):
    __slots__ = ("gate",)

    def _run(self) -> None:
        if self.gate.paused:
            self.gate.held.append(self)
        else:
            super()._run()

    def run_again(self) -> None:
        self._loop._ready.append(self)


class _GatedTimerHandle(asyncio.TimerHandle):
    __slots__ = ("gate",)

    def _run(self) -> None:
        if self.gate.paused:
            self.gate.held.append(self)
        else:
            super()._run()

    def run_again(self) -> None:
        self._loop._ready.append(self)


class _PausableEventLoop(async_solipsism.EventLoop):
    """Loop with a virtual clock that knows to which VM a callback belongs."""

    def _call_soon(self, callback, args, context):
        gate = _gate_of(context)
        if gate is None:
            return super()._call_soon(callback, args, context)
        handle = _GatedHandle(callback, args, self, context)
        handle.gate = gate
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        gate = _gate_of(context)
        if gate is None:
            return super().call_at(when, callback, *args, context=context)
        timer = _GatedTimerHandle(when, callback, args, self, context)
        timer.gate = gate
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer


def _gate_of(context: contextvars.Context | None) -> VmGate | None:
    return _GATE.get() if context is None else context.get(_GATE)


def run_pausable(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual clock on which VMs can be paused."""
    with asyncio.Runner(loop_factory=_PausableEventLoop) as runner:
        return runner.run(coroutine)
