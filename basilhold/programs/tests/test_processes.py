import unittest

from basilhold.programs.tests.processes import LAST_PORT, free_ports


class FreePortsTest(unittest.TestCase):
    """Guards against programs that cannot listen, as a connection has their port."""

    def test_ports_are_none_that_connections_are_given(self):
        # Linux gives out ports from 32,768 on. Of 36 runs of the daemons beside each
        # other two failed, as the gateway found its port in use.
        self.assertLess(LAST_PORT, 32_768)
        self.assertLess(max(free_ports(40)), LAST_PORT)

    def test_calls_return_different_ports(self):
        ports = [port for _ in range(3) for port in free_ports(20)]
        self.assertEqual(len(set(ports)), 60)
