"""The settings file that the platform writes for each process."""

import os
import tomllib
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings"]

SETTINGS_VARIABLE = "BASILHOLD_CONFIG"


class _Listen(msgspec.Struct):
    """`front` takes callers, `ready` answers readiness probes."""

    front: str
    ready: str


class _Bounds(msgspec.Struct):
    """`hold_max_ms` is the longest lease, `stop_ms` the longest stop of a run.

    SIGKILL follows `grace_s` after SIGTERM.
    """

    hold_max_ms: float = 6_000
    stop_ms: float = 400
    grace_s: float = 6.0
    status_s: float = 120.0
    harm_ms: float = 4_000


class _Limits(msgspec.Struct):
    """`cpu_share` is the share of a processor that is `cores` times as fast."""

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1_000.0


class _Store(msgspec.Struct):
    """`row_bytes` bounds a row's value as base64."""

    address: str = ""
    row_bytes: int = 65_536


class PlatformSettings(msgspec.Struct):
    """What the platform tells a process. Unknown fields are ignored.

    Parameters
    ----------
    node : str
        Name of the machine; a restarted process has the same.
    ip, zone, region : str
    port_range : tuple of int
        First and last port for traffic between our processes.
    listen, bounds, limits, platform : Struct
        Listening addresses, figures of the rules, size of the machine, address and
        limits of the store.
    advice : str
        ``host:port`` of the advice service; empty if there is none.
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

    @property
    def row_bytes_max(self) -> int:
        """Largest value of a row in the store, in bytes."""
        return self.platform.row_bytes // 4 * 3


def read_settings(path: str | None = None) -> Result[PlatformSettings, str]:
    """Return the settings in the file that the environment names."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return Error(f"{SETTINGS_VARIABLE} is not set")
    try:
        fields = tomllib.loads(Path(path).read_text())
        return Ok(msgspec.convert(fields, PlatformSettings, strict=False))
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Error(f"{path}: {error}")
