"""Versions of the configuration are in force within their bound, on random faults."""

import asyncio
import unittest

from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.configuration_runs import BOUNDS, MARGIN_MS, run_seed
from basilhold.workflows.configuration_watch import ConfigurationWatch
from basilhold.workflows.tests.test_configuration_watch import (
    PausedClock,
    StubStore,
    decode,
)

SEEDS = (0, 1, 2, 9, 20, 24, 42, 48)


class ConfigurationBoundsTest(unittest.TestCase):
    """Guards against machines in touch that answer by a version long replaced."""

    def test_confirmed_version_is_in_force_in_time_after_cuts(self):
        # Polls that had begun during a cut delayed the first answered one after it.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = run_seed(seed)
                self.assertEqual(report.violations, [], report.faults)
                self.assertGreater(report.judged, 1_000)


class UnconfirmedConfigurationTest(VirtualTimeTestCase):
    """Guards against callers that are answered by a version that may be replaced."""

    async def test_configuration_older_than_its_bound_is_not_used(self):
        # A machine that heard nothing went on to answer by the version it had.
        for bounds in BOUNDS:
            store, clock = StubStore(), PausedClock()
            store.put(b'{"version":3}')
            watch = ConfigurationWatch(
                store,
                store,
                clock,
                "op//",
                "op//config",
                decode,
                bounds.apply_ms - MARGIN_MS,
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(2)
            store.is_down = True
            await asyncio.sleep(bounds.apply_ms / 1000)
            self.assertIsNone(await watch.current())
            task.cancel()
