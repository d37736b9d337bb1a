"""Circuit breaker, slow start and failure rate of one upstream."""

import random
from enum import Enum

import msgspec

__all__ = ["BreakerState", "HealthLimits", "UpstreamHealth"]


class BreakerState(Enum):
    """Whether an upstream receives requests."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class HealthLimits(msgspec.Struct, frozen=True):
    """When an upstream is avoided, and for how long.

    Parameters
    ----------
    failures_to_open : int
        Consecutive failures that open the breaker.
    failure_rate_to_open : float
        Failure rate, averaged over about `averaging_count` requests, that opens it.
    averaging_count : int
    open_ms_min, open_ms_max : int
        The delay before a probe doubles between these bounds, in milliseconds.
    slow_start_ms : int
        Time in which the weight grows to 1 after a successful probe, in milliseconds.
    """

    failures_to_open: int = 5
    failure_rate_to_open: float = 0.5
    averaging_count: int = 20
    open_ms_min: int = 1000
    open_ms_max: int = 30_000
    slow_start_ms: int = 10_000


class UpstreamHealth:
    """What one gateway has learnt from its own requests to an upstream.

    Parameters
    ----------
    limits : HealthLimits
    rng : random.Random
        Jitters the delay before a probe, so that gateways don't probe together.
    """

    def __init__(self, limits: HealthLimits, rng: random.Random):
        self._limits = limits
        self._rng = rng
        self.state = BreakerState.CLOSED
        self.failure_rate = 0.0
        self._consecutive = 0
        self._open_ms = float(limits.open_ms_min)
        self.open_until_ms = 0.0
        self._recovered_at_ms = float("-inf")

    def record_success(self, now_ms: float) -> None:
        """Record a request that the upstream answered properly."""
        self._average(0.0)
        self._consecutive = 0
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.CLOSED
            self.failure_rate = 0.0
            self._recovered_at_ms = now_ms

    def record_failure(self, now_ms: float) -> None:
        """Record a request that the upstream failed or did not answer."""
        self._average(1.0)
        self._consecutive += 1
        if self.state is BreakerState.PROBING:
            self._open_ms = min(self._open_ms * 2, self._limits.open_ms_max)
            self._open(now_ms)
        elif self.state is BreakerState.CLOSED and (
            self._consecutive >= self._limits.failures_to_open
            or self.failure_rate >= self._limits.failure_rate_to_open
        ):
            if now_ms - self._recovered_at_ms > self._limits.slow_start_ms:
                self._open_ms = float(self._limits.open_ms_min)
            else:
                self._open_ms = min(self._open_ms * 2, self._limits.open_ms_max)
            self._open(now_ms)

    def record_abandonment(self, now_ms: float) -> None:
        """Record a request whose caller left, which says nothing about the upstream."""
        if self.state is BreakerState.PROBING:
            self._open(now_ms)

    def weight(self, now_ms: float) -> float:
        """Return the share of its turns that the upstream takes, from 0 to 1."""
        if self.state is BreakerState.PROBING:
            return 0.0
        if self.state is BreakerState.OPEN:
            return 1.0 if now_ms >= self.open_until_ms else 0.0
        age_ms = now_ms - self._recovered_at_ms
        ramp = min(1.0, max(0.1, age_ms / self._limits.slow_start_ms))
        return ramp * (1.0 - self.failure_rate) ** 2

    def record_start(self) -> None:
        """Record that a request is sent; after an open breaker it is the probe."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.PROBING

    def _open(self, now_ms: float) -> None:
        self.state = BreakerState.OPEN
        self.open_until_ms = now_ms + self._open_ms * self._rng.uniform(0.75, 1.25)

    def _average(self, value: float) -> None:
        self.failure_rate += (value - self.failure_rate) / self._limits.averaging_count
