"""Output of ``basilholdctl``: JSON, tables and a progress line."""

import sys
from datetime import UTC, datetime
from enum import Enum
from types import TracebackType
from typing import Any, Self

import click
import msgspec

from basilhold.core import Resources

__all__ = [
    "OutputFormat",
    "ProgressLine",
    "Table",
    "clean_text",
    "format_resources",
    "format_time",
    "print_value",
]

_CELL_CHARACTERS_MAX = 80


class OutputFormat(Enum):
    """How results are written to the standard output."""

    JSON = "json"
    TABLE = "table"


class Table(msgspec.Struct, frozen=True):
    """Rows of text below a line of column names.

    Examples
    --------
    >>> print(Table(("name", "n"), (("quote", "7"), ("order", "12"))).render())
    name   n
    quote  7
    order  12
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def render(self) -> str:
        """Return the table's text."""
        lines = [self.columns, *(tuple(map(_cell, row)) for row in self.rows)]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        return "\n".join(
            "  ".join(
                cell.ljust(width) for cell, width in zip(line, widths, strict=True)
            ).rstrip()
            for line in lines
        )


def clean_text(text: str) -> str:
    """Replace characters that break lines or control the terminal.

    Text in replies may come from callers and the other office.

    Examples
    --------
    >>> clean_text("a" + chr(27) + "[2Jb")
    'a [2Jb'
    """
    return "".join(c if c.isprintable() else " " for c in text)


def _cell(text: str) -> str:
    text = clean_text(text)
    if len(text) > _CELL_CHARACTERS_MAX:
        return text[: _CELL_CHARACTERS_MAX - 3] + "..."
    return text


def print_value(
    output: OutputFormat, value: msgspec.Struct | msgspec.Raw, table: Table | None
) -> None:
    """Write a value as JSON, or as a table if there is one and it is asked for."""
    if output is OutputFormat.TABLE and table is not None:
        click.echo(table.render())
        return
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2))


def format_time(unix_ms: int) -> str:
    """Return a time in UTC, to the second.

    Examples
    --------
    >>> format_time(1_800_000_000_000)
    '2027-01-15 08:00:00Z'
    """
    if not unix_ms:
        return "-"
    return f"{datetime.fromtimestamp(unix_ms // 1000, UTC):%Y-%m-%d %H:%M:%SZ}"


def format_resources(size: Resources) -> str:
    """Return a size for people.

    Examples
    --------
    >>> format_resources(Resources(1500, 3 << 30, 500))
    '1.5 cores, 3 GiB, 0.5 GPUs'
    """
    text = f"{size.cores_milli / 1000:g} cores, {size.memory_bytes / (1 << 30):.4g} GiB"
    return f"{text}, {size.gpus_milli / 1000:g} GPUs" if size.gpus_milli else text


class ProgressLine:
    """A line on the standard error that shows that a wait goes on.

    On a terminal the line is rewritten; otherwise a changed text is a new line.
    """

    def __init__(self, stream: Any = None):
        self._stream = stream or sys.stderr
        self._rewrites = self._stream.isatty()
        self._last = ""

    def __enter__(self) -> Self:
        return self

    def show(self, text: str) -> None:
        """Show the current state of the wait."""
        if text == self._last:
            return
        line = f"\r\x1b[K{text}" if self._rewrites else f"{text}\n"
        self._stream.write(line)
        self._stream.flush()
        self._last = text

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._rewrites and self._last:
            self._stream.write("\r\x1b[K")
            self._stream.flush()
