"""The real program as processes, end to end."""

import unittest

from basilhold.platform.tests.process_soak import run_soak

SECONDS = 6.0
SEED = 7


class ProcessSoakTest(unittest.TestCase):
    """Guards against a program that works in one event loop only.

    What happens at a given moment depends on the machine; the promises that are
    checked do not, and the waits end with their condition.
    """

    def test_promises_hold_under_faults(self):
        report = run_soak(SEED, SECONDS)
        self.assertEqual(report.violations, [], "; ".join(report.faults))
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.starts, 0)
