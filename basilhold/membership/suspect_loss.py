"""Plausibility check of VMs that disappear from the VM list."""

from collections import Counter
from collections.abc import Collection, Iterable

from basilhold.ports import VmRecord, VmState

__all__ = ["is_suspect_loss"]

SUSPECT_LOSS_RATIO = 1 / 3
"""Loss of a larger share of the VMs at once is suspect (design.md, section 7.3)."""

SUSPECT_LOSS_MIN = 3
"""Smallest number of lost VMs that can be suspect.

In a small group, even one VM is a large share.
"""


def is_suspect_loss(missing: Collection[VmRecord], known: Iterable[VmRecord]) -> bool:
    """Return whether the VM list lacks an implausibly large share of the known VMs.

    The share is computed over all VMs and for each kind, so that a list that lacks
    only the entry VMs is suspect as well. VMs that were leaving do not count as lost,
    unless all known VMs are missing.

    Parameters
    ----------
    missing : collection of VmRecord
        Known VMs that are absent from the list and not yet considered gone.
    known : iterable of VmRecord
        All VMs that are not yet considered gone, including the missing ones.
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
        lost_count >= SUSPECT_LOSS_MIN and lost_count > known_count * SUSPECT_LOSS_RATIO
        for lost_count, known_count in groups
    )
