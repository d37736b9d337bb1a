"""Numbers of the workflows of a queue of which no task has started."""

import asyncio

import msgspec

from basilhold.core import Clock, ServiceName
from basilhold.workflows.model import QueueName
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peers import PeerClient

__all__ = ["QueueLengths"]

LENGTH_REUSE_MS = 1_000.0
"""Age up to which the number of a queue's workflows at another service is used again
without asking its owner."""

LENGTH_MAX_AGE_MS = 2_000.0
"""Age up to which that number may be used while the owner does not answer. Callers may
be told a length that is 2 s old."""


class _Reading(msgspec.Struct, frozen=True):
    """Unstarted workflows of a queue at one service.

    Parameters
    ----------
    asked_ms : float
        Monotonic time at which the owner was asked, in milliseconds.
    length : int
    """

    asked_ms: float
    length: int


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
        self._readings: dict[QueueName, dict[ServiceName, _Reading]] = {}

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
            ``None`` if the owner of one of them does not answer.
        """
        length, elsewhere = await asyncio.gather(
            self._length_at(service, queue), self._length_elsewhere(service, queue)
        )
        if length is None or elsewhere is None:
            return None
        return length + elsewhere

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

    async def _length_elsewhere(
        self, service: ServiceName, queue: QueueName
    ) -> int | None:
        """Return the number at other services, or ``None`` if one is unknown.

        Each owner is asked at most every `LENGTH_REUSE_MS`.
        """
        others = [
            other
            for other in self._ownership_manager.known_services()
            if other != service
        ]
        readings = self._readings.setdefault(queue, {})
        for former in readings.keys() - set(others):
            del readings[former]
        await asyncio.gather(
            *(self._refresh(readings, other, queue) for other in others)
        )
        oldest_ms = self._clock.monotonic_ms() - LENGTH_MAX_AGE_MS
        total = 0
        for other in others:
            reading = readings.get(other)
            if reading is None or reading.asked_ms < oldest_ms:
                return None
            total += reading.length
        return total

    async def _refresh(
        self,
        readings: dict[ServiceName, _Reading],
        service: ServiceName,
        queue: QueueName,
    ) -> None:
        """Ask the owner of a service, unless its number was read a moment ago."""
        now_ms = self._clock.monotonic_ms()
        reading = readings.get(service)
        if reading is not None and now_ms - reading.asked_ms < LENGTH_REUSE_MS:
            return
        if self._ownership_manager.is_unowned(service):
            # Nothing has been scheduled there yet.
            readings[service] = _Reading(now_ms, 0)
            return
        length = await self._length_at(service, queue)
        if length is not None:
            readings[service] = _Reading(now_ms, length)
