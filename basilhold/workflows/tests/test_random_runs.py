"""Randomised runs of workflows under faults, with fixed seeds."""

import unittest

from basilhold.testing.workflow_runs import run_seed

SEEDS = range(24)

FAILED_ONCE = {
    11: "a lapsed lease does not bind an owner to an end that it could not know",
    22: "a start reached a restarted worker and ran beside its replacement",
    32: "a restarted worker forgot an end under its predecessor's acknowledgement",
    64: "a run carried over to a new incarnation was never released",
    195: "a stop confirmed by a new incarnation kept the run of the old one for ever",
}


class RandomRunsTest(unittest.TestCase):
    """Guards against tasks that run twice, too early, too often or never again."""

    def check(self, seed):
        report = run_seed(seed)
        self.assertEqual(report.violations, [], "; ".join(report.faults))
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.starts, 0)

    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    def test_seeds_that_failed_once(self):
        for seed, cause in FAILED_ONCE.items():
            with self.subTest(seed=seed, cause=cause):
                self.check(seed)
