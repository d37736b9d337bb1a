"""Plays the load of a full pool with two variants of the decisions."""

import unittest

from basilhold.workflow_trials.trial import run_trial

SEEDS = (1, 2)


class TrialTest(unittest.TestCase):
    """Each test compares what callers get with and without a mechanism."""

    def test_wide_gangs_end_sooner_with_questions_side_by_side(self):
        # Gangs that need seven whole workers, of which three in ten are admitted, asked
        # one question after the other while other machines could have asked too.
        before = [run_trial("one-question", seed) for seed in SEEDS]
        after = [run_trial("as-built", seed) for seed in SEEDS]
        for result in before + after:
            self.assertEqual(result.violations, [])
        wide_before = [result.queues["wide"] for result in before]
        wide_after = [result.queues["wide"] for result in after]
        self.assertLess(
            sum(wide.median_s for wide in wide_after),
            sum(wide.median_s for wide in wide_before),
        )
        self.assertGreater(
            sum(wide.worth for wide in wide_after),
            sum(wide.worth for wide in wide_before),
        )
        # Urgent work and work that fills the pool still ends in time.
        for result in after:
            for queue in ("quick", "fill"):
                self.assertGreater(result.queues[queue].worth, 0.95)
