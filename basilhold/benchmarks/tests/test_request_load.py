import random
import unittest

from absl import logging

from basilhold.benchmarks.request_load import SERVICE, LoadPlan, run_fifo, run_load
from basilhold.benchmarks.requests import load_figures, make_router, retry_figures


class CountingRandom(random.Random):
    """Counts draws."""

    draws = 0

    def random(self):
        self.draws += 1
        return super().random()


class LoadTest(unittest.TestCase):
    """Guards the targets under load with counts and ratios."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    def test_targets_and_goodput_hold(self):
        for figure in load_figures(duration_s=5.0, upstreams=1):
            self.assertTrue(figure.holds, figure.line())

    def test_overload_serves_more_on_target_than_a_fifo_queue(self):
        plan = LoadPlan(1.3, 5.0, upstreams=1)
        ours, fifo = run_load(plan), run_fifo(plan)
        for name in ("quote", "preview"):
            self.assertGreater(ours.attainment(name), fifo.attainment(name))

    def test_retries_stay_within_the_budget(self):
        for figure in retry_figures(duration_s=3.0):
            self.assertTrue(figure.holds, figure.line())

    def test_no_request_crosses_regions_below_capacity(self):
        result = run_load(LoadPlan(0.9, 3.0, upstreams=2, remote_upstreams=2))
        self.assertEqual(result.other_region_bytes, 0)

    def test_other_region_is_used_when_targets_would_be_missed(self):
        plan = LoadPlan(1.3, 5.0, upstreams=2, remote_upstreams=2)
        result = run_load(plan)
        self.assertGreater(result.other_region_attempts, 0)
        self.assertGreater(result.total_attainment, 0.9)

    def test_draws_of_a_choice_do_not_grow_with_the_upstreams(self):
        for count in (20, 200, 2000):
            router = make_router(count)
            rng = router._rng = CountingRandom(1)
            for _ in range(100):
                router.choose(SERVICE, 0.0)
            self.assertLessEqual(rng.draws, 200)
