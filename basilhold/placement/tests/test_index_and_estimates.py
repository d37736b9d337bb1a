import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from basilhold.core import Resources, WorkerId, WorkerRecord, ZoneName
from basilhold.placement import ClassEstimates, planning_pass
from basilhold.placement.tests.builders import FakeShardOwner, job, size
from basilhold.placement.worker_index import WorkerIndex
from basilhold.placement.workers import WorkerState

AMOUNTS = st.tuples(
    st.integers(0, 64_000), st.integers(0, 256 << 30), st.sampled_from([0, 500, 8000])
)


class WorkerIndexTest(unittest.TestCase):
    """Guards against workers with room that the index does not find."""

    @given(st.lists(AMOUNTS, max_size=30), AMOUNTS)
    def test_finds_exactly_the_workers_with_room(self, amounts, task_amounts):
        index, expected = WorkerIndex(), set()
        task_size = Resources(*task_amounts)
        capacities = [size(64, 256, 8), size(64, 256)]
        for number, (cores, memory, gpus) in enumerate(amounts):
            capacity = capacities[gpus == 0]
            name = WorkerId(f"w{number}")
            worker = WorkerState(WorkerRecord(name, ZoneName("z"), "r", capacity))
            index.put(worker, 0, 0, 0)
            index.put(worker, cores, memory, gpus)
            if task_size.fits_in(Resources(cores, memory, gpus)):
                expected.add(name)
        found = [worker.worker_id for worker in index.fitting(task_size)]
        self.assertEqual(sorted(found), sorted(expected))


class PassCostTest(unittest.TestCase):
    """Guards against planning passes that search workers anew for each waiting task."""

    def test_worker_is_chosen_once_for_a_size_that_fits_nowhere(self):
        owner = FakeShardOwner(*((f"w{n}", size(4, 16), "r1") for n in range(50)))
        for number in range(500):
            owner.submit(job(f"j{number}", size(8, 4), tasks=4, team=f"t{number % 9}"))
        with mock.patch.object(
            planning_pass, "choose_worker", wraps=planning_pass.choose_worker
        ) as choose_worker:
            owner.plan(1000)
            self.assertEqual(choose_worker.call_count, 1)
            owner.plan(2000)
            self.assertEqual(choose_worker.call_count, 1)

    def test_blocked_size_is_tried_again_when_a_task_ends(self):
        owner = FakeShardOwner(("w1", size(4, 16), "r1"))
        owner.submit(job("a", size(4)), job("b", size(4), submitted=1))
        owner.plan(2)
        self.assertEqual(owner.plan(3).placements, ())
        owner.end_task("a#0")
        self.assertEqual(len(owner.plan(4).placements), 1)


class ClassEstimatesTest(unittest.TestCase):
    """Guards against estimates that equal the declarations or do not follow the use."""

    def test_estimate_follows_use_and_discounts_old_reports(self):
        estimates, declared = ClassEstimates(), size(4, 8)
        for _ in range(100):
            estimates.record_use("c", declared, size(1, 2), 60_000)
        use = estimates.expected_use("c", declared)
        self.assertAlmostEqual(use.cores_milli / 4000, 0.25, delta=0.03)
        for _ in range(3000):
            estimates.record_use("c", declared, size(3, 6), 60_000)
        use = estimates.expected_use("c", declared)
        self.assertAlmostEqual(use.cores_milli / 4000, 0.75, delta=0.08)

    def test_reports_from_the_start_of_an_attempt_are_ignored(self):
        estimates, declared = ClassEstimates(), size(4, 8)
        for _ in range(100):
            estimates.record_use("c", declared, size(0.1, 0.1), 2_000)
        self.assertEqual(estimates.expected_use("c", declared), declared)

    def test_expected_use_never_exceeds_the_declaration(self):
        estimates, declared = ClassEstimates(), size(4, 8)
        for _ in range(100):
            estimates.record_use("c", declared, size(40, 80), 60_000)
        self.assertEqual(estimates.expected_use("c", declared), declared)
