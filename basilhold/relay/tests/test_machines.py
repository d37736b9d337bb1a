import random

from absl import logging

from basilhold.core import Clock, OfficeName, ProcessId, RegionName, VmId, ZoneName
from basilhold.relay import (
    AckBoard,
    DocumentCopy,
    ProcessIdentity,
    RelayState,
)
from basilhold.relay.election import ReaderElection
from basilhold.relay.receiver import Reception, UpdateReceiver
from basilhold.relay.reports import LAG_SETTLE_MS, RelaySource, Reporter
from basilhold.relay.sender import Subscriber
from basilhold.rpc import Address
from basilhold.rpc.messages_pb2 import DocumentVersion, LaggingProcess, WatchRequest
from basilhold.standins import MemoryTable
from basilhold.testing import VIRTUAL_EPOCH_UNIX_MS, VirtualTimeTestCase

NORTH, REGION = OfficeName("north"), RegionName("r")
UNIX_MS = VIRTUAL_EPOCH_UNIX_MS


def copy(version):
    return DocumentCopy(NORTH, version, b'{"office":"north","n":%d}' % version)


def acknowledgement(process_id, version, covered=(), lagging=()):
    return WatchRequest(
        process_id=process_id,
        region=REGION,
        in_force=[DocumentVersion(office=NORTH, version=version)],
        covered=covered,
        covered_changed=bool(covered),
        lagging=[
            LaggingProcess(process_id=name, office=NORTH, version=known)
            for name, known in lagging
        ],
    )


class StreamMachinesTest(VirtualTimeTestCase):
    """Guards the two ends of a stream against gaps, repeats and idle chatter."""

    def make(self):
        self.source, self.target = RelayState(), RelayState()
        self.subscriber = Subscriber(WatchRequest(process_id="p"), same_region=True)
        self.receiver = UpdateReceiver(self.target, Clock(UNIX_MS))

    def next_update(self, now_ms):
        return self.subscriber.next_update(self.source, now_ms, UNIX_MS)

    async def test_gap_confirms_nothing(self):
        self.make()
        self.source.put_document(copy(1))
        self.next_update(0)
        self.source.confirm(50)
        after_gap = self.next_update(200)
        self.assertIs(self.receiver.receive(after_gap), Reception.BROKEN)
        self.assertIsNone(self.target.confirmed_at_ms)

    async def test_repeat_is_late_and_changes_nothing(self):
        self.make()
        self.source.put_document(copy(1))
        first = self.next_update(0)
        self.source.put_document(copy(2))
        second = self.next_update(10)
        self.assertEqual(second.documents[0].base_version, 1)
        for update, reception in (
            (first, Reception.APPLIED),
            (second, Reception.APPLIED),
            (first, Reception.LATE),
        ):
            self.assertIs(self.receiver.receive(update), reception)
        self.assertEqual(self.target.documents[NORTH], copy(2))

    async def test_nothing_is_sent_between_heartbeats_without_news(self):
        self.make()
        self.assertIsNotNone(self.next_update(0))
        self.assertIsNone(self.next_update(1400))
        self.assertIsNotNone(self.next_update(1500))
        self.source.confirm(1550)
        self.assertIsNotNone(self.next_update(1650), "a new confirmation goes on")


class AckBoardTest(VirtualTimeTestCase):
    """Guards "in force everywhere" against processes that nobody heard of."""

    async def test_missing_names_lagging_and_absent_processes(self):
        board = AckBoard(REGION)
        board.record(acknowledgement("g1", 3, ["vm-1/gateway"]), 1, 0)
        below = acknowledgement("r2", 2, ["vm-2/gateway"], [("g2", 2)])
        board.record(below, 2, 0)
        expected = ["vm-1/gateway", "vm-2/gateway", "vm-3/gateway"]
        self.assertEqual(
            board.missing(NORTH, 3, "vm-1/relay", expected),
            ("g2 (has version 2)", "vm-3/gateway (not connected)"),
        )
        self.assertEqual(board.summary("vm-1/relay", {NORTH: 3}).in_force, {NORTH: 2})

    async def test_late_acknowledgement_takes_nothing_back_but_a_new_stream_does(self):
        board = AckBoard(REGION)
        for stream, version, expected in ((1, 3, 3), (1, 2, 3), (2, 1, 1)):
            board.record(acknowledgement("g1", version), stream, 0)
            found = board.summary("vm-1/relay", {NORTH: 3}).in_force[NORTH]
            self.assertEqual(found, expected)

    async def test_ended_and_silent_streams_are_not_counted(self):
        board = AckBoard(REGION)
        board.record(acknowledgement("g1", 1), 1, 0)
        board.record(acknowledgement("g2", 1), 2, 0)
        board.end_stream("g1", 1, 0)
        for now_ms, count in ((10_000, 3), (10_001, 2), (35_001, 1)):
            board.advance(now_ms)
            self.assertEqual(board.summary("vm-1/relay", {}).process_count, count)

    async def test_a_change_travels_up_once_per_relay(self):
        state, board = RelayState(), AckBoard(REGION)
        identity = ProcessIdentity(
            ProcessId("r"), "relay", VmId("vm-1"), ZoneName("z"), REGION
        )
        reporter = Reporter(identity, RelaySource(identity, state, board), state, True)
        for name in "abc":
            board.record(acknowledgement(name, 0), name, 0)
        reporter.first_request(0)
        state.put_document(copy(1))
        self.assertEqual(len(reporter.next_request(0).pushed), 1)
        for name in "abc":
            self.assertIsNone(reporter.next_request(10))
            board.record(acknowledgement(name, 1), name, 10)
        self.assertEqual(reporter.next_request(20).in_force[0].version, 1)
        state.put_document(copy(2))
        reporter.next_request(30)
        board.record(acknowledgement("a", 2), "a", 40)
        self.assertIsNone(reporter.next_request(40))
        report = reporter.next_request(41 + LAG_SETTLE_MS)
        self.assertEqual([lag.process_id for lag in report.lagging], ["b", "c"])


class ReaderElectionTest(VirtualTimeTestCase):
    """Guards the choice of readers against races and lost replies."""

    def setUp(self):
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    def election(self, table, name):
        identity = ProcessIdentity(
            ProcessId(name), "relay", VmId(name), ZoneName("z"), REGION
        )
        address, clock = Address(name, 1), Clock(UNIX_MS)
        rng = random.Random(name)
        return ReaderElection(identity, address, table, RelayState(), clock, rng)

    async def test_second_relay_follows_the_first_until_it_suspects_it(self):
        table = MemoryTable()
        first = await self.election(table, "a").choose()
        second = self.election(table, "b")
        self.assertEqual(await second.choose(), first)
        second.suspect(first, "silent")
        successor = await second.choose()
        self.assertEqual((successor.process_id, successor.term), ("b", first.term + 1))
        late = self.election(table, "c")
        late.suspect(first, "silent")
        self.assertEqual(await late.choose(), successor)

    async def test_claim_with_a_lost_reply_is_recognised(self):
        table = MemoryTable()
        table.faults.lost_reply_ratio = 1.0
        read = table.read

        async def read_reliably(keys):
            ratio, table.faults.lost_reply_ratio = table.faults.lost_reply_ratio, 0.0
            result = await read(keys)
            table.faults.lost_reply_ratio = ratio
            return result

        table.read = read_reliably
        reader = await self.election(table, "a").choose()
        self.assertEqual(reader.process_id, "a")
