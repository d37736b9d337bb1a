import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from basilhold.soak import SoakOptions, run_soak

ROOT = Path(__file__).parents[3]
TIMEOUT_S = 200


def run_command(*options):
    return subprocess.run(
        [sys.executable, "-m", "basilhold.soak", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


class SoakTest(unittest.TestCase):
    """Guards the guarantees of whole cells under load and faults.

    The command fixes the order of sets, so these runs are the same everywhere.
    """

    def check_cell(self, cell, *options):
        done = run_command("--seed=1", "--seconds=40", f"--cell={cell}", *options)
        self.assertEqual(done.returncode, 0, done.stdout[-2000:] + done.stderr[-2000:])
        self.assertIn(", hash ", done.stdout.splitlines()[-1])

    def test_trakia(self):
        with tempfile.TemporaryDirectory() as directory:
            self.check_cell("trakia", f"--out={directory}")
            plot = Path(directory) / "soak-trakia-1.png"
            self.assertGreater(plot.stat().st_size, 10_000)

    def test_fjordlys(self):
        self.check_cell("fjordlys")

    def test_same_seed_gives_the_same_run(self):
        options = ("--seed=2", "--seconds=10")
        first, second = run_command(*options), run_command(*options)
        self.assertEqual(first.returncode, 0, first.stdout[-2000:])
        self.assertEqual(first.stdout, second.stdout)

    def test_other_seed_gives_another_run(self):
        first, second = (run_soak(SoakOptions(seed, 5)) for seed in (2, 3))
        self.assertNotEqual(first.digest, second.digest)
