"""State that the owner of a shard keeps about gateways and its predecessor."""

import msgspec

from basilhold.core import ServiceName, VmId
from basilhold.requests.tokens import SlotReport, SlotToken

__all__ = ["GatewayState", "Takeover"]


class Takeover(msgspec.Struct, frozen=True):
    """What a new owner of a shard knows about the leases of its predecessor.

    Parameters
    ----------
    at_unix_ms : int
        Unix time at which the new owner's epoch was written, in milliseconds.
    predecessor_horizon_unix_ms : int
        Latest expiry that the predecessor can have granted, as Unix time in
        milliseconds.
    entry_vm_ids : frozenset of VmId
        VMs whose gateways may hold tokens of the predecessor.
    """

    at_unix_ms: int
    predecessor_horizon_unix_ms: int
    entry_vm_ids: frozenset[VmId]


class GatewayState:
    """State of a gateway according to its last report.

    Parameters
    ----------
    report : SlotReport
        First report of the gateway; identifies it.

    Attributes
    ----------
    number : int
        Number of the last report, 0 before the first one is applied.
    demand : dict of ServiceName to int
        Requests that wait for a token, less the tokens granted since the report.
    idle : list of SlotToken
        Tokens that the gateway holds and does not use.
    recalled : dict of SlotToken to None
        Tokens that the gateway is asked to return, in the order of the recalls.
    has_new_recalls : bool
        Whether tokens have been recalled since the last reply.
    replaced_at_unix_ms : int or None
        When a newer process on the same VM sent its first report, as Unix time in
        milliseconds; None while there is none.
    """

    def __init__(self, report: SlotReport):
        self.gateway_id = report.gateway_id
        self.vm_id = report.vm_id
        self.region = report.region
        self.started_unix_ms = report.started_unix_ms
        self.number = 0
        self.demand: dict[ServiceName, int] = {}
        self.idle: list[SlotToken] = []
        self.recalled: dict[SlotToken, None] = {}
        self.has_new_recalls = False
        self.replaced_at_unix_ms: int | None = None
