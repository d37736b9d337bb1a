import unittest

from basilhold.capacity import TWO_YEAR_SIZE, make_slope


class SlopeTest(unittest.TestCase):
    """Guards the extrapolation against wrong figures from right samples."""

    def test_line_is_extrapolated_exactly(self):
        slope = make_slope("x", "B", "VM", [(n, 7 + 2.5 * n) for n in (10, 20, 40)])
        self.assertAlmostEqual(slope.per_unit, 2.5)
        self.assertAlmostEqual(slope.base, 7)
        self.assertAlmostEqual(slope.at(2_400), 6_007)
        self.assertAlmostEqual(slope.deviation(), 0)

    def test_noise_that_cancels_out_leaves_the_slope(self):
        # Least squares over an offset of +1, -2, +1 at even distances.
        slope = make_slope("x", "B", "VM", [(1, 4), (2, 4), (3, 10)])
        self.assertAlmostEqual(slope.per_unit, 3)
        self.assertAlmostEqual(slope.base, 0)
        self.assertAlmostEqual(slope.deviation(), 0.2)

    def test_growth_that_is_not_linear_shows_as_deviation(self):
        slope = make_slope("x", "B", "VM", [(n, n * n) for n in (10, 20, 40)])
        self.assertGreater(slope.deviation(), 0.05)

    def test_two_sizes_are_refused(self):
        with self.assertRaisesRegex(ValueError, "fewer than 3"):
            make_slope("x", "B", "VM", [(1, 1), (2, 2), (2, 3)])

    def test_sizes_are_those_of_the_design(self):
        size = TWO_YEAR_SIZE
        self.assertEqual((size.shards, len(size.zones_per_region)), (11, 5))
        self.assertEqual(round(size.workers_per_shard), 218)
        self.assertEqual(round(size.tasks_per_shard), 1_727)
        self.assertEqual(size.entry_vms, 16)
