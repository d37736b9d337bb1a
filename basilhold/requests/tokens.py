"""Messages that gateways and owners of shards exchange about slot tokens."""

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
    """Permission to run one request at a time on an upstream.

    Parameters
    ----------
    upstream_id : UpstreamId
    slot : int
        Index of the upstream's slot, from 0.
    """

    upstream_id: UpstreamId
    slot: int


class HeldToken(msgspec.Struct, frozen=True, gc=False):
    """A slot token and the end of its lease.

    Parameters
    ----------
    token : SlotToken
    expires_unix_ms : int
        Unix time in milliseconds.
    """

    token: SlotToken
    expires_unix_ms: int


class ServiceDemand(msgspec.Struct, frozen=True):
    """Number of requests of a service that wait for a token."""

    service: ServiceName
    waiting: int


class SlotReport(msgspec.Struct, frozen=True):
    """Report of a gateway's tokens and demand to the owner of a zone's shard.

    Parameters
    ----------
    gateway_id : ProcessId
        Unique for each start of a gateway.
    vm_id : VmId
    region : RegionName
    started_unix_ms : int
        Start of the process as Unix time in milliseconds. A report from an earlier
        process on the same VM is a delayed one and is ignored.
    number : int
        Increases with each report for the same zone. An owner ignores a report whose
        number is not greater than the last one: a delayed report could list too few
        tokens, and granting the missing ones again would exceed the upstream's slots.
    epoch : Epoch
        Highest epoch of the zone that the gateway has seen.
    held : tuple of HeldToken
        All tokens held; those not in use are last.
    idle_count : int
        Number of the tokens that are not in use.
    demand : tuple of ServiceDemand
        Requests that wait for a token.
    wait_ms : int
        How long the owner may delay a reply without tokens, in milliseconds.
    leaving : bool
        Whether the gateway is stopping; it is then granted no further tokens.
    leaving_upstream_ids : tuple of UpstreamId
        Upstreams that have announced to the gateway that they are leaving.
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
    """Reply of the owner of a shard to a report.

    Parameters
    ----------
    number : int
        Number of the report that is answered.
    epoch : Epoch
        Epoch of the owner.
    granted : tuple of HeldToken
        New tokens, and held tokens with a later expiry.
    recalled : tuple of SlotToken
        Tokens to return as soon as they are idle.
    refused_epoch : bool
        Whether the report named a higher epoch, so that this owner has been replaced.
    """

    number: int
    epoch: Epoch
    granted: tuple[HeldToken, ...] = ()
    recalled: tuple[SlotToken, ...] = ()
    refused_epoch: bool = False
