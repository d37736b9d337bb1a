"""State shared by the HTTP handlers, and authentication of callers."""

import hmac
from collections.abc import Callable, Mapping

import msgspec

from basilhold.core import InvariantError, TeamName
from basilhold.gateway.service import RequestService
from basilhold.requests import CallerDirectory

__all__ = ["FrontEnd", "StaticCallers"]


class StaticCallers(CallerDirectory):
    """Identifies callers by tokens that do not change at run time.

    Parameters
    ----------
    teams : mapping of str to TeamName
        Team of each token.
    """

    def __init__(self, teams: Mapping[str, TeamName]):
        self._teams = [(token.encode(), team) for token, team in teams.items()]

    def identify(self, token: str) -> TeamName | None:
        """Return the team of a token, or ``None`` if the token is unknown.

        Every token is compared, in constant time, so that the duration reveals nothing
        about the valid ones.
        """
        token_bytes = token.encode("utf-8", "surrogateescape")
        matched_team = None
        for known_token, team in self._teams:
            if hmac.compare_digest(known_token, token_bytes):
                matched_team = team
        return matched_team


class FrontEnd(msgspec.Struct):
    """State and limits shared by the HTTP handlers.

    Parameters
    ----------
    service : RequestService
    callers : CallerDirectory
    is_ready : callable
        Returns whether the load balancer may send requests to this gateway.
    on_invariant_error : callable
        Called with an `InvariantError` that a request has raised; stops the process.
    body_bytes_max : int
        Maximum size of the body of one request, in bytes.
    buffered_body_bytes_max : int
        Maximum total size of the request bodies in memory, in bytes.
    body_timeout_ms : int
        Time in which the body of a request has to arrive, in milliseconds.
    buffered_body_bytes : int
        Current total size of the request bodies in memory, in bytes.
    """

    service: RequestService
    callers: CallerDirectory
    is_ready: Callable[[], bool] = lambda: True
    on_invariant_error: Callable[[InvariantError], None] = lambda error: None
    body_bytes_max: int = 1 << 20
    buffered_body_bytes_max: int = 8 << 20
    body_timeout_ms: int = 10_000
    buffered_body_bytes: int = 0
