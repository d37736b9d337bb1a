"""Queue of one service's requests, ordered by waiting time relative to the target."""

from collections import Counter, deque
from collections.abc import Iterator

import msgspec

from basilhold.core import ClassName, ServiceName, TeamName
from basilhold.requests.model import ProblemKind

__all__ = ["QueueLimits", "QueuedRequest", "RequestQueue"]

SHARE_OVERRIDE_RATIO = 4.0
"""Wait ratio above which a team's share no longer affects the order (design 7.6)."""

STANDING_QUEUE_TARGETS = 4.0
STANDING_QUEUE_MS = 2000.0
"""Time after which a class whose queue never became empty has a standing queue.

A queue that exists for a shorter time is a burst that will drain; its requests are
served late rather than rejected. The time is the shorter of `STANDING_QUEUE_TARGETS`
targets and `STANDING_QUEUE_MS`, but at least one target. If four targets applied to all
classes, one with a target of 10 s would keep late requests for 40 s, and these would be
served before requests that can still start in time.
"""


class QueueLimits(msgspec.Struct, frozen=True):
    """Bounds of one service's queue.

    Parameters
    ----------
    count_max : int
        Maximum number of waiting requests.
    bytes_max : int
        Maximum total size of the waiting requests' bodies, in bytes.
    """

    count_max: int = 2000
    bytes_max: int = 4 << 20


