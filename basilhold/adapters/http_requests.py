"""Requests to an HTTP server as far as they have arrived, and their refusals."""

import json
from abc import ABC, abstractmethod
from http import HTTPStatus

import msgspec
from tornado.httputil import HTTPHeaders

__all__ = [
    "HeadCheck",
    "IncomingRequest",
    "Refusal",
    "RequestHead",
    "encode_refusal",
]

REQUEST_BYTES = 2_048
HEADER_BYTES = 200
"""Memory of a request, and of a header field beyond its characters: Python objects."""

BODY_STEP_BYTES = 8_192
"""A body is charged in steps, so that small pieces do not ask the account each time."""


class RequestHead(msgspec.Struct):
    """Head of a request.

    Parameters
    ----------
    method, target : str
    headers : HTTPHeaders
    """

    method: str
    target: str
    headers: HTTPHeaders

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The host that the client called; empty if it does not tell."""
        return self.headers.get("Host", "")


class Refusal(msgspec.Struct, frozen=True):
    """A reply without reading the request to its end."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...] = ()


class HeadCheck(ABC):
    """Decides on requests whose bodies have not arrived yet."""

    @abstractmethod
    async def check(self, head: RequestHead) -> Refusal | None:
        """Return how to refuse a request, or ``None`` to read its body."""


class IncomingRequest:
    """A request as far as it has arrived."""

    __slots__ = (
        "body",
        "head",
        "head_bytes",
        "headers",
        "is_checked",
        "is_complete",
        "keep_alive",
        "pieces",
        "target",
        "version",
        "wire_bytes",
    )

    def __init__(self):
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.head: RequestHead | None = None
        self.version = "HTTP/1.1"
        self.keep_alive = True
        self.body = bytearray()
        self.is_complete = False
        self.is_checked = False
        self.pieces = 0
        self.wire_bytes = 0

    def declared_bytes(self) -> int:
        """Return the length of the body as the head tells; 0 if it does not."""
        length = self.head.headers.get("Content-Length", "0")
        return int(length) if length.isdecimal() else 0

    def held_bytes(self) -> int:
        """Return the memory that the request takes; twice its body once complete.

        A complete body is copied for its handler, which decodes it.
        """
        head_bytes = self.head_bytes
        if self.head is None:
            # The parser keeps a header field to itself until it ends.
            head_bytes = max(head_bytes, self.wire_bytes)
        held = REQUEST_BYTES + 2 * head_bytes + HEADER_BYTES * len(self.headers)
        if self.is_complete:
            return held + 2 * len(self.body)
        steps = -(-len(self.body) // BODY_STEP_BYTES)
        return held + steps * BODY_STEP_BYTES * 9 // 8


def encode_refusal(refusal: Refusal) -> bytes:
    """Return a reply after which the connection closes."""
    body = json.dumps({"error": refusal.reason}).encode()
    lines = [
        f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}",
        "Content-Type: application/json; charset=UTF-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in refusal.headers),
    ]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
