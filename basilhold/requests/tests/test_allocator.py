import unittest

from basilhold.core import Epoch, ProcessId, RegionName, ServiceName, VmId, ZoneName
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.requests import (
    GatewayIdentity,
    SlotAllocator,
    SlotHolder,
    Takeover,
)

ZONE, REGION = ZoneName("z1"), RegionName("r1")
SERVICE = ServiceName("s")
HORIZON_UNIX_MS = 10_000_000


def make_record(name, state=VmState.LIVE):
    return VmRecord(
        VmId(name),
        VmKind.UPSTREAM,
        state,
        REGION,
        ZONE,
        "",
        "h",
        1,
        service=SERVICE,
        slots=8,
    )


def make_allocator(epoch=1, takeover=None, upstreams=2):
    allocator = SlotAllocator(ZONE, REGION, Epoch(epoch), takeover)
    allocator.set_horizon(HORIZON_UNIX_MS)
    allocator.update_upstreams([make_record(f"u{n}") for n in range(upstreams)])
    return allocator


class Gateway:
    def __init__(self, name, vm=None, region=REGION, started=0):
        self.id = ProcessId(name)
        self.holder = SlotHolder(
            GatewayIdentity(self.id, VmId(vm or name), ZONE, region, started)
        )

    def next_report(self, demand=0, **options):
        return self.holder.next_report(ZONE, [(SERVICE, demand)], **options)

    def exchange(self, allocator, now=0, demand=0):
        report = self.next_report(demand, now_unix_ms=now)
        is_applied = allocator.apply_report(report, now)
        reply = (
            allocator.reply(self.id, now)
            if is_applied
            else allocator.rejection_reply(report)
        )
        self.holder.apply(ZONE, reply)
        return self.held_count

    @property
    def held_count(self):
        return len(self.holder.held(ZONE))


