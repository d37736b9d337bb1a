import unittest

import msgspec
from absl import logging
from expression import Ok

from basilhold.core import InvariantError
from basilhold.ports import (
    SendPhase,
    TableService,
    Transaction,
    UpstreamClient,
)
from basilhold.requests import SlotAllocator
from basilhold.testing.request_cell import RequestCell
from basilhold.testing.request_fuzz import Fault, fuzz, run_seed

SEEDS = 200


class QuietTestCase(unittest.TestCase):
    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)


class RequestFuzzTest(QuietTestCase):
    """Guards the guarantees of requests under faults alone, in pairs and triples."""

    def test_seeds(self):
        self.assertEqual(fuzz(0, SEEDS), [])


class ForgetfulAllocator(SlotAllocator):
    """Believes delayed reports."""

    def apply_report(self, report, now_unix_ms):
        gateway = self._gateways.get(report.gateway_id)
        if gateway is not None:
            gateway.number = min(gateway.number, report.number - 1)
        return super().apply_report(report, now_unix_ms)


class HastyAllocator(SlotAllocator):
    """Takes over as if the predecessor had lent nothing."""

    def __init__(self, *args, takeover=None, **options):
        super().__init__(*args[:3], None, **options)


class UnconditionalTable(TableService):
    """Writes without conditions, as if a record were never in the way."""

    def __init__(self, table):
        self._table = table

    async def read(self, keys):
        return await self._table.read(keys)

    async def scan(self, prefix, after="", limit=500):
        return await self._table.scan(prefix, after, limit)

    async def transact(self, transaction):
        return await self._table.transact(Transaction((), transaction.writes))


class ChangedClient(UpstreamClient):
    """Misreports the end of some requests."""

    def __init__(self, client, change):
        self._client = client
        self._change = change

    async def send(self, request, sink):
        return self._change(await self._client.send(request, sink), sink)


def cut_as_not_sent(result, sink):
    if result.is_error():
        return result.map_error(
            lambda e: msgspec.structs.replace(e, phase=SendPhase.NOT_SENT)
        )
    return result


def truncated_as_whole(result, sink):
    if result.is_error() and result.error.phase is SendPhase.ANSWERING:
        return Ok(sink.head)
    return result


class BrokenVariantTest(QuietTestCase):
    """Shows that the checks inside the runs notice a broken mechanism."""

    def assert_caught(self, faults, message, seeds=20, **options):
        for seed in range(seeds):
            try:
                run_seed(
                    seed,
                    faults,
                    lambda seed: RequestCell(seed, **options),
                    load_s=1.0,
                )
            except InvariantError as error:
                self.assertRegex(str(error), message)
                return
        self.fail(f"{seeds} seeds did not notice the broken variant")

    def test_delayed_reports_are_believed(self):
        self.assert_caught(
            (Fault.REPORTS_LOST, Fault.GATEWAY_JOINS),
            "slot token .* is held by|has 2 slots",
            seeds=60,
            make_allocator=ForgetfulAllocator,
        )

    def test_successor_lends_unclaimed_slots(self):
        self.assert_caught(
            (Fault.OWNER_TAKEN_OVER, Fault.OVERLOAD),
            "slot token .* is held by|has 2 slots",
            make_allocator=HastyAllocator,
        )

    def test_records_are_written_without_condition(self):
        self.assert_caught(
            (Fault.CUT,), "has run 2 times", wrap_table=UnconditionalTable
        )

    def test_cut_connection_is_taken_for_not_sent(self):
        self.assert_caught(
            (Fault.CUT,),
            "has run|was reported not-run",
            wrap_client=lambda c: ChangedClient(c, cut_as_not_sent),
        )

    def test_truncated_answer_is_taken_for_whole(self):
        self.assert_caught(
            (Fault.TRUNCATE,),
            "bytes as a whole answer",
            wrap_client=lambda c: ChangedClient(c, truncated_as_whole),
        )
