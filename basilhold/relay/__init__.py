"""Streams of configuration, VM list and shard directory within a region."""

from basilhold.relay.acknowledgements import AckBoard, AckSummary, Lagging, covered_name
from basilhold.relay.documents import DocumentCopy, pack_document, unpack_document
from basilhold.relay.relay import Relay, RelaySettings
from basilhold.relay.reports import ProcessIdentity
from basilhold.relay.state import RelayState, ShardLocation
from basilhold.relay.store_reader import ReaderSettings, StoreReader
from basilhold.relay.subscription import RegionSubscription

__all__ = [
    "AckBoard",
    "AckSummary",
    "DocumentCopy",
    "Lagging",
    "ProcessIdentity",
    "ReaderSettings",
    "RegionSubscription",
    "Relay",
    "RelaySettings",
    "RelayState",
    "ShardLocation",
    "StoreReader",
    "covered_name",
    "pack_document",
    "unpack_document",
]
