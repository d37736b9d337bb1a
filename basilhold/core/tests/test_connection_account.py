import unittest

from basilhold.core.connection_account import (
    CONNECTION_BYTES,
    REPLACEABLE_AFTER_MS,
    STALL_MS,
    ConnectionAccount,
    ConnectionEnd,
    Phase,
    ServerLimits,
    WorkBudget,
)

LIMIT_BYTES = 1_000_000
CALLERS = ServerLimits(10, memory_ratio=0.5, small_memory_ratio=0.7, small_bytes=20_000)
PEERS = ServerLimits(10, memory_ratio=1.0, small_memory_ratio=1.0)


class ConnectionAccountTest(unittest.TestCase):
    """Guards against clients that hold more than their part, or shut others out."""

    def setUp(self):
        self.account = ConnectionAccount(LIMIT_BYTES)
        self.account.add_server("callers", CALLERS)
        self.account.add_server("peers", PEERS)

    def open(self, now_ms, held_bytes=0, phase=Phase.BODY, server="callers"):
        holding, victims = self.account.open(server, object(), now_ms)
        self.assertEqual(victims, [])
        self.account.set_phase(holding, phase, now_ms)
        if held_bytes:
            self.assertIsNotNone(self.account.resize(holding, held_bytes, now_ms))
        return holding

    def test_stalled_bodies_make_room_the_longest_first(self):
        first, second, third = (self.open(at_ms, 150_000) for at_ms in (0, 1, 2))
        self.account.note_progress(first, 1, 3.0)
        late = self.open(4.0)
        self.assertIsNone(self.account.resize(late, 150_000, 4.0))
        at_ms = 2.0 + STALL_MS
        self.assertEqual(self.account.resize(late, 150_000, at_ms), [second])
        self.assertTrue(first.is_open and third.is_open)
        self.assertEqual(second.held_bytes, 0)

    def test_refused_growth_changes_nothing(self):
        self.open(0, 400_000)
        late = self.open(0)
        held_bytes = self.account.held_bytes
        self.assertFalse(self.account.admits(late, 200_000, 0.0))
        self.assertIsNone(self.account.resize(late, 200_000, 0.0))
        self.assertEqual(self.account.held_bytes, held_bytes)

    def test_small_requests_get_in_beside_large_ones_that_progress(self):
        self.open(0, 490_000)
        self.assertEqual(self.account.resize(self.open(0), 15_000, 0.0), [])

    def test_slow_bodies_make_room_although_they_progress(self):
        slow = self.open(0, 400_000)
        fast = self.open(0, 50_000)
        for at_ms in range(0, 2_001, 100):
            self.account.note_progress(slow, 100, float(at_ms))
            self.account.note_progress(fast, 1_000, float(at_ms))
        late = self.open(2_000.0)
        self.assertEqual(self.account.resize(late, 200_000, 2_000.0), [slow])

    def test_connection_that_can_be_opened_is_opened_in_place_of_slow_bodies(self):
        slow = self.open(0, 490_000)
        for at_ms in range(0, 2_001, 100):
            self.account.note_progress(slow, 100, float(at_ms))
        for _ in range(8):
            self.open(2_000.0, 26_000)
        self.assertTrue(self.account.can_open("callers", 2_000.0))
        holding, victims = self.account.open("callers", "new", 2_000.0)
        self.assertIsNotNone(holding)
        self.assertEqual(victims, [slow])

    def test_requests_being_handled_are_kept_and_counted(self):
        handled = self.open(0, 450_000, Phase.HANDLING)
        late = self.open(10_000.0)
        self.assertIsNone(self.account.resize(late, 100_000, 10_000.0))
        self.account.close(handled)
        self.assertIsNone(self.account.resize(late, 100_000, 10_000.0))
        self.account.release(handled)
        self.assertEqual(self.account.resize(late, 100_000, 10_000.0), [])

    def test_callers_take_nothing_from_peers(self):
        peer = self.open(0, 480_000, server="peers")
        late = self.open(60_000.0)
        self.assertIsNone(self.account.resize(late, 100_000, 60_000.0))
        self.assertTrue(peer.is_open)

    def test_connection_beyond_the_bound_replaces_the_longest_idle(self):
        holdings = [self.open(at_ms, phase=Phase.IDLE) for at_ms in range(10)]
        self.account.note_progress(holdings[0], 0, 20.0)
        self.account.set_phase(holdings[1], Phase.HANDLING, 20.0)
        at_ms = 2.0 + REPLACEABLE_AFTER_MS
        early_ms = REPLACEABLE_AFTER_MS - 1.0
        self.assertFalse(self.account.can_open("callers", early_ms))
        self.assertEqual(self.account.open("callers", "early", early_ms), (None, []))
        self.assertTrue(self.account.can_open("callers", at_ms))
        new, victims = self.account.open("callers", "new", at_ms)
        self.assertIsNotNone(new)
        self.assertEqual(victims, [holdings[2]])
        self.assertEqual(self.account.open_count("callers"), 10)
        self.assertEqual(self.account.held_bytes, 10 * CONNECTION_BYTES)

    def test_connection_that_progresses_for_long_is_replaced_by_a_new_one(self):
        slow, *others = [self.open(at_ms) for at_ms in range(10)]
        for holding in (*others, slow):
            self.account.note_progress(holding, 1, REPLACEABLE_AFTER_MS)
        self.assertFalse(self.account.can_open("callers", REPLACEABLE_AFTER_MS - 1.0))
        _, victims = self.account.open("callers", "new", REPLACEABLE_AFTER_MS)
        self.assertEqual(victims, [slow])

    def test_some_connections_are_left_to_refusals(self):
        for at_ms in range(9):
            self.assertTrue(self.account.can_handle("callers"))
            self.open(at_ms, phase=Phase.HANDLING)
        self.assertFalse(self.account.can_handle("callers"))
        self.assertTrue(self.account.can_open("callers", 9.0))

    def test_connection_is_refused_while_all_are_handled(self):
        for at_ms in range(10):
            self.open(at_ms, phase=Phase.HANDLING)
        self.assertEqual(self.account.open("callers", "new", 11.0), (None, []))

    def test_times_of_heads_bodies_and_connections(self):
        head = self.open(0, phase=Phase.HEAD)
        kept = self.open(0, phase=Phase.HANDLING)
        self.account.set_phase(kept, Phase.IDLE, 0.0)
        silent = self.open(0, phase=Phase.IDLE)
        body = self.open(0)
        self.account.note_progress(head, 0, 2_999.0)
        self.account.note_progress(body, 1, 5_000.0)

        def overdue(now_ms):
            return dict(self.account.find_overdue("callers", now_ms))

        self.assertEqual(overdue(2_999.0), {})
        self.assertEqual(overdue(3_000.0), {head: ConnectionEnd.HEAD_TIMEOUT})
        self.account.close(head)
        self.assertEqual(overdue(15_000.0), {silent: ConnectionEnd.IDLE})
        self.assertEqual(set(overdue(20_000.0)), {silent, body})
        self.assertEqual(set(overdue(60_000.0)), {silent, body, kept})

    def test_body_that_progresses_has_a_time_limit(self):
        body = self.open(0)
        for at_ms in range(0, 30_000, 1_000):
            self.account.note_progress(body, 10, float(at_ms))
        self.assertEqual(self.account.find_overdue("callers", 29_999.0), [])
        overdue = self.account.find_overdue("callers", 30_000.0)
        self.assertEqual(overdue, [(body, ConnectionEnd.BODY_TIMEOUT)])


