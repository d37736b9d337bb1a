"""Dumps of the state of a process as JSON, limited in size."""

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
"""Largest number of entries of a collection in a dump."""

DEPTH_MAX = 16
"""Largest nesting depth of values in a dump."""

TEXT_CHARACTERS_MAX = 4_096
"""Length to which strings are truncated, in characters."""

BYTES_PER_NODE = 8
"""Assumed minimum of the average encoded size of a value, in bytes.

Limits how many values are copied for a dump of a given size.
"""

SECRETS_CHARACTERS_MIN = 8
"""Length of the shortest secrets that are hidden, in characters."""

_REDACTED = "<hidden>"
_SECRET_KEYS = frozenset(
    {"token", "token_sha256", "authorization", "password", "secret", "private_key"}
)


class StateSource(ABC):
    """A component whose state is included in state dumps."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Key of the component in the dump; unique in a process."""

    @abstractmethod
    def state(self) -> Any:
        """Return the state as structs, mappings, sequences, sets and scalar values.

        The value is encoded immediately and not modified, so that large collections
        need not be copied.
        """


class StateDump:
    """Creates dumps of the state of a process as JSON.

    Collections that are too large are truncated. A truncated list ends with an object
    whose ``"left_out"`` is the number of omitted entries; a truncated object contains
    ``"left_out"`` itself.

    Parameters
    ----------
    size_max : int
        Size limit of a dump, in bytes.
    secrets : iterable of str
        Strings that are hidden wherever they occur, such as tokens of operators.
        Strings of fewer than `SECRETS_CHARACTERS_MIN` characters are ignored.
    """

    def __init__(self, size_max: int = 1 << 20, secrets: Iterable[str] = ()):
        self._size_max = size_max
        self._secrets = tuple(
            secret for secret in secrets if len(secret) >= SECRETS_CHARACTERS_MIN
        )
        self._sources: dict[str, StateSource] = {}

    def add_source(self, source: StateSource) -> None:
        """Add a source.

        Raises
        ------
        ValueError
            If another source has the same name.
        """
        if source.name in self._sources:
            raise ValueError(f"state source {source.name} was already added")
        self._sources[source.name] = source

    async def dump(self) -> bytes:
        """Return a dump; other asyncio tasks run between the sources."""
        encoded_sources: list[bytes] = []
        for step in self._source_steps(encoded_sources):
            step()
            await asyncio.sleep(0)
        return _join(encoded_sources)

    def dump_sync(self) -> bytes:
        """Return a dump synchronously, for a process that is about to exit."""
        encoded_sources: list[bytes] = []
        for step in self._source_steps(encoded_sources):
            step()
        return _join(encoded_sources)

    def _source_steps(
        self, encoded_sources: list[bytes]
    ) -> Iterable[Callable[[], None]]:
        """Yield one function per source that encodes it.

        The remaining size is divided evenly among the remaining sources.
        """
        for index, source in enumerate(tuple(self._sources.values())):
            remaining_count = len(self._sources) - index
            used = sum(map(len, encoded_sources)) + 2 * len(self._sources) + 2
            share = max(0, self._size_max - used) // remaining_count
            yield lambda source=source, share=share: encoded_sources.append(
                self._encode_source(source, share)
            )

    def _encode_source(self, source: StateSource, size_max: int) -> bytes:
        key = msgspec.json.encode(source.name) + b":"
        try:
            value = source.state()
            entries = ENTRIES_MAX
            while entries:
                data = self._encode(key, value, entries, size_max)
                if data is not None:
                    return data
                entries //= 2
        except Exception as error:  # other sources must still be dumped
            log_event(STATE_SOURCE_FAILED, source=source.name, error=repr(error))
            return key + msgspec.json.encode({"error": type(error).__name__})
        return key + b'{"left_out":"all"}'

    def _encode(
        self, key: bytes, value: Any, entries: int, size_max: int
    ) -> bytes | None:
        """Return the truncated, encoded value, or ``None`` if it is too large."""
        truncator = _Truncator(entries, size_max // BYTES_PER_NODE, self._secrets)
        try:
            data = key + msgspec.json.encode(truncator.truncate(value, DEPTH_MAX))
        except _TooLargeError:
            return None
        return data if len(data) <= size_max else None


class _TooLargeError(Exception):
    """Raised when the copy would contain too many values."""


class _Truncator:
    """Copies a value, with at most `entries` entries per collection.

    The total number of copied values is limited as well, so that a dump of a large
    state needs little memory.
    """

    def __init__(self, entries: int, nodes_max: int, secrets: tuple[str, ...]):
        self._entries = entries
        self._nodes_left = nodes_max
        self._secrets = secrets

    def truncate(self, value: Any, depth: int) -> Any:
        self._nodes_left -= 1
        if self._nodes_left < 0:
            raise _TooLargeError
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, str):
            return self._truncate_text(value)
        if isinstance(value, Enum):
            return self.truncate(value.value, depth)
        if isinstance(value, bytes | bytearray | memoryview):
            return f"{len(value)} bytes"
        if depth == 0:
            return {"left_out": "deeper levels"}
        return self._truncate_collection(value, depth)

    def _truncate_collection(self, value: Any, depth: int) -> Any:
        if isinstance(value, msgspec.Struct):
            names = value.__struct_fields__
            return self._truncate_items(((n, getattr(value, n)) for n in names), depth)
        if isinstance(value, Mapping):
            kept = self._truncate_items(islice(value.items(), self._entries), depth)
            left_out = len(value) - self._entries
            return {**kept, "left_out": left_out} if left_out > 0 else kept
        if isinstance(value, Sequence | Set | deque):
            shown = islice(value, self._entries)
            items = [self.truncate(item, depth - 1) for item in shown]
            left_out = len(value) - len(items)
            return [*items, {"left_out": left_out}] if left_out else items
        return self._truncate_text(repr(value))

    def _truncate_items(
        self, items: Iterable[tuple[Any, Any]], depth: int
    ) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key, value in items:
            text = self._truncate_text(str(key.value if isinstance(key, Enum) else key))
            if text.lower() in _SECRET_KEYS and isinstance(value, str | bytes):
                result[text] = _REDACTED
            else:
                result[text] = self.truncate(value, depth - 1)
        return result

    def _truncate_text(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, _REDACTED)
        left_out = len(text) - TEXT_CHARACTERS_MAX
        if left_out > 0:
            return f"{text[:TEXT_CHARACTERS_MAX]}... ({left_out} characters left out)"
        return text


def _join(encoded_sources: list[bytes]) -> bytes:
    return b"{" + b",".join(encoded_sources) + b"}"
