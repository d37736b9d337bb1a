import unittest

from basilhold.core import (
    ClassKind,
    ClassName,
    Epoch,
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    Resources,
    TaskRecord,
    TeamName,
    ZoneName,
)
from basilhold.sharding.balance import pick_moves
from basilhold.sharding.peers import ShardSummary

SIZE = Resources(4000, 8 << 30, 2000)
TARGET_MS = 9000


class FakeJob:
    def __init__(self, record):
        self.record = record


class FakeTables:
    def __init__(self, *job_ids):
        self.jobs = {job_id: FakeJob(make_record(job_id)) for job_id in job_ids}

    def pending_indexes(self, job_id):
        return range(2)


def make_record(job_id):
    spec = JobSpec(
        job_id,
        OfficeName("danube"),
        TeamName("danube.survey"),
        ClassName("danube.urgent-defect-scan"),
        ClassKind.BATCH,
        TARGET_MS,
        2,
        SIZE,
        0,
    )
    return JobRecord(spec, [TaskRecord(), TaskRecord()])


def summary(*largest_free):
    free = Resources(64_000, 256 << 30, 8000)
    return ShardSummary(ZoneName("ruse"), Epoch(1), free, 0, (), largest_free)


class PickMovesTest(unittest.TestCase):
    """Guards against jobs that move between zones in which they cannot start."""

    def moves(self, others, waiting=None, job_ids=("j-1",)):
        waiting = waiting or {JobId(job_id): 0.0 for job_id in job_ids}
        return pick_moves(FakeTables(*job_ids), waiting, others, TARGET_MS / 2)

    def test_room_in_the_sum_alone_moves_nothing(self):
        room = Resources(32_000, 64 << 30, 1000)
        self.assertEqual(self.moves({"ruse": summary(room)}), ())

    def test_room_on_one_worker_moves_the_job(self):
        moves = self.moves({"ruse": summary(Resources(4000, 8 << 30, 2000))})
        self.assertEqual([(m.job_id, m.to_zone) for m in moves], [("j-1", "ruse")])

    def test_job_that_ended_meanwhile_does_not_hide_the_others(self):
        others = {"ruse": summary(SIZE)}
        waiting = {JobId("gone"): 0.0, JobId("j-1"): 0.0}
        moves = self.moves(others, waiting)
        self.assertEqual([move.job_id for move in moves], ["j-1"])
