"""Conversion of slot reports and grants to and from protobuf."""

from basilhold.core import (
    Epoch,
    ProcessId,
    RegionName,
    ServiceName,
    UpstreamId,
    VmId,
    ZoneName,
)
from basilhold.requests import (
    HeldToken,
    ServiceDemand,
    SlotGrant,
    SlotReport,
    SlotToken,
)
from basilhold.rpc import messages_pb2

__all__ = [
    "decode_grant",
    "decode_report",
    "encode_grant",
    "encode_report",
]


def encode_report(zone: ZoneName, report: SlotReport) -> messages_pb2.SlotReport:
    """Return the message for a report to the owner of a zone."""
    return messages_pb2.SlotReport(
        zone=zone,
        gateway_id=report.gateway_id,
        vm_id=report.vm_id,
        region=report.region,
        started_unix_ms=report.started_unix_ms,
        number=report.number,
        epoch=report.epoch,
        held=[_encode_held(held) for held in report.held],
        idle_count=report.idle_count,
        demand=[
            messages_pb2.ServiceDemand(service=demand.service, waiting=demand.waiting)
            for demand in report.demand
        ],
        wait_ms=report.wait_ms,
        leaving=report.leaving,
        leaving_upstream_ids=report.leaving_upstream_ids,
    )


def decode_report(message: messages_pb2.SlotReport) -> tuple[ZoneName, SlotReport]:
    """Return the zone and the report of a message."""
    report = SlotReport(
        gateway_id=ProcessId(message.gateway_id),
        vm_id=VmId(message.vm_id),
        region=RegionName(message.region),
        started_unix_ms=message.started_unix_ms,
        number=message.number,
        epoch=Epoch(message.epoch),
        held=tuple(_decode_held(held) for held in message.held),
        idle_count=message.idle_count,
        demand=tuple(
            ServiceDemand(ServiceName(demand.service), demand.waiting)
            for demand in message.demand
        ),
        wait_ms=message.wait_ms,
        leaving=message.leaving,
        leaving_upstream_ids=tuple(
            UpstreamId(upstream_id) for upstream_id in message.leaving_upstream_ids
        ),
    )
    return ZoneName(message.zone), report


def encode_grant(grant: SlotGrant) -> messages_pb2.SlotGrant:
    """Return the message for a grant."""
    return messages_pb2.SlotGrant(
        number=grant.number,
        epoch=grant.epoch,
        granted=[_encode_held(held) for held in grant.granted],
        recalled=[
            messages_pb2.SlotToken(upstream_id=token.upstream_id, slot=token.slot)
            for token in grant.recalled
        ],
        refused_epoch=grant.refused_epoch,
    )


def decode_grant(message: messages_pb2.SlotGrant) -> SlotGrant:
    """Return the grant of a message."""
    return SlotGrant(
        number=message.number,
        epoch=Epoch(message.epoch),
        granted=tuple(_decode_held(held) for held in message.granted),
        recalled=tuple(
            SlotToken(UpstreamId(token.upstream_id), token.slot)
            for token in message.recalled
        ),
        refused_epoch=message.refused_epoch,
    )


def _encode_held(held: HeldToken) -> messages_pb2.SlotToken:
    return messages_pb2.SlotToken(
        upstream_id=held.token.upstream_id,
        slot=held.token.slot,
        expires_unix_ms=held.expires_unix_ms,
    )


def _decode_held(message: messages_pb2.SlotToken) -> HeldToken:
    token = SlotToken(UpstreamId(message.upstream_id), message.slot)
    return HeldToken(token, message.expires_unix_ms)
