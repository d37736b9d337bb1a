"""Office documents: validation, changes, history, versions in force."""

from basilhold.config.authority import Access, Forbidden, authorise
from basilhold.config.differences import Difference, find_differences
from basilhold.config.documents import (
    HISTORY_LENGTH,
    DocumentHead,
    StoredDocument,
    decode_document,
    decode_head,
    decode_stored,
    encode_document,
    head_key,
    history_key,
)
from basilhold.config.in_force import (
    CURRENT_AGE_MAX_MS,
    ConfigInForce,
    Currency,
    InForceVersion,
)
from basilhold.config.store import (
    Certainty,
    ChangeConflict,
    ChangeError,
    ChangeRequest,
    ConfigStore,
    ConfigVersion,
    InvalidDocument,
    MissingVersion,
    StoredVersion,
    StoreUnavailable,
)
from basilhold.config.validation import Problem, ProblemKind, check_document

__all__ = [
    "CURRENT_AGE_MAX_MS",
    "HISTORY_LENGTH",
    "Access",
    "Certainty",
    "ChangeConflict",
    "ChangeError",
    "ChangeRequest",
    "ConfigInForce",
    "ConfigStore",
    "ConfigVersion",
    "Currency",
    "Difference",
    "DocumentHead",
    "Forbidden",
    "InForceVersion",
    "InvalidDocument",
    "MissingVersion",
    "Problem",
    "ProblemKind",
    "StoreUnavailable",
    "StoredDocument",
    "StoredVersion",
    "authorise",
    "check_document",
    "decode_document",
    "decode_head",
    "decode_stored",
    "encode_document",
    "find_differences",
    "head_key",
    "history_key",
]
