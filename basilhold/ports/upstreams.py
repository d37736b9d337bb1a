"""Port through which requests are sent to upstreams."""

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
    """A request to one upstream.

    Parameters
    ----------
    upstream_id : UpstreamId
    host : str
    port : int
    method, path : str
    headers : tuple of (str, str)
    body : bytes
    timeout_ms : int
        Time left until the request's deadline, in milliseconds.
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
    """Status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class SendPhase(Enum):
    """How far a failed request got.

    After ``NOT_SENT`` it is certain that the upstream received no byte of it.
    """

    NOT_SENT = "not-sent"
    SENT = "sent"
    ANSWERING = "answering"


class SendError(msgspec.Struct, frozen=True):
    """A request without a whole answer."""

    phase: SendPhase
    reason: str
    timed_out: bool = False


class ResponseSink(ABC):
    """Receives an answer as it arrives; each call may wait for the reader."""

    @abstractmethod
    async def start(self, head: ResponseHead) -> None:
        """Receive status and headers, once and before any data."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Receive part of the body; returns when the reader can take more."""


class UpstreamClient(ABC):
    """Sends requests to upstreams."""

    @abstractmethod
    async def send(
        self, request: UpstreamRequest, sink: ResponseSink
    ) -> Result[ResponseHead, SendError]:
        """Send a request and pass the answer on.

        Returns
        -------
        Result
            The head once the whole body has arrived. A body that ends early is an
            error of phase ``ANSWERING``.
        """
