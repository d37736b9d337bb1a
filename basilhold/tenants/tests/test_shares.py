"""Recorded use of tenants, and the division of capacity among them."""

import math
import unittest

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.tenants import (
    AllotmentLedger,
    DemandPolicy,
    Parts,
    QuotaBook,
    Tenant,
    TenantDemand,
    TenantName,
    TenantRegistry,
    TenantShares,
    TenantUsage,
    UseReport,
    due_level,
    share_weights,
)
from basilhold.tenants.allotments import RecordedUse

BUCKET = 15
"""Bucket of the tenant `NORTH`."""

OTHER = ServiceName("inspect")
NORTH, SOUTH = TenantName("north"), TenantName("south")
CAPACITY = (1_000.0, 1_000.0, 10.0)


def make_demand(cores, weight=1.0, memory=0.0, gpus=0.0):
    amounts = (cores, memory, gpus)
    share = max(a / c for a, c in zip(amounts, CAPACITY, strict=True))
    return TenantDemand(weight, amounts, share)


class EarlierRecord(msgspec.Struct):
    """Record of a tenant in the allotments, before its use was stored in it."""

    sent: dict[ServiceName, Parts] = {}
    received: dict[ServiceName, Parts] = {}
    quota: Resources = Resources()


class DueLevelTest(unittest.TestCase):
    """Guards against capacity that is due to nobody, or to several tenants."""

    def check_level(self, expected, *demands):
        self.assertAlmostEqual(due_level(demands, CAPACITY), expected)

    def test_small_demand_is_served_and_the_rest_divided_by_weight(self):
        self.check_level(0.5, make_demand(5_000.0), make_demand(5_000.0))
        self.check_level(0.25, make_demand(5_000.0, 3.0), make_demand(5_000.0))
        self.check_level(0.9, make_demand(100.0), make_demand(5_000.0))

    def test_tenant_alone_is_due_everything(self):
        self.check_level(1.0, make_demand(5_000.0))

    def test_enough_capacity_has_no_level(self):
        self.check_level(math.inf, make_demand(400.0), make_demand(600.0))

    def test_scarce_resource_counts(self):
        self.check_level(
            0.5, make_demand(10.0, gpus=10.0), make_demand(10.0, gpus=10.0)
        )


class ShareWeightsTest(unittest.TestCase):
    """Guards against a mistake in the configuration that takes shares from others."""

    def test_invalid_weights_get_the_lowest_share(self):
        values = [0.25, 9.0, 0.0, -1.0, math.nan, math.inf]
        tenants = [Tenant(TenantName(str(v)), v) for v in values]
        weights = share_weights(TenantRegistry((t, ()) for t in tenants))
        self.assertEqual(list(weights.values()), [0.25, 9.0, *[0.25] * 4])

    def test_default_is_one(self):
        tenants = [Tenant(NORTH, 4.0), Tenant(SOUTH, 0.0)]
        weights = share_weights(TenantRegistry((t, ()) for t in tenants))
        self.assertEqual(weights, {NORTH: 4.0, SOUTH: 1.0})
        self.assertEqual(share_weights(None), {})


