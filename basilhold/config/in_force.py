"""Configuration that is in force in one process."""

from collections.abc import Callable, Iterator
from enum import Enum

import msgspec

from basilhold.core import (
    ClassName,
    InvariantError,
    OfficeDocument,
    OfficeName,
    Team,
    TeamName,
    WorkClass,
)

__all__ = ["CURRENT_AGE_MAX_MS", "ConfigInForce", "Currency", "InForceVersion"]

CURRENT_AGE_MAX_MS = 4000
"""Oldest confirmation with which a process is current (guarantee G8)."""


class Currency(Enum):
    """How much a process knows about its configuration being the newest.

    ``UNCONFIRMED`` means that it was never confirmed since the process started;
    such a process is not ready. ``STALE`` means that it was confirmed once; such a
    process continues to serve.
    """

    CURRENT = "current"
    STALE = "stale"
    UNCONFIRMED = "unconfirmed"


class InForceVersion(msgspec.Struct, frozen=True):
    """A document in force."""

    version: int
    document: OfficeDocument


class ConfigInForce:
    """The documents that a process applies.

    A document is applied only if its version is greater than the one in force, so
    late and repeated messages never revert the configuration.
    """

    def __init__(self):
        self._in_force: dict[OfficeName, InForceVersion] = {}
        self._classes: dict[ClassName, WorkClass] = {}
        self._teams: dict[TeamName, Team] = {}
        self._confirmed_at_ms: float | None = None
        self._listeners: list[Callable[[OfficeName, InForceVersion], None]] = []
        self.ignored_count = 0

    def apply(self, version: int, document: OfficeDocument) -> bool:
        """Put a document in force if it is newer than the present one.

        Returns
        -------
        bool
            Whether it was applied.

        Raises
        ------
        InvariantError
            If the version in force has another content, because an accepted version
            never changes.
        """
        present = self._in_force.get(document.office)
        if present is not None and version <= present.version:
            if version == present.version and document != present.document:
                raise InvariantError(
                    f"two contents of version {version} of office {document.office}"
                )
            self.ignored_count += 1
            return False
        applied = InForceVersion(version, document)
        self._in_force[document.office] = applied
        self._rebuild()
        for listener in self._listeners:
            listener(document.office, applied)
        return True

    def confirm(self, confirmed_at_ms: float) -> None:
        """Note that the documents were the newest at a time of the loop's clock."""
        if self._confirmed_at_ms is None or confirmed_at_ms > self._confirmed_at_ms:
            self._confirmed_at_ms = confirmed_at_ms

    def currency(self, now_ms: float) -> Currency:
        """Return what is known about the documents being the newest."""
        if self._confirmed_at_ms is None:
            return Currency.UNCONFIRMED
        if now_ms - self._confirmed_at_ms > CURRENT_AGE_MAX_MS:
            return Currency.STALE
        return Currency.CURRENT

    def is_current(self, now_ms: float) -> bool:
        """Whether the documents were confirmed within the last 4 s."""
        return self.currency(now_ms) is Currency.CURRENT

    @property
    def is_ready(self) -> bool:
        """Whether the process may serve: it was confirmed since it started."""
        return self._confirmed_at_ms is not None

    def confirmed_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the last confirmation, or None if there was none."""
        if self._confirmed_at_ms is None:
            return None
        return now_ms - self._confirmed_at_ms

    def version(self, office: OfficeName) -> int:
        """Return the version in force of an office's document; 0 if none."""
        present = self._in_force.get(office)
        return present.version if present else 0

    def versions(self) -> dict[OfficeName, int]:
        """Return the versions in force."""
        return {office: entry.version for office, entry in self._in_force.items()}

    def document(self, office: OfficeName) -> InForceVersion | None:
        """Return the document in force of an office."""
        return self._in_force.get(office)

    def work_class(self, name: ClassName) -> WorkClass | None:
        """Return a class by its name."""
        return self._classes.get(name)

    def team(self, name: TeamName) -> Team | None:
        """Return a team by its name."""
        return self._teams.get(name)

    def classes(self) -> Iterator[WorkClass]:
        """Iterate over the classes of all offices."""
        return iter(self._classes.values())

    def teams(self) -> Iterator[Team]:
        """Iterate over the teams of all offices."""
        return iter(self._teams.values())

    def listen(self, listener: Callable[[OfficeName, InForceVersion], None]) -> None:
        """Call a function after each document that is applied."""
        self._listeners.append(listener)

    def _rebuild(self) -> None:
        documents = [entry.document for entry in self._in_force.values()]
        self._classes = {c.name: c for d in documents for c in d.classes}
        self._teams = {t.name: t for d in documents for t in d.teams}
