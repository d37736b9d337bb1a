import unittest

from basilhold.core import ClassKind, Team, WorkClass
from basilhold.placement import RejectionKind, WorkerShape, check_admission
from basilhold.placement.tests.builders import job, size

SHAPES = (
    WorkerShape("oslo-a", size(32, 64), 10),
    WorkerShape("oslo-b", size(64, 256, 8), 2),
)


class AdmissionTest(unittest.TestCase):
    """Guards against admitting jobs that can never start.

    It also guards against rejections that do not explain the reason.
    """

    def check(self, record, queued=0, team=None):
        spec = record.spec
        name = spec.class_name
        classes = {name: WorkClass(name, spec.kind, spec.wait_target_ms)}
        result = check_admission(spec, SHAPES, classes, team, queued)
        return result.error if result.is_error() else None

    def test_job_that_fits_is_admitted(self):
        self.assertIsNone(self.check(job("a", size(64, 256, 8))))

    def test_task_larger_than_any_worker_is_rejected_with_the_exceeded_limits(self):
        rejection = self.check(job("a", size(65, 300, 2)))
        self.assertEqual(rejection.kind, RejectionKind.TASK_TOO_LARGE)
        self.assertIn("65 cores (largest worker: 64)", rejection.reason)
        self.assertIn("300 GiB", rejection.reason)

    def test_gang_larger_than_any_zone_is_rejected(self):
        kind = ClassKind.GANG
        self.assertIsNone(self.check(job("a", size(1, 1, 8), tasks=2, kind=kind)))
        rejection = self.check(job("a", size(1, 1, 8), tasks=3, kind=kind))
        self.assertEqual(rejection.kind, RejectionKind.GANG_TOO_LARGE)

    def test_full_queue_and_unknown_class_are_rejected(self):
        team = Team("quotes", size(1), queued_tasks_max=5)
        rejection = self.check(job("a", size(1)), queued=5, team=team)
        self.assertEqual(rejection.kind, RejectionKind.QUEUE_FULL)
        result = check_admission(job("a", size(1)).spec, SHAPES, {}, None, 0)
        self.assertEqual(result.error.kind, RejectionKind.UNKNOWN_CLASS)
