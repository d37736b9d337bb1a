import unittest
import warnings
from pathlib import Path

from absl import logging

from basilhold.capacity import TWO_YEAR_SIZE, make_slope
from basilhold.capacity.daemon_probe import PAGES, DaemonReport
from basilhold.capacity.daemons import DAEMONS, DaemonUse
from basilhold.capacity.measure import (
    Measurements,
    Sizes,
    measure_counts,
    measure_memory,
)
from basilhold.capacity.page import PageError, replace_tables, table_names
from basilhold.capacity.roles import role_loads
from basilhold.capacity.size import Bounds
from basilhold.capacity.tables import make_tables
from basilhold.capacity.verdicts import Verdict, verdicts

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"
SMALL = Sizes(
    workers=(4, 8, 16),
    starts=(1, 2, 4),
    tasks=(16, 32, 64),
    jobs=(2, 4, 8),
    shards=(1, 2, 3),
    entries_per_zone=(1, 2, 3),
    gateways=(1, 2, 3),
    upstreams=(1, 2, 3),
    probed_zones=(1, 2, 3),
    vms=(10, 20, 40),
    requests_per_s=(10, 100, 1_000),
    waiting=(5, 10, 20),
    steady_s=60,
    churn_s=10,
    cell_s=6,
    settle_s=3,
    relay_s=6,
    relay_zones=4,
)


def fake_report():
    use = {daemon: DaemonUse(48_000, 1.0) for daemon in DAEMONS}
    pairs = ((100, 10.0), (200, 20.0), (400, 40.0))
    pages = {f"{daemon} {page}": (1_000, 1.0) for daemon in DAEMONS for page in PAGES}
    idle_cores = dict.fromkeys(DAEMONS, 0.003)
    return DaemonReport(use, use, idle_cores, pairs, pairs, pairs, pages)


class CapacityTest(unittest.TestCase):
    """Guards the page against figures that change by themselves and missing rows."""

    @classmethod
    def setUpClass(cls):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        cls.addClassCleanup(logging.set_verbosity, verbosity)
        with warnings.catch_warnings():
            warnings.filterwarnings("ignore", message="delta is less than resolution")
            cls.first, cls.second = (measure_counts(SMALL) for _ in range(2))
            memory = measure_memory(SMALL)
        line = make_slope("x", "ms/s", "worker", [(1, 2), (2, 3), (3, 4)], False)
        names = ("processes scheduler_ms", "processes relay_ms", "scheduler time")
        slopes = cls.first | memory | dict.fromkeys(names, line)
        cls.data = Measurements(slopes, fake_report(), 150.0, "a machine")

    def test_counts_on_the_virtual_clock_are_the_same_when_measured_twice(self):
        exact = {key for key, slope in self.first.items() if slope.exact}
        self.assertGreater(len(exact), 20)
        for key in exact:
            with self.subTest(key):
                self.assertEqual(self.first[key], self.second[key])

    def test_tables_have_markers_on_the_page_and_only_they_are_replaced(self):
        page = PAGE.read_text()
        tables = make_tables(self.data, TWO_YEAR_SIZE, Bounds())
        self.assertEqual(sorted(table_names(page)), sorted(tables))
        changed = replace_tables(page, tables)
        empty = dict.fromkeys(tables, "")
        self.assertEqual(replace_tables(changed, empty), replace_tables(page, empty))
        self.assertIn(tables["roles"], changed)
        with self.assertRaises(PageError):
            replace_tables(page, {**tables, "other": ""})

    def test_page_has_a_row_for_each_role_and_bound(self):
        rows = {line.split(" | ")[0] for line in PAGE.read_text().splitlines()}
        for load in role_loads(self.data, TWO_YEAR_SIZE):
            self.assertIn(f"| {load.role}", rows)
        for verdict in verdicts(self.data, TWO_YEAR_SIZE, Bounds()):
            self.assertIn(f"| {verdict.name}", rows)

    def test_roles_scale_with_the_slopes(self):
        # Exchanges with workers double with twice the workers and starts.
        line = make_slope("x", "/s", "worker", [(1, 2), (2, 4), (3, 6)])
        slopes = dict.fromkeys(self.data.slopes, line)
        data = Measurements(slopes, fake_report(), 150.0, "a machine")
        by_role = {load.role: load for load in role_loads(data, TWO_YEAR_SIZE)}
        size = TWO_YEAR_SIZE
        expected = 2 * (size.workers_per_shard + size.starts_per_shard)
        self.assertAlmostEqual(
            by_role["worker"].messages_per_s, expected / size.workers_per_shard
        )
        # The line gives 2 ms of processor time per second for each VM.
        self.assertAlmostEqual(by_role["relay"].cores, 0.002 * size.listed_vms)

    def test_a_figure_above_its_bound_is_shown_as_exceeded(self):
        self.assertFalse(Verdict("x", 2.1, 2, "s").holds)
        self.assertTrue(Verdict("x", 2, 2, "s").holds)
        table = make_tables(self.data, TWO_YEAR_SIZE, Bounds(daemon_resident_mb=1))
        row = "| gateway: resident memory | 1 MB |"
        line = next(x for x in table["bounds"].splitlines() if x.startswith(row))
        self.assertIn("**exceeded**", line)
