import unittest

import msgspec

from basilhold.config import (
    ConfigInForce,
    Currency,
    ProblemKind,
    check_document,
)
from basilhold.core import (
    ClassKind,
    ClassName,
    InvariantError,
    OfficeDocument,
    OfficeName,
    Resources,
    ServiceName,
    Team,
    TeamName,
    WorkClass,
)

OFFICE = OfficeName("oslo")
REQUEST = WorkClass(
    ClassName("oslo.intake"), ClassKind.REQUEST, 500, service=ServiceName("intake")
)
BATCH = WorkClass(ClassName("oslo.night"), ClassKind.BATCH, 10_000)
TEAM = Team(TeamName("oslo.scan"), Resources(1000, 1 << 30, 0))


def changed(entry, **fields):
    return msgspec.structs.replace(entry, **fields)


class CheckDocumentTest(unittest.TestCase):
    """Guards against documents that gateways or schedulers could not carry out."""

    def kinds(self, *classes, teams=(), office=OFFICE):
        found = check_document(
            OfficeDocument(office, classes, teams), OFFICE, frozenset({"intake"})
        )
        return [problem.kind for problem in found]

    def test_good_document_has_no_problems(self):
        self.assertEqual(self.kinds(REQUEST, BATCH, teams=(TEAM,)), [])

    def test_problems(self):
        impossible = ProblemKind.IMPOSSIBLE_VALUE
        cases = (
            (changed(BATCH, name="night"), ProblemKind.BAD_NAME),
            (changed(BATCH, name="oslo.Night"), ProblemKind.BAD_NAME),
            (changed(BATCH, name="bergen.night"), ProblemKind.FOREIGN_NAME),
            (changed(BATCH, wait_target_ms=0), impossible),
            (changed(BATCH, wait_target_ms=10**12), impossible),
            (changed(BATCH, timeout_ms=-1), impossible),
            (changed(REQUEST, timeout_ms=499), impossible),
            (changed(REQUEST, checkpoint=True), impossible),
            (changed(REQUEST, service=None), ProblemKind.MISSING_SERVICE),
            (changed(REQUEST, service="x"), ProblemKind.UNKNOWN_SERVICE),
            (changed(BATCH, service="intake"), ProblemKind.UNEXPECTED_SERVICE),
        )
        for work_class, kind in cases:
            with self.subTest(kind=kind, work_class=work_class):
                self.assertEqual(self.kinds(work_class), [kind])

    def test_whole_document_is_reported_at_once(self):
        team = changed(TEAM, quota=Resources(-1, 0, 0), queued_tasks_max=-1)
        found = self.kinds(BATCH, BATCH, changed(BATCH, wait_target_ms=0), teams=[team])
        self.assertEqual(found.count(ProblemKind.DUPLICATE_NAME), 1)
        self.assertEqual(found.count(ProblemKind.IMPOSSIBLE_VALUE), 3)

    def test_document_of_another_office(self):
        self.assertEqual(self.kinds(office="bergen"), [ProblemKind.WRONG_OFFICE])


class ConfigInForceTest(unittest.TestCase):
    """Guards against a process that reverts or that is wrong about being current."""

    def test_older_and_repeated_versions_change_nothing(self):
        in_force = ConfigInForce()
        new = OfficeDocument(OFFICE, (BATCH,))
        self.assertTrue(in_force.apply(3, new))
        self.assertFalse(in_force.apply(3, new))
        self.assertFalse(in_force.apply(2, OfficeDocument(OFFICE)))
        self.assertEqual(in_force.work_class(BATCH.name), BATCH)
        with self.assertRaises(InvariantError):
            in_force.apply(3, OfficeDocument(OFFICE))

    def test_classes_of_one_office_stay_when_another_changes(self):
        in_force = ConfigInForce()
        in_force.apply(1, OfficeDocument(OFFICE, (BATCH,)))
        in_force.apply(1, OfficeDocument(OfficeName("bergen")))
        in_force.apply(2, OfficeDocument(OFFICE, (REQUEST,), (TEAM,)))
        self.assertEqual(list(in_force.classes()), [REQUEST])
        self.assertEqual(in_force.team(TEAM.name), TEAM)

    def test_currency_and_readiness(self):
        in_force = ConfigInForce()
        self.assertIs(in_force.currency(0), Currency.UNCONFIRMED)
        self.assertFalse(in_force.is_ready)
        in_force.confirm(1000)
        in_force.confirm(500)
        self.assertTrue(in_force.is_current(5000))
        self.assertIs(in_force.currency(5001), Currency.STALE)
        self.assertTrue(in_force.is_ready)
