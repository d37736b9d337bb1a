"""Plays the load of a full pool with two variants of the decisions."""

import unittest

from basilhold.workflow_trials.trial import run_trial


class TrialTest(unittest.TestCase):
    """Each test compares what callers get with and without a mechanism."""

    def test_wide_gangs_end_sooner_with_questions_side_by_side(self):
        # Gangs that need seven whole workers, of which three in ten are admitted, asked
        # one question after the other while other machines could have asked too.
        load = {"worker_count": 176, "machine_count": 31, "duration_s": 8.0}
        before = run_trial("one-question", 3, load=1.5, **load)
        after = run_trial("as-built", 3, load=1.5, **load)
        self.assertEqual(before.violations + after.violations, [])
        self.assertLess(after.queues["wide"].median_s, before.queues["wide"].median_s)
        self.assertGreater(after.queues["wide"].worth, before.queues["wide"].worth)
        # Urgent work and work that fills the pool still ends in time.
        for queue in ("quick", "fill"):
            self.assertGreater(after.queues[queue].worth, 0.95)
