"""Decides whether an owner stores submissions in groups, and what each group holds.

A partition of the store applies its transactions one after another. In a slow store it
applies fewer than two a second, but one transaction may store many submissions. All
rows of a submission are in partitions that are determined by the last digit of its id,
so submissions with the same digit form a group. Groups of different digits share no
partition and do not wait for each other. Of each digit, one group is in flight.
"""

from collections import deque

import msgspec

__all__ = ["PendingWrite", "SubmissionGroups"]

PARTITIONS = 16
"""Number of partitions over which the submissions of a service spread."""

ENTRIES_PER_GROUP = 90
"""Most conditions and writes in one group; the store accepts 100 in a transaction."""

BYTES_PER_GROUP = 600_000
"""Most bytes in one group; the store accepts 1 MB, with values encoded as base64."""

MULTIPLE_PARTITIONS_FACTOR = 2.0
"""A transaction over several partitions takes twice as long as one in a single one."""

BEGIN_LOAD = 0.5
END_LOAD = 0.25
"""Shares of what the partitions can apply one by one at which grouping begins and ends.
Below the first, few submissions wait for another one."""

RATE_WINDOW_MS = 1_000.0
"""Time over which arrivals are counted."""

GROUP_TIME_WEIGHT = 0.3
"""Weight of a new duration in the running figure."""

TRANSACTION_MIN_MS = 1.0


class PendingWrite(msgspec.Struct, eq=False):
    """A submission or a cancellation that waits to be stored.

    Parameters
    ----------
    key : str
        Key of the row that it writes.
    partition : str
        Determines its group.
    entries : int
        Number of its conditions and writes.
    size_bytes : int
        Size of the rows that it writes.
    deadline_ms : float
        Monotonic time until which it has to be stored, in milliseconds.
    is_uncertain : bool
        Whether a transaction with it has been sent whose outcome is not known.
    """

    key: str
    partition: str
    entries: int
    size_bytes: int
    deadline_ms: float
    is_uncertain: bool = False


