"""Checks that involve more than one setting."""

import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias
from urllib.parse import urlsplit

import msgspec

from basilhold.settings.model import Caller, Operator, Settings

__all__ = ["Problem", "find_problem", "is_loopback"]

TOKEN_CHARACTERS_MIN = 16


class Problem(msgspec.Struct, frozen=True):
    """A key and what is wrong with it."""

    key: str
    reason: str


Check: TypeAlias = Callable[[Settings], Iterator[Problem]]


def find_problem(settings: Settings) -> Problem | None:
    """Return the first problem of settings whose single values are valid."""
    for check in _CHECKS:
        for problem in check(settings):
            return problem
    return None


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback address.

    Examples
    --------
    >>> is_loopback("127.0.0.7"), is_loopback("10.0.0.1"), is_loopback("localhost")
    (True, False, True)
    """
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _duplicates(table: str, key: str, values: Iterable[str]) -> Iterator[Problem]:
    seen: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in seen:
            suffix = f".{key}" if key else ""
            yield Problem(
                f"{table}[{index}]{suffix}",
                f'"{value}" is also the {key or "value"} of {table}[{seen[value]}]',
            )
        seen[value] = index


def _check_duplicates(settings: Settings) -> Iterator[Problem]:
    yield from _duplicates("offices", "", settings.offices)
    yield from _duplicates("regions", "name", (r.name for r in settings.regions))
    yield from _duplicates("zones", "name", (z.name for z in settings.zones))
    yield from _duplicates("entry_vms", "id", (v.id for v in settings.entry_vms))
    yield from _duplicates("services", "name", (s.name for s in settings.services))
    yield from _duplicates("operators", "name", (o.name for o in settings.operators))
    yield from _duplicates("callers", "name", (c.name for c in settings.callers))
    shapes = (shape.name for shape in settings.worker_shapes)
    yield from _duplicates("worker_shapes", "name", shapes)


def _unknown(key: str, value: str, table: str, known: Iterable[str]) -> Problem | None:
    names = sorted(known)
    if value in names:
        return None
    return Problem(key, f'"{value}" is not in {table} ({", ".join(names)})')


def _check_references(settings: Settings) -> Iterator[Problem]:
    regions = {region.name for region in settings.regions}
    zones = {zone.name for zone in settings.zones}
    vms = {vm.id for vm in settings.entry_vms}
    found = [_unknown("store_region", settings.store_region, "regions", regions)]
    for index, zone in enumerate(settings.zones):
        key = f"zones[{index}].region"
        found.append(_unknown(key, zone.region, "regions", regions))
    for index, vm in enumerate(settings.entry_vms):
        found.append(_unknown(f"entry_vms[{index}].zone", vm.zone, "zones", zones))
    for table in ("operators", "services"):
        for index, entry in enumerate(getattr(settings, table)):
            key = f"{table}[{index}].office"
            found.append(_unknown(key, entry.office, "offices", settings.offices))
    if settings.vm_id is not None:
        found.append(_unknown("vm_id", settings.vm_id, "entry_vms", vms))
    yield from (problem for problem in found if problem)


def _check_ports(settings: Settings) -> Iterator[Problem]:
    used: dict[tuple[str, int], str] = {}
    for index, vm in enumerate(settings.entry_vms):
        for field in vm.__struct_fields__:
            if not field.endswith("_port"):
                continue
            key = f"entry_vms[{index}].{field}"
            address = (vm.host, getattr(vm, field))
            if address[1] and address in used:
                yield Problem(key, f"port {address[1]} is also {used[address]}")
            used[address] = key


def _check_hosts(settings: Settings) -> Iterator[Problem]:
    for index, vm in enumerate(settings.entry_vms):
        key = f"entry_vms[{index}].host"
        try:
            ipaddress.ip_address(vm.host)
        except ValueError:
            yield Problem(key, f'"{vm.host}" is not an IP address')
            continue
        if settings.tls is None and not is_loopback(vm.host):
            reason = "plain text is allowed on loopback only; add a [tls] table"
            yield Problem(key, reason)
    if not is_loopback(settings.local.host):
        yield Problem("local.host", "the local cell listens on loopback only")


def _check_urls(settings: Settings) -> Iterator[Problem]:
    for field in ("table_url", "objects_url", "vms_url"):
        key = f"platform.{field}"
        try:
            parts = urlsplit(getattr(settings.platform, field))
            host, port_is_valid = parts.hostname, parts.port != 0
        except ValueError:
            yield Problem(key, "not a URL with a valid port")
            continue
        if parts.scheme not in ("http", "https") or not host or not port_is_valid:
            yield Problem(key, "expected a URL such as http://127.0.0.1:8200")
        elif parts.username or parts.password:
            yield Problem(key, "a URL must not contain a user name or password")
        elif parts.path.strip("/") or parts.query or parts.fragment:
            yield Problem(key, "the URL must end after host and port")
        elif parts.scheme == "http" and not is_loopback(host):
            yield Problem(key, "plain text is allowed on loopback only; use https")
    local = all(is_loopback(vm.host) for vm in settings.entry_vms)
    if settings.platform.agent_scheme == "http" and not local:
        reason = "plain text is allowed on loopback only; use https"
        yield Problem("platform.agent_scheme", reason)


def _check_tokens(settings: Settings) -> Iterator[Problem]:
    yield from _check_bearers("operators", settings.operators)
    yield from _check_bearers("callers", settings.callers)


def _check_bearers(
    table: str, bearers: tuple[Operator | Caller, ...]
) -> Iterator[Problem]:
    for index, bearer in enumerate(bearers):
        key = f"{table}[{index}]"
        if (bearer.token is None) == (bearer.token_sha256 is None):
            yield Problem(key, "exactly one of token and token_sha256 must be set")
        elif bearer.token is not None and (
            len(bearer.token) < TOKEN_CHARACTERS_MIN
            or not re.fullmatch(r"[!-~]+", bearer.token)
        ):
            yield Problem(
                f"{key}.token",
                f"expected at least {TOKEN_CHARACTERS_MIN} printable ASCII"
                " characters without spaces",
            )
        elif bearer.token_sha256 is not None and not re.fullmatch(
            "[0-9a-f]{64}", bearer.token_sha256
        ):
            yield Problem(f"{key}.token_sha256", "expected 64 hexadecimal digits")


def _check_times(settings: Settings) -> Iterator[Problem]:
    timeouts = settings.timeouts
    for field in ("store_ms", "agent_ms"):
        if timeouts.connect_ms > getattr(timeouts, field):
            reason = f"at most timeouts.{field} ({getattr(timeouts, field)})"
            yield Problem("timeouts.connect_ms", reason)


_CHECKS: tuple[Check, ...] = (
    _check_duplicates,
    _check_references,
    _check_ports,
    _check_hosts,
    _check_urls,
    _check_tokens,
    _check_times,
)
