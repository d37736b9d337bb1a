"""What an owner knows about gateways and about its predecessor."""

import msgspec

from basilhold.core import ServiceName, VmId
from basilhold.requests.tokens import SlotReport, SlotToken

__all__ = ["GatewayState", "Takeover"]


class Takeover(msgspec.Struct, frozen=True):
    """What a successor knows about its predecessor.

    Parameters
    ----------
    at_unix_ms : int
        When the successor's epoch was written.
    predecessor_horizon_unix_ms : int
        Latest expiry that the predecessor can have granted.
    entry_vm_ids : frozenset of VmId
        VMs whose gateways may hold tokens.
    """

    at_unix_ms: int
    predecessor_horizon_unix_ms: int
    entry_vm_ids: frozenset[VmId]


class GatewayState:
    """A gateway as an owner knows it from its last report."""

    def __init__(self, report: SlotReport):
        self.gateway_id = report.gateway_id
        self.vm_id = report.vm_id
        self.region = report.region
        self.started_unix_ms = report.started_unix_ms
        self.number = 0
        self.demand: dict[ServiceName, int] = {}
        self.idle: list[SlotToken] = []
        self.recalled: dict[SlotToken, None] = {}
        self.has_recall_news = False
        self.dead_since_unix_ms: int | None = None
