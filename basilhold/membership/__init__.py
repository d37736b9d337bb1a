"""Liveness of VMs, VM list filter, and election of the reader of a region."""

from basilhold.membership.list_filter import VmListFilter
from basilhold.membership.members import (
    GONE_AFTER_MS,
    Liveness,
    MemberChange,
    Membership,
    PeerReport,
)
from basilhold.membership.readers import (
    ReaderLocation,
    decode_reader,
    make_reader_claim,
    reader_key,
)
from basilhold.membership.suspect_loss import is_suspect_loss

__all__ = [
    "GONE_AFTER_MS",
    "Liveness",
    "MemberChange",
    "Membership",
    "PeerReport",
    "ReaderLocation",
    "VmListFilter",
    "decode_reader",
    "is_suspect_loss",
    "make_reader_claim",
    "reader_key",
]
