"""Queue of one service's requests, ordered by waited time relative to the target."""

from collections import Counter, deque
from collections.abc import Iterator

import msgspec

from basilhold.core import ClassName, ServiceName, TeamName
from basilhold.requests.model import ProblemKind

__all__ = ["QueueLimits", "QueuedRequest", "RequestQueue"]

RATIO_BEFORE_QUOTAS = 4.0
"""Relative lateness from which a team's share no longer matters (design 7.6)."""

STANDING_TARGETS = 4.0
STANDING_MS = 2000.0
"""A class whose queue was not empty for this long has a standing queue.

A shorter queue is a burst that will drain, and is served late rather than refused. The
time is `STANDING_TARGETS` targets, or this constant if that is shorter, but at least
one target. With four targets for all classes, a class with a target of 10 s kept late
requests for 40 s, and they outranked those that could still start in time.
"""


class QueueLimits(msgspec.Struct, frozen=True):
    """Bounds of one service's queue.

    Parameters
    ----------
    count_max : int
    bytes_max : int
        Sum of the waiting requests' bodies, in bytes.
    """

    count_max: int = 2000
    bytes_max: int = 4 << 20


class QueuedRequest:
    """A waiting request.

    Parameters
    ----------
    class_name : ClassName
    team : TeamName
    arrived_ms : float
        Time of the loop's clock, in milliseconds.
    target_ms : int
    deadline_ms : float
        Time of the loop's clock at which the answer is due, in milliseconds.
    size_bytes : int
    excluded : frozenset of UpstreamId
        Upstreams that have failed this request.
    """

    __slots__ = (
        "arrived_ms",
        "class_name",
        "deadline_ms",
        "decision_future",
        "excluded",
        "size_bytes",
        "target_ms",
        "team",
    )

    def __init__(
        self,
        class_name: ClassName,
        team: TeamName,
        arrived_ms: float,
        target_ms: int,
        deadline_ms: float,
        size_bytes: int = 0,
        excluded: frozenset = frozenset(),
    ):
        self.class_name = class_name
        self.team = team
        self.arrived_ms = arrived_ms
        self.target_ms = max(1, target_ms)
        self.deadline_ms = deadline_ms
        self.size_bytes = size_bytes
        self.excluded = excluded
        self.decision_future: object = None

    def wait_ratio(self, now_ms: float) -> float:
        """Return the waited time divided by the target."""
        return (now_ms - self.arrived_ms) / self.target_ms


