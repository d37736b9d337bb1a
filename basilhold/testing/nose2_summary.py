"""nose2 plugin that prints the counts and passes over the known failures.

Tests named in ``KNOWN-RED.txt`` are skipped and listed. Each entry of that file
has a line ``test: <id>``.
"""

import unittest
from pathlib import Path

from nose2.events import Plugin

__all__ = ["SummaryPlugin", "read_known_red"]

KNOWN_RED_PATH = Path("KNOWN-RED.txt")
_TEST_PREFIX = "test:"


def read_known_red(path: Path) -> frozenset[str]:
    """Return the test ids that a file of known failures names."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.removeprefix(_TEST_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_PREFIX)
    )


class SummaryPlugin(Plugin):
    """Counts outcomes and prints ``N passed, N failed``."""

    configSection = "summary"  # noqa: N815

    def __init__(self):
        self._known_red = read_known_red(KNOWN_RED_PATH)
        self._passed_over: list[str] = []
        self._passed = 0
        self._failed = 0
        self._skipped = 0

    def startTestRun(self, event):  # noqa: N802
        """Remove the known failing tests from the run."""
        if self._known_red:
            event.suite = self._without_known_red(event.suite)

    def setTestOutcome(self, event):  # noqa: N802
        """Count one outcome."""
        if event.outcome == "passed":
            self._passed += 1
        elif event.outcome == "skipped":
            self._skipped += 1
        elif event.outcome != "subtest" or event.exc_info is not None:
            self._failed += 1

    def afterSummaryReport(self, event):  # noqa: N802
        """Print the known failures that were passed over, and the counts."""
        for test_id in self._passed_over:
            event.stream.writeln(f"known red, passed over: {test_id}")
        skipped = f", {self._skipped} skipped" if self._skipped else ""
        event.stream.writeln(f"{self._passed} passed, {self._failed} failed{skipped}")

    def _without_known_red(self, suite):
        kept = unittest.TestSuite()
        for test in suite:
            if isinstance(test, unittest.TestSuite):
                kept.addTest(self._without_known_red(test))
            elif test.id() in self._known_red:
                self._passed_over.append(test.id())
            else:
                kept.addTest(test)
        return kept
