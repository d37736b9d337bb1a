"""Commands ``classes`` and ``config``."""

import time
from pathlib import Path

import click
import msgspec

from basilhold.core import (
    OfficeDocument,
    decode_json,
)
from basilhold.operators_api import (
    ClassList,
    ClassView,
    ConfigVersions,
    HistoryList,
    InForce,
    OfficeVersion,
    RollbackBody,
)
from basilhold.programs.ctl_client import CtlError, ExitCode, GatewayClient, path_of
from basilhold.programs.ctl_output import ProgressLine, Table, format_time
from basilhold.programs.ctl_session import CtlSession, pass_session

__all__ = ["classes_group", "config_group", "wait_in_force"]

POLL_MS = 5_000
"""Time for which a gateway holds one request of a wait, in milliseconds."""

RETRY_PAUSE_S = 1.0
NOT_ASKED = "the store's region could not be asked"
DOCUMENT_BYTES_MAX = 1 << 20

office_option = click.option("--office", help="Office; that of the token by default.")
wait_option = click.option("--wait", is_flag=True, help="Wait until it is in force.")
timeout_option = click.option(
    "--timeout-s",
    type=click.IntRange(1, 86_400),
    default=60,
    show_default=True,
    help="Longest wait, in seconds.",
)


@click.group("classes")
def classes_group() -> None:
    """Show and change classes of work."""


@classes_group.command("list")
@pass_session
def list_classes(session: CtlSession) -> None:
    """List the classes of all offices."""
    value = session.client.get(path_of("classes"), ClassList)
    session.print(value, _class_table(value.classes))


@classes_group.command("show")
@click.argument("name", required=False)
@office_option
@pass_session
def show_class(session: CtlSession, name: str | None, office: str | None) -> None:
    """Show a class, or without NAME the whole document of an office.

    The document is written as JSON, ready to be edited and applied.
    """
    if name:
        view = session.client.get(path_of("classes", name), ClassView)
        session.print(view, _class_table((view,)))
        return
    path = path_of("config", session.office_or_own(office))
    current = session.client.get(path, OfficeVersion)
    session.print(current.document, None)
    click.echo(f"version {current.version}; apply with --version", err=True)


@classes_group.command("apply")
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--version", type=click.IntRange(0), help="Version that it is based on.")
@click.option("--latest", is_flag=True, help="Replace whatever version is current.")
@wait_option
@timeout_option
@pass_session
def apply_document(
    session: CtlSession,
    file: Path,
    version: int | None,
    latest: bool,
    wait: bool,
    timeout_s: int,
) -> None:
    """Replace the document of the operator's office with FILE."""
    if (version is None) != latest:
        raise click.UsageError("give either --version or --latest")
    document = _read_document(file)
    if version is None:
        path = path_of("config", document.office)
        version = session.client.get(path, OfficeVersion).version
    applied = _apply(session.client, document, version)
    session.print(applied, _version_table((applied,)))
    if wait:
        wait_in_force(session.client, applied.office, applied.version, timeout_s)


def _apply(
    client: GatewayClient, document: OfficeDocument, version: int
) -> OfficeVersion:
    path = path_of("config", document.office)
    headers = {"If-Match": f'"{version}"'}
    try:
        return client.send("PUT", path, OfficeVersion, document, headers)
    except CtlError as error:
        if error.exit_code != ExitCode.STALE_VERSION:
            raise
        current = _applied_before(client, document, version)
        if current is None:
            raise
        return current


def _applied_before(
    client: GatewayClient, document: OfficeDocument, version: int
) -> OfficeVersion | None:
    """Return the current version if it is the change that was reported as stale.

    A change whose reply was lost is sent again to the next gateway, where it is
    stale because it has been applied.
    """
    current = client.get(path_of("config", document.office), OfficeVersion)
    if current.version == version + 1 and current.document == document:
        return current
    return None


@classes_group.command("history")
@office_option
@click.option("--limit", type=click.IntRange(1, 100), default=20, show_default=True)
@pass_session
def show_history(session: CtlSession, office: str | None, limit: int) -> None:
    """List the versions of an office's document, newest first."""
    path = path_of("config", session.office_or_own(office), "history")
    value = session.client.get(f"{path}?limit={limit}", HistoryList)
    session.print(value, _version_table(value.entries))


@classes_group.command("rollback")
@click.argument("version", type=click.IntRange(1))
@wait_option
@timeout_option
@pass_session
def roll_back(session: CtlSession, version: int, wait: bool, timeout_s: int) -> None:
    """Write the document of an earlier VERSION as a new version."""
    client = session.client
    office = session.office_or_own(None)
    current = client.get(path_of("config", office), OfficeVersion)
    applied = _roll_back(client, office, RollbackBody(version, current.version))
    session.print(applied, _version_table((applied,)))
    if wait:
        wait_in_force(client, office, applied.version, timeout_s)


