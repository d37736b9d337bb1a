import re
import unittest
from pathlib import Path

from basilhold.operators_api import ProblemKind, operator_routes
from basilhold.operators_api.tests.fakes import FakeBackend, make_context
from basilhold.programs.ctl_client import ExitCode

PAGE = (Path(__file__).parents[3] / "docs/operators-api.md").read_text()


class PageTest(unittest.TestCase):
    """Guards the page of the API against drifting from the code."""

    def test_problems(self):
        rows = re.findall(r"^\| `([a-z-]+)` \| (\d+) \| `([a-z-]+)` \|", PAGE, re.M)
        expected = {(k.slug, str(k.status), k.outcome.value) for k in ProblemKind}
        self.assertEqual(set(rows), expected)

    def test_paths(self):
        found = re.findall(r"^\| `(?:GET|PUT|POST) (/v1/[^`?,]*)", PAGE, re.M)
        shown = {re.sub(r"<\w+>", "([^/]+)", path).strip() for path in found}
        routes = {route[0] for route in operator_routes(make_context(FakeBackend()))}
        self.assertEqual(shown, routes - {"/v1/.*"})

    def test_exit_codes(self):
        rows = re.findall(r"^\| (\d+) \| ", PAGE, re.M)
        self.assertEqual([int(code) for code in rows], [int(c) for c in ExitCode])
