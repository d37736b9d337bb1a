import unittest

from absl import logging

from basilhold.testing.sharding_runs import FAULTS, RunPlanner, run_seed


def planner_of(seed):
    """Return the planner of a seed; a quarter runs the planner of production.

    Kinds of cells repeat every 12 seeds, so each kind runs with both planners.
    """
    return RunPlanner.TARGET if seed % 48 < 12 else RunPlanner.FIRST_FIT


class RandomisedTest(unittest.TestCase):
    """Guards all guarantees against faults alone and in pairs."""

    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    def test_seeds(self):
        taken = set()
        for seed in range(300):
            with self.subTest(seed=seed):
                taken.update(run_seed(seed, planner_of(seed)).faults)
        self.assertEqual(taken, set(FAULTS), "not every fault took part")

    def test_equal_seeds_give_equal_logs(self):
        for seed in (3, 8, 21):
            self.assertEqual(run_seed(seed), run_seed(seed))
        first, second = (run_seed(8, RunPlanner.TARGET) for _ in range(2))
        self.assertEqual(first, second)
