"""Lookup of queues by host and path prefix, without I/O."""

import msgspec

from basilhold.core import ServiceName
from basilhold.tenants import Tenant, TenantRegistry
from basilhold.workflows.model import QueuePolicy

__all__ = ["QueueRoute", "QueueTable"]


class QueueRoute(msgspec.Struct, frozen=True):
    """Host and path prefix at which workflows of a queue are submitted.

    Parameters
    ----------
    host, path_prefix : str
    policy : QueuePolicy
    public : bool
        Whether callers need no API key.
    """

    host: str
    path_prefix: str
    policy: QueuePolicy
    public: bool = False


class QueueTable:
    """Queues, services and tenants of one version of the configuration.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : tuple of QueueRoute
        Routes of all queues.
    body_bytes_max : int
        Maximum size of a submitted body, in bytes.
    services : tuple of ServiceName
        All services.
    tenants : TenantRegistry, optional
        ``None`` if the deployment has no tenants; callers then need no API keys.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[QueueRoute, ...],
        body_bytes_max: int,
        services: tuple[ServiceName, ...],
        tenants: TenantRegistry | None = None,
    ):
        self.version = version
        self.routes = routes
        self.body_bytes_max = body_bytes_max
        self.services = services
        self.tenants = tenants
        self._by_host: dict[str, list[QueueRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> QueueRoute | None:
        """Return the route of a host with the longest matching path prefix.

        Host names are compared without their port and regardless of case. Returns
        ``None`` if no route matches.

        Examples
        --------
        >>> policy = QueuePolicy("q", "s")
        >>> table = QueueTable(1, (QueueRoute("h", "/a/", policy),), 100, ())
        >>> table.find("H:80", "/a/1").policy.name
        'q'
        >>> table.find("h", "/b/1") is None
        True
        """
        host_name = host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
        for route in self._by_host.get(host_name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def admits(self, route: QueueRoute, tenant: Tenant | None) -> bool:
        """Return whether a route may be called by a tenant.

        Parameters
        ----------
        route : QueueRoute
        tenant : Tenant, optional
            Tenant that owns the caller's API key; ``None`` if no tenant does.
        """
        return self.tenants is None or route.public or tenant is not None
