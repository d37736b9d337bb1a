import unittest

import msgspec

from basilhold.core import (
    Assignment,
    Attempt,
    Resources,
    TaskId,
    TaskState,
    WorkerId,
    WorkerRecord,
    ZoneName,
)


class WorkerRecordTest(unittest.TestCase):
    """Guards against assignments that are lost or changed by serialization."""

    def test_committed_is_sum_of_assignments_after_round_trip(self):
        record = WorkerRecord(
            WorkerId("w1"),
            ZoneName("plovdiv"),
            "r1",
            Resources(32_000, 128 << 30, 0),
            tuple(
                Assignment(TaskId(f"j#{i}"), Attempt(1), Resources(500, 1 << 30, 0))
                for i in range(3)
            ),
        )
        decoded = msgspec.json.decode(msgspec.json.encode(record), type=WorkerRecord)
        self.assertEqual(decoded, record)
        self.assertEqual(decoded.committed(), Resources(1500, 3 << 30, 0))


class TaskStateTest(unittest.TestCase):
    """Guards against finished tasks that are scheduled again."""

    def test_only_pending_assigned_and_running_are_not_final(self):
        active_states = {state for state in TaskState if not state.is_final}
        self.assertEqual(
            active_states, {TaskState.PENDING, TaskState.ASSIGNED, TaskState.RUNNING}
        )
