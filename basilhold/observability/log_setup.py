"""Logging of a process: absl, one line per event."""

import logging as python_logging
import time

from absl import logging

__all__ = ["LineFormatter", "set_up_logging"]

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
