import unittest

from absl import logging

from basilhold.testing.sharding_runs import FAULTS, run_seed


class RandomisedTest(unittest.TestCase):
    """Guards all guarantees against faults alone and in pairs."""

    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    def test_seeds(self):
        taken = set()
        for seed in range(300):
            with self.subTest(seed=seed):
                taken.update(run_seed(seed).faults)
        self.assertEqual(taken, set(FAULTS), "not every fault took part")

    def test_equal_seeds_give_equal_logs(self):
        for seed in (3, 8, 21):
            self.assertEqual(run_seed(seed), run_seed(seed))
