import asyncio

from grpclib.exceptions import StreamTerminatedError

from basilhold.rpc import Address, RpcErrorKind, call
from basilhold.rpc.messages_grpc import RelayBase, RelayStub
from basilhold.rpc.messages_pb2 import (
    Document,
    PushReply,
    WatchRequest,
    WatchUpdate,
)
from basilhold.standins import MemoryNetwork
from basilhold.testing import VirtualTimeTestCase

SERVER = Address("b", 1)


class EchoService(RelayBase):
    """Sends back the numbers that it receives."""

    async def Watch(self, stream):  # noqa: N802
        async for request in stream:
            update = WatchUpdate(sequence=request.vm_list_version)
            await stream.send_message(update)

    async def PushDocument(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(PushReply())

    async def _unused(self, stream):
        raise NotImplementedError

    AskInForce = SubmitChange = _unused


class MemoryNetworkTest(VirtualTimeTestCase):
    """Guards the stand-in against faults that TCP connections do not have."""

    async def connect(self):
        self.network = MemoryNetwork(latency_ms=lambda *_: 10)
        self.server = self.network.transport("b")
        await self.server.serve([EchoService()], SERVER)
        self.stub = RelayStub(self.network.transport("a").channel(SERVER))

    async def numbers(self, count):
        received = []
        async with self.stub.Watch.open() as stream:
            for number in range(count):
                await stream.send_message(WatchRequest(vm_list_version=number))
            await stream.end()
            while (update := await stream.recv_message()) is not None:
                received.append(update.sequence)
        return received

    async def test_messages_arrive_in_order_and_before_the_end(self):
        await self.connect()
        self.assertEqual(await self.numbers(50), list(range(50)))

    async def test_late_and_repeated_messages_are_switched_on_by_tests(self):
        await self.connect()
        self.network.late_ratio = self.network.duplicate_ratio = 0.3
        received = await self.numbers(50)
        self.assertEqual(set(received), set(range(50)))
        self.assertNotEqual(received, sorted(received))
        self.assertGreater(len(received), 50)

    async def test_cut_holds_messages_back_and_calls_run_into_their_deadline(self):
        await self.connect()
        self.network.cut(["a"], ["b"])
        late = (await call(self.stub.PushDocument, Document(), 1)).error
        self.assertIs(late.kind, RpcErrorKind.TIMEOUT)
        asyncio.get_running_loop().call_later(5, self.network.heal)
        self.assertEqual(await self.numbers(3), [0, 1, 2])

    async def test_death_behind_a_cut_shows_when_the_cut_ends(self):
        await self.connect()
        async with self.stub.Watch.open() as stream:
            await stream.send_message(WatchRequest(vm_list_version=1))
            await stream.recv_message()
            self.network.cut(["a"], ["b"])
            await self.server.close()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(60):
                    await stream.recv_message()
            self.network.heal()
            with self.assertRaises(StreamTerminatedError):
                async with asyncio.timeout(1):
                    await stream.recv_message()
        refused = (await call(self.stub.PushDocument, Document(), 1)).error
        self.assertIs(refused.kind, RpcErrorKind.UNREACHABLE)
