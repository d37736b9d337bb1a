"""When the loss of VMs in the list is not believed."""

from collections import Counter
from collections.abc import Collection, Iterable

from basilhold.ports import VmRecord, VmState

__all__ = ["is_suspect_loss"]

DOUBT_RATIO = 1 / 3
"""Loss of a larger share of the VMs at once is doubted (section 7.3)."""

LOSS_MIN = 3
"""Fewer lost VMs are believed; in a small group even one is a large share."""


def is_suspect_loss(missing: Collection[VmRecord], known: Iterable[VmRecord]) -> bool:
    """Whether a list that lacks some of the known VMs is doubted.

    The share is taken of all VMs and of each kind, so that a list that lacks only
    the entry VMs is doubted as well. VMs that were leaving are expected to go.

    Parameters
    ----------
    missing : collection of VmRecord
        Known VMs that are absent from the list and not yet gone.
    known : iterable of VmRecord
        All VMs that are not yet gone, the missing ones included.
    """
    known = list(known)
    if missing and len(missing) == len(known):
        return True
    known_by_kind = Counter(record.kind for record in known)
    lost = [record for record in missing if record.state is VmState.LIVE]
    lost_by_kind = Counter(record.kind for record in lost)
    groups = [(len(lost), len(known))]
    groups += [(count, known_by_kind[kind]) for kind, count in lost_by_kind.items()]
    return any(
        lost_count >= LOSS_MIN and lost_count > known_count * DOUBT_RATIO
        for lost_count, known_count in groups
    )
