"""State dumps with a size bound."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from enum import Enum
from itertools import islice
from typing import Any

import msgspec

from basilhold.observability.events import STATE_SOURCE_FAILED, log_event

__all__ = ["StateDump", "StateSource"]

ENTRIES_MAX = 10_000
DEPTH_MAX = 16
TEXT_CHARACTERS_MAX = 4_096
BYTES_PER_NODE = 8
"""Size that one value has at least on average, in bytes; bounds the copied values."""

SECRETS_CHARACTERS_MIN = 8

_HIDDEN = "<hidden>"
_SECRET_KEYS = frozenset(
    {"token", "token_sha256", "authorization", "password", "secret", "private_key"}
)


class StateSource(ABC):
    """A part of a process's state."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Key of this part in the dump; unique in a process."""

    @abstractmethod
    def state(self) -> Any:
        """Return the state: structs, mappings, sequences, sets and plain values.

        The value is read at once and not changed; large collections need not be
        copied.
        """


class StateDump:
    """Dumps the state of a process as JSON.

    A collection that does not fit is cut. A cut list ends with, and a cut object
    holds, ``"left_out"`` with the number of entries left out.

    Parameters
    ----------
    size_max : int
        Bound of the dump, in bytes.
    secrets : iterable of str
        Texts that are hidden wherever they occur, such as operators' tokens.
    """

    def __init__(self, size_max: int = 1 << 20, secrets: Iterable[str] = ()):
        self._size_max = size_max
        self._secrets = tuple(
            secret for secret in secrets if len(secret) >= SECRETS_CHARACTERS_MIN
        )
        self._sources: dict[str, StateSource] = {}

    def add_source(self, source: StateSource) -> None:
        """Include a source.

        Raises
        ------
        ValueError
            If another source has the same name.
        """
        if source.name in self._sources:
            raise ValueError(f"state source {source.name} is added twice")
        self._sources[source.name] = source

    async def dump(self) -> bytes:
        """Return the dump, letting other tasks run between the sources."""
        parts: list[bytes] = []
        for step in self._steps(parts):
            step()
            await asyncio.sleep(0)
        return _join(parts)

    def dump_now(self) -> bytes:
        """Return the dump at once, for a process that is about to exit."""
        parts: list[bytes] = []
        for step in self._steps(parts):
            step()
        return _join(parts)

    def _steps(self, parts: list[bytes]) -> Iterable[Callable[[], None]]:
        """Yield a step per source; each shares what is left with the later ones."""
        for index, source in enumerate(tuple(self._sources.values())):
            left = len(self._sources) - index
            used = sum(map(len, parts)) + 2 * len(self._sources) + 2
            share = max(0, self._size_max - used) // left
            yield lambda source=source, share=share: parts.append(
                self._part(source, share)
            )

    def _part(self, source: StateSource, size_max: int) -> bytes:
        key = msgspec.json.encode(source.name) + b":"
        try:
            value = source.state()
            entries = ENTRIES_MAX
            while entries:
                data = self._encode(key, value, entries, size_max)
                if data is not None:
                    return data
                entries //= 2
        except Exception as error:  # a faulty source must not hide the others
            log_event(STATE_SOURCE_FAILED, source=source.name, error=repr(error))
            return key + msgspec.json.encode({"error": type(error).__name__})
        return key + b'{"left_out":"all"}'

    def _encode(
        self, key: bytes, value: Any, entries: int, size_max: int
    ) -> bytes | None:
        """Return the encoded value with cut collections, or ``None`` if too long."""
        trimmer = _Trimmer(entries, size_max // BYTES_PER_NODE, self._secrets)
        try:
            data = key + msgspec.json.encode(trimmer.trim(value, DEPTH_MAX))
        except _TooLargeError:
            return None
        return data if len(data) <= size_max else None


class _TooLargeError(Exception):
    """The copy would hold too many values."""


class _Trimmer:
    """Copies a value, with at most `entries` entries per collection.

    The number of copied values is bounded as well, so that a dump of a large state
    needs little memory.
    """

    def __init__(self, entries: int, nodes_max: int, secrets: tuple[str, ...]):
        self._entries = entries
        self._nodes_left = nodes_max
        self._secrets = secrets

    def trim(self, value: Any, depth: int) -> Any:
        self._nodes_left -= 1
        if self._nodes_left < 0:
            raise _TooLargeError
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, str):
            return self._text(value)
        if isinstance(value, Enum):
            return self.trim(value.value, depth)
        if isinstance(value, bytes | bytearray | memoryview):
            return f"{len(value)} bytes"
        if depth == 0:
            return {"left_out": "deeper levels"}
        return self._collection(value, depth)

    def _collection(self, value: Any, depth: int) -> Any:
        if isinstance(value, msgspec.Struct):
            names = value.__struct_fields__
            return self._items(((n, getattr(value, n)) for n in names), depth)
        if isinstance(value, Mapping):
            kept = self._items(islice(value.items(), self._entries), depth)
            left_out = len(value) - self._entries
            return {**kept, "left_out": left_out} if left_out > 0 else kept
        if isinstance(value, Sequence | Set | deque):
            shown = islice(value, self._entries)
            items = [self.trim(item, depth - 1) for item in shown]
            left_out = len(value) - len(items)
            return [*items, {"left_out": left_out}] if left_out else items
        return self._text(repr(value))

    def _items(self, items: Iterable[tuple[Any, Any]], depth: int) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key, value in items:
            text = self._text(str(key.value if isinstance(key, Enum) else key))
            if text.lower() in _SECRET_KEYS and isinstance(value, str | bytes):
                result[text] = _HIDDEN
            else:
                result[text] = self.trim(value, depth - 1)
        return result

    def _text(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, _HIDDEN)
        left_out = len(text) - TEXT_CHARACTERS_MAX
        if left_out > 0:
            return f"{text[:TEXT_CHARACTERS_MAX]}... ({left_out} characters left out)"
        return text


def _join(parts: list[bytes]) -> bytes:
    return b"{" + b",".join(parts) + b"}"
