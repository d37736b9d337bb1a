import unittest

from basilhold.core import ClassName, ServiceName, TeamName
from basilhold.requests import ProblemKind, QueuedRequest, QueueLimits, RequestQueue


def make_request(name, arrived_ms, target_ms=200, team="a", deadline_ms=60_000, size=0):
    return QueuedRequest(
        ClassName(name), TeamName(team), arrived_ms, target_ms, deadline_ms, size
    )


class RequestQueueTest(unittest.TestCase):
    """Checks that no class or team is starved, and that queues remain bounded."""

    def make_queue(self, **limits):
        return RequestQueue(ServiceName("s"), QueueLimits(**limits))

    def test_order_is_by_waiting_time_relative_to_target(self):
        queue = self.make_queue()
        slow = make_request("slow", 0, 10_000)
        fast = make_request("fast", 900, 200)
        queue.add(slow, 0)
        queue.add(fast, 900)
        self.assertIs(queue.first(1000), fast)
        self.assertIs(queue.first(901), slow)

    def test_class_with_a_long_target_is_not_starved(self):
        queue = self.make_queue()
        slow = make_request("slow", 0, 1000)
        queue.add(slow, 0)
        for now_ms in range(0, 2000, 10):
            queue.add(make_request("fast", now_ms, 100), now_ms)
            first = queue.first(now_ms + 5)
            queue.remove(first)
            if first is slow:
                return
        self.fail(
            "a constant stream of requests with a short target starves the other class"
        )

    def test_team_with_many_requests_does_not_delay_another(self):
        queue = self.make_queue()
        for _ in range(100):
            queue.add(make_request("c", 0, team="flood"), 0)
        for _ in range(8):
            queue.remove(queue.first(10))
            queue.record_start(TeamName("flood"))
        other = make_request("c", 50, team="quiet")
        queue.add(other, 50)
        self.assertIs(queue.first(60), other)

    def test_team_above_its_share_is_served_when_very_late(self):
        queue = self.make_queue()
        for _ in range(8):
            queue.record_start(TeamName("flood"))
        late = make_request("c", 0, 100, team="flood")
        queue.add(late, 0)
        queue.add(make_request("c", 400, 100, team="quiet"), 400)
        self.assertIs(queue.first(401), late)

    def test_count_and_size_of_requests_are_bounded(self):
        queue = self.make_queue(count_max=2, bytes_max=100)
        queue.add(make_request("c", 0, size=60), 0)
        full = queue.rejection_reason(make_request("c", 0, size=60), 0, 0, 0)
        self.assertIs(full, ProblemKind.QUEUE_FULL)
        queue.add(make_request("c", 0), 0)
        full = queue.rejection_reason(make_request("c", 0), 0, 0, 0)
        self.assertIs(full, ProblemKind.QUEUE_FULL)

    def test_request_that_cannot_meet_its_deadline_is_rejected_at_once(self):
        queue = self.make_queue()
        late = make_request("c", 0, deadline_ms=1000)
        self.assertIs(
            queue.rejection_reason(late, 0, 800, 300), ProblemKind.DEADLINE_UNREACHABLE
        )
        self.assertIsNone(queue.rejection_reason(late, 0, 600, 300))

    def test_burst_is_served_late_and_standing_queue_is_rejected(self):
        queue = self.make_queue()
        queue.add(make_request("c", 0), 0)
        self.assertEqual(queue.expired(700, 0), [])
        self.assertEqual(
            [kind for _, kind in queue.expired(900, 0)], [ProblemKind.OVERLOADED]
        )

    def test_retry_keeps_its_place(self):
        queue = self.make_queue()
        first, second = make_request("c", 0), make_request("c", 10)
        queue.add(second, 10)
        queue.add(first, 20)
        self.assertIs(queue.first(30), first)
