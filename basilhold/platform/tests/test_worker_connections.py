"""Owners that follow each other, beside a worker that accepts few connections."""

import asyncio
import contextlib

from basilhold.core import Epoch, JobId, Resources, WorkerId
from basilhold.observability import METRICS, Metrics
from basilhold.platform.connection_limits import (
    CallKind,
    ConnectionLimits,
    ReceiveLimits,
)
from basilhold.platform.outgoing_pools import OutgoingPools
from basilhold.ports.runners import CallOutcome, RenewLeaseCall, RunnerCall, StartCall
from basilhold.testing import VirtualTimeTestCase
from basilhold.workflows.model import RunNumber, TaskKey
from basilhold.workflows.pool import Worker, WorkerInfo

CONNECTIONS_MAX = 64
OWNERS_LOST = 18
STARTS = 32
REPLY_AFTER_S = 0.03
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + b'{"clock_ms":5,"born":99}'


class WorkerAgent:
    """Replies to calls, and resets the connections beyond those that it accepts.

    The connections of a lost owner stay open on the worker's side.
    """

    def __init__(self):
        self.accepted_max = CONNECTIONS_MAX
        self.open_count = 0
        self.reset_count = 0

    def lose_owner(self):
        """Keep the connections that are open now, whatever becomes of their owner."""
        self.accepted_max -= self.open_count

    async def serve(self, reader, writer):
        if self.open_count >= self.accepted_max:
            self.reset_count += 1
            writer.transport.abort()
            return
        self.open_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                body = await reader.readexactly(length)
                await asyncio.sleep(1.0 if b"wait_ms" in body else REPLY_AFTER_S)
                writer.write(REPLY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            writer.close()


class WorkerConnectionsTest(VirtualTimeTestCase):
    """Guards against owners that take up all connections of a worker in turn.

    The starts and stops of the next owner reached nobody, so accepted work did not
    start on an idle worker.
    """

    async def run_beside_agent(self, check):
        agent = WorkerAgent()
        server = await asyncio.start_server(agent.serve, "worker", 80)
        info = WorkerInfo(WorkerId("w"), "worker:80", 99, Resources())
        async with server:
            await check(agent, Worker(info))
        await asyncio.sleep(2)

    @contextlib.asynccontextmanager
    async def own(self, worker):
        """Poll a worker all the time; yield the client and the pools of the owner."""
        limits = ConnectionLimits.for_descriptors(4_100)
        receive = ReceiveLimits.for_memory(limits, 300 << 20)
        with OutgoingPools(limits, receive) as pools:
            client = pools.make_runner_client()

            async def poll():
                call = RenewLeaseCall(Epoch(7), 0, 9.0, 1_000)
                while True:
                    result = await client.renew_lease(worker, call)
                    if result.is_error():
                        await asyncio.sleep(0.2)

            polls = asyncio.create_task(poll())
            try:
                yield client, pools
            finally:
                polls.cancel()
                await asyncio.wait([polls])

    async def start_all(self, client, worker):
        """Start many tasks at once; return the outcomes."""
        return await asyncio.gather(
            *(
                client.start(
                    worker,
                    StartCall(
                        RunnerCall(
                            JobId("5c0e7a21d94b36f8"),
                            TaskKey(0, 0, index),
                            RunNumber(1),
                            Epoch(7),
                        ),
                        "text",
                        9_000.0,
                    ),
                )
                for index in range(STARTS)
            )
        )

    async def test_worker_accepts_the_calls_of_the_owner_after_many_lost_ones(self):
        async def check(agent, worker):
            for _ in range(OWNERS_LOST):
                async with self.own(worker) as (client, _):
                    await self.start_all(client, worker)
                    await asyncio.sleep(1.6)
                    agent.lose_owner()
            async with self.own(worker) as (client, pools):
                outcomes = await self.start_all(client, worker)
                self.assertEqual(set(outcomes), {CallOutcome.DONE})
                for kind in (CallKind.COMMANDS, CallKind.POLLS):
                    self.assertEqual(pools[kind].counts.reset, 0)
            self.assertEqual(agent.reset_count, 0)

        await self.run_beside_agent(check)

    async def test_owners_lost_amid_their_starts_leave_room_for_others(self):
        async def check(agent, worker):
            for _ in range(5):
                async with self.own(worker) as (client, _):
                    starts = asyncio.create_task(self.start_all(client, worker))
                    await asyncio.sleep(REPLY_AFTER_S / 2)
                    agent.lose_owner()
                    starts.cancel()
                    await asyncio.wait([starts])
            async with self.own(worker) as (client, _):
                outcomes = await self.start_all(client, worker)
                self.assertEqual(set(outcomes), {CallOutcome.DONE})

        await self.run_beside_agent(check)

    async def test_owner_that_ends_closes_its_unused_connections(self):
        async def check(agent, worker):
            async with self.own(worker) as (client, pools):
                await self.start_all(client, worker)
                client.close_connections(worker)
                await asyncio.sleep(0.1)
                self.assertEqual(pools[CallKind.COMMANDS].counts.open, 0)
                # The poll that waits at the worker is under way.
                self.assertEqual(agent.open_count, 1)

        await self.run_beside_agent(check)

    async def test_reset_connections_are_counted(self):
        # A full worker looked like one that had crashed.
        async def check(agent, worker):
            agent.accepted_max = 1
            async with self.own(worker) as (client, pools):
                await self.start_all(client, worker)
                metrics = Metrics(METRICS)
                pools.collect(metrics)
                page = metrics.render()[0].decode()
            name = "basilhold_outgoing_connections_reset_total"
            count = page.split(f'{name}{{kind="commands"}} ')[1].split()[0]
            self.assertGreater(int(count), 0)

        await self.run_beside_agent(check)
