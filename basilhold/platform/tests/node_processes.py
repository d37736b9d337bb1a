"""The real program as processes of this machine, and the way of each to the store."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from enum import Enum
from pathlib import Path

from basilhold.programs.tests.processes import ROOT, free_ports

__all__ = ["NodeProcess", "PathMode", "StorePath"]

CHUNK_BYTES = 1 << 16
DELAY_S = 0.08
CLOSE_TIMEOUT_S = 2.0

SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [{peer_port}, {status_port}]
advice = "127.0.0.1:{store_port}"
[listen]
front = "127.0.0.1:{front_port}"
ready = "127.0.0.1:{ready_port}"
[platform]
address = "127.0.0.1:{store_port}"
[bounds]
hold_max_ms = 6000
"""


class PathMode(Enum):
    """What the way to the store does to bytes."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_REPLIES = "no-replies"


class StorePath:
    """A loopback proxy between one process and the store.

    Parameters
    ----------
    target_port : int
    """

    def __init__(self, target_port: int):
        self.mode = PathMode.PASS
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        self.set_mode(PathMode.RESET)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)

    def set_mode(self, mode: PathMode) -> None:
        """Change what happens to connections, also to open ones."""
        self.mode = mode
        if mode is PathMode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is PathMode.RESET:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self._target_port)
            self._writers |= {writer, back}
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._pump(reader, back, PathMode.SILENT))
                    group.create_task(self._pump(there, writer, PathMode.NO_REPLIES))
            finally:
                self._writers -= {writer, back}
                writer.close()
                back.close()
        except* (OSError, EOFError):
            pass
        finally:
            self._tasks.discard(task)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        swallowed: PathMode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is PathMode.DELAY:
                await asyncio.sleep(DELAY_S)
            # What a silent way has swallowed is lost, also once it passes again.
            if self.mode not in (PathMode.SILENT, swallowed):
                writer.write(data)
                await writer.drain()
        raise EOFError


class NodeProcess:
    """One machine: its settings, its way to the store, and its process.

    Parameters
    ----------
    name : str
    path : StorePath
    directory : Path
        For the settings and the log.
    """

    def __init__(self, name: str, path: StorePath, directory: Path):
        self.name = name
        self.path = path
        self.front_port, self.ready_port, peer_port, status_port = free_ports(4)
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self._process: subprocess.Popen | None = None
        self.own_ends = 0
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                front_port=self.front_port,
                ready_port=self.ready_port,
                peer_port=peer_port,
                status_port=status_port,
                store_port=path.port,
            )
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "BASILHOLD_CONFIG": str(self._settings)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "basilhold.platform.node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it still runs."""
        if self.is_running:
            self._process.send_signal(number)
        else:
            self.own_ends += 1

    async def wait_ended(self, timeout_s: float) -> None:
        """Wait until the process has ended; kill it if it does not."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.is_running:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.own_ends += 1
            self._process.kill()
        self._process.wait()

    async def restart(self, number: signal.Signals, pause_s: float) -> None:
        """End the process with a signal and start it again."""
        self.send(number)
        await self.wait_ended(10.0)
        await asyncio.sleep(pause_s)
        self.start()

    def end(self) -> None:
        """End the process for good."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        return self._log.read_text(errors="replace").splitlines()


def scratch_directory() -> tempfile.TemporaryDirectory:
    """Return a directory for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="basilhold-")
