"""Chooses the peer from which a process follows the configuration.

If each process read a large document from the store, the replies would fill the link
between regions. Within a region, a process therefore follows a peer that ranks before
it, and only processes without such a peer follow the store. The module performs no I/O.
"""

from collections.abc import Callable

import xxhash

from basilhold.core import Clock
from basilhold.workflows.peers import Member

__all__ = ["SKIP_STALLED_MS", "RelayChooser"]

SKIP_LOST_MS = 30_000.0
SKIP_STALLED_MS = 2_000.0
"""How long a peer is left out after it did not reply, and after it replied without news
for too long. A lost process stays listed for 25 s."""


class RelayChooser:
    """Chooses the peer to follow, or none to follow the store.

    Ranks of the same members are equal in all processes, so that processes never follow
    each other in a circle.

    Parameters
    ----------
    members : callable
        Returns the live members, this process first.
    clock : Clock
        Clock of this process.
    """

    def __init__(self, members: Callable[[], list[Member]], clock: Clock):
        self._members = members
        self._clock = clock
        self._skip_until_ms: dict[str, float] = {}

    def choose(self) -> str:
        """Return the endpoint of the peer to follow; empty for the store."""
        return self._candidates()[0].endpoint if self.rank() else ""

    def peers(self) -> list[str]:
        """Return the endpoints of all peers in the own region in order of rank."""
        return [member.endpoint for member in self._ranked_peers()]

    def rank(self) -> int:
        """Return how many peers rank before this process and are not left out."""
        own = _rank(self._members()[0])
        return sum(_rank(member) < own for member in self._candidates())

    def _candidates(self) -> list[Member]:
        """Return the peers that are not left out, in order of rank."""
        now_ms = self._clock.monotonic_ms()
        return [
            member
            for member in self._ranked_peers()
            if self._skip_until_ms.get(member.endpoint, 0.0) <= now_ms
        ]

    def _ranked_peers(self) -> list[Member]:
        own, *others = self._members()
        return sorted((m for m in others if m.region == own.region), key=_rank)

    def skip(self, endpoint: str, duration_ms: float = SKIP_LOST_MS) -> None:
        """Leave a peer out of the choice for a time, in milliseconds."""
        now_ms = self._clock.monotonic_ms()
        self._skip_until_ms = {
            skipped: until_ms
            for skipped, until_ms in self._skip_until_ms.items()
            if until_ms > now_ms
        }
        self._skip_until_ms[endpoint] = now_ms + duration_ms

    def reset(self) -> None:
        """Choose among all peers again."""
        self._skip_until_ms.clear()


def _rank(member: Member) -> tuple[bool, int, str]:
    """Return the rank of a member; lower ones are followed by higher ones.

    A process knows only some members. A hash spreads the first ranks over all of them,
    so that each sample is likely to contain one.
    """
    process_id = member.process_id
    return not member.wide_link, xxhash.xxh32_intdigest(process_id.encode()), process_id
