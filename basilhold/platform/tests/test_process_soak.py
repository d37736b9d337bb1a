"""End-to-end test of the real program as separate processes."""

import unittest

from basilhold.platform.tests.process_soak import run_soak

SECONDS = 6.0
SEED = 7
CROWDS_S = 12.0
CROWDS_SEED = 1


class ProcessSoakTest(unittest.TestCase):
    """Guards against a program that works only within a single event loop.

    The timing depends on the machine, but the checked guarantees do not, and each wait
    ends when its condition holds.
    """

    def test_guarantees_hold_under_faults(self):
        self.check(run_soak(SEED, SECONDS))

    def test_guarantees_hold_beside_clients_that_do_not_behave(self):
        self.check(run_soak(CROWDS_SEED, CROWDS_S, crowds=True))

    def check(self, report):
        self.assertEqual(report.violations, [], "; ".join(report.faults))
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.run_starts, 0)
