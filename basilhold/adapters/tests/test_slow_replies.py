"""Exchanges whose response arrives slowly, on the virtual clock."""

import asyncio

from basilhold.adapters import HttpAddress, HttpCall, HttpLimits, HttpPool
from basilhold.testing import VirtualTimeTestCase

ADDRESS = HttpAddress("store", 80)
PARTS = 20


class SlowReplyTest(VirtualTimeTestCase):
    """Guards against a long response that is given up and requested again."""

    async def call(self, pauses_s, stall_ms, **limits):
        """Return the result of a call to a server that pauses after each part."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % (PARTS * len(b"part")))
            for pause_s in pauses_s:
                if writer.is_closing():
                    break
                writer.write(b"part")
                await asyncio.sleep(pause_s)
            writer.close()

        server = await asyncio.start_server(serve, ADDRESS.host, ADDRESS.port)
        async with server, HttpPool(HttpLimits(**limits)) as pool:
            call = HttpCall(ADDRESS, "GET", "/", timeout_ms=1_000, stall_ms=stall_ms)
            result = await pool.run(call)
            after_s = asyncio.get_running_loop().time()
            # Lets the server end.
            await asyncio.sleep(sum(pauses_s))
            return result, after_s

    async def test_response_that_keeps_arriving_is_awaited(self):
        result, after_s = await self.call([0.3] * PARTS, stall_ms=1_000)
        self.assertEqual(result.ok.body, b"part" * PARTS)
        self.assertGreater(after_s, 5)

    async def test_response_that_stops_arriving_is_given_up(self):
        result, after_s = await self.call([0.3] * 5 + [60], stall_ms=1_000)
        self.assertTrue(result.error.sent)
        self.assertLess(after_s, 3)

    async def test_response_that_never_ends_is_given_up(self):
        result, after_s = await self.call([0.9] * PARTS, 1_000, transfer_ms=4_000)
        self.assertTrue(result.is_error())
        self.assertLessEqual(after_s, 4.1)

    async def test_call_without_stall_time_ends_at_its_timeout(self):
        result, after_s = await self.call([0.3] * PARTS, stall_ms=0)
        self.assertTrue(result.is_error())
        self.assertLessEqual(after_s, 1.1)
