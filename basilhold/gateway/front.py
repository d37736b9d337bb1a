"""What the HTTP handlers share, and the callers' tokens."""

import hmac
from collections.abc import Callable, Mapping

import msgspec

from basilhold.core import InvariantError, TeamName
from basilhold.gateway.service import RequestService
from basilhold.requests import CallerDirectory

__all__ = ["FrontEnd", "StaticCallers"]


class StaticCallers(CallerDirectory):
    """Callers' tokens from the settings.

    Parameters
    ----------
    teams : mapping of str to TeamName
        Team of each token.
    """

    def __init__(self, teams: Mapping[str, TeamName]):
        self._teams = [(token.encode(), team) for token, team in teams.items()]

    def identify(self, token: str) -> TeamName | None:
        """Return the team of a token; the time taken does not depend on the token."""
        given = token.encode("utf-8", "surrogateescape")
        found = None
        for known, team in self._teams:
            if hmac.compare_digest(known, given):
                found = team
        return found


class FrontEnd(msgspec.Struct):
    """What the handlers share.

    Parameters
    ----------
    service : RequestService
    callers : CallerDirectory
    is_ready : callable
        Whether the load balancer may send callers here.
    on_invariant_error : callable
        Stops the process after an `InvariantError`.
    body_bytes_max : int
        Largest body of one request, in bytes.
    buffered_body_bytes_max : int
        Sum of the bodies in memory, in bytes.
    body_timeout_ms : int
        Time that a sender has for the body, in milliseconds.
    """

    service: RequestService
    callers: CallerDirectory
    is_ready: Callable[[], bool] = lambda: True
    on_invariant_error: Callable[[InvariantError], None] = lambda error: None
    body_bytes_max: int = 1 << 20
    buffered_body_bytes_max: int = 8 << 20
    body_timeout_ms: int = 10_000
    buffered_body_bytes: int = 0
