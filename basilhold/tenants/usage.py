"""Resources that the runs of each tenant use."""

from basilhold.core import Resources
from basilhold.tenants.registry import NO_TENANT, TenantName

__all__ = ["TenantUsage"]

_NOTHING = Resources()


class TenantUsage:
    """Resources in use by tenant, updated whenever a run is added or removed.

    A run counts from the decision to start it until it is certain that it has ended.

    Examples
    --------
    >>> usage = TenantUsage()
    >>> usage.add(TenantName("north"), Resources(500))
    >>> usage.used(TenantName("north")).cores_milli
    500
    """

    def __init__(self):
        self._used: dict[TenantName, Resources] = {}

    def add(self, tenant: TenantName, size: Resources) -> None:
        """Add a run of a tenant; one may also use nothing."""
        if tenant != NO_TENANT and size != _NOTHING:
            self._used[tenant] = self.used(tenant) + size

    def subtract(self, tenant: TenantName, size: Resources) -> None:
        """Remove a run of a tenant."""
        if tenant == NO_TENANT or size == _NOTHING:
            return
        remaining = self.used(tenant) - size
        if remaining == _NOTHING:
            del self._used[tenant]
        else:
            self._used[tenant] = remaining

    def used(self, tenant: TenantName) -> Resources:
        """Return the resources that a tenant's runs use."""
        return self._used.get(tenant, _NOTHING)

    def tenants(self) -> list[TenantName]:
        """Return the tenants that use anything."""
        return list(self._used)
