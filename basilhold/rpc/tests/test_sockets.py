import asyncio
import tempfile
import unittest
from pathlib import Path

from basilhold.rpc import (
    Address,
    GrpcTransport,
    RpcErrorKind,
    TlsContexts,
    TlsFiles,
    TlsProblemKind,
    call,
    check_tls_files,
)
from basilhold.rpc.messages_grpc import SchedulerBase, SchedulerStub
from basilhold.rpc.messages_pb2 import ProbeReply, ProbeRequest
from basilhold.rpc.tests.certificates import DAY, NOW, Authority

ANY_PORT = Address("127.0.0.1", 0)


class ProbeService(SchedulerBase):
    """Scheduler service that implements only ``Probe``."""

    async def Probe(self, stream):  # noqa: N802
        request = await stream.recv_message()
        if request.from_process_id == "slow":
            await asyncio.sleep(30)
        await stream.send_message(ProbeReply(process_id="b"))

    async def _unused(self, stream):
        raise NotImplementedError

    ExchangeSlots = NotifyJobs = Explain = ShardState = HandOver = _unused
    AttestLost = _unused


async def probe(transport, address, name="a", timeout_s=5.0):
    stub = SchedulerStub(transport.channel(address))
    return await call(stub.Probe, ProbeRequest(from_process_id=name), timeout_s)


async def serve(transport, address=ANY_PORT):
    return (await transport.serve([ProbeService()], address)).ok


class GrpcTransportTest(unittest.IsolatedAsyncioTestCase):
    """Calls over loopback sockets: restart, deadline and the ban on plain text."""

    async def test_call_reconnects_after_server_restart(self):
        async with GrpcTransport() as server, GrpcTransport() as client:
            served = await serve(server)
            self.assertEqual((await probe(client, served.address)).ok.process_id, "b")
            await served.close()
            failed = (await probe(client, served.address)).error
            self.assertIs(failed.kind, RpcErrorKind.UNREACHABLE)
            self.assertFalse(failed.may_have_run)
            await serve(server, served.address)
            self.assertTrue((await probe(client, served.address)).is_ok())

    async def test_call_times_out_at_its_deadline(self):
        async with GrpcTransport() as server, GrpcTransport() as client:
            served = await serve(server)
            timed_out = (await probe(client, served.address, "slow", 0.05)).error
            self.assertIs(timed_out.kind, RpcErrorKind.TIMEOUT)
            self.assertTrue(timed_out.may_have_run)

    async def test_plain_text_is_allowed_on_loopback_only(self):
        async with GrpcTransport() as transport:
            served = await transport.serve([ProbeService()], Address("0.0.0.0", 0))
            self.assertIs(served.error.kind, RpcErrorKind.IDENTITY)
            called = (await probe(transport, Address("10.0.0.1", 1))).error
            self.assertIn("plain text", called.reason)


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Only processes with a certificate of the cell can connect to each other."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.trusted = Authority(directory.name, "cell")
        self.foreign = Authority(directory.name, "foreign")

    async def test_peers_with_certificates_of_one_cell_can_connect(self):
        server = GrpcTransport(TlsContexts(self.trusted.issue("a")))
        client = GrpcTransport(TlsContexts(self.trusted.issue("b")))
        async with server, client:
            served = await serve(server)
            self.assertTrue((await probe(client, served.address)).is_ok())

    async def test_foreign_certificate_and_plain_text_are_rejected(self):
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        files = self.foreign.issue("c")
        mixed_files = TlsFiles(files.certificate, files.key, self.trusted.path)
        server = GrpcTransport(TlsContexts(self.trusted.issue("a")))
        clients = [
            GrpcTransport(TlsContexts(files)),
            GrpcTransport(TlsContexts(mixed_files)),
            GrpcTransport(),
        ]
        async with server, clients[0], clients[1], clients[2]:
            served = await serve(server)
            for client in clients:
                self.assertTrue((await probe(client, served.address)).is_error())
            error = (await probe(clients[0], served.address)).error
            self.assertIs(error.kind, RpcErrorKind.IDENTITY)
            self.assertIn("TLS handshake failed", error.reason)

    async def test_certificate_is_reloaded_without_restart(self):
        files = self.trusted.issue("a", NOW + DAY)
        contexts = TlsContexts(files)
        self.assertFalse(contexts.reload_if_changed().ok)
        self.trusted.write("a.key", b"not a key")
        self.assertTrue(contexts.reload_if_changed().is_error())
        async with GrpcTransport(contexts) as server:
            served = await serve(server)
            async with GrpcTransport(TlsContexts(self.trusted.issue("b"))) as client:
                self.assertTrue((await probe(client, served.address)).is_ok())
            self.trusted.issue("a", NOW + 2 * DAY)
            self.assertTrue(contexts.reload_if_changed().ok)
            async with GrpcTransport(TlsContexts(self.trusted.issue("c"))) as client:
                self.assertTrue((await probe(client, served.address)).is_ok())

    def test_check_identifies_the_problem_of_unusable_files(self):
        good, other = self.trusted.issue("good"), self.trusted.issue("other")
        expired = self.trusted.issue("expired", NOW - DAY)
        broken = Path(good.authority).with_name("broken")
        broken.write_text("no certificate")
        cases = (
            (good.certificate, "/nonexistent", good.authority, "MISSING"),
            (str(broken), good.key, good.authority, "UNREADABLE"),
            (good.certificate, other.key, good.authority, "MISMATCH"),
            (expired.certificate, expired.key, good.authority, "EXPIRED"),
            (good.certificate, good.key, self.foreign.path, "UNTRUSTED"),
        )
        self.assertTrue(check_tls_files(good).is_ok())
        for certificate, key, authority, kind in cases:
            with self.subTest(kind=kind):
                problem = check_tls_files(TlsFiles(certificate, key, authority)).error
                self.assertIs(problem.kind, TlsProblemKind[kind])
                self.assertTrue(problem.reason)
