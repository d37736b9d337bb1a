"""Settings of the programs: TOML files that are checked when they are read."""

from basilhold.settings.checks import is_loopback
from basilhold.settings.errors import EXIT_SETTINGS, SettingsError
from basilhold.settings.load import (
    ProcessSettings,
    Program,
    load_process_settings,
    load_settings,
    parse_settings,
    read_settings_or_exit,
)
from basilhold.settings.model import (
    Caller,
    EntryVm,
    Latency,
    Limits,
    LocalCell,
    Operator,
    Platform,
    Region,
    Service,
    Settings,
    Timeouts,
    Tls,
    WorkerShape,
    Zone,
)
from basilhold.settings.tokens import TokenDigests

__all__ = [
    "EXIT_SETTINGS",
    "Caller",
    "EntryVm",
    "Latency",
    "Limits",
    "LocalCell",
    "Operator",
    "Platform",
    "ProcessSettings",
    "Program",
    "Region",
    "Service",
    "Settings",
    "SettingsError",
    "Timeouts",
    "Tls",
    "TokenDigests",
    "WorkerShape",
    "Zone",
    "is_loopback",
    "load_process_settings",
    "load_settings",
    "parse_settings",
    "read_settings_or_exit",
]
