"""Reader of the settings file that the platform writes for each process."""

import os
import tomllib
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from basilhold.platform.connection_limits import (
    DESCRIPTORS_DEFAULT,
    incoming_connections,
)
from basilhold.settings.caller_limits import CallerLimits
from basilhold.workflows.task_limit import TASK_BYTES

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings"]

SETTINGS_VARIABLE = "BASILHOLD_CONFIG"
"""Environment variable with the path of the settings file."""


class _Listen(msgspec.Struct):
    """Endpoints, ``host:port``: `front` for callers, `ready` for readiness probes."""

    front: str
    ready: str


class _Bounds(msgspec.Struct):
    """Time limits that the platform sets.

    Parameters
    ----------
    hold_max_ms : float
        Longest lease of a worker.
    stop_ms : float
        Longest time that a worker takes to stop a run.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    config_apply_ms : float
        Time after its confirmation in which a configuration must be in force.
    status_s : float
        Time after its end for which the state of a job can be queried.
    harm_ms : float
        Not used.
    """

    hold_max_ms: float = 6_000
    stop_ms: float = 400
    grace_s: float = 6.0
    config_apply_ms: float = 3_000
    status_s: float = 120.0
    harm_ms: float = 4_000


HELD_MEMORY_RATIO = 0.25
"""Part of the machine's memory that clients may hold by default. Of 160 MB, an idle
process takes 37 MB, and 83 MB are left for an owner's state and fragmentation."""

TASK_MEMORY_RATIO = 0.2
"""Part of the machine's memory that the unfinished tasks of an owner take at most."""

HELD_MEMORY_MB_MIN = 2
"""A process starts with this also if the machine has less."""

MIB = 1 << 20


class _Limits(msgspec.Struct):
    """Resources of the machine.

    Parameters
    ----------
    cpu_share : float
        Share of the processor that the process gets.
    cores : float
        Speed of the processor, in cores.
    link_mbps : float
        Bandwidth of the network link, in Mbit/s.
    memory_mb : float
        Memory of the machine, in MiB.
    max_fds : int
        Most file descriptors of the process.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 512.0
    max_fds: int = DESCRIPTORS_DEFAULT


class _Store(msgspec.Struct):
    """The metadata store.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    row_bytes : int
        Largest value of a row, in bytes of its base64 encoding.
    """

    address: str = ""
    row_bytes: int = 65_536


class PlatformSettings(msgspec.Struct):
    """Settings of one process. Unknown fields in the file are ignored.

    Parameters
    ----------
    node : str
        Name of the machine, which does not change if the process restarts.
    ip, zone, region : str
    port_range : tuple of int
        First and last port for traffic between basilhold's processes.
    listen, bounds, limits, platform : Struct
        Listening addresses; time limits; resources of the machine; address and limits
        of the store.
    advice : str
        ``host:port`` of the advice service; if empty, the store's address is used.
    contracts : tuple of str
        Names of agreements that the deployment is run under; unknown ones are ignored.
    callers : CallerLimits
        What clients may send and hold.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    region: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    advice: str = ""
    contracts: tuple[str, ...] = ()
    callers: CallerLimits = msgspec.field(default_factory=CallerLimits)

    @property
    def held_bytes_max(self) -> int:
        """Memory that the clients of all servers may hold, in bytes."""
        held_mb = self.callers.held_memory_mb
        if held_mb is None:
            held_mb = self.limits.memory_mb * HELD_MEMORY_RATIO
        return int(max(held_mb, HELD_MEMORY_MB_MIN) * MIB)

    @property
    def task_units_max(self) -> int:
        """Most units of unfinished tasks of all services, see `task_units`."""
        units = self.callers.max_task_units
        if units is None:
            memory_bytes = self.limits.memory_mb * MIB
            units = int(TASK_MEMORY_RATIO * memory_bytes / TASK_BYTES)
        return units

    @property
    def incoming_connections_max(self) -> int:
        """Incoming connections of all servers together."""
        by_descriptors = incoming_connections(self.limits.max_fds)
        return min(self.callers.max_connections or by_descriptors, by_descriptors)

    @property
    def row_bytes_max(self) -> int:
        """Largest value of a row in the store, in bytes before base64 encoding."""
        return self.platform.row_bytes // 4 * 3


def read_settings(path: str | None = None) -> Result[PlatformSettings, str]:
    """Read the settings file.

    Parameters
    ----------
    path : str, optional
        Path of the file; by default that in the environment variable
        `SETTINGS_VARIABLE`.

    Returns
    -------
    Result of (PlatformSettings, str)
        The settings, or why they cannot be read.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return Error(f"{SETTINGS_VARIABLE} is not set")
    try:
        document = tomllib.loads(Path(path).read_text())
        return Ok(msgspec.convert(document, PlatformSettings, strict=False))
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Error(f"{path}: {error}")
