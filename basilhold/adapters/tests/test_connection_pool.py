"""How many connections a pool keeps open to one address, on the virtual clock."""

import asyncio

from basilhold.adapters import HttpAddress, HttpCall, HttpCounts, HttpLimits, HttpPool
from basilhold.testing import VirtualTimeTestCase

ADDRESS = HttpAddress("worker", 80)
OTHER_ADDRESS = HttpAddress("worker", 81)
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REPLY_AFTER_S = 0.1


class ServerWithConnectionLimit:
    """Replies to requests, and resets connections beyond a limit."""

    def __init__(self, connections_max=1_000):
        self.connections_max = connections_max
        self.open_count = self.open_max = 0

    async def serve(self, reader, writer):
        if self.open_count >= self.connections_max:
            writer.transport.abort()
            return
        self.open_count += 1
        self.open_max = max(self.open_max, self.open_count)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(REPLY_AFTER_S)
                writer.write(REPLY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            writer.close()


class AddressLimitTest(VirtualTimeTestCase):
    """Guards against a client that takes up all connections that a server accepts."""

    async def run_calls(self, pool, count, address=ADDRESS, timeout_ms=2_000):
        call = HttpCall(address, "GET", "/", timeout_ms=timeout_ms)
        return await asyncio.gather(*(pool.run(call) for _ in range(count)))

    async def check(self, limits, check, server=None):
        server = server or ServerWithConnectionLimit()
        listeners = [
            await asyncio.start_server(server.serve, address.host, address.port)
            for address in (ADDRESS, OTHER_ADDRESS)
        ]
        async with listeners[0], listeners[1], HttpPool(limits) as pool:
            await check(pool, server)
        await asyncio.sleep(1)

    async def test_exchanges_with_one_address_wait_for_each_other(self):
        # A burst of starts opened as many connections, which stayed open.
        async def check(pool, server):
            results = await self.run_calls(pool, 12)
            self.assertTrue(all(result.is_ok() for result in results))
            self.assertEqual(server.open_max, 3)
            self.assertEqual(pool.counts, HttpCounts(open=3, opened=3, reset=0))

        await self.check(HttpLimits(64, connections_per_address=3), check)

    async def test_full_address_does_not_delay_others(self):
        async def check(pool, server):
            async with asyncio.TaskGroup() as group:
                group.create_task(self.run_calls(pool, 8))
                await asyncio.sleep(0)
                async with asyncio.timeout(2 * REPLY_AFTER_S):
                    results = await self.run_calls(pool, 1, OTHER_ADDRESS)
                self.assertTrue(results[0].is_ok())

        await self.check(HttpLimits(4, connections_per_address=2), check)

    async def test_exchange_without_a_connection_in_time_was_not_sent(self):
        async def check(pool, server):
            results = await self.run_calls(pool, 3, timeout_ms=150)
            failures = [r.error for r in results if r.is_error()]
            self.assertEqual([f.sent for f in failures], [True, False])

        await self.check(HttpLimits(64, connections_per_address=1), check)

    async def test_surplus_connections_are_closed_without_another_call(self):
        async def check(pool, server):
            await self.run_calls(pool, 4)
            self.assertEqual(server.open_count, 4)
            await asyncio.sleep(1)
            self.assertEqual(server.open_count, 1)

        await self.check(HttpLimits(64, surplus_idle_ms=500), check)

    async def test_unused_connection_beside_a_busy_one_is_surplus(self):
        async def check(pool, server):
            async with asyncio.TaskGroup() as group:
                for number in range(10):
                    group.create_task(self.run_calls(pool, 2 if number == 0 else 1))
                    await asyncio.sleep(REPLY_AFTER_S)
                self.assertLessEqual(server.open_count, 2)

        await self.check(HttpLimits(64, surplus_idle_ms=200), check)

    async def test_idle_connections_are_closed_without_another_call(self):
        # They were closed only by the next call to the same address, which a process
        # that has lost a service does not make.
        async def check(pool, server):
            await self.run_calls(pool, 4)
            await self.run_calls(pool, 4, OTHER_ADDRESS)
            await asyncio.sleep(3)
            self.assertEqual(server.open_count, 0)
            self.assertEqual(pool.counts.open, 0)
            self.assertTrue((await self.run_calls(pool, 1))[0].is_ok())

        await self.check(HttpLimits(64, idle_ms=2_000), check)

    async def test_unused_connections_to_one_address_can_be_closed(self):
        async def check(pool, server):
            await self.run_calls(pool, 2)
            await self.run_calls(pool, 2, OTHER_ADDRESS)
            pool.close_unused(ADDRESS)
            await asyncio.sleep(0.1)
            self.assertEqual(server.open_count, 2)

        await self.check(HttpLimits(64), check)

    async def test_connections_that_a_full_server_resets_are_counted(self):
        async def check(pool, server):
            results = await self.run_calls(pool, 5)
            self.assertEqual(sum(r.is_ok() for r in results), 2)
            self.assertEqual(pool.counts.reset, 3)

        await self.check(HttpLimits(64), check, ServerWithConnectionLimit(2))
