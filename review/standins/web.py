"""A small HTTP/1.1 server and client on loopback, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable

Handler = Callable[
    [str, str, dict[str, str], bytes], Awaitable[tuple[int, dict] | None]
]


class WebServer:
    """Serves one address; a handler that returns ``None`` leaves the call unanswered.

    Attributes
    ----------
    silent : bool
        Whether the way to this server is cut: what arrives is discarded, and no answer
        leaves, while connections stay open.
    one_way_s : float
        Delay of the link, each way.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.silent = False
        self.one_way_s = 0.0
        self.port = 0

    @property
    def address(self) -> str:
        """``host:port`` of the server."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listen, on the port of an earlier call if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if self.silent:
                    continue
                line, headers, body = request
                await asyncio.sleep(self.one_way_s)
                method, target, _ = line.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None or self.silent:
                    continue
                await asyncio.sleep(self.one_way_s)
                status, reply = answer
                text = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text
                )
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a request or a response: first line, headers in lower case, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head[:-4].split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line, headers, body


async def fetch(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    limit_s: float,
) -> tuple[int, dict] | None:
    """Send one request on a new connection; ``None`` if there is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            line, _, text = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(text or b"{}")
    except (OSError, EOFError, ValueError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
