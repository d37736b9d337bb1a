"""VM list filter, liveness, leaving state, region reader election."""

from basilhold.membership.doubt import is_doubtful_loss
from basilhold.membership.list_guard import ListGuard
from basilhold.membership.members import (
    GONE_AFTER_MS,
    Liveness,
    MemberChange,
    Membership,
    PeerReport,
)
from basilhold.membership.readers import (
    ReaderLocation,
    claim_reader,
    decode_reader,
    reader_key,
)

__all__ = [
    "GONE_AFTER_MS",
    "ListGuard",
    "Liveness",
    "MemberChange",
    "Membership",
    "PeerReport",
    "ReaderLocation",
    "claim_reader",
    "decode_reader",
    "is_doubtful_loss",
    "reader_key",
]
