"""Tenants: who may call, how much each tenant may run, and in which order.

The package performs no I/O.
"""

from basilhold.tenants.registry import (
    NO_TENANT,
    Tenant,
    TenantName,
    TenantRegistry,
    digest_key,
)

__all__ = ["NO_TENANT", "Tenant", "TenantName", "TenantRegistry", "digest_key"]
