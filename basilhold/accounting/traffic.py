"""Counts of bytes sent by a process, by purpose and network distance."""

from collections import Counter
from collections.abc import Mapping
from enum import Enum

import msgspec

from basilhold.core import RegionName, ZoneName

__all__ = [
    "ACK_BYTES",
    "CALL_OVERHEAD_BYTES",
    "HTTP_OVERHEAD_BYTES",
    "MESSAGE_OVERHEAD_BYTES",
    "Distance",
    "HostLocator",
    "Place",
    "Purpose",
    "TrafficCounter",
    "TrafficEntry",
]

_IP_TCP_BYTES = 52
"""IPv4 header (20 bytes) and TCP header with the timestamp option (32 bytes)."""

_TLS_RECORD_BYTES = 22
"""TLS 1.3 record header (5 bytes), content type (1) and authentication tag (16)."""

_HTTP2_FRAME_BYTES = 9

_GRPC_PREFIX_BYTES = 5

MESSAGE_OVERHEAD_BYTES = (
    _IP_TCP_BYTES + _TLS_RECORD_BYTES + _HTTP2_FRAME_BYTES + _GRPC_PREFIX_BYTES
)
"""Estimated protocol overhead of one protobuf message in a packet of its own."""

ACK_BYTES = _IP_TCP_BYTES
"""Size of the TCP acknowledgement that the receiver of a message sends.

This is an upper bound, as delayed acknowledgements are often part of data packets.
"""

CALL_OVERHEAD_BYTES = 100 + _HTTP2_FRAME_BYTES
"""Estimated size of the HEADERS frame of a call, sent in a packet with the message."""

HTTP_OVERHEAD_BYTES = 250 + _TLS_RECORD_BYTES + 2 * _IP_TCP_BYTES
"""Estimated overhead of one HTTP request or response.

It consists of the first line and headers, a TLS record, the packet headers and the
acknowledgement.
"""


class Distance(Enum):
    """Network distance between the sender and the receiver of a message."""

    SAME_ZONE = "same-zone"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


class Purpose(Enum):
    """Function of the system that a message belongs to."""

    RELAY = "relay"
    SLOTS = "slots"
    JOBS = "jobs"
    PROBE = "probe"
    HANDOVER = "handover"
    KEYED_REQUEST = "keyed-request"
    OPERATOR = "operator"
    STORE = "store"
    OBJECTS = "objects"
    VM_LIST = "vm-list"
    WORKERS = "workers"
    OTHER = "other"


class Place(msgspec.Struct, frozen=True):
    """Zone and region of a host."""

    zone: ZoneName
    region: RegionName


class HostLocator:
    """Determines the network distance from this process to a host.

    A host at an unknown place is taken to be in another region, so that the traffic
    on the paid link is never underestimated.

    Parameters
    ----------
    own : Place
        Place of this process.
    places : mapping of str to Place, optional
        Places of known hosts.
    """

    def __init__(self, own: Place, places: Mapping[str, Place] | None = None):
        self._own = own
        self._places = dict(places or {})

    def set_place(self, host: str, place: Place) -> None:
        """Set or replace the place of a host."""
        self._places[host] = place

    def distance(self, host: str) -> Distance:
        """Return the distance to a host, ``OTHER_REGION`` if its place is unknown."""
        place = self._places.get(host)
        if place is None or place.region != self._own.region:
            return Distance.OTHER_REGION
        if place.zone != self._own.zone:
            return Distance.SAME_REGION
        return Distance.SAME_ZONE


class TrafficEntry(msgspec.Struct, frozen=True):
    """Bytes and messages sent for one purpose over one distance.

    `payload_bytes` are exact and `overhead_bytes` are estimated.
    """

    purpose: Purpose
    distance: Distance
    payload_bytes: int
    overhead_bytes: int
    messages: int


class TrafficCounter:
    """Counter of the bytes and messages that one process sends.

    Payload is counted exactly. The overhead of frames, packets and acknowledgements
    is estimated with the constants of this module and counted separately.
    """

    def __init__(self):
        self._payload: Counter[tuple[Purpose, Distance]] = Counter()
        self._overhead: Counter[tuple[Purpose, Distance]] = Counter()
        self._messages: Counter[tuple[Purpose, Distance]] = Counter()

    def add_message(
        self, purpose: Purpose, distance: Distance, payload_bytes: int
    ) -> None:
        """Count one message sent on a call or stream."""
        key = (purpose, distance)
        self._payload[key] += payload_bytes
        self._overhead[key] += MESSAGE_OVERHEAD_BYTES
        self._messages[key] += 1

    def add_call(self, purpose: Purpose, distance: Distance) -> None:
        """Count the headers sent as the client or server of a call."""
        self._overhead[purpose, distance] += CALL_OVERHEAD_BYTES

    def add_acknowledgement(self, purpose: Purpose, distance: Distance) -> None:
        """Count the TCP acknowledgement sent for a received message."""
        self._overhead[purpose, distance] += ACK_BYTES

    def add_http(self, purpose: Purpose, distance: Distance, body_bytes: int) -> None:
        """Count one HTTP request or response."""
        key = (purpose, distance)
        self._payload[key] += body_bytes
        self._overhead[key] += HTTP_OVERHEAD_BYTES
        self._messages[key] += 1

    def snapshot(self) -> tuple[TrafficEntry, ...]:
        """Return the counts since the start, sorted by purpose and distance."""
        keys = sorted(
            self._overhead.keys() | self._payload.keys(),
            key=lambda key: (key[0].value, key[1].value),
        )
        return tuple(
            TrafficEntry(
                *key, self._payload[key], self._overhead[key], self._messages[key]
            )
            for key in keys
        )

    def total_bytes(
        self, distance: Distance | None = None, purpose: Purpose | None = None
    ) -> int:
        """Return the total bytes, optionally of one distance or purpose."""
        return sum(
            entry.payload_bytes + entry.overhead_bytes
            for entry in self.snapshot()
            if distance in (None, entry.distance) and purpose in (None, entry.purpose)
        )
