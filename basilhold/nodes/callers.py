"""Callers of the settings."""

from collections.abc import Iterable

from basilhold.core import TeamName
from basilhold.requests import CallerDirectory
from basilhold.settings import Caller, TokenDigests

__all__ = ["ConfiguredCallers"]


class ConfiguredCallers(CallerDirectory):
    """Finds the team of a caller's token.

    Parameters
    ----------
    callers : iterable of Caller
    """

    def __init__(self, callers: Iterable[Caller]):
        self._digests = TokenDigests(callers)

    def identify(self, token: str) -> TeamName | None:
        """Return the team that a token stands for, or ``None`` if it is wrong."""
        caller = self._digests.find(token)
        return TeamName(caller.team) if caller else None
