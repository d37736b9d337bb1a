"""Benchmark of the lookup of API keys: ``python -m basilhold.benchmarks.tenants``.

A call is checked before anything else is done for it, so the lookup must not grow with
the number of tenants.
"""

import sys
import time

from basilhold.tenants import Tenant, TenantName, TenantRegistry, digest_key

__all__ = ["main", "measure_lookup_us"]

KEYS_PER_TENANT = 2
LOOKUPS = 50_000
FEW_TENANTS, MANY_TENANTS = 20, 10_000

LOOKUP_US_MAX = 20.0
"""A tenth of the processor time of one HTTP request, in microseconds."""

GROWTH_MAX = 2.0
"""Most by which a lookup may take longer with many tenants, for cache misses."""


def measure_lookup_us(tenant_count: int) -> float:
    """Return the mean time of one lookup, in microseconds.

    Parameters
    ----------
    tenant_count : int
        Number of tenants. Every second lookup is of an unknown key.
    """
    keys = [f"key-{number:08x}" for number in range(tenant_count * KEYS_PER_TENANT)]
    registry = TenantRegistry(
        (
            Tenant(TenantName(f"t{number}")),
            [digest_key(k) for k in keys[number::tenant_count]],
        )
        for number in range(tenant_count)
    )
    asked = [
        keys[number * 7 % len(keys)] if number % 2 else f"unknown-{number}"
        for number in range(LOOKUPS)
    ]
    begin_s = time.perf_counter()
    found = sum(registry.find(key) is not None for key in asked)
    took_s = time.perf_counter() - begin_s
    if found != LOOKUPS // 2:
        raise RuntimeError(f"{found} of {LOOKUPS // 2} keys were found")
    return took_s / LOOKUPS * 1e6


def main() -> int:
    """Print the figures beside their bounds; return 1 if one is missed."""
    few_us = min(measure_lookup_us(FEW_TENANTS) for _ in range(3))
    many_us = min(measure_lookup_us(MANY_TENANTS) for _ in range(3))
    growth = many_us / few_us
    print(f"lookup with {FEW_TENANTS} tenants: {few_us:.2f} us")
    print(f"lookup with {MANY_TENANTS} tenants: {many_us:.2f} us (<= {LOOKUP_US_MAX})")
    print(f"growth: {growth:.2f} (<= {GROWTH_MAX})")
    return int(many_us > LOOKUP_US_MAX or growth > GROWTH_MAX)


if __name__ == "__main__":
    sys.exit(main())
