import unittest

from basilhold.core import ClassName, ServiceName, TeamName
from basilhold.requests import ProblemKind, QueuedRequest, QueueLimits, RequestQueue


def queued(name, arrived_ms, target_ms=200, team="a", deadline_ms=60_000, size=0):
    return QueuedRequest(
        ClassName(name), TeamName(team), arrived_ms, target_ms, deadline_ms, size
    )


class RequestQueueTest(unittest.TestCase):
    """Guards classes and teams against starvation, and memory against queues."""

    def make(self, **limits):
        return RequestQueue(ServiceName("s"), QueueLimits(**limits))

    def test_order_is_by_waited_time_relative_to_the_target(self):
        queue = self.make()
        slow = queued("slow", 0, 10_000)
        fast = queued("fast", 900, 200)
        queue.add(slow, 0)
        queue.add(fast, 900)
        self.assertIs(queue.first(1000), fast)
        self.assertIs(queue.first(901), slow)

    def test_class_with_a_long_target_is_not_starved(self):
        queue = self.make()
        slow = queued("slow", 0, 1000)
        queue.add(slow, 0)
        for now_ms in range(0, 2000, 10):
            queue.add(queued("fast", now_ms, 100), now_ms)
            first = queue.first(now_ms + 5)
            queue.remove(first)
            if first is slow:
                return
        self.fail("a constant stream of urgent requests starves the other class")

    def test_flooding_team_does_not_hold_up_another(self):
        queue = self.make()
        for _ in range(100):
            queue.add(queued("c", 0, team="flood"), 0)
        for _ in range(8):
            queue.remove(queue.first(10))
            queue.record_start(TeamName("flood"))
        other = queued("c", 50, team="quiet")
        queue.add(other, 50)
        self.assertIs(queue.first(60), other)

    def test_team_above_its_share_is_served_when_very_late(self):
        queue = self.make()
        for _ in range(8):
            queue.record_start(TeamName("flood"))
        late = queued("c", 0, 100, team="flood")
        queue.add(late, 0)
        queue.add(queued("c", 400, 100, team="quiet"), 400)
        self.assertIs(queue.first(401), late)

    def test_bounds_of_count_and_bytes(self):
        queue = self.make(count_max=2, bytes_max=100)
        queue.add(queued("c", 0, size=60), 0)
        full = queue.rejection_reason(queued("c", 0, size=60), 0, 0, 0)
        self.assertIs(full, ProblemKind.QUEUE_FULL)
        queue.add(queued("c", 0), 0)
        full = queue.rejection_reason(queued("c", 0), 0, 0, 0)
        self.assertIs(full, ProblemKind.QUEUE_FULL)

    def test_request_that_cannot_make_its_deadline_is_refused_at_once(self):
        queue = self.make()
        late = queued("c", 0, deadline_ms=1000)
        self.assertIs(
            queue.rejection_reason(late, 0, 800, 300), ProblemKind.DEADLINE_UNREACHABLE
        )
        self.assertIsNone(queue.rejection_reason(late, 0, 600, 300))

    def test_burst_is_served_late_and_a_standing_queue_is_shed(self):
        queue = self.make()
        queue.add(queued("c", 0), 0)
        self.assertEqual(queue.expired(700, 0), [])
        self.assertEqual(
            [kind for _, kind in queue.expired(900, 0)], [ProblemKind.OVERLOADED]
        )

    def test_repeated_attempt_keeps_its_place(self):
        queue = self.make()
        first, second = queued("c", 0), queued("c", 10)
        queue.add(second, 10)
        queue.add(first, 20)
        self.assertIs(queue.first(30), first)
