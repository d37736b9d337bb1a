"""Requests for parts of quotas to the owners of other services."""

from collections.abc import Callable

from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peers import PeerClient
from basilhold.workflows.quota_exchange import (
    QuotaExchange,
    QuotaReply,
    QuotaRequest,
)

__all__ = ["PeerQuotaExchange"]


class PeerQuotaExchange(QuotaExchange):
    """Calls an owner in this process directly, and others through a peer call.

    Parameters
    ----------
    ownership_manager : callable
        Returns the `OwnershipManager` of this process, which is created later.
    peers : PeerClient
    """

    def __init__(
        self, ownership_manager: Callable[[], OwnershipManager], peers: PeerClient
    ):
        self._ownership_manager = ownership_manager
        self._peers = peers

    async def request(self, request: QuotaRequest) -> QuotaReply:
        """Send a request to the owner of its `giver`."""
        manager = self._ownership_manager()
        local = manager.local_owner(request.giver)
        if local is not None:
            return await local.serve_quota(request)
        endpoint = manager.remote_owner_endpoint(request.giver)
        if not endpoint:
            return QuotaReply(False)
        return await self._peers.request_quota(endpoint, request)