class QueuedRequest:
    """Entry of a request in the queue.

    Parameters
    ----------
    class_name : ClassName
    team : TeamName
    arrived_ms : float
        Arrival of the request, in milliseconds of the event loop's clock.
    target_ms : int
        Target of the waiting time, in milliseconds; at least 1 is used.
    deadline_ms : float
        Time at which the answer is due, in milliseconds of the event loop's clock.
    size_bytes : int
        Size of the request's body, in bytes.
    excluded : frozenset of UpstreamId
        Upstreams at which an earlier attempt of this request failed.

    Attributes
    ----------
    decision_future : asyncio.Future or None
        Receives the granted slot or the reason of the rejection. It is set by the
        gateway's dispatcher.
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
        """Return the waiting time divided by its target."""
        return (now_ms - self.arrived_ms) / self.target_ms


class RequestQueue:
    """Waiting requests of one service.

    Requests are ordered by descending wait ratio, first those of teams within their
    share of the requests in flight, then those of the other teams. Requests of one
    class and team are ordered by arrival. Times are in milliseconds of the event loop's
    clock.

    Parameters
    ----------
    service : ServiceName
    limits : QueueLimits
        Bounds above which new requests are rejected.
    """

    def __init__(self, service: ServiceName, limits: QueueLimits):
        self.service = service
        self._limits = limits
        self._subqueues: dict[tuple[ClassName, TeamName], deque[QueuedRequest]] = {}
        self._class_counts: Counter[ClassName] = Counter()
        self._nonempty_since_ms: dict[ClassName, float] = {}
        self._in_flight: Counter[TeamName] = Counter()
        self._in_flight_total = 0
        self._count = 0
        self._bytes = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[QueuedRequest]:
        for subqueue in self._subqueues.values():
            yield from subqueue

    def class_counts(self) -> Counter[ClassName]:
        """Return the number of waiting requests by class."""
        return self._class_counts.copy()

    @property
    def size_bytes(self) -> int:
        """Total size of the waiting requests' bodies, in bytes."""
        return self._bytes

    def rejection_reason(
        self, request: QueuedRequest, now_ms: float, wait_ms: float, service_ms: float
    ) -> ProblemKind | None:
        """Return the reason to reject a new request, or ``None`` to queue it.

        Parameters
        ----------
        request : QueuedRequest
        now_ms : float
        wait_ms : float
            Expected waiting time, in milliseconds.
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
        """Add a request behind those of its class and team.

        A retry keeps the arrival time of its request, and goes to the front if that is
        earlier than the arrival of the first of them.
        """
        subqueue = self._subqueues.setdefault(
            (request.class_name, request.team), deque()
        )
        if subqueue and subqueue[0].arrived_ms > request.arrived_ms:
            subqueue.appendleft(request)
        else:
            subqueue.append(request)
        if not self._class_counts[request.class_name]:
            self._nonempty_since_ms[request.class_name] = now_ms
        self._class_counts[request.class_name] += 1
        self._count += 1
        self._bytes += request.size_bytes

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request and return whether it was in the queue."""
        subqueue = self._subqueues.get((request.class_name, request.team))
        if subqueue is None or request not in subqueue:
            return False
        subqueue.remove(request)
        if not subqueue:
            del self._subqueues[(request.class_name, request.team)]
        self._class_counts[request.class_name] -= 1
        if not self._class_counts[request.class_name]:
            self._nonempty_since_ms.pop(request.class_name, None)
        self._count -= 1
        self._bytes -= request.size_bytes
        return True

    def first(self, now_ms: float) -> QueuedRequest | None:
        """Return the first request in order without removing it, or ``None``."""
        ordered = self.heads(now_ms)
        return ordered[0] if ordered else None

    def heads(self, now_ms: float) -> list[QueuedRequest]:
        """Return the oldest request of each class and team, in order."""
        heads = [subqueue[0] for subqueue in self._subqueues.values()]
        if len(heads) > 1:
            share = self._team_share()
            heads.sort(key=lambda head: self._sort_key(head, now_ms, share))
        return heads

    def expired(
        self, now_ms: float, service_ms: float, check_all: bool = True
    ) -> list[tuple[QueuedRequest, ProblemKind]]:
        """Return the waiting requests that are to be rejected now, with the reasons.

        Parameters
        ----------
        now_ms : float
        service_ms : float
            Expected service time, in milliseconds.
        check_all : bool
            Whether all requests are checked. Otherwise the check of each class and team
            ends at the first request that is not rejected; this misses only requests
            whose callers have set shorter deadlines.
        """
        rejected = []
        for subqueue in self._subqueues.values():
            for request in subqueue:
                kind = self.late_rejection_reason(request, now_ms, service_ms)
                if kind is not None:
                    rejected.append((request, kind))
                elif not check_all:
                    break
        return rejected

    def late_rejection_reason(
        self, request: QueuedRequest, now_ms: float, service_ms: float
    ) -> ProblemKind | None:
        """Return the reason to reject a waiting request now, or ``None``."""
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
            Mean time between the releases of two slots, in milliseconds.
        """
        # The order of due times approximates the order in which requests will start.
        # The current wait ratios do not, because they put each new request last.
        due = sorted(q.arrived_ms + q.target_ms for q in self)
        return sum(
            now_ms + (position + 1) * slot_ms > due_ms
            for position, due_ms in enumerate(due)
        )

    def record_start(self, team: TeamName) -> None:
        """Record that a request of a team is in flight."""
        self._in_flight[team] += 1
        self._in_flight_total += 1

    def record_end(self, team: TeamName) -> None:
        """Record that a request of a team is no longer in flight."""
        self._in_flight[team] -= 1
        self._in_flight_total -= 1
        if not self._in_flight[team]:
            del self._in_flight[team]

    def _team_share(self) -> float:
        teams = {team for _, team in self._subqueues} | self._in_flight.keys()
        return max(1.0, self._in_flight_total / max(1, len(teams)))

    def _sort_key(
        self, head: QueuedRequest, now_ms: float, share: float
    ) -> tuple[bool, float]:
        ratio = head.wait_ratio(now_ms)
        above_share = (
            self._in_flight[head.team] > share and ratio <= SHARE_OVERRIDE_RATIO
        )
        return (above_share, -ratio)

    def _is_standing(self, request: QueuedRequest, now_ms: float) -> bool:
        since_ms = self._nonempty_since_ms.get(request.class_name, now_ms)
        target_ms = request.target_ms
        limit_ms = min(
            STANDING_QUEUE_TARGETS * target_ms, max(target_ms, STANDING_QUEUE_MS)
        )
        return now_ms - since_ms > limit_ms
