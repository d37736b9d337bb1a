"""Unix time derived from the event loop's clock."""

import asyncio

__all__ = ["CLOCK_ERROR_MS", "Clock"]

CLOCK_ERROR_MS = 500
"""Largest difference between a machine's clock and true time, in milliseconds."""


class Clock:
    """Maps the event loop's clock to Unix time.

    Tests pause and advance the loop; all code reads time through this class or
    through ``loop.time()``.

    Parameters
    ----------
    anchor_unix_ms : int
        Unix time that corresponds to the loop's time at construction, in
        milliseconds. Programs pass the operating system's time.
    loop : asyncio.AbstractEventLoop, optional
        Loop to read. The running loop by default.
    """

    def __init__(
        self, anchor_unix_ms: int, loop: asyncio.AbstractEventLoop | None = None
    ):
        self._loop = loop or asyncio.get_running_loop()
        self._offset_ms = anchor_unix_ms - self._loop.time() * 1000

    def monotonic_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return self._loop.time() * 1000

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return int(self._loop.time() * 1000 + self._offset_ms)

    def adjust(self, unix_ms: int) -> int:
        """Set the Unix time and return by how many milliseconds it moved.

        A suspended VM stops the loop's clock but not true time, so programs call
        this once a second with the operating system's time.
        """
        moved_ms = unix_ms - self.unix_ms()
        self._offset_ms += moved_ms
        return moved_ms
