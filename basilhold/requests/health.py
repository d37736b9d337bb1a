"""Circuit breaker, slow start and failure rate of one upstream."""

import random
from enum import Enum

import msgspec

__all__ = ["BreakerState", "HealthLimits", "UpstreamHealth"]


class BreakerState(Enum):
    """State of an upstream's circuit breaker.

    A closed breaker lets requests pass. An open one blocks them for a delay, after
    which one request is sent as a probe; until that ends, the state is ``PROBING``.
    """

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class HealthLimits(msgspec.Struct, frozen=True):
    """Thresholds and delays of circuit breakers.

    Parameters
    ----------
    failures_to_open : int
        Consecutive failures that open the breaker.
    failure_rate_to_open : float
        Failure rate that opens the breaker, from 0 to 1.
    averaging_count : int
        Approximate number of requests over which the failure rate is averaged.
    open_ms_min, open_ms_max : int
        Bounds of the delay before a probe, in milliseconds. The delay doubles with
        each failed probe, and with each new opening during the slow start.
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
    """Health of an upstream, estimated by one gateway from its own requests.

    Times are those of a monotonic clock, in milliseconds.

    Parameters
    ----------
    limits : HealthLimits
    rng : random.Random
        Adds jitter to the delay before a probe, so that gateways do not send their
        probes at the same time.

    Attributes
    ----------
    state : BreakerState
    failure_rate : float
        Exponentially decaying mean of failures per request, from 0 to 1.
    open_until_ms : float
        Time at which an open breaker admits a probe.
    """

    def __init__(self, limits: HealthLimits, rng: random.Random):
        self._limits = limits
        self._rng = rng
        self.state = BreakerState.CLOSED
        self.failure_rate = 0.0
        self._consecutive_failures = 0
        self._open_delay_ms = float(limits.open_ms_min)
        self.open_until_ms = 0.0
        self._recovered_at_ms = float("-inf")

    def record_success(self, now_ms: float) -> None:
        """Record a request that the upstream answered successfully."""
        self._update_failure_rate(0.0)
        self._consecutive_failures = 0
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.CLOSED
            self.failure_rate = 0.0
            self._recovered_at_ms = now_ms

    def record_failure(self, now_ms: float) -> None:
        """Record a request that failed at the upstream or was not answered."""
        self._update_failure_rate(1.0)
        self._consecutive_failures += 1
        if self.state is BreakerState.PROBING:
            self._open_delay_ms = min(self._open_delay_ms * 2, self._limits.open_ms_max)
            self._open(now_ms)
        elif self.state is BreakerState.CLOSED and (
            self._consecutive_failures >= self._limits.failures_to_open
            or self.failure_rate >= self._limits.failure_rate_to_open
        ):
            if now_ms - self._recovered_at_ms > self._limits.slow_start_ms:
                self._open_delay_ms = float(self._limits.open_ms_min)
            else:
                self._open_delay_ms = min(
                    self._open_delay_ms * 2, self._limits.open_ms_max
                )
            self._open(now_ms)

    def record_abandonment(self, now_ms: float) -> None:
        """Record a request that its caller abandoned.

        It does not change the failure rate. If it was the probe, another one follows
        after the delay.
        """
        if self.state is BreakerState.PROBING:
            self._open(now_ms)

    def weight(self, now_ms: float) -> float:
        """Return the probability that the router accepts the upstream, from 0 to 1."""
        if self.state is BreakerState.PROBING:
            return 0.0
        if self.state is BreakerState.OPEN:
            return 1.0 if now_ms >= self.open_until_ms else 0.0
        age_ms = now_ms - self._recovered_at_ms
        ramp = min(1.0, max(0.1, age_ms / self._limits.slow_start_ms))
        return ramp * (1.0 - self.failure_rate) ** 2

    def record_start(self) -> None:
        """Record that a request is sent; if the breaker is open, it is the probe."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.PROBING

    def _open(self, now_ms: float) -> None:
        self.state = BreakerState.OPEN
        self.open_until_ms = now_ms + self._open_delay_ms * self._rng.uniform(
            0.75, 1.25
        )

    def _update_failure_rate(self, value: float) -> None:
        self.failure_rate += (value - self.failure_rate) / self._limits.averaging_count
