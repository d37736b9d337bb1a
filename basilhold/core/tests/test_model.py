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
    """Guards against a commitment that is lost or changed by its encoding."""

    def test_committed_sums_assignments_after_a_round_trip(self):
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
    """Guards against a final task that is taken for one that may run again."""

    def test_only_waiting_and_running_states_are_not_final(self):
        open_states = {state for state in TaskState if not state.is_final}
        self.assertEqual(
            open_states, {TaskState.PENDING, TaskState.ASSIGNED, TaskState.RUNNING}
        )
