"""Tests of the rows that store progress, and of invalid commits."""

import random
import unittest

import msgspec
from expression import Error, Ok

from basilhold.core import Epoch, ProcessId, Resources, ServiceName, WorkerId
from basilhold.ports import StoreError, StoreErrorKind, TableService, Write
from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import LoopClock, make_spec
from basilhold.workflows.crash_blame import CrashHistory
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey, WorkflowSpec
from basilhold.workflows.owner_lease import CommitOutcome, Lease
from basilhold.workflows.progress import (
    CHUNK_TASKS,
    ROW_BYTES_MAX,
    EndKind,
    RunEnd,
    TaskStage,
    Workflow,
    WorkflowState,
)
from basilhold.workflows.rows import Incarnation, OwnerRecord


def make_workflow(*counts, occurrences=0):
    policy = make_spec(1, random.Random(0)).policy
    steps = tuple(StepSpec(count, Resources(1)) for count in counts)
    return Workflow(WorkflowSpec("00ff", policy, "", steps, 0.0, 1.0, 1.0, occurrences))


def encode_rows(workflow):
    return [workflow.encode(chunk) for chunk in range(workflow.chunk_count)]


class ProgressTest(unittest.TestCase):
    """Guards against progress that the next owner decodes differently."""

    def test_rows_contain_every_task(self):
        workflow = make_workflow(100, 70, occurrences=2)
        self.assertEqual(workflow.chunk_count, -(-340 // CHUNK_TASKS))
        done, running = TaskKey(0, 0, 99), TaskKey(1, 1, 69)
        for key in (done, running):
            workflow.assign(key, RunNumber(3), WorkerId("w"))
        workflow.apply_end(RunEnd(done, RunNumber(3), EndKind.DONE), 0.0)
        decoded = Workflow.decode(workflow.spec, encode_rows(workflow))
        self.assertIs(decoded.state, WorkflowState.RUNNING)
        self.assertIs(decoded.task(done).stage, TaskStage.DONE)
        self.assertEqual(decoded.task(running).worker_id, "w")
        self.assertEqual([key for key, _ in decoded.assigned()], [running])

    def test_only_changed_rows_are_written(self):
        workflow = make_workflow(3 * CHUNK_TASKS)
        self.assertEqual(workflow.take_changed_chunks(), [])
        last = TaskKey(0, 0, 3 * CHUNK_TASKS - 1)
        workflow.assign(last, RunNumber(1), WorkerId("w"))
        self.assertEqual(workflow.take_changed_chunks(), [0, 2])
        workflow.apply_end(RunEnd(last, RunNumber(1), EndKind.FAILED), 0.0)
        self.assertEqual(workflow.take_changed_chunks(), [2])
        workflow.cancel(0.0)
        self.assertEqual(workflow.take_changed_chunks(), [0])

    def test_ends_of_runs_that_were_given_up_count_once(self):
        # Their workers were told that the ends had been received.
        key = TaskKey(0, 0, 0)

        def lose(workflow, number):
            workflow.assign(key, RunNumber(number), WorkerId("w"))
            workflow.apply_end(RunEnd(key, RunNumber(number), EndKind.LOST), 0.0)

        def end(workflow, number, kind):
            return workflow.apply_end(RunEnd(key, RunNumber(number), kind), 0.0)

        for next_run in (False, True):
            with self.subTest(next_run=next_run):
                workflow = make_workflow(2)
                lose(workflow, 1)
                if next_run:
                    workflow.assign(key, RunNumber(2), WorkerId("v"))
                self.assertFalse(end(workflow, 1, EndKind.STOPPED))
                self.assertFalse(end(workflow, 9, EndKind.DONE))
                self.assertTrue(end(workflow, 1, EndKind.FAILED))
                self.assertFalse(end(workflow, 1, EndKind.FAILED))
                self.assertEqual(workflow.task(key).failures, 1)
                self.assertEqual(workflow.task(key).avoided, [])
                self.assertTrue(end(workflow, 1, EndKind.DONE))
                self.assertFalse(end(workflow, 1, EndKind.DONE))
                self.assertFalse(end(workflow, 2, EndKind.DONE))
                self.assertIs(workflow.task(key).stage, TaskStage.DONE)
                self.assertEqual(workflow.take_changed_chunks(), [0])
                self.assertIs(workflow.state, WorkflowState.RUNNING)

    def test_rows_are_read_by_builds_without_crash_accounting(self):
        # Such builds may run beside newer ones, and drop the fields that they do not
        # know when they write a row.
        class FormerTask(msgspec.Struct, array_like=True):
            stage: int = 0
            run: int = 0
            failures: int = 0
            worker_id: str = ""
            checkpoint: str = ""
            avoided: list[str] = []
            failed_run: int = 0

        class FormerEntry(msgspec.Struct, array_like=True):
            occurrence: int
            step: int
            index: int
            task: FormerTask

        class FormerWorkflow(msgspec.Struct, omit_defaults=True):
            state: str = "queued"
            tasks: list[FormerEntry] = []
            ended_ms: float = 0.0

        workflow = make_workflow(2)
        key = TaskKey(0, 0, 1)
        for number in (1, 2):
            workflow.assign(key, RunNumber(number), WorkerId("w"), "h:1", 5.0)
            workflow.apply_end(RunEnd(key, RunNumber(number), EndKind.CRASHED), 0.0)
        workflow.set_aside()
        former = msgspec.json.decode(workflow.encode(), type=FormerWorkflow)
        self.assertEqual([entry.task.run for entry in former.tasks], [2])
        rewritten = Workflow.decode(workflow.spec, [msgspec.json.encode(former)])
        self.assertEqual(rewritten.task(key).run, 2)
        self.assertIsNone(rewritten.task(key).crash)
        kept = Workflow.decode(workflow.spec, encode_rows(workflow))
        self.assertEqual(kept.task(key).crash.crashes, 2)
        self.assertTrue(kept.is_set_aside)

    def test_start_is_known_to_the_next_owner(self):
        # Workflows counted as started, and no longer as waiting, once a run had been
        # assigned, although it had never begun.
        key = TaskKey(0, 0, 0)
        has_started = {
            EndKind.UNSTARTED: False,
            EndKind.LOST: False,
            EndKind.CRASHED: False,
            EndKind.STOPPED: True,
            EndKind.FAILED: True,
        }
        for kind, expected in has_started.items():
            for begun in (False, True):
                with self.subTest(kind=kind, begun=begun):
                    workflow = make_workflow(2)
                    workflow.assign(key, RunNumber(1), WorkerId("w"))
                    self.assertFalse(workflow.has_started())
                    if begun:
                        workflow.note_begun()
                    workflow.apply_end(RunEnd(key, RunNumber(1), kind), 0.0)
                    decoded = Workflow.decode(workflow.spec, encode_rows(workflow))
                    for known in (workflow, decoded):
                        self.assertIs(known.has_started(), expected or begun)

    def test_stored_assignment_counts_as_a_start_until_its_run_ends(self):
        # Guards against waiting workflows that are not counted, and the reverse, where
        # the next owner does not know yet whether the stored runs exist.
        key = TaskKey(0, 0, 0)
        workflow = make_workflow(2)
        workflow.assign(key, RunNumber(1), WorkerId("w"))
        decoded = Workflow.decode(workflow.spec, encode_rows(workflow))
        self.assertTrue(decoded.has_started())
        decoded.apply_end(RunEnd(key, RunNumber(1), EndKind.LOST), 0.0)
        self.assertFalse(decoded.has_started())
        decoded.assign(key, RunNumber(2), WorkerId("v"))
        self.assertFalse(decoded.has_started())

    def test_start_is_concluded_from_rows_of_an_earlier_build(self):
        # Such rows do not say whether a run has begun.
        key = TaskKey(0, 0, 0)
        ends = {
            RunEnd(key, RunNumber(1), EndKind.DONE): True,
            RunEnd(key, RunNumber(1), EndKind.FAILED): True,
            RunEnd(key, RunNumber(1), EndKind.LAPSED, "00000bb8"): True,
            RunEnd(key, RunNumber(1), EndKind.UNSTARTED): False,
        }
        for end, expected in ends.items():
            with self.subTest(kind=end.kind):
                workflow = make_workflow(2)
                workflow.assign(key, RunNumber(1), WorkerId("w"))
                workflow.apply_end(end, 0.0)
                row = msgspec.json.decode(workflow.encode())
                row.pop("has_begun", None)
                rows = [msgspec.json.encode(row)]
                decoded = Workflow.decode(workflow.spec, rows)
                self.assertIs(decoded.has_started(), expected)

    def test_row_with_longest_names_fits_into_the_store(self):
        # The store always rejects a row above its size limit, so retries cannot help.
        workflow = make_workflow(CHUNK_TASKS)
        for index in range(CHUNK_TASKS):
            key = TaskKey(0, 0, index)
            for number in range(20):
                workflow.avoid_worker(key, WorkerId(f"{number:0200}"))
            endpoint = "255.255.255.255:65535"
            workflow.assign(
                key, RunNumber(10**6), WorkerId("w" * 200), endpoint, 10.0**13
            )
            workflow.task(key).checkpoint = "c" * 256
            workflow.task(key).crash = CrashHistory(100, 100, 10**6, True)
        self.assertLess(len(workflow.encode()), ROW_BYTES_MAX)
        decoded = Workflow.decode(workflow.spec, encode_rows(workflow))
        self.assertEqual(len(decoded.assigned()), CHUNK_TASKS)


class _InvalidTable(TableService):
    def __init__(self):
        self.calls = 0

    async def read(self, keys):
        return Ok({})

    async def scan(self, prefix, after="", limit=500):
        raise AssertionError

    async def transact(self, transaction):
        self.calls += 1
        return Error(StoreError(StoreErrorKind.INVALID, "status 400"))


class InvalidCommitTest(VirtualTimeTestCase):
    """Guards against a commit that is retried forever although it cannot succeed."""

    async def test_invalid_commit_ends_the_lease(self):
        table = _InvalidTable()
        record = OwnerRecord(ProcessId("p"), "h:1", Epoch(1), 0, Incarnation("i"))
        lease = Lease(table, LoopClock(), ServiceName("desk"), record, 1, 0.0)
        outcome = await lease.commit((Write("progress/desk/1", b"x"),))
        self.assertIs(outcome, CommitOutcome.LOST)
        self.assertTrue(lease.is_lost)
        self.assertEqual(table.calls, 1)
