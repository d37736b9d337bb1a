import unittest

from basilhold.core import Resources
from basilhold.tenants import TenantName, TenantUsage

NORTH = TenantName("north")


class TenantUsageTest(unittest.TestCase):
    """Guards against counts that fail on unusual runs."""

    def test_runs_that_use_nothing(self):
        usage = TenantUsage()
        for _ in range(3):
            usage.add(NORTH, Resources())
        self.assertEqual(usage.tenants(), [])
        usage.add(NORTH, Resources(500))
        for _ in range(3):
            usage.subtract(NORTH, Resources())
        self.assertEqual(usage.used(NORTH), Resources(500))
        usage.subtract(NORTH, Resources(500))
        self.assertEqual(usage.tenants(), [])
