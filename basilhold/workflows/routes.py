"""Queues by host and path prefix. Pure."""

import msgspec

from basilhold.core import ServiceName
from basilhold.workflows.model import QueuePolicy

__all__ = ["QueueRoute", "QueueTable"]


class QueueRoute(msgspec.Struct, frozen=True):
    """Where a queue's workflows are submitted."""

    host: str
    path_prefix: str
    policy: QueuePolicy


class QueueTable:
    """One version of the queues.

    Parameters
    ----------
    version : int
    routes : tuple of QueueRoute
    body_bytes_max : int
    services : tuple of ServiceName
    """

    def __init__(
        self,
        version: int,
        routes: tuple[QueueRoute, ...],
        body_bytes_max: int,
        services: tuple[ServiceName, ...],
    ):
        self.version = version
        self.body_bytes_max = body_bytes_max
        self.services = services
        self._by_host: dict[str, list[QueueRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> QueueRoute | None:
        """Return the route with the longest prefix of a path.

        Examples
        --------
        >>> policy = QueuePolicy("q", "s")
        >>> table = QueueTable(1, (QueueRoute("h", "/a/", policy),), 100, ())
        >>> table.find("H:80", "/a/1").policy.name
        'q'
        >>> table.find("h", "/b/1") is None
        True
        """
        name = host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
