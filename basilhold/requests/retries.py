"""Budget and backoff of retries."""

import random

__all__ = ["RetryBudget"]

RETRY_RATIO_MAX = 0.1
"""Maximum ratio of retries to requests (design section 9)."""

RETRY_BALANCE_MAX = 10.0
"""Maximum number of retries that the budget accumulates."""

RETRY_DELAY_MS = 10.0


class RetryBudget:
    """Limits retries to a tenth of the requests.

    Each request adds a tenth of a retry to the balance, and each retry subtracts one.
    The balance starts at 0, so that the limit holds from the first request on. It is
    bounded, so that a long time without failures does not permit a burst of retries.

    Parameters
    ----------
    rng : random.Random
        Adds jitter to the delays.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._balance = 0.0
        self.request_count = 0
        self.retry_count = 0

    def count_request(self) -> None:
        """Count the first attempt of a request."""
        self.request_count += 1
        self._balance = min(RETRY_BALANCE_MAX, self._balance + RETRY_RATIO_MAX)

    def try_consume(self) -> bool:
        """Subtract one retry from the balance, or return False if it is too low."""
        # The tolerance covers the rounding of ten additions of 0.1.
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        self.retry_count += 1
        return True

    def delay_ms(self, attempt: int) -> float:
        """Return the delay in milliseconds before retry number `attempt` (from 1).

        The delay is random; its upper bound doubles with each retry up to the fifth.
        """
        return self._rng.uniform(0.0, RETRY_DELAY_MS * 2 ** min(attempt, 5))
