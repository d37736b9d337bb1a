"""Budget and delay of repeated attempts."""

import random

__all__ = ["RetryBudget"]

RETRY_RATIO_MAX = 0.1
"""Repeated attempts are at most this share of the requests (design section 9)."""

RETRY_BALANCE_MAX = 10.0
RETRY_DELAY_MS = 10.0


class RetryBudget:
    """Allows repeated attempts up to a tenth of the requests.

    Each request adds a tenth of an attempt to the balance, and each repeated attempt
    takes one away. The balance starts at 0, so the bound holds from the first request
    on, and is limited, so that a long quiet time does not pay for a burst.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._balance = 0.0
        self.request_count = 0
        self.retry_count = 0

    def count_request(self) -> None:
        """Count a first attempt."""
        self.request_count += 1
        self._balance = min(RETRY_BALANCE_MAX, self._balance + RETRY_RATIO_MAX)

    def try_consume(self) -> bool:
        """Take one repeated attempt from the budget, if it has one."""
        # The tolerance covers the rounding of ten additions of 0.1.
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        self.retry_count += 1
        return True

    def delay_ms(self, attempt: int) -> float:
        """Return the jittered delay before attempt number `attempt` (from 1)."""
        return self._rng.uniform(0.0, RETRY_DELAY_MS * 2 ** min(attempt, 5))
