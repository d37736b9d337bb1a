"""Logging of a process: absl, one line per event."""

import contextlib
import logging as python_logging
import os
import time
from collections.abc import Callable

from absl import logging

__all__ = ["BoundedOutput", "LineFormatter", "set_log_output", "set_up_logging"]

LINES_PER_SECOND_MAX = 2_000
"""About 0.4 MB a second; a cell at its peak writes a tenth of it."""

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LineFormatter(python_logging.Formatter):
    """Writes a record as one line: time (UTC), level, process id, text.

    Line ends and other control characters, also those of a traceback, are escaped,
    so that a value from outside cannot pretend to be another event.

    Parameters
    ----------
    process_id : str
    """

    def __init__(self, process_id: str):
        super().__init__()
        self._process_id = process_id

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the line of a record."""
        text = record.getMessage()
        if record.exc_info:
            text = f"{text}\n{self.formatException(record.exc_info)}"
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        stamp = f"{seconds}.{int(record.msecs):03d}Z"
        line = f"{stamp} {record.levelname} {self._process_id} {text}"
        return "".join(
            c if c.isprintable() else c.encode("unicode_escape").decode() for c in line
        )


def set_up_logging(level: str, process_id: str) -> None:
    """Send all log records of the process to the standard error.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    process_id : str
    """
    handler = logging.get_absl_handler()
    handler.setFormatter(LineFormatter(process_id))
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    logging.set_stderrthreshold(_LEVELS[level])
    # Access lines of tornado and protocol notes of the libraries are not events.
    for name in ("tornado.access", "tornado.general", "hpack", "h2", "grpclib"):
        python_logging.getLogger(name).setLevel(python_logging.ERROR)


class BoundedOutput:
    """A text stream that never blocks and bounds its volume.

    Lines beyond the bound, and lines that the reader of a pipe does not take, are
    dropped and counted; the next line that is written tells how many.

    Parameters
    ----------
    descriptor : int
        An open file descriptor; it is set to non-blocking mode.
    lines_per_second_max : int
    clock : callable
        Returns a steady time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second_max: int = LINES_PER_SECOND_MAX,
        clock: Callable[[], float] = time.monotonic,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_max = lines_per_second_max
        self._clock = clock
        self._second = -1
        self._lines = 0
        self._untold = 0
        self.dropped_count = 0

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._lines_max:
            self._drop()
            return len(text)
        self._lines += 1
        if self._untold:
            text = f"{self._untold} log lines were dropped\n{text}"
        data = text.encode()
        with contextlib.suppress(BlockingIOError):
            written = os.write(self._descriptor, data)
            if written == len(data):
                self._untold = 0
                return len(text)
        self._drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written at once."""

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the process."""

    def _drop(self) -> None:
        self.dropped_count += 1
        self._untold += 1


def set_log_output(output: BoundedOutput) -> None:
    """Send the lines of `set_up_logging` to another stream."""
    logging.get_absl_handler().python_handler.stream = output
