import asyncio

from basilhold.core import (
    Resources,
    RestartPolicy,
    TaskState,
    WorkerId,
    ZoneName,
)
from basilhold.sharding import ShardingSettings
from basilhold.sharding.tests.cell_case import ZONE, CellTestCase
from basilhold.standins import StoreFaults
from basilhold.standins.faults import StoreFate
from basilhold.testing.cell import make_spec

FORBIDDEN = RestartPolicy.FORBIDDEN


class FailureTest(CellTestCase):
    """Causes one failure each on a small cell; the monitor checks the guarantees."""

    async def second_start(self):
        for _ in range(2000):
            if self.cell.monitor.starts.total() > 1:
                return
            await asyncio.sleep(0.1)
        self.fail("no second start")

    async def test_hour_of_store_outage(self):
        """Running tasks must not stop, and ends must not be forgotten."""
        cell = await self.open()
        long = await self.place("long", 2)
        short = await self.place("short", 1, command="medium")
        cell.table.faults.down = True
        await asyncio.sleep(3600)
        self.assertEqual(sum(len(t) for t in cell.running().values()), 2)
        self.assertEqual(self.states(short), [TaskState.PENDING])
        writes = cell.table.write_count
        cell.table.faults.down = False
        await asyncio.sleep(10)
        self.assertEqual(self.states(short), [TaskState.SUCCEEDED])
        self.assertEqual(self.states(long), [TaskState.PENDING] * 2)
        self.assertEqual(set(cell.monitor.starts.values()), {1})
        self.assertLess(cell.table.write_count - writes, 10)
        await self.close()

    async def test_nothing_new_is_placed_during_an_outage(self):
        """A placement whose commit is not known must not start."""
        cell = await self.open()
        cell.table.faults.lost_request_ratio = 1.0
        spec = make_spec("j", 2)
        submission = asyncio.create_task(cell.submit(spec, ZONE))
        await asyncio.sleep(30)
        self.assertTrue((await submission).is_error())
        self.assertEqual(cell.monitor.starts.total(), 0)
        await self.close()

    async def test_lost_reply_of_a_commit(self):
        """An applied commit whose reply is lost must start its tasks once."""
        cell = await self.open()
        spec = make_spec("j", 3)
        await cell.submit(spec, ZONE, notify=False)
        cell.table.faults.lost_reply_ratio = 1.0
        cell.notify(spec.job_id)
        await asyncio.sleep(3)
        cell.table.faults.lost_reply_ratio = 0.0
        await asyncio.sleep(8)
        self.assertGreater(cell.table.faults.counts[StoreFate.LOST_REPLY], 0)
        self.assertEqual(cell.monitor.starts.total(), 3)
        self.assertEqual(set(cell.monitor.starts.values()), {1})
        await self.close()

    async def test_every_other_store_call_fails(self):
        """Work must go on, slower, when half of the store's calls fail."""

        class Alternating(StoreFaults):
            def _draw(self):
                self.odd = not getattr(self, "odd", False)
                return StoreFate.REFUSED if self.odd else StoreFate.DONE

        cell = await self.open()
        faults = Alternating()
        cell.table.faults = faults
        faults.latency_ms = 4.0
        job_ids = [await self.place(f"j{n}", 2, command="short") for n in range(4)]
        await asyncio.sleep(60)
        for job_id in job_ids:
            self.assertEqual(set(self.states(job_id)), {TaskState.SUCCEEDED})
        await self.close()

    async def test_unreachable_worker_is_replaced_after_its_lease(self):
        """A task must not start elsewhere before the granted expiry plus margin."""
        cell = await self.open()
        job_id = await self.place()
        worker = self.worker_of(f"{job_id}#0")
        worker.reachable = False
        expiry_ms = worker.lease_expires_unix_ms
        await self.second_start()
        self.assertGreaterEqual(cell.clock.unix_ms(), expiry_ms + 1000)
        # The renewal that got no answer counts as granted.
        self.assertLess(cell.clock.unix_ms(), expiry_ms + 10_000 + 5000)
        await self.close()

    async def test_at_most_once_task_of_a_lost_worker_is_unknown(self):
        """A task that may have run must never be started again."""
        cell = await self.open()
        job_id = await self.place(restart=FORBIDDEN)
        worker = self.worker_of(f"{job_id}#0")
        worker.reachable = False
        await asyncio.sleep(60)
        worker.reachable = True
        await asyncio.sleep(60)
        self.assertEqual(self.states(job_id), [TaskState.UNKNOWN])
        self.assertEqual(cell.monitor.starts.total(), 1)
        await self.close()

    async def test_successor_holds_unreachable_workers_until_the_horizon(self):
        """The dead owner may have granted leases up to its horizon."""
        cell = await self.open(settings=ShardingSettings(horizon_ms=120_000))
        job_id = await self.place()
        worker = self.worker_of(f"{job_id}#0")
        worker.reachable = False
        owner = cell.owner_name(ZONE)
        horizon_ms = cell.processes[owner].scheduler.owner(ZONE).horizon_unix_ms
        await cell.kill(owner)
        await self.second_start()
        self.assertGreaterEqual(cell.clock.unix_ms(), horizon_ms + 1000)
        self.assertLess(cell.clock.unix_ms(), horizon_ms + 10_000)
        await self.close()

    async def test_attest_lost_skips_the_wait(self):
        """An operator's word that a VM is destroyed frees its tasks at once."""
        cell = await self.open()
        job_id = await self.place()
        worker = self.worker_of(f"{job_id}#0")
        worker.reachable = False
        worker.restart()
        await cell.kill(cell.owner_name(ZONE))
        await asyncio.sleep(60)
        self.assertEqual(cell.monitor.starts.total(), 1)
        scheduler = cell.processes[cell.owner_name(ZONE)].scheduler
        known = scheduler.attest_lost(ZoneName(ZONE), (worker.worker_id, "other"))
        self.assertEqual(known, (worker.worker_id,))
        await asyncio.sleep(3)
        self.assertEqual(cell.monitor.starts.total(), 2)
        await self.close()

    async def test_paused_owner_steps_down(self):
        """An owner that wakes after a takeover must have no effect."""
        cell = await self.open()
        await self.place("a", 2)
        first = cell.processes[cell.owner_name(ZONE)]
        first.gate.pause()
        await asyncio.sleep(15)
        first.gate.resume()
        await asyncio.sleep(10)
        self.assertEqual(first.scheduler.owned_zones(), ())
        self.assertIsNotNone(cell.owner_name(ZONE))
        self.assertEqual(set(cell.monitor.starts.values()), {1})
        await self.close()

    async def test_takeover_after_three_failed_probes(self):
        """A dead owner must be replaced well within the urgent wait of 9.1 s."""
        cell = await self.open()
        await cell.kill(cell.owner_name(ZONE))
        await asyncio.sleep(4.5)
        self.assertIsNotNone(cell.owner_name(ZONE))
        await self.close()

    async def test_takeover_without_probes_after_15_s(self):
        """A shard that is not renewed moves even if its owner answers probes."""
        cell = await self.open()
        first = cell.owner_name(ZONE)
        cell.processes[first].store.cut = True
        await asyncio.sleep(23)
        second = next(name for name in cell.processes if name != first)
        owned = cell.processes[second].scheduler.owned_zones()
        self.assertEqual(owned, (ZONE,))
        await self.close()

    async def test_planned_hand_over(self):
        """A planned stop must not disturb tasks or wait for probes."""
        cell = await self.open()
        job_id = await self.place("long", 3)
        worker = self.worker_of(f"{job_id}#0")
        worker.reachable = False
        first = cell.owner_name(ZONE)
        await cell.drain(first)
        self.assertNotIn(cell.owner_name(ZONE), (None, first))
        # The handed-over grants replace the horizon of 75 minutes.
        await asyncio.sleep(45)
        self.assertIs(self.worker_of(f"{job_id}#0").reachable, True)
        await self.close()

    async def test_sudden_loss_in_the_vm_list_moves_nothing(self):
        """A list that loses many VMs at once is not proof of their loss."""
        cell = await self.open()
        job_id = await self.place("long", 4)
        vms = dict(cell.view.vms)
        cell.view.vms.clear()
        await asyncio.sleep(60)
        self.assertEqual(set(cell.monitor.starts.values()), {1})
        await self.place("more", 2)
        self.assertEqual(cell.monitor.starts.total(), 6)
        cell.view.vms.update(vms)
        await asyncio.sleep(5)
        self.assertEqual(self.states(job_id), [TaskState.PENDING] * 4)
        await self.close()

    async def test_rack_loss(self):
        """All tasks of a lost rack move, in few writes."""
        cell = await self.open(zones={ZONE: 6})
        await self.place("long", 8)
        lost = [w for w, vm in cell.view.vms.items() if vm.rack == f"{ZONE}-r0"]
        for worker_id in lost:
            cell.workers[worker_id].reachable = False
            cell.workers[worker_id].restart()
            del cell.view.vms[worker_id]
        writes = cell.table.write_count
        await asyncio.sleep(45)
        self.assertEqual(sum(len(t) for t in cell.running().values()), 8)
        self.assertEqual(cell.monitor.starts.total(), 16)
        self.assertLess(cell.table.write_count - writes, 9 + 8)
        await self.close()

    async def test_worker_that_fails_everything_is_quarantined(self):
        """A bad worker must not use up the attempts of many jobs."""
        cell = await self.open(zones={ZONE: 2})
        bad = cell.workers[WorkerId(f"{ZONE}-w0")]
        bad.fails_everything = True
        job_ids = [await self.place(f"j{n}", 1, command="short") for n in range(12)]
        await asyncio.sleep(100)
        row = cell.processes[cell.owner_name(ZONE)].scheduler.owner(ZONE)
        record = row.tables.workers[bad.worker_id].record
        self.assertGreater(record.quarantined_until_unix_ms, 0)
        for job_id in job_ids:
            self.assertEqual(self.states(job_id), [TaskState.SUCCEEDED])
        self.assertLess(bad.start_count, 20)
        await self.close()

    async def test_task_that_fails_on_three_workers_fails_for_good(self):
        """A job that can never run must end, and quarantine no worker."""
        cell = await self.open(zones={ZONE: 3})
        job_id = await self.place("bad", 1, command="fails")
        await asyncio.sleep(200)
        self.assertEqual(self.states(job_id), [TaskState.FAILED])
        owner = cell.processes[cell.owner_name(ZONE)].scheduler.owner(ZONE)
        for worker in owner.tables.workers.values():
            self.assertEqual(worker.record.quarantined_until_unix_ms, 0)
        await self.close()

    async def test_thousand_cancellations_cost_few_writes(self):
        """A wave of cancellations must not cost a write each."""
        cell = await self.open()
        specs = [make_spec(f"j{n}", 1) for n in range(1000)]
        await asyncio.gather(*(cell.submit(spec, ZONE) for spec in specs))
        await asyncio.sleep(3)
        writes = cell.table.write_count
        await asyncio.gather(*(cell.intake.cancel(spec.job_id) for spec in specs))
        cell.notify(*(spec.job_id for spec in specs))
        await asyncio.sleep(4)
        self.assertEqual(cell.unfinished(), [])
        self.assertLess(cell.table.write_count - writes, 30)
        not_run = sum(cell.job(s.job_id).tasks[0].reason == "not run" for s in specs)
        self.assertEqual(not_run, 1000 - cell.monitor.starts.total())
        await self.close()

    async def test_cancel_mark_in_a_race_with_a_commit(self):
        """A conflict on one job's row must not hold up the rest of the batch."""
        cell = await self.open()
        job_ids = [await self.place(f"j{n}", 1, command="medium") for n in range(6)]
        cell.table.faults.latency_ms = 800
        await asyncio.sleep(24)
        await asyncio.gather(*(cell.intake.cancel(j) for j in job_ids[:3]))
        await asyncio.sleep(30)
        self.assertEqual(cell.unfinished(), [])
        await self.close()

    async def test_job_that_does_not_fit_moves_to_another_zone(self):
        """A pending job must not wait where no room is while another zone has it."""
        cell = await self.open(
            zones={ZONE: 1, "ruse": 2}, processes={"s0": "a", "s1": "b"}
        )
        await self.place("fill", 4, wait_target_ms=60_000_000)
        job_id = await self.place("late", 2, wait_target_ms=10_000)
        await asyncio.sleep(15)
        self.assertIsNotNone(self.worker_of(f"{job_id}#0"))
        self.assertTrue(self.worker_of(f"{job_id}#0").worker_id.startswith("ruse"))
        status = await cell.intake.status(job_id)
        self.assertEqual(len(status.ok.parts), 1)
        await self.close()

    async def test_lost_notice_is_found_by_the_scan(self):
        """A job whose notice is lost must start all the same."""
        cell = await self.open()
        await cell.submit(make_spec("quiet", 1), ZONE, notify=False)
        await asyncio.sleep(62)
        self.assertEqual(cell.monitor.starts.total(), 1)
        await self.close()

    async def test_worker_smaller_than_listed(self):
        """A size that the VM list overstates must not hold tasks for ever."""
        cell = await self.open(zones={ZONE: 2})
        small = cell.workers[WorkerId(f"{ZONE}-w0")]
        small.capacity = Resources(1_000, 1 << 30, 0)
        await self.place("j", 4)
        await asyncio.sleep(30)
        self.assertEqual(sum(len(t) for t in cell.running().values()), 4)
        owner = cell.processes[cell.owner_name(ZONE)].scheduler.owner(ZONE)
        record = owner.tables.workers[small.worker_id].record
        self.assertEqual(record.capacity, small.capacity)
        await self.close()

    async def test_zone_loss(self):
        """All tasks of a lost zone are held or moved by leases, with few writes."""
        cell = await self.open(zones={ZONE: 6})
        job_id = await self.place("long", 12)
        for worker in cell.workers.values():
            worker.reachable = False
            worker.restart()
        cell.view.vms.clear()
        writes = cell.table.write_count
        await asyncio.sleep(60)
        self.assertEqual(self.states(job_id), [TaskState.PENDING] * 12)
        self.assertEqual(cell.monitor.starts.total(), 12)
        for number in range(3):
            cell.add_worker(ZONE, 100 + number)
        for worker in list(cell.workers.values())[-3:]:
            cell.monitor.watch(worker)
        await asyncio.sleep(10)
        self.assertEqual(sum(len(t) for t in cell.running().values()), 12)
        self.assertLess(cell.table.write_count - writes, 70 / 5 + 15)
        await self.close()

    async def test_slow_store(self):
        """A store that takes 3 s for each operation must not cost ownership."""
        cell = await self.open()
        owner = cell.owner_name(ZONE)
        cell.table.faults.latency_ms = 3_000
        specs = [make_spec(f"j{n}", 2, command="short") for n in range(4)]
        await asyncio.gather(*(cell.submit(spec, ZONE) for spec in specs))
        await asyncio.sleep(60)
        self.assertEqual(cell.unfinished(), [])
        self.assertEqual(cell.owner_name(ZONE), owner)
        await self.close()

    async def test_outage_longer_than_the_horizon_stops_tasks(self):
        """No lease may be granted beyond the horizon in the shard's row."""
        cell = await self.open(settings=ShardingSettings(horizon_ms=60_000))
        await self.place("long", 2)
        horizon_ms = cell.clock.unix_ms() + 60_000
        cell.table.faults.down = True
        await asyncio.sleep(75)
        self.assertEqual(sum(len(t) for t in cell.running().values()), 0)
        for worker in cell.workers.values():
            self.assertLessEqual(worker.lease_expires_unix_ms, horizon_ms)
        cell.table.faults.down = False
        await asyncio.sleep(20)
        self.assertEqual(sum(len(t) for t in cell.running().values()), 2)
        await self.close()

    async def test_worker_restart_starts_tasks_again(self):
        """A rebooted worker's tasks must not be believed to run."""
        cell = await self.open()
        job_id = await self.place()
        self.worker_of(f"{job_id}#0").restart()
        await asyncio.sleep(15)
        self.assertEqual(cell.monitor.starts[f"{job_id}#0"], 2)
        await self.close()
