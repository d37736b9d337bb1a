"""Randomised runs of workflows under faults, with fixed seeds."""

import asyncio
import unittest
from unittest.mock import patch

from basilhold.testing import workflow_cell
from basilhold.testing.workflow_runs import run_seed
from basilhold.workflows import owner
from basilhold.workflows.committer import Committer
from basilhold.workflows.peers import Presence
from basilhold.workflows.worker_link import WorkerLink

SEEDS = range(200)

WITHOUT_PEERS_SEEDS = range(10)
"""Runs in which no process reaches the store through another."""

SILENCE_SEEDS = range(60_000, 60_040)
"""Runs in which clocks jump, and calls to the store take effect without a reply."""

MUTE_SEEDS = range(70_000, 70_020)
"""Runs in which owners that are at work never answer whether they are."""

FAILED_ONCE = {
    11: "a lapsed lease does not bind an owner to an end that it could not know",
    22: "a start reached a restarted worker and ran beside its replacement",
    32: "a restarted worker forgot an end under its predecessor's acknowledgement",
    64: "a run carried over to a new incarnation was never released",
    1216: "an acknowledgement waited at a worker that had started anew",
    1265: "the same, while its process was cut from the store",
    2294: "the same, beside runs that were carried over",
    195: "a stop confirmed by a new incarnation kept the run of the old one for ever",
}


class RandomRunsTest(unittest.TestCase):
    """Guards against tasks that run twice, too early, too often or never again."""

    def check(self, seed, relays=None, silences=False):
        report = run_seed(seed, relays, silences)
        self.assertEqual(report.violations, [], "; ".join(report.faults))
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.starts, 0)

    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    def test_seeds_that_failed_once(self):
        for seed, cause in FAILED_ONCE.items():
            with self.subTest(seed=seed, cause=cause):
                self.check(seed, relays=False)

    def test_seeds_with_silences(self):
        for seed in SILENCE_SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, silences=True)

    def test_seeds_with_holders_that_do_not_answer(self):
        # An owner that is taken for gone while it is at work must not harm.
        async def silent(peers, endpoint, service):
            await asyncio.sleep(0.3)
            return Presence.SILENT

        with patch.object(workflow_cell._CellPeers, "presence", silent):
            for seed in MUTE_SEEDS:
                with self.subTest(seed=seed):
                    self.check(seed, silences=True)

    def test_seeds_without_peers(self):
        for seed in WITHOUT_PEERS_SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, relays=False)


class BrokenVariantTest(unittest.TestCase):
    """Guards against checks that would not notice a broken owner."""

    def assert_caught(self):
        for seed in range(40):
            if run_seed(seed, relays=False).violations:
                return
        self.fail("no seed has shown the broken variant")

    def test_start_before_its_assignment_is_stored(self):
        def start_at_once(committer, placement):
            committer.mark(placement.step.workflow)
            committer._send_start(placement)

        with patch.object(Committer, "start_after_commit", start_at_once):
            self.assert_caught()

    def test_successor_that_forgets_stored_assignments(self):
        with patch.object(
            owner, "restore_assignments", lambda pool, workflows, now_ms: 0
        ):
            self.assert_caught()

    def test_end_acknowledged_before_it_is_stored(self):
        def acknowledge(link):
            link.acknowledge(link.worker.processed)
            return original(link)

        original = WorkerLink._wait_for_commit
        with patch.object(WorkerLink, "_wait_for_commit", acknowledge):
            self.assert_caught()
