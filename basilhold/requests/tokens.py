"""Messages of the slot token protocol between gateways and owners of shards."""

import msgspec

from basilhold.core import Epoch, ProcessId, RegionName, ServiceName, UpstreamId, VmId

__all__ = [
    "CONNECTIONS_PER_TOKEN",
    "HeldToken",
    "ServiceDemand",
    "SlotGrant",
    "SlotReport",
    "SlotToken",
]

CONNECTIONS_PER_TOKEN = 8
"""An upstream's 64 connections divided by its 8 slots."""


class SlotToken(msgspec.Struct, frozen=True, gc=False):
    """The right to one request at a time on an upstream."""

    upstream_id: UpstreamId
    slot: int


class HeldToken(msgspec.Struct, frozen=True, gc=False):
    """A token and the end of its lease.

    Parameters
    ----------
    token : SlotToken
    expires_unix_ms : int
    """

    token: SlotToken
    expires_unix_ms: int


class ServiceDemand(msgspec.Struct, frozen=True):
    """Requests of a service that wait for a token."""

    service: ServiceName
    waiting: int


class SlotReport(msgspec.Struct, frozen=True):
    """What a gateway holds of one zone's upstreams.

    Parameters
    ----------
    gateway_id : ProcessId
        Unique for each start of a gateway.
    vm_id : VmId
    region : RegionName
    started_unix_ms : int
        When the process started. A report from an earlier process of the same VM is
        a delayed one.
    number : int
        Increases with each report to the same zone. An owner ignores a report whose
        number is not greater than the last: a delayed one could list too few tokens,
        and their second holder would break the slot limit.
    epoch : Epoch
        Highest epoch of the zone that the gateway has seen.
    held : tuple of HeldToken
        All tokens held; those not in use last.
    idle_count : int
    demand : tuple of ServiceDemand
    wait_ms : int
        How long the owner may keep the reply back if it has nothing to say.
    leaving : bool
        The gateway is stopping; it is granted nothing more.
    leaving_upstream_ids : tuple of UpstreamId
        Upstreams that have told the gateway that they are leaving.
    """

    gateway_id: ProcessId
    vm_id: VmId
    region: RegionName
    started_unix_ms: int
    number: int
    epoch: Epoch
    held: tuple[HeldToken, ...] = ()
    idle_count: int = 0
    demand: tuple[ServiceDemand, ...] = ()
    wait_ms: int = 0
    leaving: bool = False
    leaving_upstream_ids: tuple[UpstreamId, ...] = ()


class SlotGrant(msgspec.Struct, frozen=True):
    """Reply to a report.

    Parameters
    ----------
    number : int
        Number of the report.
    epoch : Epoch
    granted : tuple of HeldToken
        New tokens, and held tokens with a later expiry.
    recalled : tuple of SlotToken
        Tokens to give back as soon as they are idle.
    refused_epoch : bool
        The report named a higher epoch, so this owner has been replaced.
    """

    number: int
    epoch: Epoch
    granted: tuple[HeldToken, ...] = ()
    recalled: tuple[SlotToken, ...] = ()
    refused_epoch: bool = False
