"""Messages with which the owners of services pass parts of quotas to each other."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.core import ServiceName
from basilhold.tenants import Parts, TenantName, TenantRequest, UseReport

__all__ = ["NoQuotaExchange", "QuotaExchange", "QuotaReply", "QuotaRequest"]


class QuotaRequest(msgspec.Struct, frozen=True):
    """Request of one service to another one for parts of quotas.

    Parameters
    ----------
    giver, receiver : ServiceName
    tenants : dict of TenantName to TenantRequest
    all_tenants : bool
        Whether the reply should name everything that was ever given.
    use : UseReport, optional
        Use of the tenants in the service that asks, where capacity is divided by
        shares. Earlier versions neither send nor read it; the same holds for a reply.
    """

    giver: ServiceName
    receiver: ServiceName
    tenants: dict[TenantName, TenantRequest]
    all_tenants: bool = False
    use: UseReport | None = None


class QuotaReply(msgspec.Struct, frozen=True):
    """Reply of a service's owner.

    Parameters
    ----------
    current : bool
        Whether the process owns the service and knows its allotments.
    sent : dict of TenantName to Parts
        Stored counters of everything that was ever given to the service that asks.
    use : UseReport, optional
        Use of the tenants in the service that replies.
    """

    current: bool
    sent: dict[TenantName, Parts] = {}
    use: UseReport | None = None


class QuotaExchange(ABC):
    """Calls the owners of other services, in this process or another one."""

    @abstractmethod
    async def request(self, request: QuotaRequest) -> QuotaReply:
        """Send a request to the owner of its `giver`."""


class NoQuotaExchange(QuotaExchange):
    """For an owner that is the only one."""

    async def request(self, request: QuotaRequest) -> QuotaReply:
        """Return that there is no such owner."""
        return QuotaReply(False)
