"""Counts the bytes of calls to the platform."""

from basilhold.accounting import HostLocator, Purpose, TrafficCounter
from basilhold.adapters import HttpTraffic, TrafficSink

__all__ = ["PlatformTraffic"]

_PURPOSES = {
    "/v1/table/": Purpose.STORE,
    "/v1/objects/": Purpose.OBJECTS,
    "/v1/vms": Purpose.VM_LIST,
    "/v1/workers/": Purpose.WORKERS,
}


class PlatformTraffic(TrafficSink):
    """Adds exchanges with the platform to a process's counter.

    Parameters
    ----------
    counter : TrafficCounter
    locator : HostLocator
    """

    def __init__(self, counter: TrafficCounter, locator: HostLocator):
        self._counter = counter
        self._locator = locator

    def count(self, traffic: HttpTraffic) -> None:
        """Add the bytes of one exchange."""
        purpose = next(
            (p for prefix, p in _PURPOSES.items() if traffic.path.startswith(prefix)),
            Purpose.OTHER,
        )
        distance = self._locator.distance(traffic.address.host)
        self._counter.add_http(purpose, distance, traffic.sent_bytes)
