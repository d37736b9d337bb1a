"""Tests of the load balancing of queries to the advice service."""

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


class SerialAdviceService(AdviceService):
    """Answers one query at a time, as the service does for one machine."""

    def __init__(self):
        self.lock = asyncio.Lock()
        self.query_count = 0
        self.broken = False

    def is_available(self, policy, worker_count):
        return True

    async def ask(self, job_id, occurrence, step, workers, policy):
        self.query_count += 1
        if self.broken:
            return Error("no reply")
        async with self.lock:
            await asyncio.sleep(policy.advice.answer_ms(len(workers)) / 1000)
        return Ok(Admission({}))


class Peers:
    """Calls to the services of other machines, by endpoint."""

    def __init__(self, services):
        self.services = services

    async def advise(self, endpoint, job_id, occurrence, step, workers, policy):
        service = self.services[endpoint]
        return await service.ask(job_id, occurrence, step, workers, policy)


class AdviceBalancerTest(VirtualTimeTestCase):
    """Guards against starts of a service being limited by queries of one machine."""

    def make_balancer(self, count=6, own="m0"):
        self.services = {f"m{i}": SerialAdviceService() for i in range(count)}
        members = [
            Member(ProcessId(name), name, RegionName("r")) for name in self.services
        ]
        peers = Peers(self.services)
        return AdviceBalancer(
            own, self.services[own], peers, lambda: members, RegionName("r")
        )

    async def measure_queries(self, balancer, policy, count=1):
        begin_s = asyncio.get_running_loop().time()
        queries = [balancer.ask(f"j{i}", 0, 0, WORKERS, policy) for i in range(count)]
        await asyncio.gather(*queries)
        return asyncio.get_running_loop().time() - begin_s

    async def test_queries_are_sent_from_all_machines(self):
        balancer = self.make_balancer()
        self.assertLess(await self.measure_queries(balancer, QUICK, 30), 0.2)
        self.assertTrue(all(s.query_count for s in self.services.values()))

    async def test_quick_queries_do_not_wait_for_long_ones(self):
        balancer = self.make_balancer()
        long_queries = asyncio.create_task(self.measure_queries(balancer, LONG, 9))
        await asyncio.sleep(0.01)
        self.assertLess(await self.measure_queries(balancer, QUICK, 3), 0.1)
        await long_queries

    async def test_is_unavailable_while_all_machines_are_busy(self):
        balancer = self.make_balancer(2)
        self.assertTrue(balancer.is_available(LONG, 1))
        long_queries = asyncio.create_task(self.measure_queries(balancer, LONG, 2))
        await asyncio.sleep(0.01)
        self.assertFalse(balancer.is_available(LONG, 1))
        await long_queries
        self.assertTrue(balancer.is_available(LONG, 1))

    async def test_two_owners_prefer_different_machines(self):
        first, second = self.make_balancer(), None
        services = self.services
        second = self.make_balancer(own="m3")
        self.services = services
        await self.measure_queries(first, LONG, 1)
        busy = [name for name, service in services.items() if service.query_count]
        await self.measure_queries(second, LONG, 1)
        self.assertEqual(len(busy), 1)

    async def test_machine_without_answers_gets_no_more_queries(self):
        balancer = self.make_balancer(3)
        for service in self.services.values():
            service.broken = service is not self.services["m0"]
        for _ in range(6):
            await self.measure_queries(balancer, QUICK)
        counts = [self.services[name].query_count for name in ("m1", "m2")]
        self.assertLessEqual(max(counts), 1)
