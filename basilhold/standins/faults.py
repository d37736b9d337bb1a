"""Faults of the store that tests switch on and off."""

import asyncio
import random
from collections import Counter
from enum import Enum

__all__ = ["StoreFaults", "StoreFate"]


class StoreFate(Enum):
    """What becomes of one operation."""

    DONE = "done"
    LOST_REQUEST = "lost-request"
    LOST_REPLY = "lost-reply"
    REFUSED = "refused"
    DELAYED = "delayed"


class StoreFaults:
    """Decides the latency and the fate of each operation of a store.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    latency_ms : float
        Time that each operation takes, half before and half after it is applied.
    timeout_ms : float
        Time after which a client gives up on a reply.
    down : bool
        Refuses every operation.
    lost_reply_ratio, lost_request_ratio, refused_ratio, delayed_ratio : float
        Shares of operations with that fate.
    delay_ms : float
        Time after which a delayed operation takes effect; its client has given up.
    counts : collections.Counter of StoreFate
        How many operations had each fate.
    """

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)
        self.latency_ms = 0.0
        self.timeout_ms = 1000.0
        self.down = False
        self.lost_reply_ratio = 0.0
        self.lost_request_ratio = 0.0
        self.refused_ratio = 0.0
        self.delayed_ratio = 0.0
        self.delay_ms = 3000.0
        self.counts: Counter[StoreFate] = Counter()

    def draw(self) -> StoreFate:
        """Return the fate of the next operation."""
        fate = self._draw()
        self.counts[fate] += 1
        return fate

    def _draw(self) -> StoreFate:
        if self.down:
            return StoreFate.REFUSED
        value = self._random.random()
        if value < self.lost_reply_ratio:
            return StoreFate.LOST_REPLY
        value -= self.lost_reply_ratio
        if value < self.lost_request_ratio:
            return StoreFate.LOST_REQUEST
        value -= self.lost_request_ratio
        if value < self.refused_ratio:
            return StoreFate.REFUSED
        value -= self.refused_ratio
        if value < self.delayed_ratio:
            return StoreFate.DELAYED
        return StoreFate.DONE

    async def travel(self) -> None:
        """Wait for half of the latency."""
        if self.latency_ms:
            await asyncio.sleep(self.latency_ms / 2000)

    async def wait_for_timeout(self) -> None:
        """Wait until the client gives up."""
        await asyncio.sleep(self.timeout_ms / 1000)
