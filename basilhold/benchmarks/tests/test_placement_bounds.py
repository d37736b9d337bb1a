import unittest

from basilhold.benchmarks.placement_loop import ClosedLoop, LoopResult
from basilhold.benchmarks.placement_probes import memory_per_1000_tasks, saturate
from basilhold.benchmarks.placement_workload import DEPLOYMENTS
from basilhold.placement import FirstFitPlanner, Planner, TargetPlanner

RUN_MS = 900_000
SITES = (("trakia", 1), ("fjordlys", 2))


def run(planner: Planner, site: str, seed: int, load: float) -> LoopResult:
    return ClosedLoop(planner, DEPLOYMENTS[site], seed, load, RUN_MS).run()


class TargetsTest(unittest.TestCase):
    """Guards against classes that miss the target that operators gave them."""

    def test_every_class_meets_its_target_at_60_percent_load(self):
        for site, seed in SITES:
            met = run(TargetPlanner(), site, seed, 0.6).met
            self.assertEqual(len(met), 7)
            for name, share in met.items():
                with self.subTest(site=site, class_name=name):
                    self.assertGreaterEqual(share, 0.99)

    def test_overload_keeps_urgent_work_in_time_and_beats_first_fit(self):
        for site, seed in SITES:
            ours = run(TargetPlanner(), site, seed, 1.1)
            first = run(FirstFitPlanner(), site, seed, 1.1)
            with self.subTest(site=site):
                self.assertGreaterEqual(ours.met["urgent"], 0.99)
                self.assertGreaterEqual(ours.mean_met(), first.mean_met())
                self.assertGreaterEqual(ours.mean_packing(), first.mean_packing())
                self.assertEqual(ours.gangs_partial, 0)


class PackingTest(unittest.TestCase):
    """Guards against workers with room that a waiting task would fit in."""

    def test_saturated_workers_are_at_least_as_full_as_with_first_fit(self):
        for site, seed in SITES:
            ours = saturate(TargetPlanner(), DEPLOYMENTS[site], seed)
            first = saturate(FirstFitPlanner(), DEPLOYMENTS[site], seed)
            with self.subTest(site=site):
                self.assertGreaterEqual(ours.fullest, first.fullest)
                self.assertGreaterEqual(ours.cores, first.cores)
                self.assertGreaterEqual(ours.gpus, first.gpus)


class MemoryTest(unittest.TestCase):
    """Guards against a shard whose queue does not fit in a daemon's memory."""

    def test_1000_tasks_stay_within_their_share_of_a_daemons_memory(self):
        for kilobytes in memory_per_1000_tasks(DEPLOYMENTS["tenfold"]):
            self.assertLessEqual(kilobytes, 850)