def _roll_back(client: GatewayClient, office: str, body: RollbackBody) -> OfficeVersion:
    try:
        path = path_of("config", office, "rollback")
        return client.send("POST", path, OfficeVersion, body)
    except CtlError as error:
        if error.exit_code != ExitCode.STALE_VERSION:
            raise
        history = client.get(path_of("config", office, "history"), HistoryList)
        wanted = (e for e in history.entries if e.version == body.to_version)
        for entry in wanted:
            current = _applied_before(client, entry.document, body.expected_version)
            if current is not None:
                return current
        raise


@click.group("config")
def config_group() -> None:
    """Show which versions of the configuration are in force."""


@config_group.command("versions")
@pass_session
def show_versions(session: CtlSession) -> None:
    """Show the latest version of each office and how far it has spread."""
    value = session.client.get(path_of("config"), ConfigVersions)
    rows = tuple(_in_force_row(entry) for entry in value.offices)
    columns = ("office", "version", "in force", "processes", "lagging")
    session.print(value, Table(columns, rows))


@config_group.command("wait")
@click.argument("version", type=click.IntRange(1))
@office_option
@timeout_option
@pass_session
def wait_for_version(
    session: CtlSession, version: int, office: str | None, timeout_s: int
) -> None:
    """Wait until VERSION is in force in all processes."""
    office = session.office_or_own(office)
    value = wait_in_force(session.client, office, version, timeout_s)
    columns = ("office", "version", "in force", "processes", "lagging")
    session.print(value, Table(columns, (_in_force_row(value),)))


def wait_in_force(
    client: GatewayClient, office: str, version: int, timeout_s: float
) -> InForce:
    """Wait until a version is in force, and show how far it has spread.

    Raises
    ------
    CtlError
        If the time is over or the request is refused.
    """
    deadline = time.monotonic() + timeout_s
    with ProgressLine() as progress:
        state = f"{office} version {version}: not yet known"
        while (left_s := deadline - time.monotonic()) > 0:
            wait_ms = int(min(POLL_MS, left_s * 1000))
            path = path_of("config", office, "in-force")
            path += f"?version={version}&wait_ms={wait_ms}"
            try:
                value = client.get(path, InForce, wait_ms / 1000)
            except CtlError as error:
                if error.exit_code != ExitCode.UNAVAILABLE:
                    raise
                state = f"{office} version {version}: {error.message}"
                progress.show(state)
                time.sleep(min(RETRY_PAUSE_S, max(0.0, deadline - time.monotonic())))
                continue
            if value.in_force:
                return value
            state = _progress_text(value)
            progress.show(state)
    raise CtlError(
        f"not in force everywhere after {timeout_s} s; {state}",
        ExitCode.WAIT_TIMED_OUT,
        "The change is stored and will spread. Look at /readyz and /state of the"
        " processes that lag; a region that is cut off applies it when the link is"
        " back.",
    )


def _progress_text(value: InForce) -> str:
    if not value.complete:
        return f"{value.office} version {value.version}: {NOT_ASKED}"
    text = (
        f"{value.office} version {value.version}: in force in"
        f" {value.acknowledged} of {value.expected} processes"
    )
    return f"{text}, missing {', '.join(value.lagging[:5])}" if value.lagging else text


def _read_document(file: Path) -> OfficeDocument:
    try:
        data = file.read_bytes()
    except OSError as error:
        message = f"{file}: {error.strerror}"
        raise CtlError(message, ExitCode.USAGE, "Check the path.") from None
    if len(data) > DOCUMENT_BYTES_MAX:
        raise CtlError(f"{file}: over {DOCUMENT_BYTES_MAX} bytes", ExitCode.REJECTED)
    try:
        return decode_json(data, OfficeDocument)
    except msgspec.DecodeError as error:
        action = "Compare with `basilholdctl classes show` or a file in examples/."
        raise CtlError(f"{file}: {error}", ExitCode.REJECTED, action) from None


def _class_table(views: tuple[ClassView, ...]) -> Table:
    columns = ("class", "office", "kind", "target wait", "restart", "service")
    rows = tuple(
        (
            view.work_class.name,
            view.office,
            view.work_class.kind.value,
            f"{view.work_class.wait_target_ms} ms",
            view.work_class.restart.value,
            view.work_class.service or "-",
        )
        for view in views
    )
    return Table(columns, rows)


def _version_table(entries: tuple[OfficeVersion, ...]) -> Table:
    columns = ("office", "version", "author", "changed", "classes", "teams")
    rows = tuple(
        (
            entry.office,
            str(entry.version),
            entry.author or "-",
            format_time(entry.changed_unix_ms),
            str(len(entry.document.classes)),
            str(len(entry.document.teams)),
        )
        for entry in entries
    )
    return Table(columns, rows)


def _in_force_row(entry: InForce) -> tuple[str, ...]:
    in_force, processes = "unknown", NOT_ASKED
    if entry.complete:
        in_force = "yes" if entry.in_force else "no"
        processes = f"{entry.acknowledged}/{entry.expected}"
    return (
        entry.office,
        str(entry.version),
        in_force,
        processes,
        ", ".join(entry.lagging) or "-",
    )
