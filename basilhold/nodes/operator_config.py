"""Operators' requests about classes and configuration."""

import asyncio

from expression import Error, Ok, Result

from basilhold.config import (
    Certainty,
    ChangeConflict,
    ChangeError,
    ChangeRequest,
    ConfigInForce,
    ConfigStore,
    Difference,
    Forbidden,
    InvalidDocument,
    MissingVersion,
    StoredVersion,
    StoreUnavailable,
)
from basilhold.core import OfficeDocument, OfficeName, ProcessId, ServiceName
from basilhold.operators_api import (
    ClassList,
    ClassView,
    ConfigVersions,
    HistoryList,
    InForce,
    OfficeVersion,
    OperatorError,
    OperatorErrorKind,
    OperatorIdentity,
)
from basilhold.relay import ConfigChanger, RegionSubscription

__all__ = ["OperatorConfig"]

IN_FORCE_INTERVAL_MS = 250
RETRY_AFTER_S = 5


class OperatorConfig:
    """Reads and changes office documents for operators.

    Parameters
    ----------
    store : ConfigStore
    changer : ConfigChanger
    in_force : ConfigInForce
    subscription : RegionSubscription
    services : frozenset of ServiceName
        Services of the cell.
    """

    def __init__(
        self,
        store: ConfigStore,
        changer: ConfigChanger,
        in_force: ConfigInForce,
        subscription: RegionSubscription,
        services: frozenset[ServiceName],
    ):
        self._store = store
        self._changer = changer
        self._in_force = in_force
        self._subscription = subscription
        self._services = services

    def classes(self) -> ClassList:
        """Return the classes that are in force in this process."""
        views = []
        for office, version in sorted(self._in_force.versions().items()):
            document = self._in_force.document(office).document
            views.extend(ClassView(office, version, c) for c in document.classes)
        return ClassList(tuple(views))

    async def office(self, office: OfficeName) -> Result[OfficeVersion, OperatorError]:
        """Return the newest document of an office."""
        result = await self._store.read(office)
        if result.is_error():
            return Error(_describe(result.error))
        if result.ok is None:
            return Ok(OfficeVersion(office, 0, OfficeDocument(office)))
        return Ok(_view(result.ok))

    async def apply(
        self,
        operator: OperatorIdentity,
        document: OfficeDocument,
        expected_version: int,
    ) -> Result[OfficeVersion, OperatorError]:
        """Replace the office's document."""
        request = ChangeRequest(
            operator.office, operator.name, expected_version, document
        )
        return self._changed(await self._changer.change(request, self._services))

    async def roll_back(
        self, operator: OperatorIdentity, to_version: int, expected_version: int
    ) -> Result[OfficeVersion, OperatorError]:
        """Write an earlier document as a new version."""
        result = await self._changer.roll_back(
            operator.office, operator.name, expected_version, to_version, self._services
        )
        return self._changed(result)

    async def history(
        self, office: OfficeName, limit: int
    ) -> Result[HistoryList, OperatorError]:
        """Return the last versions, newest first."""
        result = await self._store.history(office)
        if result.is_error():
            return Error(_describe(result.error))
        versions = [info.version for info in result.ok[:limit]]
        found = await asyncio.gather(
            *(self._store.read_version(office, version) for version in versions)
        )
        return Ok(
            HistoryList(tuple(_view(entry.ok) for entry in found if entry.is_ok()))
        )

    async def versions(self) -> ConfigVersions:
        """Return how far the newest version of each office has spread."""
        entries = [
            await self._spread(office, version)
            for office, version in sorted(self._in_force.versions().items())
        ]
        return ConfigVersions(tuple(entries))

    async def wait_in_force(
        self, office: OfficeName, version: int, wait_ms: int
    ) -> InForce:
        """Return once a version is in force everywhere, or after `wait_ms`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        while True:
            spread = await self._spread(office, version)
            if spread.in_force or loop.time() >= deadline:
                return spread
            await asyncio.sleep(IN_FORCE_INTERVAL_MS / 1000)

    async def _spread(self, office: OfficeName, version: int) -> InForce:
        reply = await self._subscription.ask_in_force(office, version)
        lagging = tuple(ProcessId(name) for name in reply.missing)
        if not reply.complete:
            # The counts of one region would look like those of the whole cell.
            return InForce(office, version, False, lagging=lagging, complete=False)
        expected = reply.expected_count
        acknowledged = max(expected - reply.missing_count, 0)
        return InForce(
            office, version, reply.everywhere, acknowledged, expected, lagging
        )

    @staticmethod
    def _changed(
        result: Result[StoredVersion, ChangeError],
    ) -> Result[OfficeVersion, OperatorError]:
        if result.is_error():
            return Error(_describe(result.error))
        return Ok(_view(result.ok))


def _view(stored: StoredVersion) -> OfficeVersion:
    info = stored.info
    return OfficeVersion(
        info.office, info.version, stored.document, info.author, info.changed_unix_ms
    )


def _line(difference: Difference) -> str:
    return f"{difference.path}: {difference.old} -> {difference.new}"


def _describe(error: ChangeError) -> OperatorError:
    match error:
        case Forbidden():
            return OperatorError(OperatorErrorKind.REJECTED, error.reason)
        case InvalidDocument():
            detail = "; ".join(f"{p.path}: {p.reason}" for p in error.problems)
            return OperatorError(OperatorErrorKind.INVALID, detail)
        case ChangeConflict():
            version = error.current.info.version if error.current else 0
            return OperatorError(
                OperatorErrorKind.STALE_VERSION,
                f"the document was changed meanwhile and has version {version}",
                current_version=version,
                difference=tuple(_line(d) for d in error.proposed),
            )
        case MissingVersion():
            detail = f"version {error.version} of {error.office} is not kept any more"
            return OperatorError(OperatorErrorKind.NOT_FOUND, detail)
        case StoreUnavailable(certainty=Certainty.UNKNOWN):
            return OperatorError(
                OperatorErrorKind.UNKNOWN, error.reason, retry_after_s=RETRY_AFTER_S
            )
        case StoreUnavailable():
            return OperatorError(
                OperatorErrorKind.UNAVAILABLE, error.reason, retry_after_s=RETRY_AFTER_S
            )
