import os
import unittest

from basilhold.observability import BoundedOutput


class BoundedOutputTest(unittest.TestCase):
    """Guards against logging that blocks the process or grows without limit."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now_s = 0.0

    def make_output(self, lines_max=3):
        return BoundedOutput(self.writer, lines_max, lambda: self.now_s)

    def test_lines_above_the_limit_are_dropped_and_reported(self):
        output = self.make_output()
        for number in range(5):
            output.write(f"line {number}\n")
        self.now_s = 1.0
        output.write("line 5\n")
        text = os.read(self.reader, 4096).decode().splitlines()
        expected = ["line 0", "line 1", "line 2", "2 log lines were dropped", "line 5"]
        self.assertEqual(text, expected)
        self.assertEqual(output.dropped_count, 2)

    def test_write_to_a_full_pipe_does_not_block(self):
        output = self.make_output(10_000)
        for _ in range(200):
            output.write("x" * 1_000 + "\n")
        self.assertGreater(output.dropped_count, 0)
