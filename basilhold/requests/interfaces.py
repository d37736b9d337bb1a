"""What the request path needs from other processes."""

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
    """Classes that are in force."""

    @abstractmethod
    def find(self, name: ClassName) -> WorkClass | None:
        """Return a class, or ``None`` if no office declares it."""


class CallerDirectory(ABC):
    """Callers' tokens."""

    @abstractmethod
    def identify(self, token: str) -> TeamName | None:
        """Return the team that a token stands for, or ``None`` if it is wrong."""


class ExchangeError(msgspec.Struct, frozen=True):
    """The owner of a shard did not answer a slot report."""

    reason: str


class SlotExchange(ABC):
    """Sends slot reports to the owners of shards."""

    @abstractmethod
    async def exchange(
        self, zone: ZoneName, report: SlotReport
    ) -> Result[SlotGrant, ExchangeError]:
        """Send a report to the owner of a zone's shard.

        The owner answers at once if it has something to grant or to recall, and
        otherwise after at most `SlotReport.wait_ms`. A reply that arrives after this
        method has returned an error must be discarded.
        """


class RequestProgress(Enum):
    """State of a keyed request at its holder."""

    NOT_HELD = "not-held"
    RUNNING = "running"
    FINISHED = "finished"


class PeerError(msgspec.Struct, frozen=True):
    """Another gateway could not be asked."""

    reason: str


class RequestPeers(ABC):
    """Asks other gateways about keyed requests."""

    @abstractmethod
    async def ask(
        self, holder: ProcessId, key: RequestKey, wait_ms: int
    ) -> Result[RequestProgress, PeerError]:
        """Ask the holder of a request, which waits up to `wait_ms` for its end."""
