"""Port to upstreams, to which requests of callers are sent."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import UpstreamId

__all__ = [
    "ResponseHead",
    "ResponseSink",
    "SendError",
    "SendPhase",
    "UpstreamClient",
    "UpstreamRequest",
]


class UpstreamRequest(msgspec.Struct, frozen=True):
    """An HTTP request to one upstream.

    Parameters
    ----------
    upstream_id : UpstreamId
    host : str
    port : int
    method, path : str
    headers : tuple of (str, str)
    body : bytes
    timeout_ms : int
        Time until the deadline of the request, in milliseconds.
    """

    upstream_id: UpstreamId
    host: str
    port: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int


class ResponseHead(msgspec.Struct, frozen=True):
    """Status code and headers of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class SendPhase(Enum):
    """Phase in which a request failed.

    ``NOT_SENT`` guarantees that the upstream received no byte of the request.
    ``ANSWERING`` means that part of the response had been received.
    """

    NOT_SENT = "not-sent"
    SENT = "sent"
    ANSWERING = "answering"


class SendError(msgspec.Struct, frozen=True):
    """Failure of a request, for which no complete response was received.

    Parameters
    ----------
    phase : SendPhase
    reason : str
    timed_out : bool
        Whether the deadline of the request had passed.
    """

    phase: SendPhase
    reason: str
    timed_out: bool = False


class ResponseSink(ABC):
    """Receives a response as it arrives.

    Each call may block until the reader of the response can accept more data.
    """

    @abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Receive the status and headers. Called once, before `write`."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Receive part of the body. Returns once the reader can accept more."""


class UpstreamClient(ABC):
    """Sends requests to upstreams."""

    @abstractmethod
    async def send(
        self, request: UpstreamRequest, sink: ResponseSink
    ) -> Result[ResponseHead, SendError]:
        """Send a request and pass the response on to `sink`.

        Returns
        -------
        Result
            Status and headers, once the whole body has been received. A truncated body
            is an error of phase ``ANSWERING``.
        """
