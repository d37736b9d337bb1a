import asyncio
import random
import unittest

from basilhold.adapters import HttpAddress, HttpLimits, HttpPool, HttpTable
from basilhold.adapters.tests.contracts import put
from basilhold.ports import StoreErrorKind
from basilhold.standins import MemoryTable, StoreFaults
from basilhold.standins.http import PlatformServer, PlatformServices


class RandomRunTest(unittest.IsolatedAsyncioTestCase):
    """Guards against outcomes that contradict what the table holds.

    Timeouts race with replies, connections are lost at random, and requests wait for
    connections. Which outcome an operation gets depends on timing; that the outcome is
    true does not.
    """

    async def run_with_seed(self, seed):
        chance = random.Random(seed)
        table, transport = MemoryTable(), StoreFaults(seed)
        transport.latency_ms = 4
        transport.lost_reply_ratio = 0.15
        transport.lost_request_ratio = 0.15
        transport.refused_ratio = 0.1
        results = {}

        async def write(client, key):
            await asyncio.sleep(chance.random() / 20)
            results[key] = await client.transact(put(key, 0))

        async with (
            PlatformServer(PlatformServices(table, transport=transport)) as server,
            HttpPool(HttpLimits(connections=4)) as pool,
        ):
            address = HttpAddress("127.0.0.1", server.port)
            clients = [HttpTable(pool, address, ms) for ms in (3, 8, 40, 5_000)]
            await asyncio.gather(
                *(write(chance.choice(clients), f"{n:03d}") for n in range(200))
            )
        return table.read_now(tuple(results)).ok, results

    async def test_every_outcome_is_true(self):
        kinds = set()
        for seed in range(5):
            rows, results = await self.run_with_seed(seed)
            for key, result in results.items():
                where = f"seed {seed}, key {key}"
                kind = None if result.is_ok() else result.error.kind
                kinds.add(kind)
                if kind is None:
                    self.assertEqual((result.ok, key in rows), ({key: 1}, True), where)
                elif kind is StoreErrorKind.NOT_APPLIED:
                    self.assertNotIn(key, rows, where)
                else:
                    self.assertIs(kind, StoreErrorKind.UNKNOWN, where)
        expected = {None, StoreErrorKind.NOT_APPLIED, StoreErrorKind.UNKNOWN}
        self.assertEqual(kinds, expected)
