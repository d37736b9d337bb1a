"""Unix time derived from the event loop's clock."""

import asyncio

__all__ = ["CLOCK_ERROR_MS", "Clock"]

CLOCK_ERROR_MS = 500
"""Largest assumed offset of a machine's clock from true time, in milliseconds."""


class Clock:
    """Maps the event loop's monotonic clock to Unix time.

    All code reads time through this class or through ``loop.time()``, so that tests
    can pause and advance the clock.

    Parameters
    ----------
    anchor_unix_ms : int
        Unix time at construction, in milliseconds. Programs pass the operating
        system's time.
    loop : asyncio.AbstractEventLoop, optional
        Loop whose clock is read. The running loop by default.
    """

    def __init__(
        self, anchor_unix_ms: int, loop: asyncio.AbstractEventLoop | None = None
    ):
        self._loop = loop or asyncio.get_running_loop()
        self._offset_ms = anchor_unix_ms - self._loop.time() * 1000

    def monotonic_ms(self) -> float:
        """Return the event loop's time in milliseconds."""
        return self._loop.time() * 1000

    def unix_ms(self) -> int:
        """Return the current Unix time in milliseconds."""
        return int(self._loop.time() * 1000 + self._offset_ms)

    def adjust(self, unix_ms: int) -> int:
        """Set the current Unix time.

        The loop's clock stops while a VM is suspended, so programs call this once a
        second with the operating system's time.

        Parameters
        ----------
        unix_ms : int
            Unix time in milliseconds.

        Returns
        -------
        int
            Difference from the previous time, in milliseconds.
        """
        moved_ms = unix_ms - self.unix_ms()
        self._offset_ms += moved_ms
        return moved_ms
