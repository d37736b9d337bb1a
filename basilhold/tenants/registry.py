"""The tenants of one version of the configuration, and their API keys.

Keys are kept as digests only, so that neither a log nor a dump of the process's state
can contain one.
"""

import hashlib
from collections.abc import Iterable, Iterator
from typing import NewType

import msgspec

from basilhold.core import Resources

__all__ = [
    "NO_TENANT",
    "KeyDigest",
    "Tenant",
    "TenantName",
    "TenantRegistry",
    "digest_key",
]

TenantName = NewType("TenantName", str)
KeyDigest = NewType("KeyDigest", bytes)

NO_TENANT = TenantName("")
"""Tenant of workflows that were submitted without an API key."""

DIGEST_BYTES = 16


def digest_key(key: str) -> KeyDigest:
    """Return the digest under which an API key is looked up.

    Examples
    --------
    >>> digest_key("a secret") == digest_key("a secret")
    True
    >>> len(digest_key("a secret"))
    16
    """
    digest = hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES)
    return KeyDigest(digest.digest())


class Tenant(msgspec.Struct, frozen=True):
    """A customer that submits workflows with its own API keys.

    Parameters
    ----------
    name : TenantName
    weight : float
        Share of the tenant when there is more work than capacity, and the number of
        workflows per second that it may submit without losing its place in the queue.
    quota : Resources
        Resources that the tenant's runs may use at a time, in all services together.
        A component of 0 is not limited.
    """

    name: TenantName
    weight: float = 1.0
    quota: Resources = Resources()


class TenantRegistry:
    """Tenants by name and by API key.

    Parameters
    ----------
    tenants : iterable of (Tenant, iterable of KeyDigest)
        Each tenant with the digests of its keys.
    version : int
        Version of the configuration.

    Examples
    --------
    >>> tenant = Tenant(TenantName("north"))
    >>> registry = TenantRegistry([(tenant, [digest_key("a secret")])])
    >>> registry.find("a secret").name
    'north'
    >>> registry.find("another") is None
    True
    """

    def __init__(
        self,
        tenants: Iterable[tuple[Tenant, Iterable[KeyDigest]]] = (),
        version: int = 0,
    ):
        self.version = version
        self._by_name: dict[TenantName, Tenant] = {}
        self._by_key: dict[KeyDigest, Tenant] = {}
        for tenant, digests in tenants:
            self._by_name[tenant.name] = tenant
            for digest in digests:
                self._by_key[digest] = tenant

    def with_key_digests(self) -> Iterator[tuple[Tenant, tuple[KeyDigest, ...]]]:
        """Yield each tenant with the digests of its keys."""
        digests: dict[TenantName, list[KeyDigest]] = {n: [] for n in self._by_name}
        for digest, tenant in self._by_key.items():
            digests[tenant.name].append(digest)
        for name, tenant in self._by_name.items():
            yield tenant, tuple(digests[name])

    def __iter__(self) -> Iterator[Tenant]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key: str) -> Tenant | None:
        """Return the tenant that owns an API key, or ``None``."""
        return self._by_key.get(digest_key(key)) if key else None

    def get(self, name: TenantName) -> Tenant | None:
        """Return the tenant with a name, or ``None``."""
        return self._by_name.get(name)
