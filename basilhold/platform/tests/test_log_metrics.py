import os
import unittest

from basilhold.observability import METRICS, BoundedOutput, Metrics
from basilhold.platform.node import LogMetrics, PollMetrics
from basilhold.workflows.poll_turns import PollTurns


class LogMetricsTest(unittest.TestCase):
    """Guards against log lines that are dropped without being counted."""

    def test_dropped_log_lines_are_counted(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output = BoundedOutput(writer, 1, lambda: 0.0)
        for _ in range(3):
            output.write("line\n")
        metrics = Metrics(METRICS)
        metrics.add_source(LogMetrics(output))
        text = metrics.render()[0].decode()
        self.assertRegex(text, r"(?m)^basilhold_log_lines_dropped_total\S* 2")

    def test_polls_that_may_not_wait_are_counted(self):
        # A process that was short of connections could not be told from a slow one.
        turns = PollTurns(1)
        for _ in range(3):
            turns.take(is_busy=True, had_turn=False)
        metrics = Metrics(METRICS)
        metrics.add_source(PollMetrics(turns))
        text = metrics.render()[0].decode()
        self.assertRegex(text, r"(?m)^basilhold_worker_polls_waiting\S* 1")
        self.assertRegex(text, r"(?m)^basilhold_worker_polls_refused_total\S* 2")
