"""Operators' tokens."""

import hashlib
import hmac
from collections.abc import Iterable

from basilhold.core import OfficeName
from basilhold.operators_api.backend import OperatorIdentity
from basilhold.settings import Operator

__all__ = ["TokenTable"]

_SCHEME = "bearer "
_HEADER_CHARACTERS_MAX = 4200


class TokenTable:
    """Finds the operator that an ``Authorization`` header belongs to.

    Only digests are kept, so no token can appear in a dump of the process's state.

    Parameters
    ----------
    operators : iterable of Operator
    """

    def __init__(self, operators: Iterable[Operator]):
        self._entries = tuple(
            (
                _digest_of(operator),
                OperatorIdentity(operator.name, OfficeName(operator.office)),
            )
            for operator in operators
        )

    def identify(self, header: str) -> OperatorIdentity | None:
        """Return the operator, or ``None`` if the header holds no valid token.

        Every entry is compared, each in constant time, so that the time taken tells
        nothing about the tokens.
        """
        if len(header) > _HEADER_CHARACTERS_MAX:
            return None
        if header[: len(_SCHEME)].lower() != _SCHEME:
            return None
        token = header[len(_SCHEME) :].strip().encode("utf-8", "surrogateescape")
        digest = hashlib.sha256(token).digest()
        found = None
        for expected, identity in self._entries:
            if hmac.compare_digest(expected, digest):
                found = identity
        return found


def _digest_of(operator: Operator) -> bytes:
    if operator.token_sha256 is not None:
        return bytes.fromhex(operator.token_sha256)
    return hashlib.sha256((operator.token or "").encode()).digest()
