from tornado.httpclient import HTTPRequest

from basilhold.accounting import (
    ACK_BYTES,
    CALL_OVERHEAD_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    CountingHttpClient,
    CountingTableService,
    CountingTransport,
    Distance,
    HostLocator,
    OperationCounter,
    OperationKind,
    Place,
    Purpose,
    TrafficCounter,
)
from basilhold.ports import Condition, Transaction, Write
from basilhold.rpc import Address, call
from basilhold.rpc.messages_grpc import GatewayBase, GatewayStub
from basilhold.rpc.messages_pb2 import AskRequestMessage, AskRequestReply
from basilhold.standins import MemoryNetwork, MemoryTable
from basilhold.testing import VirtualTimeTestCase

REQUEST = AskRequestMessage(key="k" * 100)
REPLY = AskRequestReply(progress=2)


class AskService(GatewayBase):
    """Service that returns the same reply to every request."""

    async def AskRequest(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(REPLY)


def counting_transport(network, host, zone, region, places):
    counter = TrafficCounter()
    locator = HostLocator(Place(zone, region), places)
    return counter, CountingTransport(network.transport(host), counter, locator)


class TrafficCounterTest(VirtualTimeTestCase):
    """Every byte and message that is sent is counted."""

    async def test_both_ends_count_what_they_send(self):
        places = {"a": Place("z1", "r1"), "b": Place("z2", "r1")}
        network = MemoryNetwork()
        client_counter, client = counting_transport(network, "a", "z1", "r1", places)
        server_counter, server = counting_transport(network, "b", "z2", "r1", places)
        address = Address("b", 1)
        await server.serve([AskService()], address)
        for _ in range(3):
            stub = GatewayStub(client.channel(address))
            self.assertEqual((await call(stub.AskRequest, REQUEST, 1)).ok, REPLY)
        per_call = CALL_OVERHEAD_BYTES + MESSAGE_OVERHEAD_BYTES + ACK_BYTES
        for counter, message in ((client_counter, REQUEST), (server_counter, REPLY)):
            (entry,) = counter.snapshot()
            self.assertIs(entry.purpose, Purpose.KEYED_REQUEST)
            self.assertIs(entry.distance, Distance.SAME_REGION)
            self.assertEqual(entry.payload_bytes, 3 * message.ByteSize())
            self.assertEqual(entry.overhead_bytes, 3 * per_call)
            self.assertEqual(entry.messages, 3)

    async def test_unknown_hosts_count_as_other_region(self):
        locator = HostLocator(Place("z1", "r1"), {"a": Place("z1", "r1")})
        self.assertIs(locator.distance("a"), Distance.SAME_ZONE)
        self.assertIs(locator.distance("b"), Distance.OTHER_REGION)
        locator.set_place("b", Place("z2", "r1"))
        self.assertIs(locator.distance("b"), Distance.SAME_REGION)

    async def test_http_requests_are_counted(self):
        class Client:
            async def fetch(self, request, **_options):
                return request

        counter = TrafficCounter()
        locator = HostLocator(Place("z1", "r1"), {"10.0.0.1": Place("z1", "r1")})
        client = CountingHttpClient(Client(), counter, locator, Purpose.WORKERS)
        url = "http://10.0.0.1:90/renew"
        await client.fetch(HTTPRequest(url, method="POST", body=b"abc"))
        await client.fetch(url, method="POST", body="defg")
        (entry,) = counter.snapshot()
        self.assertEqual((entry.payload_bytes, entry.messages), (7, 2))
        self.assertIs(entry.distance, Distance.SAME_ZONE)

    async def test_totals_by_distance_and_purpose(self):
        counter = TrafficCounter()
        counter.add_http(Purpose.STORE, Distance.OTHER_REGION, 10)
        counter.add_acknowledgement(Purpose.RELAY, Distance.SAME_ZONE)
        self.assertEqual(counter.total_bytes(Distance.SAME_ZONE), ACK_BYTES)
        self.assertEqual(
            counter.total_bytes(purpose=Purpose.STORE),
            counter.total_bytes() - ACK_BYTES,
        )


class OperationCounterTest(VirtualTimeTestCase):
    """Failed store operations are counted as well as successful ones."""

    async def test_reads_writes_and_failures(self):
        counter, table = OperationCounter(), MemoryTable()
        counted = CountingTableService(table, counter, "config")
        write = Transaction((Condition("a", 0),), (Write("a", b""),))
        for _ in range(2):
            await counted.transact(write)
        await counted.read(("a",))
        await counted.scan("a")
        read, written = counter.snapshot()
        self.assertEqual((read.kind, read.count), (OperationKind.READ, 2))
        self.assertEqual((written.count, written.failed_count), (2, 1))
        self.assertEqual(counter.total(), 4)
        self.assertEqual(counter.total(OperationKind.WRITE), 2)
