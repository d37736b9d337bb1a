"""Parts of quotas that pass between services."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilhold.core import Resources, ServiceName
from basilhold.tenants import (
    AllotmentLedger,
    BlockedDemand,
    DemandPolicy,
    EqualPartsPolicy,
    LedgerPolicy,
    Parts,
    QuotaBook,
    Tenant,
    TenantName,
    TenantRegistry,
    TenantRequest,
    TenantUsage,
)
from basilhold.tenants.allotment_policy import AllotmentView, PartsRequest
from basilhold.tenants.allotments import NOTHING, WHOLE
from basilhold.testing.quota_explorer import Variant, explore

NORTH = TenantName("north")
HOME, OTHER = ServiceName("home"), ServiceName("other")
HALF = Parts(500_000, 500_000, 500_000)


def commit(ledger, rows):
    """Store the changes of a ledger."""
    changes = ledger.take_changes()
    rows.update(changes.rows)
    ledger.mark_stored(changes)


class AllotmentLedgerTest(unittest.TestCase):
    """Guards against parts that are used twice, or lost."""

    def setUp(self):
        self.rows = {}
        self.home = AllotmentLedger(HOME, True, {})
        self.other = AllotmentLedger(OTHER, False, {})

    def test_home_holds_everything_at_first(self):
        self.assertEqual(self.home.held(NORTH), WHOLE)
        self.assertEqual(self.other.held(NORTH), NOTHING)

    def test_nothing_is_told_before_it_is_stored(self):
        self.home.send(NORTH, OTHER, HALF)
        self.assertEqual(self.home.held(NORTH), HALF)
        self.assertEqual(self.home.stored_sent(OTHER), {})
        self.assertFalse(self.home.is_stored(OTHER, [NORTH]))
        commit(self.home, self.rows)
        self.assertEqual(self.home.stored_sent(OTHER), {NORTH: HALF})
        self.assertTrue(self.home.is_stored(OTHER, [NORTH]))

    def test_repeated_and_late_messages_change_nothing(self):
        self.assertTrue(self.other.receive(NORTH, HOME, HALF))
        self.assertFalse(self.other.receive(NORTH, HOME, HALF))
        self.assertFalse(self.other.receive(NORTH, HOME, Parts(1, 1, 1)))
        self.assertEqual(self.other.held(NORTH), HALF)

    def test_successor_continues_from_the_stored_rows(self):
        self.home.send(NORTH, OTHER, HALF)
        commit(self.home, self.rows)
        self.home.send(NORTH, OTHER, Parts(100, 0, 0))
        successor = AllotmentLedger(HOME, True, self.rows)
        self.assertEqual(successor.held(NORTH), HALF)
        self.assertEqual(successor.stored_sent(OTHER), {NORTH: HALF})

    def test_what_is_not_held_cannot_be_given(self):
        for parts in (HALF, Parts(-1, 0, 0)):
            with self.assertRaises(ValueError):
                self.other.send(NORTH, HOME, parts)

    def test_quota_of_removed_tenant_is_kept(self):
        self.home.note_quota(Tenant(NORTH, 1.0, Resources(500)))
        commit(self.home, self.rows)
        successor = AllotmentLedger(HOME, True, self.rows)
        self.assertEqual(successor.last_quota(NORTH), Resources(500))

    def test_tenants_are_spread_over_rows(self):
        for number in range(1_000):
            self.home.send(TenantName(f"t{number}"), OTHER, HALF)
        rows = self.home.take_changes().rows
        self.assertEqual(len(rows), 64)
        self.assertLess(max(map(len, rows.values())), 6_000)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("give", "return", "hear", "store", "replace")),
                st.integers(0, 1),
                st.integers(1, 1_000_000),
            ),
            max_size=40,
        )
    )
    def test_sum_never_exceeds_the_quota(self, actions):
        names = (HOME, OTHER)
        rows = ({}, {})
        ledgers = [AllotmentLedger(n, n == HOME, {}) for n in names]
        messages = [(n, NOTHING) for n in names]
        for action, at, amount in actions:
            ledger, peer = ledgers[at], names[1 - at]
            if action in ("give", "return"):
                parts = Parts(amount, amount, 0).at_most(ledger.held(NORTH))
                ledger.send(NORTH, peer, parts.at_least(NOTHING))
            elif action == "store":
                commit(ledger, rows[at])
                total = ledger.stored_sent(peer).get(NORTH, NOTHING)
                messages.append((names[at], total))
            elif action == "hear":
                sender, total = messages[amount % len(messages)]
                if sender == peer:
                    ledger.receive(NORTH, sender, total)
            else:
                ledgers[at] = AllotmentLedger(names[at], at == 0, rows[at])
            held = ledgers[0].held(NORTH) + ledgers[1].held(NORTH)
            self.assertEqual(held.at_most(WHOLE), held)


class ExplorerTest(unittest.TestCase):
    """Guards against faults of the exchange in any order of its steps."""

    def test_no_order_of_steps_exceeds_the_quota(self):
        result = explore()
        self.assertEqual(result.violation, [])
        self.assertGreater(result.state_count, 1_000)

    def test_each_faulty_variant_is_found(self):
        for variant in Variant:
            if variant is not Variant.AS_BUILT:
                with self.subTest(variant.value):
                    self.assertTrue(explore(variant).violation)


class AllotmentPolicyTest(unittest.TestCase):
    """Guards against services that hold what others wait for."""

    def test_demand_policy_gives_all_that_is_free_to_waiting_work(self):
        view = AllotmentView(WHOLE, used=Parts(100_000, 0, 0), peak=HALF)
        given = DemandPolicy().grant(view, PartsRequest(WHOLE), 2)
        self.assertEqual(given, Parts(900_000, 1_000_000, 1_000_000))

    def test_demand_policy_keeps_headroom_from_work_that_is_only_expected(self):
        view = AllotmentView(WHOLE, peak=HALF)
        given = DemandPolicy().grant(view, PartsRequest(wanted=WHOLE), 2)
        self.assertEqual(given, Parts(250_000, 250_000, 250_000))

    def test_protected_work_keeps_its_quota(self):
        view = AllotmentView(WHOLE, protected=True)
        for policy in (DemandPolicy(), LedgerPolicy()):
            self.assertEqual(policy.grant(view, PartsRequest(HALF), 2), NOTHING)

    def test_equal_parts_are_never_exceeded(self):
        policy = EqualPartsPolicy()
        request = policy.request(AllotmentView(NOTHING, missing=WHOLE), 2)
        self.assertEqual(request, PartsRequest(wanted=HALF))
        view = AllotmentView(HALF)
        self.assertEqual(policy.grant(view, PartsRequest(WHOLE, WHOLE), 2), NOTHING)


class QuotaBookTest(unittest.TestCase):
    """Guards against wrong bounds of one service."""

    def setUp(self):
        self.usage = TenantUsage()
        self.book = QuotaBook(self.usage, DemandPolicy())
        quota = Resources(1_000, 0, 0)
        self.book.update_registry(TenantRegistry([(Tenant(NORTH, 1.0, quota), ())]))

    def test_nothing_may_start_before_the_allotments_are_read(self):
        self.assertEqual(self.book.room(NORTH), Resources())

    def test_room_is_what_is_held_less_what_is_used(self):
        self.book.open(AllotmentLedger(HOME, True, {}))
        self.usage.add(NORTH, Resources(300, 7, 0))
        room = self.book.room(NORTH)
        self.assertEqual(room.cores_milli, 700)
        self.assertGreater(room.memory_bytes, 1 << 60)

    def test_deployment_without_tenants_has_no_limits(self):
        self.book.update_registry(None)
        self.assertIsNone(self.book.room(NORTH))
        self.assertIsNone(self.book.room(TenantName("")))

    def test_one_of_two_waiting_services_gives_way(self):
        books = []
        for service in (HOME, OTHER):
            book = QuotaBook(TenantUsage(), DemandPolicy())
            book.update_registry(self.book.registry)
            book.open(AllotmentLedger(service, True, {}))
            demand = BlockedDemand(Resources(800), (0.0, 100.0))
            book.note_blocked({NORTH: demand}, 0.0)
            books.append(book)
        request = {NORTH: TenantRequest(PartsRequest(HALF), (0.0, 100.0))}
        given = [
            bool(books[0].grant(OTHER, request, 2, 100.0)),
            bool(books[1].grant(HOME, request, 2, 100.0)),
        ]
        self.assertEqual(sorted(given), [False, True])
        self.assertTrue(books[0].grant(OTHER, request, 2, 5_000.0))