class RequestQueue:
    """Waiting requests of one service.

    The order is by relative lateness among teams within their share of the requests in
    flight, then among the others. Within one class and team it is by arrival.

    Parameters
    ----------
    service : ServiceName
    limits : QueueLimits
    """

    def __init__(self, service: ServiceName, limits: QueueLimits):
        self.service = service
        self._limits = limits
        self._lanes: dict[tuple[ClassName, TeamName], deque[QueuedRequest]] = {}
        self._class_counts: Counter[ClassName] = Counter()
        self._nonempty_since_ms: dict[ClassName, float] = {}
        self._in_flight: Counter[TeamName] = Counter()
        self._in_flight_total = 0
        self._count = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[QueuedRequest]:
        for lane in self._lanes.values():
            yield from lane

    def class_counts(self) -> Counter[ClassName]:
        """Return the number of waiting requests by class."""
        return self._class_counts.copy()

    @property
    def size_bytes(self) -> int:
        """Sum of the waiting requests' bodies, in bytes."""
        return self._bytes

    def rejection_reason(
        self, request: QueuedRequest, now_ms: float, wait_ms: float, service_ms: float
    ) -> ProblemKind | None:
        """Return why a request can't be queued, or ``None``.

        Parameters
        ----------
        request : QueuedRequest
        now_ms : float
        wait_ms : float
            Expected wait, in milliseconds.
        service_ms : float
            Expected service time, in milliseconds.
        """
        if self._count >= self._limits.count_max:
            return ProblemKind.QUEUE_FULL
        if self._bytes + request.size_bytes > self._limits.bytes_max:
            return ProblemKind.QUEUE_FULL
        if now_ms + wait_ms + service_ms > request.deadline_ms:
            return ProblemKind.DEADLINE_UNREACHABLE
        if wait_ms > request.target_ms and self._is_standing(request, now_ms):
            return ProblemKind.OVERLOADED
        return None

    def add(self, request: QueuedRequest, now_ms: float) -> None:
        """Append a request; a repeated attempt keeps its age and goes to the front."""
        lane = self._lanes.setdefault((request.class_name, request.team), deque())
        if lane and lane[0].arrived_ms > request.arrived_ms:
            lane.appendleft(request)
        else:
            lane.append(request)
        if not self._class_counts[request.class_name]:
            self._nonempty_since_ms[request.class_name] = now_ms
        self._class_counts[request.class_name] += 1
        self._count += 1
        self._bytes += request.size_bytes

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a waiting request and return whether it was there."""
        lane = self._lanes.get((request.class_name, request.team))
        if lane is None or request not in lane:
            return False
        lane.remove(request)
        if not lane:
            del self._lanes[(request.class_name, request.team)]
        self._class_counts[request.class_name] -= 1
        if not self._class_counts[request.class_name]:
            self._nonempty_since_ms.pop(request.class_name, None)
        self._count -= 1
        self._bytes -= request.size_bytes
        return True

    def first(self, now_ms: float) -> QueuedRequest | None:
        """Return the request that is next in order, without removing it."""
        ordered = self.heads(now_ms)
        return ordered[0] if ordered else None

    def heads(self, now_ms: float) -> list[QueuedRequest]:
        """Return the oldest request of each class and team, in order."""
        heads = [lane[0] for lane in self._lanes.values()]
        if len(heads) > 1:
            share = self._share()
            heads.sort(key=lambda head: self._rank(head, now_ms, share))
        return heads

    def expired(
        self, now_ms: float, service_ms: float, check_all: bool = True
    ) -> list[tuple[QueuedRequest, ProblemKind]]:
        """Return the waiting requests that are to be refused now.

        Parameters
        ----------
        now_ms : float
        service_ms : float
            Expected service time, in milliseconds.
        whole : bool
            Whether all requests are looked at. Otherwise each class and team is left
            at its first request in time, which misses only callers' own deadlines.
        """
        refused = []
        for lane in self._lanes.values():
            for request in lane:
                kind = self.late_rejection_reason(request, now_ms, service_ms)
                if kind is not None:
                    refused.append((request, kind))
                elif not check_all:
                    break
        return refused

    def late_rejection_reason(
        self, request: QueuedRequest, now_ms: float, service_ms: float
    ) -> ProblemKind | None:
        """Return why a waiting request is to be refused now, or ``None``."""
        if now_ms + service_ms > request.deadline_ms:
            return ProblemKind.DEADLINE_UNREACHABLE
        if request.wait_ratio(now_ms) > 1 and self._is_standing(request, now_ms):
            return ProblemKind.OVERLOADED
        return None

    def late_count(self, now_ms: float, slot_ms: float) -> int:
        """Return how many waiting requests would start after their target.

        Parameters
        ----------
        now_ms : float
        slot_ms : float
            Mean time between two slots that become free, in milliseconds.
        """
        # The order of due times is close to that of the ratios over the whole wait; the
        # ratios of this moment would put every new request last.
        due = sorted(q.arrived_ms + q.target_ms for q in self)
        return sum(
            now_ms + (position + 1) * slot_ms > due_ms
            for position, due_ms in enumerate(due)
        )

    def record_start(self, team: TeamName) -> None:
        """Count a request of a team that was sent."""
        self._in_flight[team] += 1
        self._in_flight_total += 1

    def record_end(self, team: TeamName) -> None:
        """Count a request of a team that has ended."""
        self._in_flight[team] -= 1
        self._in_flight_total -= 1
        if not self._in_flight[team]:
            del self._in_flight[team]

    def _share(self) -> float:
        teams = {team for _, team in self._lanes} | self._in_flight.keys()
        return max(1.0, self._in_flight_total / max(1, len(teams)))

    def _rank(
        self, head: QueuedRequest, now_ms: float, share: float
    ) -> tuple[bool, float]:
        ratio = head.wait_ratio(now_ms)
        above_share = (
            self._in_flight[head.team] > share and ratio <= RATIO_BEFORE_QUOTAS
        )
        return (above_share, -ratio)

    def _is_standing(self, request: QueuedRequest, now_ms: float) -> bool:
        since_ms = self._nonempty_since_ms.get(request.class_name, now_ms)
        target_ms = request.target_ms
        limit_ms = min(STANDING_TARGETS * target_ms, max(target_ms, STANDING_MS))
        return now_ms - since_ms > limit_ms