class AllocatorTest(unittest.TestCase):
    """Checks that no slot is granted twice, and that no slot is lost for good.

    Gateways and owners start, stop, fail and are replaced, and messages are lost or
    delayed. Each upstream has 8 slots.
    """

    def test_all_slots_are_granted_and_spread_evenly(self):
        allocator = make_allocator()
        one, two = Gateway("g1"), Gateway("g2")
        self.assertEqual(one.exchange(allocator), 16)
        for _ in range(3):
            two.exchange(allocator)
            one.exchange(allocator)
        self.assertEqual(one.held_count + two.held_count, 16)
        self.assertGreaterEqual(two.held_count, 4)

    def test_idle_slots_move_to_waiting_gateway_in_one_round(self):
        allocator = make_allocator()
        idle, busy = Gateway("g1"), Gateway("g2")
        idle.exchange(allocator)
        busy.exchange(allocator, demand=10)
        self.assertTrue(allocator.has_pending_changes(idle.id))
        idle.exchange(allocator)
        idle.exchange(allocator)
        self.assertTrue(allocator.has_pending_changes(busy.id))
        self.assertEqual(busy.exchange(allocator, demand=10), 10)

    def test_gateways_of_another_region_get_slots_only_on_demand(self):
        allocator = make_allocator()
        home, away = Gateway("g1"), Gateway("g2", region=RegionName("r2"))
        home.exchange(allocator)
        self.assertEqual(away.exchange(allocator), 0)
        away.exchange(allocator, demand=2)
        home.exchange(allocator)
        home.exchange(allocator)
        self.assertEqual(away.exchange(allocator, demand=2), 2)

    def test_delayed_report_releases_no_slots(self):
        allocator = make_allocator()
        gateway, other = Gateway("g1"), Gateway("g2")
        old = gateway.next_report()
        gateway.exchange(allocator)
        self.assertFalse(allocator.apply_report(old, 0))
        self.assertEqual(other.exchange(allocator, demand=8), 0)

    def test_slots_of_lost_grant_are_granted_again(self):
        allocator = make_allocator()
        gateway = Gateway("g1")
        report = gateway.next_report()
        allocator.apply_report(report, 0)
        allocator.reply(gateway.id, 0)
        self.assertEqual(gateway.exchange(allocator), 16)

    def test_slots_of_failed_gateway_are_kept_until_its_vm_is_gone(self):
        allocator = make_allocator()
        dead, other = Gateway("g1"), Gateway("g2")
        dead.exchange(allocator)
        allocator.update_entry_vms(frozenset({"g2"}), 1000)
        self.assertEqual(other.exchange(allocator, 30_000, demand=8), 0)
        self.assertEqual(other.exchange(allocator, 31_001, demand=8), 8)

    def test_restarted_gateway_replaces_its_predecessor(self):
        allocator = make_allocator()
        old, new = Gateway("g1", "vm", started=1), Gateway("g2", "vm", started=2)
        late = old.next_report()
        old.exchange(allocator)
        new.exchange(allocator, 100)
        self.assertEqual(new.exchange(allocator, 1200), 16)
        self.assertFalse(allocator.apply_report(late, 1300))
        self.assertFalse(allocator.apply_report(old.next_report(), 1300))

    def test_successor_freezes_unclaimed_slots(self):
        first = make_allocator()
        one, two = Gateway("g1"), Gateway("g2")
        one.exchange(first)
        takeover = Takeover(0, HORIZON_UNIX_MS, frozenset({VmId("g1"), VmId("g2")}))
        second = make_allocator(2, takeover)
        self.assertEqual(two.exchange(second, 20_000, demand=4), 0)
        one.exchange(second, 20_001)
        self.assertEqual(second.frozen_count(), 0)
        one.exchange(second, 20_002)
        two.exchange(second, 20_003, demand=4)
        self.assertEqual((one.held_count, two.held_count), (12, 4))
        # The gateway has seen the new epoch and ignores replies of the predecessor.
        one.exchange(first, 20_004)
        self.assertEqual(one.held_count, 12)
        self.assertEqual(one.holder.epoch(ZONE), 2)

    def test_unclaimed_slots_are_free_after_the_predecessors_horizon(self):
        takeover = Takeover(0, 100_000, frozenset({VmId("lost")}))
        allocator = make_allocator(2, takeover)
        gateway = Gateway("g1")
        self.assertEqual(gateway.exchange(allocator, 160_000), 0)
        self.assertEqual(gateway.exchange(allocator, 161_001), 16)

    def test_replaced_owner_refuses_reports_of_newer_epoch(self):
        old, new = make_allocator(1), make_allocator(2)
        gateway = Gateway("g1")
        gateway.exchange(new)
        report = gateway.next_report()
        self.assertFalse(old.apply_report(report, 0))
        self.assertTrue(old.rejection_reply(report).refused_epoch)

    def test_leaving_upstreams_slots_are_recalled_from_all(self):
        allocator = make_allocator()
        one, two = Gateway("g1"), Gateway("g2")
        one.exchange(allocator)
        two.exchange(allocator, demand=4)
        one.exchange(allocator)
        one.exchange(allocator)
        two.exchange(allocator, demand=4)
        report = two.next_report(leaving_upstream_ids=("u0",))
        allocator.apply_report(report, 0)
        two.holder.apply(ZONE, allocator.reply(two.id, 0))
        for gateway in (one, two):
            gateway.exchange(allocator)
            left = {t.upstream_id for t in gateway.holder.held(ZONE)}
            self.assertNotIn("u0", left)

    def test_stopping_gateway_is_granted_nothing(self):
        allocator = make_allocator()
        gateway, other = Gateway("g1"), Gateway("g2")
        gateway.exchange(allocator)
        gateway.holder.return_idle(ZONE)
        self.assertFalse(allocator.apply_report(gateway.next_report(leaving=True), 0))
        self.assertEqual(other.exchange(allocator), 16)

    def test_gateway_removed_while_its_report_waits_gets_empty_reply(self):
        allocator = make_allocator()
        gone, other = Gateway("g1"), Gateway("g2")
        allocator.apply_report(gone.next_report(), 0)
        allocator.update_entry_vms(frozenset({"g2"}), 0)
        other.exchange(allocator, 30_001)
        self.assertEqual(allocator.reply(gone.id, 30_001).granted, ())