class SubmissionGroups:
    """Queues and groups of the submissions of one service.

    All times are of the monotonic clock, in milliseconds.
    """

    def __init__(self):
        self._waiting: dict[str, list[PendingWrite]] = {}
        self._sent_ms: dict[str, float] = {}
        self._not_before_ms: dict[str, float] = {}
        self._arrivals_ms: deque[float] = deque()
        self._group_ms: float | None = None
        self._transaction_ms = 0.0
        self._call_ms = 0.0
        self._is_grouping = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and nothing is in flight."""
        return not self._waiting and not self._sent_ms

    # Load.

    def observe_store(self, call_ms: float, transaction_ms: float) -> None:
        """Update how long the store takes.

        Parameters
        ----------
        call_ms : float
            Round trip of a read.
        transaction_ms : float
            Time of a transaction in one partition that waits for no other, with the
            round trip.
        """
        self._call_ms = call_ms
        self._transaction_ms = max(transaction_ms - call_ms, TRANSACTION_MIN_MS)

    def observe_arrival(self, now_ms: float) -> None:
        """Count a submission or a cancellation that is to be stored."""
        self._arrivals_ms.append(now_ms)

    def arrivals_per_s(self, now_ms: float) -> float:
        """Return the arrivals of the last second."""
        while self._arrivals_ms and self._arrivals_ms[0] <= now_ms - RATE_WINDOW_MS:
            self._arrivals_ms.popleft()
        return len(self._arrivals_ms) * 1000 / RATE_WINDOW_MS

    def capacity_per_s(self) -> float:
        """Return how many submissions the partitions can apply one by one."""
        partition_ms = MULTIPLE_PARTITIONS_FACTOR * self._transaction_ms
        return PARTITIONS * 1000 / max(partition_ms, TRANSACTION_MIN_MS)

    def decide_grouping(self, now_ms: float) -> bool:
        """Return whether the next submission is stored in a group, or directly."""
        load = self.arrivals_per_s(now_ms) / self.capacity_per_s()
        self._is_grouping = load >= (END_LOAD if self._is_grouping else BEGIN_LOAD)
        return self._is_grouping

    # Queues.

    def add(self, item: PendingWrite, now_ms: float) -> bool:
        """Let a submission wait for the next group.

        Returns
        -------
        bool
            False if it cannot be stored before its deadline, and does not wait.
        """
        queue = self._waiting.get(item.partition, [])
        earlier = [other for other in queue if other.deadline_ms <= item.deadline_ms]
        entries = sum(other.entries for other in earlier)
        size_bytes = sum(other.size_bytes for other in earlier)
        groups_before = max(entries // ENTRIES_PER_GROUP, size_bytes // BYTES_PER_GROUP)
        end_ms = self._next_begin_ms(item.partition, now_ms)
        end_ms += (groups_before + 1) * self._typical_group_ms()
        if end_ms > item.deadline_ms:
            return False
        self._waiting.setdefault(item.partition, []).append(item)
        return True

    def withdraw(self, item: PendingWrite) -> bool:
        """Remove a submission; return whether it was still waiting."""
        queue = self._waiting.get(item.partition, [])
        if item not in queue:
            return False
        queue.remove(item)
        if not queue:
            del self._waiting[item.partition]
        return True

    def put_back(self, group: list[PendingWrite], not_before_ms: float) -> None:
        """Let a group that was not applied wait, and be sent again later."""
        for item in group:
            self._waiting.setdefault(item.partition, []).append(item)
            self._not_before_ms[item.partition] = not_before_ms

    def delay_ms(self, partition: str, now_ms: float) -> float:
        """Return how long the next group of a partition has to wait."""
        return max(0.0, self._not_before_ms.get(partition, now_ms) - now_ms)

    def take_group(
        self, partition: str, now_ms: float
    ) -> tuple[list[PendingWrite], list[PendingWrite]]:
        """Remove and return the next group of a partition, and what is refused.

        The group has the earliest deadlines, and each row once. Refused are those that
        cannot be stored before their deadlines.
        """
        queue = self._waiting.pop(partition, [])
        queue.sort(key=lambda item: item.deadline_ms)
        group: list[PendingWrite] = []
        refused: list[PendingWrite] = []
        rest: list[PendingWrite] = []
        keys: set[str] = set()
        entries = size_bytes = 0
        for item in queue:
            if now_ms + self._typical_group_ms() > item.deadline_ms:
                refused.append(item)
                continue
            fits = (
                entries + item.entries <= ENTRIES_PER_GROUP
                and size_bytes + item.size_bytes <= BYTES_PER_GROUP
            )
            if item.key in keys or (group and not fits):
                rest.append(item)
                continue
            group.append(item)
            keys.add(item.key)
            entries += item.entries
            size_bytes += item.size_bytes
        if rest:
            self._waiting[partition] = rest
        return group, refused

    # Groups in flight.

    def on_sent(self, partition: str, now_ms: float) -> None:
        """Note that the group of a partition is sent."""
        self._sent_ms[partition] = now_ms

    def on_done(self, partition: str, now_ms: float, is_stored: bool) -> None:
        """Note that the group of a partition is no longer in flight."""
        took_ms = now_ms - self._sent_ms.pop(partition, now_ms)
        if is_stored:
            known_ms = took_ms if self._group_ms is None else self._group_ms
            self._group_ms = known_ms + GROUP_TIME_WEIGHT * (took_ms - known_ms)

    def _typical_group_ms(self) -> float:
        """Return how long a group takes that waits for no other transaction.

        The measured figure also contains waits, which may be over when the store is
        no longer slow.
        """
        shortest_ms = self._call_ms + MULTIPLE_PARTITIONS_FACTOR * self._transaction_ms
        if self._group_ms is None:
            return shortest_ms
        return min(self._group_ms, 2 * shortest_ms)

    def _next_begin_ms(self, partition: str, now_ms: float) -> float:
        """Return when the next group of a partition can be sent."""
        begin_ms = now_ms + self.delay_ms(partition, now_ms)
        if partition not in self._sent_ms:
            return begin_ms
        return max(begin_ms, self._sent_ms[partition] + self._typical_group_ms())
