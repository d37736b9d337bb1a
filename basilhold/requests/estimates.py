"""Estimates of service times and waits."""

from basilhold.core import ClassName, ServiceName

__all__ = ["RateWindow", "ServiceTimes"]

AVERAGING_COUNT = 32
KNOWN_COUNT = 10
"""No request is refused on an estimate from fewer answers than this."""


class RateWindow:
    """Counts events of the current and the last second."""

    def __init__(self):
        self._second = 0
        self._current = 0
        self._last = 0

    def add(self, now_ms: float) -> None:
        """Count an event."""
        self._roll(now_ms)
        self._current += 1

    def per_second(self, now_ms: float) -> int:
        """Return the larger count of the two seconds."""
        self._roll(now_ms)
        return max(self._current, self._last)

    def _roll(self, now_ms: float) -> None:
        second = int(now_ms // 1000)
        if second != self._second:
            self._last = self._current if second == self._second + 1 else 0
            self._current = 0
            self._second = second


class ServiceTimes:
    """Decaying means of the time that upstreams take, by class and by service."""

    def __init__(self):
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(
        self, service: ServiceName, class_name: ClassName, duration_ms: float
    ) -> None:
        """Record the duration of an answered request, in milliseconds."""
        self._average(f"service/{service}", duration_ms)
        self._average(f"class/{service}/{class_name}", duration_ms)

    def class_ms(self, service: ServiceName, class_name: ClassName) -> float:
        """Return the mean of a class in milliseconds, or 0 while it is not known."""
        return self._mean(f"class/{service}/{class_name}")

    def service_ms(self, service: ServiceName) -> float:
        """Return the mean of a service in milliseconds, or 0 while it is not known."""
        return self._mean(f"service/{service}")

    def _mean(self, name: str) -> float:
        if self._counts.get(name, 0) < KNOWN_COUNT:
            return 0.0
        return self._means[name]

    def _average(self, name: str, value: float) -> None:
        count = self._counts.get(name, 0) + 1
        self._counts[name] = min(count, AVERAGING_COUNT)
        mean = self._means.get(name, 0.0)
        self._means[name] = mean + (value - mean) / min(count, AVERAGING_COUNT)
