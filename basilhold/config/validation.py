"""Checks of an office's document as a whole."""

import re
from collections import Counter
from collections.abc import Iterable
from enum import Enum

import msgspec

from basilhold.config.documents import DOCUMENT_BYTES_MAX, encode_document
from basilhold.core import (
    ClassKind,
    OfficeDocument,
    OfficeName,
    Resources,
    ServiceName,
    Team,
    WorkClass,
)

__all__ = ["Problem", "ProblemKind", "check_document"]

_OFFICE_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?")
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")

ENTRIES_MAX = 1000
"""Most classes, and most teams, of one office."""

_WAIT_TARGET_MAX_MS = 30 * 24 * 3600 * 1000
_TIMEOUT_MAX_MS = 3600 * 1000
_RESOURCE_MAX = 1 << 53
"""Largest integer that every JSON reader represents exactly."""


class ProblemKind(Enum):
    """Why a part of a document is not accepted."""

    BAD_NAME = "bad-name"
    FOREIGN_NAME = "foreign-name"
    DUPLICATE_NAME = "duplicate-name"
    IMPOSSIBLE_VALUE = "impossible-value"
    MISSING_SERVICE = "missing-service"
    UNKNOWN_SERVICE = "unknown-service"
    UNEXPECTED_SERVICE = "unexpected-service"
    TOO_MANY = "too-many"
    WRONG_OFFICE = "wrong-office"


class Problem(msgspec.Struct, frozen=True):
    """One reason for which a document is not accepted.

    Parameters
    ----------
    kind : ProblemKind
    path : str
        Part of the document, for example ``classes/oslo.intake/wait_target_ms``.
    reason : str
    """

    kind: ProblemKind
    path: str
    reason: str


def check_document(
    document: OfficeDocument,
    office: OfficeName,
    services: frozenset[ServiceName] | None = None,
) -> tuple[Problem, ...]:
    """Return everything that is wrong with a document.

    Names of classes and teams start with the office's name and a dot. They are
    therefore unique in the cell without a row that both offices would write.

    Parameters
    ----------
    document : OfficeDocument
    office : OfficeName
        Office whose document it becomes.
    services : frozenset of ServiceName, optional
        Services of the cell; not checked if not given.
    """
    problems: list[Problem] = []
    if document.office != office or not _OFFICE_PATTERN.fullmatch(office):
        reason = f"the document is of office '{document.office}', not '{office}'"
        problems.append(Problem(ProblemKind.WRONG_OFFICE, "office", reason))
    problems += _check_names("classes", office, [c.name for c in document.classes])
    problems += _check_names("teams", office, [t.name for t in document.teams])
    size_bytes = len(encode_document(document))
    if size_bytes > DOCUMENT_BYTES_MAX:
        reason = f"{size_bytes} bytes, at most {DOCUMENT_BYTES_MAX}"
        problems.append(Problem(ProblemKind.TOO_MANY, "document", reason))
    for work_class in document.classes:
        problems += _check_class(work_class, services)
    for team in document.teams:
        problems += _check_team(team)
    return tuple(problems)


def _check_names(part: str, office: str, names: list[str]) -> Iterable[Problem]:
    if len(names) > ENTRIES_MAX:
        reason = f"{len(names)} entries, at most {ENTRIES_MAX}"
        yield Problem(ProblemKind.TOO_MANY, part, reason)
    for name, count in Counter(names).items():
        path = f"{part}/{name}"
        prefix, separator, local = name.partition(".")
        if not separator or not _NAME_PATTERN.fullmatch(local):
            reason = (
                f"must be '{office}.<name>' with a name of 1 to 64 lower-case "
                "letters, digits and hyphens"
            )
            yield Problem(ProblemKind.BAD_NAME, path, reason)
        elif prefix != office:
            reason = f"names of office '{office}' start with '{office}.'"
            yield Problem(ProblemKind.FOREIGN_NAME, path, reason)
        if count > 1:
            yield Problem(ProblemKind.DUPLICATE_NAME, path, f"named {count} times")


def _check_class(
    work_class: WorkClass, services: frozenset[ServiceName] | None
) -> Iterable[Problem]:
    path = f"classes/{work_class.name}"
    yield from _check_range(
        f"{path}/wait_target_ms", work_class.wait_target_ms, 1, _WAIT_TARGET_MAX_MS
    )
    yield from _check_range(
        f"{path}/timeout_ms", work_class.timeout_ms, 1, _TIMEOUT_MAX_MS
    )
    is_request = work_class.kind is ClassKind.REQUEST
    if is_request and work_class.timeout_ms < work_class.wait_target_ms:
        reason = "a request would time out before its target wait"
        yield Problem(ProblemKind.IMPOSSIBLE_VALUE, f"{path}/timeout_ms", reason)
    if is_request and work_class.checkpoint:
        reason = "requests cannot be checkpointed"
        yield Problem(ProblemKind.IMPOSSIBLE_VALUE, f"{path}/checkpoint", reason)
    yield from _check_service(work_class, f"{path}/service", services)


def _check_service(
    work_class: WorkClass, path: str, services: frozenset[ServiceName] | None
) -> Iterable[Problem]:
    is_request = work_class.kind is ClassKind.REQUEST
    if is_request and not work_class.service:
        reason = "a class of requests names the service that answers them"
        yield Problem(ProblemKind.MISSING_SERVICE, path, reason)
    elif not is_request and work_class.service is not None:
        reason = f"a class of kind '{work_class.kind.value}' has no service"
        yield Problem(ProblemKind.UNEXPECTED_SERVICE, path, reason)
    elif is_request and services is not None and work_class.service not in services:
        reason = f"the cell has no service '{work_class.service}'"
        yield Problem(ProblemKind.UNKNOWN_SERVICE, path, reason)


def _check_team(team: Team) -> Iterable[Problem]:
    path = f"teams/{team.name}"
    for field in Resources.__struct_fields__:
        value = getattr(team.quota, field)
        yield from _check_range(f"{path}/quota/{field}", value, 0, _RESOURCE_MAX)
    yield from _check_range(
        f"{path}/queued_tasks_max", team.queued_tasks_max, 0, 1_000_000
    )


def _check_range(path: str, value: int, low: int, high: int) -> Iterable[Problem]:
    if not low <= value <= high:
        reason = f"{value} is not between {low} and {high}"
        yield Problem(ProblemKind.IMPOSSIBLE_VALUE, path, reason)
