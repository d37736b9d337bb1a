"""What the report tells of a small log."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from basilhold.workflow_report.__main__ import main
from basilhold.workflow_report.records import read_lines

LOG = [
    "  1.000 m1 2026-08-30T20:51:01.000Z INFO m1 BH6010 job=aa queue=q1 service=s",
    "  1.100 m2 2026-08-30T20:51:01.100Z INFO m2 BH6030 job=aa step=0 asked=30 "
    "admitted=9 after_ms=80",
    "  1.200 m2 2026-08-30T20:51:01.200Z INFO m2 BH6024 task=bb.0.0.1 run=1 "
    "worker=w stopped for aa",
    "  1.500 m2 2026-08-30T20:51:01.500Z INFO m2 BH6020 task=aa.0.0.0 run=1 worker=w",
    "  1.700 m2 2026-08-30T20:51:01.700Z INFO m2 BH6020 task=aa.0.0.1 run=1 worker=w",
    "  2.500 m2 2026-08-30T20:51:02.500Z INFO m2 BH6022 task=aa.0.0.0 run=1 worker=w "
    "ended done",
    "  3.700 m2 2026-08-30T20:51:03.700Z INFO m2 BH6012 job=aa ended state=completed "
    "after_ms=2700",
    "  0.500 m1 2026-08-30T20:51:00.500Z INFO m1 BH6010 job=bb queue=q2 service=s",
    "a line of another program",
]


class WorkflowReportTest(unittest.TestCase):
    """Guards against a report that sends an operator to the wrong stage."""

    def test_stages_of_a_workflow(self):
        # The acceptance may stand in the log of a machine that is read last.
        record = read_lines(reversed(LOG))["aa"]
        expected_s = (0.1, 0.4, 0.2, 2.0)
        for stage, expected in zip(record.stages_s(), expected_s, strict=True):
            self.assertAlmostEqual(stage, expected)
        self.assertEqual((len(record.stops_s), len(record.answers_s)), (1, 1))

    def test_stops_without_a_start_soon_after_are_told(self):
        # Many of them mean that runs are stopped for jobs that do not start then.
        late = "  4.000 m2 2026-08-30T20:51:04.000Z INFO m2 BH6024 task=bb.0.0.2 run=1 "
        record = read_lines([*LOG, late + "worker=w stopped for aa"])["aa"]
        self.assertEqual((len(record.stops_s), record.useless_stops()), (2, 1))

    def test_starts_that_were_not_carried_out_are_counted(self):
        refused = (
            "2026-08-30T20:51:01.600Z INFO m2 BH6021 task=aa.0.0.0 run=1 worker=w "
        )
        record = read_lines([*LOG, refused + "start bad-ticket"])["aa"]
        self.assertEqual(record.not_started, {"bad-ticket": 1})

    def test_lines_without_collected_seconds(self):
        plain = [line[line.index("2026") :] for line in LOG if "2026" in line]
        record = read_lines(plain)["aa"]
        self.assertAlmostEqual(sum(record.stages_s()), 2.7)

    def test_table_and_plot(self):
        with tempfile.TemporaryDirectory() as directory:
            log, plot = Path(directory) / "log", Path(directory) / "plot.png"
            log.write_text("\n".join(LOG))
            result = CliRunner().invoke(main, [str(log), "--plot", str(plot)])
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertGreater(plot.stat().st_size, 1_000)
        self.assertIn("q1: 1 workflows, 1 completed", result.output)
        self.assertIn("0.10 s to the first answer, 0.40 s to the first", result.output)
        self.assertIn("q2: 1 workflows, 1 open", result.output)
        self.assertIn("1 runs of others stopped", result.output)

    def test_windows_and_json(self):
        with tempfile.TemporaryDirectory() as directory:
            log = Path(directory) / "log"
            log.write_text("\n".join(LOG))
            text = CliRunner().invoke(main, [str(log), "--windows"])
            self.assertIn("q1 from 0 s: 1 workflows, 1 completed", text.output)
            result = CliRunner().invoke(main, [str(log), "--windows", "--json"])
        figures = json.loads(result.output)
        self.assertEqual([each["queue"] for each in figures["queues"]], ["q1", "q2"])
        self.assertEqual(figures["windows"][0]["summary"]["stops"], 1)
