"""Tests of a takeover with many stored workflows."""

import asyncio
import random
from unittest.mock import patch

from basilhold.testing import VirtualTimeTestCase
from basilhold.testing.workflow_cell import WorkflowCell, make_spec
from basilhold.workflows import owner, recovery
from basilhold.workflows.recovery import LOAD_BATCH

WORKFLOW_COUNT = 350


class LoadingTest(VirtualTimeTestCase):
    """Guards against owners that lose their lease while they load workflows."""

    async def test_event_loop_runs_while_workflows_are_loaded(self):
        turn = 0

        def note(turns):
            """Note the turn of the event loop; the next one has another number."""
            turns.append(turn)
            asyncio.get_running_loop().call_soon(end_turn)

        def end_turn():
            nonlocal turn
            turn += 1

        async with WorkflowCell(1, 2, 4) as cell:
            await asyncio.sleep(2)
            for number in range(WORKFLOW_COUNT):
                await cell.submit(make_spec(number, random.Random(number)))
            loaded, added = [], []

            def decode(row, chunks):
                note(loaded)
                return decode_workflow(row, chunks)

            def restore(*arguments):
                note(added)
                return restore_assignments(*arguments)

            decode_workflow = recovery._decode_workflow
            restore_assignments = recovery.restore_assignments
            with (
                patch.object(recovery, "_decode_workflow", decode),
                patch.object(owner, "restore_assignments", restore),
            ):
                await cell.kill_process(cell.owner_name())
                while not cell.owner_name():
                    await asyncio.sleep(0.05)
        for turns in (loaded, added):
            self.assertGreaterEqual(len(turns), WORKFLOW_COUNT)
            self.assertLessEqual(max(map(turns.count, set(turns))), LOAD_BATCH)
