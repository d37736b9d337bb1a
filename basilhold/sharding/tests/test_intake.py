import asyncio

import msgspec
from expression import Error

from basilhold.core import ZoneName
from basilhold.ports import StoreError, StoreErrorKind
from basilhold.sharding import IntakeErrorKind, JobIntake, Submission
from basilhold.sharding.rows import job_index_key, job_key
from basilhold.standins import MemoryTable
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.cell import make_spec

ZONE = ZoneName("plovdiv")


def submission(key, tasks=1, **options):
    return Submission(make_spec(key, tasks, **options), {ZONE: tasks})


class LosingTable(MemoryTable):
    """Loses the replies to all writes and then, if told so, fails all reads."""

    def __init__(self, reads_fail):
        super().__init__()
        self.reads_fail = reads_fail

    async def transact(self, transaction):
        await super().transact(transaction)
        self.faults.down = self.reads_fail
        return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))


class IntakeTest(VirtualTimeTestCase):
    """Guards submissions against loss, duplication and false answers."""

    def setUp(self):
        self.table = MemoryTable()

    async def test_repeat_returns_the_same_job(self):
        intake = JobIntake(self.table)
        first = (await intake.submit(submission("k"))).ok
        second = (await intake.submit(submission("k"))).ok
        self.assertEqual((first.repeated, second.repeated), (False, True))
        self.assertEqual(first.job_id, second.job_id)

    async def test_repeats_in_one_window_store_one_job(self):
        intake = JobIntake(self.table)
        answers = await asyncio.gather(
            *(intake.submit(submission("k")) for _ in range(3))
        )
        self.assertEqual([a.ok.repeated for a in answers], [False, True, True])

    async def test_caller_that_leaves_does_not_end_the_batch_of_others(self):
        self.table.faults.latency_ms = 100
        intake = JobIntake(self.table)
        leaving = asyncio.create_task(intake.submit(submission("leaves")))
        staying = asyncio.create_task(intake.submit(submission("stays")))
        await asyncio.sleep(0.15)
        leaving.cancel()
        async with asyncio.timeout(5):
            self.assertTrue((await staying).is_ok())

    async def test_two_gateways_store_one_job(self):
        answers = await asyncio.gather(
            *(JobIntake(self.table).submit(submission("k")) for _ in range(4))
        )
        self.assertEqual(sum(not a.ok.repeated for a in answers), 1)

    async def test_other_content_under_the_same_key_is_refused(self):
        intake = JobIntake(self.table)
        await intake.submit(submission("k"))
        result = await intake.submit(submission("k", command="other"))
        self.assertIs(result.error.kind, IntakeErrorKind.DIFFERENT)

    async def test_store_down_means_not_run(self):
        self.table.faults.down = True
        result = await JobIntake(self.table).submit(submission("k"))
        self.assertIs(result.error.kind, IntakeErrorKind.NOT_RUN)
        self.assertEqual(self.table.scan_now("").ok.rows, ())

    async def test_lost_reply_is_read_back(self):
        table = LosingTable(reads_fail=False)
        answer = await JobIntake(table).submit(submission("k"))
        job_id = answer.ok.job_id
        keys = [row.key for row in table.scan_now("").ok.rows]
        self.assertEqual(sorted(keys), [job_key(ZONE, job_id), job_index_key(job_id)])
        self.assertEqual(table.write_count, 1)

    async def test_lost_reply_that_cannot_be_read_back_is_unknown(self):
        table = LosingTable(reads_fail=True)
        result = await JobIntake(table).submit(submission("k"))
        self.assertIs(result.error.kind, IntakeErrorKind.UNKNOWN)
        self.assertEqual(len(table.scan_now("").ok.rows), 2)

    async def test_many_submissions_share_transactions(self):
        intake = JobIntake(self.table)
        await asyncio.gather(*(intake.submit(submission(f"k{n}")) for n in range(1000)))
        self.assertLessEqual(self.table.write_count, 1000 * 6 // 480 + 1)

    async def test_service_is_split_across_zones(self):
        intake = JobIntake(self.table)
        spec = make_spec("service", 5)
        zones = {ZONE: 3, ZoneName("ruse"): 2}
        answer = (await intake.submit(Submission(spec, zones))).ok
        self.assertEqual(len(answer.parts), 2)
        repeat = (await intake.submit(Submission(spec, zones))).ok
        self.assertTrue(repeat.repeated)
        status = (await intake.status(spec.job_id)).ok
        self.assertEqual([len(part.tasks) for part in status.parts], [3, 2])
        await intake.cancel(spec.job_id)
        status = (await intake.status(spec.job_id)).ok
        self.assertTrue(all(part.cancel_requested for part in status.parts))

    async def test_unknown_job(self):
        intake = JobIntake(self.table)
        for result in (await intake.cancel("x"), await intake.status("x")):
            self.assertIs(result.error.kind, IntakeErrorKind.NOT_FOUND)

    async def test_invalid_submission(self):
        bad = msgspec.structs.replace(submission("k", 2), tasks_by_zone={ZONE: 1})
        result = await JobIntake(self.table).submit(bad)
        self.assertIs(result.error.kind, IntakeErrorKind.INVALID)
