"""Which submissions of a tenant exceed the rate that is its due."""

import msgspec

from basilhold.tenants.registry import TenantName

__all__ = ["SubmissionRates"]

BURST_S = 1.0
"""Time for which a tenant's unused rate accumulates."""


class _Bucket(msgspec.Struct):
    tokens: float
    filled_ms: float


class SubmissionRates:
    """A token bucket for each tenant.

    Each tenant may submit as many workflows per second as its weight says. Those beyond
    are *surplus*: they wait behind the work that other tenants are owed.

    Examples
    --------
    >>> rates = SubmissionRates()
    >>> [rates.take(TenantName("north"), 2.0, 0.0) for _ in range(3)]
    [True, True, False]
    >>> rates.take(TenantName("north"), 2.0, 500.0)
    True
    """

    def __init__(self):
        self._buckets: dict[TenantName, _Bucket] = {}

    def take(self, tenant: TenantName, weight: float, submitted_ms: float) -> bool:
        """Count a submission; return whether it is within the tenant's rate.

        Parameters
        ----------
        tenant : TenantName
        weight : float
            Workflows per second.
        submitted_ms : float
            Time of the submission on the store's clock, in milliseconds. Submissions
            may be counted slightly out of order.
        """
        capacity = max(1.0, weight * BURST_S)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = _Bucket(capacity, submitted_ms)
        elapsed_ms = max(0.0, submitted_ms - bucket.filled_ms)
        bucket.tokens = min(capacity, bucket.tokens + elapsed_ms * weight / 1000)
        bucket.filled_ms = max(bucket.filled_ms, submitted_ms)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
