import random
import unittest

import msgspec

from basilhold.core import RegionName, ServiceName, UpstreamId, VmId, ZoneName
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests import (
    BreakerState,
    Distance,
    HealthLimits,
    RetryBudget,
    Router,
    UpstreamHealth,
)

SERVICE = ServiceName("s")


def make_record(name, zone="z1", region="r1", state=VmState.LIVE):
    return VmRecord(
        VmId(name),
        VmKind.UPSTREAM,
        state,
        RegionName(region),
        ZoneName(zone),
        "rack",
        "127.0.0.1",
        1,
        service=SERVICE,
        slots=8,
    )


class RouterTest(unittest.TestCase):
    """Checks that distant, failing and leaving upstreams get few requests or none.

    Requests to another region use a paid link.
    """

    def make_router(self, *records):
        router = Router(ZoneName("z1"), RegionName("r1"), random.Random(0))
        router.update(records)
        for item in records:
            router.set_idle_count(UpstreamId(item.vm_id), 8)
        return router

    def test_nearest_upstream_is_chosen_first(self):
        near, mid, far = (
            make_record("a"),
            make_record("b", "z2"),
            make_record("c", "z3", "r2"),
        )
        router = self.make_router(near, mid, far)
        self.assertEqual(router.choose(SERVICE, 0).upstream_id, "a")
        router.set_idle_count(UpstreamId("a"), 0)
        self.assertEqual(router.choose(SERVICE, 0).upstream_id, "b")
        router.set_idle_count(UpstreamId("b"), 0)
        self.assertIsNone(router.choose(SERVICE, 0, Distance.SAME_REGION))
        self.assertEqual(router.choose(SERVICE, 0).upstream_id, "c")

    def test_leaving_upstream_gets_no_new_requests(self):
        router = self.make_router(make_record("a"), make_record("b"))
        router.report_leaving(UpstreamId("a"), 1000)
        router.update([make_record("a"), make_record("b", state=VmState.LEAVING)])
        self.assertIsNone(router.choose(SERVICE, 0))
        self.assertEqual(router.choose(SERVICE, 1001).upstream_id, "a")

    def test_upstream_that_fails_fast_attracts_no_traffic(self):
        router = self.make_router(*(make_record(f"u{n}") for n in range(4)))
        counts = {}
        for now_ms in range(0, 60_000, 10):
            upstream = router.choose(SERVICE, now_ms)
            counts[upstream.upstream_id] = counts.get(upstream.upstream_id, 0) + 1
            upstream.health.record_start()
            if upstream.upstream_id == "u0":
                upstream.health.record_failure(now_ms)
            else:
                upstream.health.record_success(now_ms)
        self.assertLess(counts["u0"], 0.01 * sum(counts.values()))

    def test_upstream_with_new_address_has_no_failure_history(self):
        router = self.make_router(make_record("a"))
        router.find(UpstreamId("a")).health.record_failure(0)
        moved = msgspec.structs.replace(make_record("a"), port=2)
        router.update([moved])
        self.assertEqual(router.find(UpstreamId("a")).health.failure_rate, 0)


class HealthTest(unittest.TestCase):
    """Checks that a recovering upstream is not overloaded.

    Only one request at a time is used as a probe, since it is likely to fail.
    """

    def make_health(self):
        return UpstreamHealth(HealthLimits(), random.Random(0))

    def test_one_probe_then_slow_start(self):
        health = self.make_health()
        for _ in range(5):
            health.record_failure(0)
        self.assertIs(health.state, BreakerState.OPEN)
        self.assertEqual(health.weight(500), 0)
        self.assertEqual(health.weight(1300), 1)
        health.record_start()
        self.assertEqual(health.weight(1300), 0)
        health.record_success(1300)
        self.assertLessEqual(health.weight(1300), 0.1)
        self.assertEqual(health.weight(1300 + 10_000), 1)

    def test_delay_before_a_probe_doubles_up_to_its_bound(self):
        health = self.make_health()
        for _ in range(5):
            health.record_failure(0)
        delays = []
        for _ in range(8):
            now_ms = health.open_until_ms
            health.record_start()
            health.record_failure(now_ms)
            delays.append(health.open_until_ms - now_ms)
        self.assertGreater(delays[1], delays[0])
        self.assertLessEqual(max(delays), 30_000 * 1.25)

    def test_abandoned_probe_does_not_block_the_upstream(self):
        health = self.make_health()
        for _ in range(5):
            health.record_failure(0)
        health.record_start()
        health.record_abandonment(2000)
        self.assertEqual(health.weight(2000 + 30_000), 1)


class RetryBudgetTest(unittest.TestCase):
    """Checks that retries do not multiply the load of a failing service."""

    def test_retries_never_exceed_a_tenth_of_requests(self):
        budget = RetryBudget(random.Random(0))
        for _ in range(1000):
            budget.count_request()
            while budget.try_consume():
                pass
            self.assertLessEqual(budget.retry_count, 0.1 * budget.request_count)
        self.assertEqual(budget.retry_count, 100)

    def test_time_without_failures_does_not_permit_burst_of_retries(self):
        budget = RetryBudget(random.Random(0))
        for _ in range(10_000):
            budget.count_request()
        taken = 0
        while budget.try_consume():
            taken += 1
        self.assertEqual(taken, 10)
