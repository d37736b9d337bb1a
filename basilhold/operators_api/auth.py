"""Operators' tokens."""

from collections.abc import Iterable

from basilhold.core import OfficeName
from basilhold.operators_api.backend import OperatorIdentity
from basilhold.settings import Operator, TokenDigests

__all__ = ["TokenTable"]

_SCHEME = "bearer "
_HEADER_CHARACTERS_MAX = 4200


class TokenTable:
    """Finds the operator that an ``Authorization`` header belongs to.

    Parameters
    ----------
    operators : iterable of Operator
    """

    def __init__(self, operators: Iterable[Operator]):
        self._digests = TokenDigests(operators)

    def identify(self, header: str) -> OperatorIdentity | None:
        """Return the operator, or ``None`` if the header holds no valid token."""
        if len(header) > _HEADER_CHARACTERS_MAX:
            return None
        if header[: len(_SCHEME)].lower() != _SCHEME:
            return None
        operator = self._digests.find(header[len(_SCHEME) :].strip())
        if operator is None:
            return None
        return OperatorIdentity(operator.name, OfficeName(operator.office))