class ReserveTest(unittest.TestCase):
    """Guards against clients of one server that take what another one needs."""

    def setUp(self):
        self.account = ConnectionAccount(LIMIT_BYTES)
        callers = ServerLimits(10, memory_ratio=0.9, reserved_ratio=0.3)
        peers = ServerLimits(10, memory_ratio=1.0, reserved_ratio=0.2)
        self.account.add_server("callers", callers)
        self.account.add_server("peers", peers)

    def open(self, server, held_bytes, now_ms=0.0):
        holding, _ = self.account.open(server, object(), now_ms)
        self.account.set_phase(holding, Phase.BODY, now_ms)
        victims = self.account.resize(holding, held_bytes, now_ms)
        return holding, victims

    def test_reserve_is_left_to_its_server(self):
        peer, victims = self.open("peers", 700_000)
        self.assertEqual(victims, [])
        self.assertEqual(self.account.open("peers", object(), 0.0), (None, []))
        self.assertEqual(self.open("callers", 150_000)[1], [])
        self.assertTrue(peer.is_open)

    def test_used_reserve_does_not_count_twice(self):
        self.open("callers", 200_000)
        self.assertEqual(self.open("peers", 690_000)[1], [])
        self.assertEqual(self.account.held_bytes, 890_000)

    def test_peers_take_what_callers_hold_beyond_their_reserve(self):
        first, second, third = (self.open("callers", 200_000)[0] for _ in range(3))
        late, victims = self.open("peers", 700_000, STALL_MS)
        # The third one is what the reserve keeps.
        self.assertEqual(victims, [first, second])
        self.assertTrue(late.is_open and third.is_open)

    def test_peers_take_nothing_of_the_reserve_of_callers(self):
        caller, _ = self.open("callers", 290_000)
        self.assertIsNone(self.open("peers", 720_000, STALL_MS)[1])
        self.assertTrue(caller.is_open)


class WorkBudgetTest(unittest.TestCase):
    """Guards against small pieces that take more than their part of the time."""

    def test_pieces_of_a_second_are_bounded(self):
        budget = WorkBudget(10_000.0)
        parsed = 0
        for at_ms in range(1_000):
            while budget.available(float(at_ms)) > 0:
                budget.charge(700, float(at_ms))
                parsed += 700
        self.assertLess(parsed, 10_000 + 10_000 * budget.BURST_MS / 1_000 + 700)
        self.assertGreater(parsed, 10_000)
