"""Rules for worker leases. Pure: the time is an argument.

A task that may run on a worker is committed elsewhere only when `is_free` holds for
the worker's lease, or when the worker itself confirmed that the task does not run.
"""

import msgspec

from basilhold.core import CLOCK_ERROR_MS

__all__ = [
    "WorkerLease",
    "fence",
    "grant",
    "inherit",
    "is_free",
    "mark_lost",
    "next_expiry",
]


class WorkerLease(msgspec.Struct, frozen=True):
    """What an owner knows about the lease of one worker.

    Parameters
    ----------
    inherited_until_unix_ms : int
        Latest expiry that an earlier owner may have granted.
    granted_until_unix_ms : int
        Latest expiry in any renewal that this owner sent, answered or not.
    fenced : bool
        The worker accepted this owner's epoch, so earlier owners' messages have no
        effect any more.
    """

    inherited_until_unix_ms: int = 0
    granted_until_unix_ms: int = 0
    fenced: bool = False


def inherit(horizon_unix_ms: int) -> WorkerLease:
    """Return the lease of a worker that a new owner has not reached yet."""
    return WorkerLease(inherited_until_unix_ms=horizon_unix_ms)


def next_expiry(now_unix_ms: int, lease_ms: int, horizon_unix_ms: int) -> int:
    """Return the expiry that an owner may grant now.

    `horizon_unix_ms` is the horizon that is known to be in the shard's row.
    """
    return min(now_unix_ms + lease_ms, horizon_unix_ms)


def grant(lease: WorkerLease, expires_unix_ms: int) -> WorkerLease:
    """Return the lease once a renewal with this expiry is about to be sent."""
    granted = max(lease.granted_until_unix_ms, expires_unix_ms)
    return msgspec.structs.replace(lease, granted_until_unix_ms=granted)


def fence(lease: WorkerLease, reported_expiry_unix_ms: int) -> WorkerLease:
    """Return the lease once the worker answered a report at this owner's epoch.

    The worker's own statement replaces what earlier owners may have granted, as no
    message of an older epoch can extend the lease any more.
    """
    if lease.fenced:
        return lease
    return WorkerLease(reported_expiry_unix_ms, lease.granted_until_unix_ms, True)


def mark_lost(lease: WorkerLease) -> WorkerLease:
    """Return the lease of a worker that an operator attests to be destroyed."""
    return WorkerLease(0, 0, lease.fenced)


def is_free(lease: WorkerLease, now_unix_ms: int) -> bool:
    """Return whether the worker cannot run anything under a lease any more.

    The expiry was set by one machine and is checked by another, so the clock error
    counts twice.
    """
    until_ms = max(lease.inherited_until_unix_ms, lease.granted_until_unix_ms)
    return now_unix_ms >= until_ms + 2 * CLOCK_ERROR_MS
