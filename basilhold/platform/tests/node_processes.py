"""Processes of the real program on this machine, each with a proxy to the store."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from enum import Enum
from pathlib import Path

from basilhold.programs.tests.processes import ROOT, free_ports

__all__ = ["NodeProcess", "ProxyMode", "StoreProxy"]

CHUNK_BYTES = 1 << 16
FORWARD_DELAY_S = 0.08
CLOSE_TIMEOUT_S = 2.0

SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [{peer_port}, {status_port}]
advice = "127.0.0.1:{store_port}"
[listen]
front = "127.0.0.1:{caller_port}"
ready = "127.0.0.1:{ready_port}"
[platform]
address = "127.0.0.1:{store_port}"
[bounds]
hold_max_ms = 6000
"""


class ProxyMode(Enum):
    """What a proxy does with the data of its connections.

    `RESET` aborts connections, `DROP` discards data in both directions and
    `DROP_REPLIES` discards only that from the store.
    """

    FORWARD = "forward"
    DELAY = "delay"
    RESET = "reset"
    DROP = "drop"
    DROP_REPLIES = "drop-replies"


class StoreProxy:
    """A loopback proxy between one process and the store.

    Parameters
    ----------
    target_port : int
        Port of the store.
    """

    def __init__(self, target_port: int):
        self.mode = ProxyMode.FORWARD
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        self.set_mode(ProxyMode.RESET)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)

    def set_mode(self, mode: ProxyMode) -> None:
        """Set the mode of all connections, also of open ones."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            self._writers |= {writer, store_writer}
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward(reader, store_writer, ProxyMode.DROP)
                    )
                    group.create_task(
                        self._forward(store_reader, writer, ProxyMode.DROP_REPLIES)
                    )
            finally:
                self._writers -= {writer, store_writer}
                writer.close()
                store_writer.close()
        except* (OSError, EOFError):
            pass
        finally:
            self._tasks.discard(task)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_mode: ProxyMode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is ProxyMode.DELAY:
                await asyncio.sleep(FORWARD_DELAY_S)
            # Discarded data is never delivered, also not after a return to forwarding.
            if self.mode not in (ProxyMode.DROP, drop_mode):
                writer.write(data)
                await writer.drain()
        raise EOFError


class NodeProcess:
    """One machine: its settings, its proxy to the store, and its process.

    Parameters
    ----------
    name : str
    store_proxy : StoreProxy
    directory : Path
        Directory of the settings file and the log.
    more_settings : str
        Further sections of the settings file.

    Attributes
    ----------
    exit_violations : int
        How often the process exited unexpectedly, or did not exit in time.
    """

    def __init__(
        self,
        name: str,
        store_proxy: StoreProxy,
        directory: Path,
        more_settings: str = "",
    ):
        self.name = name
        self.store_proxy = store_proxy
        ports = free_ports(4)
        self.caller_port, self.ready_port, self.peer_port, self.status_port = ports
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self._process: subprocess.Popen | None = None
        self.exit_violations = 0
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                caller_port=self.caller_port,
                ready_port=self.ready_port,
                peer_port=self.peer_port,
                status_port=self.status_port,
                store_port=store_proxy.port,
            )
            + more_settings
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Id of the process that was started last."""
        return self._process.pid

    def start(self) -> None:
        """Start the process, unless an overlapping restart has done so."""
        if self.is_running:
            return
        environment = {**os.environ, "BASILHOLD_CONFIG": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "basilhold.platform.node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process; an earlier exit counts as a violation."""
        if self.is_running:
            self._process.send_signal(signal_number)
        else:
            self.exit_violations += 1

    async def wait_for_exit(self, timeout_s: float) -> None:
        """Wait until the process has exited; after the timeout, kill it."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.is_running:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.exit_violations += 1
            self._process.kill()
        self._process.wait()

    async def restart(self, signal_number: signal.Signals, pause_s: float) -> None:
        """End the process with a signal and start it again after a pause."""
        self.send_signal(signal_number)
        await self.wait_for_exit(10.0)
        await asyncio.sleep(pause_s)
        self.start()

    def kill(self) -> None:
        """Kill the process, also if it is paused."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines of the process's log."""
        return self._log.read_text(errors="replace").splitlines()


def scratch_directory() -> tempfile.TemporaryDirectory:
    """Return a temporary directory for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="basilhold-")
