import unittest

from basilhold.core import RestartPolicy
from basilhold.sharding.explorer import (
    AT_MOST_ONCE_EXPIRY,
    COMMIT_RACES,
    EXPIRY,
    FENCING,
    START_RACES,
    Rules,
    explore,
)


class ProtocolTest(unittest.TestCase):
    """Guards the commit and lease rules in every interleaving at small size."""

    def check(self, scenario):
        found = explore(scenario)
        self.assertEqual(found.violation, "", found.trace)
        self.assertTrue(found.complete)

    def test_commit_races(self):
        self.check(COMMIT_RACES)

    def test_start_races(self):
        self.check(START_RACES)

    def test_expiry(self):
        self.check(EXPIRY)

    def test_at_most_once_expiry(self):
        self.check(AT_MOST_ONCE_EXPIRY)

    def test_fencing(self):
        self.check(FENCING)


class BrokenRulesTest(unittest.TestCase):
    """Guards the explorer: each rule that is left out must be missed."""

    def check(self, scenario, rules, text):
        self.assertIn(text, explore(scenario, rules).violation)

    def test_commit_without_owner_conditions(self):
        class Broken(Rules):
            @staticmethod
            def conditions(shard_version, commit_version):
                return ()

        self.check(COMMIT_RACES, Broken(), "committed twice")

    def test_unknown_outcome_taken_as_not_applied(self):
        class Broken(Rules):
            unknown_is_not_applied = True

        self.check(COMMIT_RACES, Broken(), "beyond its size")

    def test_start_before_the_commit_is_known(self):
        class Broken(Rules):
            starts_need_commit = False

        self.check(START_RACES, Broken(), "runs on both workers")

    def test_replacement_before_expiry(self):
        class Broken(Rules):
            is_free = staticmethod(lambda lease, now_ms: True)

        self.check(START_RACES, Broken(), "runs on both workers")

    def test_no_fencing_of_old_messages(self):
        class Broken(Rules):
            workers_check_epoch = False

        self.check(FENCING, Broken(), "runs on both workers")

    def test_at_most_once_task_treated_as_restartable(self):
        class Broken(Rules):
            policies = (RestartPolicy.ALLOWED, RestartPolicy.ALLOWED)

        self.check(AT_MOST_ONCE_EXPIRY, Broken(), "started twice")
