"""Differences between two documents, for operators."""

from typing import Any

import msgspec

from basilhold.core import OfficeDocument

__all__ = ["Difference", "find_differences"]


class Difference(msgspec.Struct, frozen=True):
    """A part of a document that differs between two versions.

    Parameters
    ----------
    path : str
        For example ``classes/oslo.intake/wait_target_ms``.
    old, new : str or None
        JSON of the part; None if it is absent.
    """

    path: str
    old: str | None
    new: str | None


def find_differences(
    old: OfficeDocument | None, new: OfficeDocument | None
) -> tuple[Difference, ...]:
    """Return the parts that differ, in the order of their paths.

    Parameters
    ----------
    old, new : OfficeDocument or None
        None stands for a document that does not exist.
    """
    old_parts, new_parts = _parts(old), _parts(new)
    paths = sorted(old_parts.keys() | new_parts.keys())
    return tuple(
        Difference(path, old_parts.get(path), new_parts.get(path))
        for path in paths
        if old_parts.get(path) != new_parts.get(path)
    )


def _parts(document: OfficeDocument | None) -> dict[str, str]:
    if document is None:
        return {}
    parts: dict[str, str] = {}
    for group in ("classes", "teams"):
        for entry in getattr(document, group):
            # Fields with their default value are listed too, so that a change to the
            # default shows as a change and not as a removal.
            for field in entry.__struct_fields__:
                parts[f"{group}/{entry.name}/{field}"] = _json(getattr(entry, field))
    return parts


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
