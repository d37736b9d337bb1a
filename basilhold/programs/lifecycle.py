"""Start, graceful shutdown and failure of a daemon."""

import asyncio
import json
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from absl import logging

from basilhold.core import InvariantError
from basilhold.observability import log_event
from basilhold.programs.events import (
    DAEMON_DRAINING,
    DAEMON_STARTED,
    DAEMON_STOPPED,
    DRAIN_CUT,
    INVARIANT_BROKEN,
)

__all__ = ["Daemon", "ExitCode", "run_daemon"]

STATE_DUMP_BYTES_MAX = 1 << 20

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ExitCode(IntEnum):
    """Exit codes of the daemons; values above 64 follow ``sysexits.h``."""

    OK = 0
    DRAIN_CUT = 1
    UNAVAILABLE = 69
    INVARIANT_BROKEN = 70
    SETTINGS_INVALID = 78


class Daemon(ABC):
    """A program's long-running part; an asynchronous context manager.

    Entering it opens ports and starts tasks, leaving it closes them.
    """

    @property
    @abstractmethod
    def name(self) -> str:
        """Process id used in logs."""

    @abstractmethod
    async def __aenter__(self) -> "Daemon":
        """Open ports and start tasks."""

    @abstractmethod
    async def __aexit__(self, exc_type, exc, traceback) -> None:
        """Close ports and cancel tasks."""

    @abstractmethod
    async def run(self) -> None:
        """Run until cancelled; raises what stops the process."""

    @abstractmethod
    async def drain(self, abort: asyncio.Event) -> tuple[str, ...]:
        """Stop gracefully.

        Parameters
        ----------
        abort : asyncio.Event
            Set by a second stop signal; the drain then ends at once.

        Returns
        -------
        tuple of str
            What was cut, in words for the log; empty if nothing was.
        """

    @abstractmethod
    def state(self) -> dict[str, Any]:
        """Return the process's whole state for a dump."""


async def _serve(daemon: Daemon) -> ExitCode:
    stop = asyncio.Event()
    abort = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            abort.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, on_signal)
    broken: asyncio.Future[None] = loop.create_future()

    def on_loop_error(failed_loop, context) -> None:
        error = context.get("exception")
        if isinstance(error, InvariantError) and not broken.done():
            broken.set_exception(error)
        failed_loop.default_exception_handler(context)

    # Timers and callbacks have no task that could pass an error on.
    loop.set_exception_handler(on_loop_error)
    async with daemon:
        log_event(DAEMON_STARTED, name=daemon.name)
        running = asyncio.create_task(daemon.run())
        stopping = asyncio.create_task(stop.wait())
        try:
            await asyncio.wait(
                {running, stopping, broken}, return_when=asyncio.FIRST_COMPLETED
            )
            if broken.done():
                broken.result()
            if running.done():
                running.result()
                raise InvariantError(f"{daemon.name}: the main task ended by itself")
            log_event(DAEMON_DRAINING, name=daemon.name)
            return _exit_code(daemon, await daemon.drain(abort))
        except (InvariantError, ExceptionGroup) as error:
            invariant = find_invariant_error(error)
            if invariant is None:
                raise
            _dump(daemon, invariant)
            return ExitCode.INVARIANT_BROKEN
        finally:
            stopping.cancel()
            running.cancel()
            broken.cancel()
            await asyncio.gather(running, stopping, broken, return_exceptions=True)


def find_invariant_error(error: BaseException) -> InvariantError | None:
    """Return the broken invariant in an error or in a group of errors.

    Examples
    --------
    >>> group = ExceptionGroup("tasks", [OSError(), InvariantError("two leases")])
    >>> find_invariant_error(group)
    InvariantError('two leases')
    """
    if isinstance(error, InvariantError):
        return error
    if isinstance(error, BaseExceptionGroup):
        found = (find_invariant_error(inner) for inner in error.exceptions)
        return next((inner for inner in found if inner), None)
    return None


def _exit_code(daemon: Daemon, cut: tuple[str, ...]) -> ExitCode:
    for item in cut:
        log_event(DRAIN_CUT, name=daemon.name, item=item)
    log_event(DAEMON_STOPPED, name=daemon.name)
    return ExitCode.DRAIN_CUT if cut else ExitCode.OK


def _dump(daemon: Daemon, error: InvariantError) -> None:
    """Write the state dump to the log: entry VMs have no disks."""
    log_event(INVARIANT_BROKEN, name=daemon.name, error=error)
    text = json.dumps(daemon.state(), default=str)
    logging.error("%s", text[:STATE_DUMP_BYTES_MAX])


def run_daemon(
    factory: Callable[[], Daemon],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> ExitCode:
    """Run a daemon until a stop signal or a broken invariant.

    Parameters
    ----------
    factory : callable
        Called on the running event loop.
    loop_factory : callable, optional
        Makes the event loop; asyncio's own by default.

    Returns
    -------
    ExitCode
    """

    async def main() -> ExitCode:
        return await _serve(factory())

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(main())
