"""Clients that send requests badly and never finish them."""

import socket
import time
from collections.abc import Callable

__all__ = ["ClientCrowd"]

ROUND_PAUSE_S = 0.002
RECEIVE_BUFFER_BYTES = 4_096


class _Client:
    """One connection and what it has still to send."""

    def __init__(self, port: int, request: bytes):
        self._port = port
        self._request = request
        self.open()

    def open(self) -> None:
        """Connect again and start over."""
        self.unsent = memoryview(self._request)
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self._port))
        self.ended = False

    def send(self, piece_bytes: int) -> None:
        """Send the next piece as far as the server takes it."""
        try:
            sent = self.socket.send(self.unsent[:piece_bytes])
        except (BlockingIOError, ConnectionRefusedError):
            return
        except OSError:
            self.close()
            return
        self.unsent = self.unsent[sent:]

    def receive(self) -> None:
        """Discard what has arrived; notice the end of the connection."""
        try:
            if not self.socket.recv(1 << 16):
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.ended = True
        self.socket.close()


class ClientCrowd:
    """A crowd of clients of one port; a context manager.

    Parameters
    ----------
    port : int
    requests : list of bytes
        What each client sends.
    piece_bytes : int
        Bytes of one call to send; each client sends one piece in a round.
    reads : bool
        Whether the clients read replies.
    reconnects : bool
        Whether a client whose connection has ended starts over at once.
    """

    def __init__(
        self,
        port: int,
        requests: list[bytes],
        piece_bytes: int = 1 << 20,
        reads: bool = True,
        reconnects: bool = False,
    ):
        self._clients = [_Client(port, request) for request in requests]
        self._piece_bytes = piece_bytes
        self._reads = reads
        self._reconnects = reconnects

    def __enter__(self) -> "ClientCrowd":
        return self

    def __exit__(self, exc_type, exc, traceback) -> None:
        for client in self._clients:
            client.close()

    def run(self, duration_s: float, sample: Callable[[], None]) -> None:
        """Send for a time; call `sample` after each round."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            for client in self._clients:
                self._advance(client)
            sample()
            time.sleep(ROUND_PAUSE_S)

    def _advance(self, client: _Client) -> None:
        if client.ended:
            if not self._reconnects:
                return
            client.open()
        if client.unsent:
            client.send(self._piece_bytes)
        if self._reads and not client.ended:
            client.receive()
