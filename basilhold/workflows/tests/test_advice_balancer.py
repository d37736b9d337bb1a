"""Spreading questions over the machines."""

import asyncio

from expression import Error, Ok

from basilhold.core import ProcessId, RegionName, WorkerId
from basilhold.ports.runners import Admission, AdviceService
from basilhold.testing import VirtualTimeTestCase
from basilhold.workflows.advice_balancer import AdviceBalancer
from basilhold.workflows.model import AdvicePolicy, QueuePolicy
from basilhold.workflows.peers import Member

QUICK = QueuePolicy("quick", "s", advice=AdvicePolicy(20.0, 0.0, 2_000.0))
LONG = QueuePolicy("long", "s", advice=AdvicePolicy(600.0, 0.0, 2_000.0))
WORKERS = (WorkerId("w1"),)


class Turn(AdviceService):
    """Answers one question at a time."""

    def __init__(self):
        self.lock = asyncio.Lock()
        self.questions = 0
        self.broken = False

    def is_available(self, policy, worker_count):
        return True

    async def ask(self, job_id, occurrence, step, workers, policy):
        self.questions += 1
        if self.broken:
            return Error("no reply")
        async with self.lock:
            await asyncio.sleep(policy.advice.answer_ms(len(workers)) / 1000)
        return Ok(Admission({}))


class Peers:
    """Each machine's turn by endpoint."""

    def __init__(self, turns):
        self.turns = turns

    async def advise(self, endpoint, job_id, occurrence, step, workers, policy):
        turn = self.turns[endpoint]
        return await turn.ask(job_id, occurrence, step, workers, policy)


class SpreadAdviceTest(VirtualTimeTestCase):
    """Guards against one machine's turn binding the starts of a whole service."""

    def make(self, count=6, own="m0"):
        self.turns = {f"m{i}": Turn() for i in range(count)}
        members = [
            Member(ProcessId(name), name, RegionName("r")) for name in self.turns
        ]
        peers = Peers(self.turns)
        return AdviceBalancer(
            own, self.turns[own], peers, lambda: members, RegionName("r")
        )

    async def ask(self, spread, policy, count=1):
        begin_s = asyncio.get_running_loop().time()
        questions = [spread.ask(f"j{i}", 0, 0, WORKERS, policy) for i in range(count)]
        await asyncio.gather(*questions)
        return asyncio.get_running_loop().time() - begin_s

    async def test_questions_use_all_turns(self):
        spread = self.make()
        self.assertLess(await self.ask(spread, QUICK, 30), 0.2)
        self.assertTrue(all(turn.questions for turn in self.turns.values()))

    async def test_quick_questions_do_not_wait_for_long_ones(self):
        spread = self.make()
        slow = asyncio.create_task(self.ask(spread, LONG, 9))
        await asyncio.sleep(0.01)
        self.assertLess(await self.ask(spread, QUICK, 3), 0.1)
        await slow

    async def test_turns_that_are_taken_are_told(self):
        spread = self.make(2)
        self.assertTrue(spread.is_available(LONG, 1))
        slow = asyncio.create_task(self.ask(spread, LONG, 2))
        await asyncio.sleep(0.01)
        self.assertFalse(spread.is_available(LONG, 1))
        await slow
        self.assertTrue(spread.is_available(LONG, 1))

    async def test_two_owners_prefer_different_turns(self):
        first, second = self.make(), None
        turns = self.turns
        second = self.make(own="m3")
        self.turns = turns
        await self.ask(first, LONG, 1)
        busy = [name for name, turn in turns.items() if turn.questions]
        await self.ask(second, LONG, 1)
        self.assertEqual(len(busy), 1)

    async def test_machine_that_does_not_answer_is_left_out(self):
        spread = self.make(3)
        for turn in self.turns.values():
            turn.broken = turn is not self.turns["m0"]
        for _ in range(6):
            await self.ask(spread, QUICK)
        questions = [self.turns[name].questions for name in ("m1", "m2")]
        self.assertLessEqual(max(questions), 1)