class TenantSharesTest(unittest.TestCase):
    """Guards against bursts that are forgotten at once or held against a tenant."""

    def setUp(self):
        self.usage = TenantUsage()
        self.shares = TenantShares(self.usage)

    def charged_cores(self):
        return self.shares.charged(NORTH)[0]

    def test_use_is_charged_at_once_and_decays_after_its_end(self):
        size = Resources(1_000)
        self.usage.add(NORTH, size)
        self.assertAlmostEqual(self.charged_cores(), 1_000.0)
        self.shares.observe(0.0)
        self.usage.subtract(NORTH, size)
        self.shares.observe(400.0)
        short_cores = self.charged_cores()
        self.assertAlmostEqual(short_cores, 1_000.0 * (1 - math.exp(-0.1)))
        self.shares.observe(4_400.0)
        self.assertAlmostEqual(self.charged_cores(), short_cores / math.e)
        self.shares.observe(200_000.0)
        self.assertEqual(self.shares.tenants(), set())

    def test_use_elsewhere_counts_and_decays_without_reports(self):
        self.shares.observe(10_000.0)
        report = UseReport(9_900.0, CAPACITY, {NORTH: (800.0, 0.0, 0.0)})
        self.shares.receive(OTHER, report)
        self.assertEqual(self.shares.charged_everywhere(NORTH)[0], 800.0)
        self.assertEqual(self.shares.total_capacity(CAPACITY)[0], 2_000.0)
        self.shares.observe(11_900.0)
        self.assertEqual(self.shares.elsewhere(NORTH)[0], 800.0)
        self.shares.observe(15_900.0)
        self.assertAlmostEqual(self.shares.elsewhere(NORTH)[0], 800.0 / math.e)
        self.shares.observe(60_000.0)
        self.assertLess(self.shares.elsewhere(NORTH)[0], 0.1)
        self.assertEqual(self.shares.total_capacity(CAPACITY), CAPACITY)

    def test_late_and_repeated_reports_change_nothing(self):
        self.shares.observe(10_000.0)
        old = UseReport(9_000.0, CAPACITY, {NORTH: (900.0, 0.0, 0.0)})
        new = UseReport(9_500.0, CAPACITY, {NORTH: (100.0, 0.0, 0.0)})
        for report in (new, old, new):
            self.shares.receive(OTHER, report)
            self.assertEqual(self.shares.elsewhere(NORTH)[0], 100.0)

    def test_report_from_the_future_does_not_block_later_ones(self):
        self.shares.observe(10_000.0)
        self.shares.receive(OTHER, UseReport(90_000.0, CAPACITY, {}))
        self.shares.observe(11_000.0)
        report = UseReport(10_900.0, CAPACITY, {NORTH: (100.0, 0.0, 0.0)})
        self.shares.receive(OTHER, report)
        self.assertEqual(self.shares.elsewhere(NORTH)[0], 100.0)

    def test_use_survives_a_takeover(self):
        ledger = AllotmentLedger(OTHER, True, {})
        book = QuotaBook(self.usage, DemandPolicy())
        book.open(ledger)
        self.usage.add(NORTH, Resources(800))
        for now_ms in (0.0, 40_000.0):
            book.shares.observe(now_ms)
        book.record_shares(CAPACITY, 40_000.0)
        rows = ledger.take_changes().rows
        successor = QuotaBook(TenantUsage(), DemandPolicy())
        successor.open(AllotmentLedger(OTHER, True, rows))
        successor.shares.observe(42_000.0)
        successor.restore_shares()
        charged = successor.shares.charged(NORTH)[0]
        self.assertAlmostEqual(charged, 800.0 * math.exp(-0.5), delta=1.0)
        # What is negligible is no longer stored.
        successor.shares.observe(200_000.0)
        successor.record_shares(CAPACITY, 200_000.0)
        self.assertNotIn(b"use", successor.ledger.take_changes().rows[BUCKET])

    def test_rows_are_readable_by_earlier_versions_and_those_of_them_here(self):
        ledger = AllotmentLedger(OTHER, True, {})
        ledger.send(NORTH, OTHER, Parts(1, 1, 1))
        ledger.record_use(NORTH, RecordedUse(1, 2, 3, 4))
        row = ledger.take_changes().rows[BUCKET]
        (record,) = msgspec.json.decode(row, type=dict[str, EarlierRecord]).values()
        self.assertEqual(record.sent, {OTHER: Parts(1, 1, 1)})
        row = msgspec.json.encode({NORTH: record})
        ledger = AllotmentLedger(OTHER, True, {BUCKET: row})
        self.assertEqual((ledger.damaged, ledger.recorded_uses()), (set(), {}))

    def test_clock_that_is_set_back_changes_nothing(self):
        self.usage.add(NORTH, Resources(1_000))
        for now_ms in (0.0, 4_000.0):
            self.shares.observe(now_ms)
        before = self.charged_cores()
        self.shares.observe(-60_000.0)
        self.assertEqual(self.charged_cores(), before)
