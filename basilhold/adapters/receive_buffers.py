"""Size of the kernel's receive buffers."""

import socket

__all__ = ["set_receive_bytes"]

BUFFER_FACTOR = 2
"""Linux makes the buffer twice as large as it is told, for its own overhead, and fills
all of it with data when segments are large (socket(7), ``SO_RCVBUF``)."""


def set_receive_bytes(connection: socket.socket, receive_bytes: int) -> None:
    """Bound what the kernel keeps for a socket until it is read.

    A socket with such a bound no longer gets a larger buffer when it is read fast. The
    bound of a listening socket applies to the connections that it accepts.

    Parameters
    ----------
    connection : socket.socket
        Not connected yet, as what the peer has been told that it may send arrives.
    receive_bytes : int
        Most bytes, of which about half may be under way at a time.
    """
    size = receive_bytes // BUFFER_FACTOR
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
