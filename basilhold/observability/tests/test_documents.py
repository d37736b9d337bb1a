import re
import unittest
from pathlib import Path

from basilhold.observability import METRICS

ROOT = Path(__file__).parents[3]
RUNBOOK = (ROOT / "docs/operators/runbook.md").read_text()
ALERTS = (ROOT / "examples/alerts.yaml").read_text()
DROPPED = "basilhold_metric_series_dropped_total"


class RunbookTest(unittest.TestCase):
    """Guards against documented alerts and metrics that do not exist."""

    def test_table_lists_exactly_the_declared_metrics(self):
        rows = re.findall(r"^\| `(basilhold_\w+)` \| (\w+) \| (.*?) \|", RUNBOOK, re.M)
        expected = [
            (m.name, m.kind.value, ", ".join(f"`{label}`" for label in m.labels) or "-")
            for m in METRICS
        ]
        self.assertEqual(rows, [*expected, (DROPPED, "counter", "`metric`")])

    def test_alerts_use_declared_metrics_with_their_labels(self):
        labels_by_name = {m.name: {*m.labels, "job", "instance"} for m in METRICS}
        labels_by_name[DROPPED] = {"metric"}
        used = re.findall(r"(basilhold_\w+)(?:\{(.*?)\})?", ALERTS)
        self.assertGreater(len(used), 20)
        for name, selector in used:
            base = name.removesuffix("_bucket")
            self.assertIn(base, labels_by_name)
            labels = set(re.findall(r"(\w+)(?:=~|!=|=)", selector))
            self.assertLessEqual(labels, labels_by_name[base], name)

    def test_every_alert_has_a_section_in_the_runbook(self):
        alerts = re.findall(r"- alert: (\w+)", ALERTS)
        headings = " ".join(re.findall(r"^### (.*)$", RUNBOOK, re.M))
        for alert in alerts:
            self.assertRegex(headings, rf"\b{alert}\b")

    def test_index_lists_every_page_once(self):
        docs = ROOT / "docs"
        listed = re.findall(r"\]\(([^)]+)\)", (docs / "README.md").read_text())
        pages = {str(page.relative_to(docs)) for page in docs.rglob("*.md")}
        self.assertEqual(sorted(listed), sorted(pages - {"README.md"}))

    def test_links_of_the_readme_exist(self):
        for target in re.findall(r"\]\(([^)]+)\)", (ROOT / "README.md").read_text()):
            self.assertTrue((ROOT / target).exists(), target)
