"""Set-up of absl logging, with one line per record and a bounded volume."""

import contextlib
import logging as python_logging
import os
import time
from collections.abc import Callable

from absl import logging

__all__ = ["BoundedOutput", "LineFormatter", "set_log_output", "set_up_logging"]

LINES_PER_SECOND_MAX = 2_000
"""Limit of the log volume, about 0.4 MB/s; a cell at its peak writes a tenth of it."""

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class LineFormatter(python_logging.Formatter):
    """Formats a record as one line: time (UTC), level, process id, text.

    Line breaks and other control characters, including those of a traceback, are
    escaped, so that untrusted values cannot forge log lines.

    Parameters
    ----------
    process_id : str
    """

    def __init__(self, process_id: str):
        super().__init__()
        self._process_id = process_id

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the formatted line."""
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
    """Send all log records of the process to standard error.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    process_id : str

    Raises
    ------
    KeyError
        If the level is not one of these.
    """
    handler = logging.get_absl_handler()
    handler.setFormatter(LineFormatter(process_id))
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    logging.set_stderrthreshold(_LEVELS[level])
    # Access logs of tornado and protocol messages of the libraries are not events.
    for name in ("tornado.access", "tornado.general", "hpack", "h2", "grpclib"):
        python_logging.getLogger(name).setLevel(python_logging.ERROR)


class BoundedOutput:
    """A text stream that never blocks and limits the number of lines per second.

    Lines above the limit, and lines that do not fit into a full pipe, are dropped and
    counted. The next line that is written reports how many were dropped.

    Parameters
    ----------
    descriptor : int
        An open file descriptor. It is set to non-blocking mode.
    lines_per_second_max : int
    clock : callable
        Returns a monotonic time in seconds.

    Attributes
    ----------
    dropped_count : int
        Number of lines dropped so far.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second_max: int = LINES_PER_SECOND_MAX,
        clock: Callable[[], float] = time.monotonic,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_second_max = lines_per_second_max
        self._clock = clock
        self._current_second = -1
        self._line_count = 0
        self._unreported_count = 0
        self.dropped_count = 0

    def write(self, text: str) -> int:
        """Write a line or drop it; return the length of `text`."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second, self._line_count = second, 0
        if self._line_count >= self._lines_per_second_max:
            self._drop()
            return len(text)
        self._line_count += 1
        if self._unreported_count:
            text = f"{self._unreported_count} log lines were dropped\n{text}"
        data = text.encode()
        with contextlib.suppress(BlockingIOError):
            written = os.write(self._descriptor, data)
            if written == len(data):
                self._unreported_count = 0
                return len(text)
        self._drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as lines are not buffered."""

    def close(self) -> None:
        """Do nothing, as the descriptor is owned by the process."""

    def _drop(self) -> None:
        self.dropped_count += 1
        self._unreported_count += 1


def set_log_output(output: BoundedOutput) -> None:
    """Write the log to another stream instead of standard error."""
    logging.get_absl_handler().python_handler.stream = output
