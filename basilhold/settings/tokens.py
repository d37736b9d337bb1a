"""Finds the bearer of a token in constant time."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Generic, TypeVar

from basilhold.settings.model import Caller, Operator

__all__ = ["TokenDigests"]

Bearer = TypeVar("Bearer", Operator, Caller)


class TokenDigests(Generic[Bearer]):
    """Tokens of operators or callers.

    Only digests are kept, so no token can appear in a dump of the process's state.

    Parameters
    ----------
    bearers : iterable of Operator or Caller
    """

    def __init__(self, bearers: Iterable[Bearer]):
        self._entries = tuple((_digest_of(bearer), bearer) for bearer in bearers)

    def find(self, token: str) -> Bearer | None:
        """Return the bearer of a token, or ``None`` if the token is wrong.

        Every entry is compared, each in constant time, so that the time taken tells
        nothing about the tokens.
        """
        given = token.encode("utf-8", "surrogateescape")
        digest = hashlib.sha256(given).digest()
        found = None
        for expected, bearer in self._entries:
            if hmac.compare_digest(expected, digest):
                found = bearer
        return found


def _digest_of(bearer: Operator | Caller) -> bytes:
    if bearer.token_sha256 is not None:
        return bytes.fromhex(bearer.token_sha256)
    return hashlib.sha256((bearer.token or "").encode()).digest()
