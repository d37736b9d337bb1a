"""Numbers of the workflows of a queue of which no task has started."""

import asyncio

import msgspec

from basilhold.core import Clock, ServiceName
from basilhold.workflows.model import QueueName
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peers import PeerClient

__all__ = ["QueueLengths"]

LENGTH_ELSEWHERE_MAX_AGE_MS = 1_000.0
"""Age up to which the number of a queue's workflows at other services is used again.
Callers may be told a length that is 2 s old."""


class _LengthElsewhere(msgspec.Struct, frozen=True):
    """Unstarted workflows of a queue at all services but one.

    Parameters
    ----------
    service : ServiceName
        The one that is left out.
    asked_ms : float
        Monotonic time at which the owners were asked, in milliseconds.
    length : int
    """

    service: ServiceName
    asked_ms: float
    length: int

    def is_usable(self, service: ServiceName, now_ms: float) -> bool:
        """Return whether the length is recent, and leaves out the given service."""
        is_recent = now_ms - self.asked_ms < LENGTH_ELSEWHERE_MAX_AGE_MS
        return is_recent and self.service == service


class QueueLengths:
    """Asks the owners of services how many workflows of a queue wait there.

    Workflows that were submitted before a queue was sent to its present service wait
    at the former one.

    Parameters
    ----------
    ownership_manager : OwnershipManager
    peers : PeerClient
    clock : Clock
    """

    def __init__(
        self, ownership_manager: OwnershipManager, peers: PeerClient, clock: Clock
    ):
        self._ownership_manager = ownership_manager
        self._peers = peers
        self._clock = clock
        self._elsewhere: dict[QueueName, _LengthElsewhere] = {}

    async def total(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return the number of a queue's unstarted workflows at all services.

        Parameters
        ----------
        service : ServiceName
            Present service of the queue.
        queue : QueueName

        Returns
        -------
        int or None
            ``None`` if the owner of the present service does not answer.
        """
        length, elsewhere = await asyncio.gather(
            self._length_at(service, queue), self._length_elsewhere(service, queue)
        )
        return None if length is None else length + elsewhere

    def local(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return the number at a service, or ``None`` if this process is no owner."""
        owner = self._ownership_manager.local_owner(service)
        if owner is None or not owner.is_current():
            return None
        return owner.unstarted_count(queue)

    async def _length_at(self, service: ServiceName, queue: QueueName) -> int | None:
        length = self.local(service, queue)
        if length is not None:
            return length
        endpoint = self._ownership_manager.remote_owner_endpoint(service)
        if not endpoint:
            return None
        return await self._peers.queue_length(endpoint, service, queue)

    async def _length_elsewhere(self, service: ServiceName, queue: QueueName) -> int:
        """Return the number at other services, of whose owners any may be silent.

        They are asked at most every `LENGTH_ELSEWHERE_MAX_AGE_MS`.
        """
        now_ms = self._clock.monotonic_ms()
        known = self._elsewhere.get(queue)
        if known is not None and known.is_usable(service, now_ms):
            return known.length
        others = self._ownership_manager.known_services()
        lengths = await asyncio.gather(
            *(self._length_at(other, queue) for other in others if other != service)
        )
        length = sum(count or 0 for count in lengths)
        self._elsewhere[queue] = _LengthElsewhere(service, now_ms, length)
        return length
