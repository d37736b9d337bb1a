"""Starts the programs as processes for tests, on loopback ports that are free."""

import asyncio
import os
import re
import signal
import socket
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
_PORT = re.compile(r"(?P<key>\w+_port) = \d+")
_URL_PORT = re.compile(r"(?P<head>_url = \"http://127.0.0.1:)\d+")
STOP_TIMEOUT_S = 30

FIRST_PORT, LAST_PORT = 12_000, 32_000
"""Below the ports that the system gives to outgoing connections, any of which could
take one before the program listens."""

PORTS_PER_RUN = 97
"""Distance between the first ports of test runs with successive process ids."""


def _ports():
    """Yield ports in turn, from a place that differs between test runs."""
    span = LAST_PORT - FIRST_PORT
    place = os.getpid() * PORTS_PER_RUN
    while True:
        yield FIRST_PORT + place % span
        place += 1


_CANDIDATES = _ports()


def free_ports(count):
    """Return ports that were free a moment ago, and that no connection is given."""
    ports = []
    while len(ports) < count:
        port = next(_CANDIDATES)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports


def write_settings(folder, cell, tls=None):
    """Copy an example deployment with free ports and return the settings' path.

    `tls` are the files of all processes.
    """
    examples = ROOT / "examples"
    text = (examples / f"{cell}.toml").read_text()
    count = len(_PORT.findall(text)) + len(_URL_PORT.findall(text))
    ports = iter(free_ports(count))
    text = _PORT.sub(lambda match: f"{match['key']} = {next(ports)}", text)
    text = _URL_PORT.sub(lambda match: f"{match['head']}{next(ports)}", text)
    text = re.sub(r"\[timeouts\]\n", "[timeouts]\ndrain_grace_ms = 0\n", text)
    if "[timeouts]" not in text:
        text += "\n[timeouts]\ndrain_grace_ms = 0\n"
    if tls is not None:
        text += (
            f'\n[tls]\ncertificate_file = "{tls.certificate}"\n'
            f'key_file = "{tls.key}"\nca_file = "{tls.authority}"\n'
        )
    path = Path(folder) / f"{cell}.toml"
    path.write_text(text)
    for document in examples.glob(f"{cell}-*.json"):
        (path.parent / document.name).write_bytes(document.read_bytes())
    return path


class Processes:
    """Processes that a test started; ends those that still run."""

    def __init__(self):
        self._running = {}

    async def start(self, name, module, *arguments):
        """Start ``python -m module``."""
        self._running[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            cwd=ROOT,
        )

    async def stop(self, name):
        """Send SIGTERM and return the exit code."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()

    async def close(self):
        """Kill what still runs."""
        for process in self._running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
