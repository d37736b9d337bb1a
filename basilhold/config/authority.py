"""Which office an operator may change."""

from enum import Enum

import msgspec
from expression import Error, Ok, Result

from basilhold.core import OfficeName

__all__ = ["Access", "Forbidden", "authorise"]


class Access(Enum):
    """What an operator wants to do with an office's document."""

    READ = "read"
    CHANGE = "change"


class Forbidden(msgspec.Struct, frozen=True):
    """An operator's token does not allow what was asked."""

    token_office: OfficeName
    office: OfficeName
    reason: str


def authorise(
    token_office: OfficeName, office: OfficeName, access: Access
) -> Result[None, Forbidden]:
    """Decide whether a token allows access to an office's document.

    Parameters
    ----------
    token_office : OfficeName
        Office that the operator's token speaks for.
    office : OfficeName
        Office that owns the document.
    access : Access

    Examples
    --------
    >>> authorise(OfficeName("oslo"), OfficeName("bergen"), Access.READ).is_ok()
    True
    >>> authorise(OfficeName("oslo"), OfficeName("bergen"), Access.CHANGE).error.reason
    "classes and teams of office 'bergen' are read-only to office 'oslo'"
    """
    if access is Access.READ or token_office == office:
        return Ok(None)
    reason = (
        f"classes and teams of office '{office}' are read-only "
        f"to office '{token_office}'"
    )
    return Error(Forbidden(token_office, office, reason))
