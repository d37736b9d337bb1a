import asyncio
import socket
import unittest
from pathlib import Path

from tornado.netutil import bind_sockets
from tornado.web import Application

from basilhold.adapters import HttpAddress, HttpCall, HttpLimits, HttpPool
from basilhold.adapters.http_server import HttpServer
from basilhold.core.connection_account import ServerLimits

RECEIVE_BYTES = 32_768
SENT_BYTES = 4 << 20


def send_all(connection):
    """Send until the peer, which reads nothing, takes no more; return the bytes."""
    connection.settimeout(0.5)
    sent = 0
    try:
        while sent < SENT_BYTES:
            sent += connection.send(bytes(1 << 16))
    except TimeoutError:
        pass
    return sent


def unread_bytes(port):
    """Return how many bytes the connection from a local port has not read."""
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = row.split()
        if fields[1].endswith(f":{port:04X}"):
            return int(fields[4].partition(":")[2], 16)
    raise LookupError(port)


class ReceiveBufferTest(unittest.IsolatedAsyncioTestCase):
    """Guards against received bytes that no limit covers."""

    async def test_connections_that_wait_to_be_accepted(self):
        limits = ServerLimits(receive_bytes=RECEIVE_BYTES)
        server = HttpServer("s", Application(), limits)
        self.addCleanup(server.stop)
        (listening,) = bind_sockets(0, "127.0.0.1")
        server.add_socket(listening)
        # The event loop does not run meanwhile, so that nothing is accepted.
        with socket.create_connection(listening.getsockname()) as client:
            send_all(client)
            accepted, _ = listening.accept()
            with accepted:
                accepted.setblocking(False)
                received = accepted.recv(SENT_BYTES)
                self.assertLessEqual(len(received), RECEIVE_BYTES)

    async def test_replies(self):
        with socket.create_server(("127.0.0.1", 0)) as listening:
            port = listening.getsockname()[1]
            limits = HttpLimits(receive_bytes=RECEIVE_BYTES)
            async with HttpPool(limits) as pool:
                call = HttpCall(HttpAddress("127.0.0.1", port), "GET", "/")
                task = asyncio.create_task(pool.run(call))
                served, _ = await asyncio.to_thread(listening.accept)
                with served:
                    await asyncio.to_thread(served.recv, 1 << 16)
                    # The event loop does not run meanwhile, so that nothing is read.
                    served.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n"
                    )
                    send_all(served)
                    port = served.getpeername()[1]
                    self.assertLessEqual(unread_bytes(port), RECEIVE_BYTES)
                self.assertTrue((await task).is_error())
