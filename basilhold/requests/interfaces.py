"""Interfaces of the request path to the configuration and to other processes."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import (
    ClassName,
    ProcessId,
    RequestKey,
    TeamName,
    WorkClass,
    ZoneName,
)
from basilhold.requests.tokens import SlotGrant, SlotReport

__all__ = [
    "CallerDirectory",
    "ClassDirectory",
    "ExchangeError",
    "PeerError",
    "RequestPeers",
    "RequestProgress",
    "SlotExchange",
]


class ClassDirectory(ABC):
    """Looks up the classes of the configuration in force."""

    @abstractmethod
    def find(self, name: ClassName) -> WorkClass | None:
        """Return a class, or ``None`` if the configuration does not declare it."""


class CallerDirectory(ABC):
    """Authenticates callers by their tokens."""

    @abstractmethod
    def identify(self, token: str) -> TeamName | None:
        """Return the team that a token belongs to, or ``None`` if it is invalid."""


class ExchangeError(msgspec.Struct, frozen=True):
    """Failure of the exchange of a slot report with the owner of a shard."""

    reason: str


class SlotExchange(ABC):
    """Sends slot reports to the owners of shards."""

    @abstractmethod
    async def exchange(
        self, zone: ZoneName, report: SlotReport
    ) -> Result[SlotGrant, ExchangeError]:
        """Send a report to the owner of a zone's shard and return its reply.

        The owner replies at once if it has tokens to grant or to recall, and otherwise
        after at most `SlotReport.wait_ms`. A reply that arrives after this method has
        returned an error must be discarded.
        """


class RequestProgress(Enum):
    """State of a request with an idempotency key at the gateway that holds it.

    ``NOT_HELD`` means that the gateway neither runs the request nor knows its end.
    """

    NOT_HELD = "not-held"
    RUNNING = "running"
    FINISHED = "finished"


class PeerError(msgspec.Struct, frozen=True):
    """Failure of a query to another gateway."""

    reason: str


class RequestPeers(ABC):
    """Queries other gateways for the state of requests with idempotency keys."""

    @abstractmethod
    async def ask(
        self, holder: ProcessId, key: RequestKey, wait_ms: int
    ) -> Result[RequestProgress, PeerError]:
        """Return the state of a request at the gateway that holds it.

        The gateway waits up to `wait_ms` milliseconds for the end of the request
        before it replies.
        """
