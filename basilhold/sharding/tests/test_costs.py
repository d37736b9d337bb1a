import unittest

from absl import logging

from basilhold.benchmarks.sharding import (
    measure_idle,
    measure_memory,
    measure_placements,
    measure_recovery,
)


class CostTest(unittest.TestCase):
    """Guards the bounds on store load, recovery work and memory."""

    def check(self, figures):
        logging.set_verbosity(logging.FATAL)
        for figure in figures:
            with self.subTest(figure.name):
                self.assertTrue(figure.holds, figure)

    def test_idle(self):
        self.check(measure_idle())

    def test_placements(self):
        self.check(measure_placements(shards=1, seconds=3))

    def test_recovery(self):
        self.check(measure_recovery())

    def test_memory(self):
        self.check(measure_memory())
