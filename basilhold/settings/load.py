"""Reads settings files and tells a process who it is."""

import re
import sys
from enum import Enum
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from basilhold.core import ProcessId, RegionName, VmId, ZoneName
from basilhold.settings.checks import find_problem
from basilhold.settings.errors import EXIT_SETTINGS, SettingsError
from basilhold.settings.model import EntryVm, Settings

__all__ = [
    "ProcessSettings",
    "Program",
    "load_process_settings",
    "load_settings",
    "parse_settings",
    "read_settings_or_exit",
]

SETTINGS_BYTES_MAX = 4 << 20

_PATH = re.compile(r"^(?P<reason>.*?)(?: - at `\$(?P<path>.*)`)?$", re.DOTALL)
_FIELD = re.compile(
    r"^Object (?:contains unknown|missing required) field `(?P<field>.*)`$"
)


class Program(Enum):
    """A program that reads settings."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"
    RELAY = "relay"
    LOCAL = "local"


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the deployment as one process sees them.

    Parameters
    ----------
    program : Program
    process_id : ProcessId
        ``<program>@<vm>``; unique in a deployment, the same after a restart.
    vm_id : VmId
    zone : ZoneName
    region : RegionName
    vm : EntryVm
        Holds the host and the ports of the process.
    settings : Settings
    """

    program: Program
    process_id: ProcessId
    vm_id: VmId
    zone: ZoneName
    region: RegionName
    vm: EntryVm
    settings: Settings


def parse_settings(text: str, file: str) -> Result[Settings, SettingsError]:
    """Decode and check the text of a settings file.

    Parameters
    ----------
    text : str
    file : str
        Name for error messages.
    """
    try:
        settings = msgspec.toml.decode(text, type=Settings)
    except msgspec.DecodeError as error:
        return Error(_describe(str(error), file))
    problem = find_problem(settings)
    if problem:
        return Error(SettingsError(file, problem.key, problem.reason))
    return Ok(settings)


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and check a settings file."""
    file = str(path)
    try:
        if path.stat().st_size > SETTINGS_BYTES_MAX:
            return Error(SettingsError(file, "", f"over {SETTINGS_BYTES_MAX} bytes"))
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Error(SettingsError(file, "", error.strerror or "cannot be read"))
    except UnicodeDecodeError as error:
        return Error(SettingsError(file, "", f"not UTF-8 at byte {error.start}"))
    return parse_settings(text, file)


def load_process_settings(
    path: Path, program: Program, vm_id: str | None = None
) -> Result[ProcessSettings, SettingsError]:
    """Read a settings file for one process.

    Parameters
    ----------
    path : Path
    program : Program
    vm_id : str, optional
        Entry VM on which the process runs. By default the file's `vm_id`; the local
        cell falls back to the first entry VM.
    """
    return load_settings(path).bind(
        lambda settings: _select(settings, str(path), program, vm_id)
    )


def read_settings_or_exit(
    path: Path, program: Program, vm_id: str | None = None
) -> ProcessSettings:
    """Return a process's settings, or print the error on one line and exit with 78."""
    result = load_process_settings(path, program, vm_id)
    if result.is_error():
        print(result.error, file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS)
    return result.ok


def _select(
    settings: Settings, file: str, program: Program, vm_id: str | None
) -> Result[ProcessSettings, SettingsError]:
    wanted = vm_id or settings.vm_id
    if wanted is None and program is Program.LOCAL:
        wanted = settings.entry_vms[0].id
    if wanted is None:
        reason = "missing; set it or start the program with --vm"
        return Error(SettingsError(file, "vm_id", reason))
    vm = next((vm for vm in settings.entry_vms if vm.id == wanted), None)
    if vm is None:
        return Error(SettingsError(file, "entry_vms", f'no entry VM "{wanted}"'))
    region = next(zone.region for zone in settings.zones if zone.name == vm.zone)
    return Ok(
        ProcessSettings(
            program=program,
            process_id=ProcessId(f"{program.value}@{vm.id}"),
            vm_id=VmId(vm.id),
            zone=ZoneName(vm.zone),
            region=RegionName(region),
            vm=vm,
            settings=settings,
        )
    )


def _describe(message: str, file: str) -> SettingsError:
    """Turn a msgspec message into a key and a reason."""
    match = _PATH.match(message)
    path = (match["path"] or "").removeprefix(".")
    reason = match["reason"]
    field = _FIELD.match(reason)
    if field:
        path = f"{path}.{field['field']}" if path else field["field"]
        reason = "unknown key" if "unknown" in reason else "missing"
    return SettingsError(file, path, reason[:1].lower() + reason[1:])
