"""Estimates of event rates and service times."""

from basilhold.core import ClassName, ServiceName

__all__ = ["RateWindow", "ServiceTimes"]

AVERAGING_COUNT = 32
"""The newest answer has at least the weight 1 / `AVERAGING_COUNT` in a mean."""

SAMPLE_COUNT_MIN = 10
"""No request is rejected on an estimate from fewer answers than this."""


class RateWindow:
    """Counts the events of the current and the previous second."""

    def __init__(self):
        self._second = 0
        self._current = 0
        self._last = 0

    def add(self, now_ms: float) -> None:
        """Count an event.

        Parameters
        ----------
        now_ms : float
            Time of a monotonic clock, in milliseconds.
        """
        self._roll(now_ms)
        self._current += 1

    def per_second(self, now_ms: float) -> int:
        """Return the larger of the two counts, in events per second."""
        self._roll(now_ms)
        return max(self._current, self._last)

    def _roll(self, now_ms: float) -> None:
        second = int(now_ms // 1000)
        if second != self._second:
            self._last = self._current if second == self._second + 1 else 0
            self._current = 0
            self._second = second


class ServiceTimes:
    """Exponentially decaying means of service times, by class and by service.

    A service time is the time that an upstream takes to answer a request.
    """

    def __init__(self):
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(
        self, service: ServiceName, class_name: ClassName, duration_ms: float
    ) -> None:
        """Record the service time of an answered request, in milliseconds."""
        self._update_mean(f"service/{service}", duration_ms)
        self._update_mean(f"class/{service}/{class_name}", duration_ms)

    def class_ms(self, service: ServiceName, class_name: ClassName) -> float:
        """Return the mean of a class in milliseconds, or 0 with too few answers."""
        return self._mean(f"class/{service}/{class_name}")

    def service_ms(self, service: ServiceName) -> float:
        """Return the mean of a service in milliseconds, or 0 with too few answers."""
        return self._mean(f"service/{service}")

    def _mean(self, name: str) -> float:
        if self._counts.get(name, 0) < SAMPLE_COUNT_MIN:
            return 0.0
        return self._means[name]

    def _update_mean(self, name: str, value: float) -> None:
        count = self._counts.get(name, 0) + 1
        self._counts[name] = min(count, AVERAGING_COUNT)
        mean = self._means.get(name, 0.0)
        self._means[name] = mean + (value - mean) / min(count, AVERAGING_COUNT)
