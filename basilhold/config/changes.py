"""Changes of office documents and their outcomes."""

from enum import Enum

import msgspec

from basilhold.config.authority import Forbidden
from basilhold.config.differences import Difference
from basilhold.config.validation import Problem
from basilhold.core import OfficeDocument, OfficeName

__all__ = [
    "Certainty",
    "ChangeConflict",
    "ChangeError",
    "ChangeRequest",
    "ConfigVersion",
    "InvalidDocument",
    "MissingVersion",
    "StoreUnavailable",
    "StoredVersion",
    "WriteMark",
]


class ConfigVersion(msgspec.Struct, frozen=True):
    """A version of a document without its content."""

    office: OfficeName
    version: int
    author: str
    changed_unix_ms: int
    restored_version: int = 0


class StoredVersion(msgspec.Struct, frozen=True):
    """A version of a document."""

    info: ConfigVersion
    document: OfficeDocument


class ChangeRequest(msgspec.Struct, frozen=True):
    """A change that an operator asks for.

    Parameters
    ----------
    token_office : OfficeName
        Office that the operator's token speaks for.
    author : str
    base_version : int
        Version that the operator edited; 0 for the first document.
    document : OfficeDocument
    """

    token_office: OfficeName
    author: str
    base_version: int
    document: OfficeDocument


class WriteMark(msgspec.Struct, frozen=True):
    """How a change is recognised in the store.

    Parameters
    ----------
    write_id : str
        Random id of the write.
    restored_version : int
        Version whose content is repeated; 0 if the content is new.
    may_be_applied : bool
        Whether the change was sent to the store before without a reply.
    """

    write_id: str
    restored_version: int = 0
    may_be_applied: bool = False


class InvalidDocument(msgspec.Struct, frozen=True):
    """The document is not accepted; nothing was written."""

    problems: tuple[Problem, ...]


class ChangeConflict(msgspec.Struct, frozen=True):
    """Somebody else changed the document first; nothing was written.

    Parameters
    ----------
    current : StoredVersion or None
        What is stored now.
    changed_since_base : tuple of Difference
        From the version that the operator edited to the current one; empty if the
        base is no longer in the history.
    proposed : tuple of Difference
        From the current version to the proposed document.
    """

    current: StoredVersion | None
    changed_since_base: tuple[Difference, ...]
    proposed: tuple[Difference, ...]


class Certainty(Enum):
    """Whether a change may have taken effect."""

    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


class StoreUnavailable(msgspec.Struct, frozen=True):
    """The store did not do what was asked."""

    certainty: Certainty
    reason: str


class MissingVersion(msgspec.Struct, frozen=True):
    """The history does not hold the version."""

    office: OfficeName
    version: int


ChangeError = (
    Forbidden | InvalidDocument | ChangeConflict | StoreUnavailable | MissingVersion
)
