"""What a relay or a process reports to the relay above it."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.core import OfficeName, ProcessId, RegionName, VmId, ZoneName
from basilhold.relay.acknowledgements import AckBoard, AckSummary, covered_name
from basilhold.relay.documents import pack_document
from basilhold.relay.state import RelayState
from basilhold.rpc.messages_pb2 import (
    DocumentVersion,
    LaggingProcess,
    WatchRequest,
    WatchUpdate,
)

__all__ = [
    "ProcessIdentity",
    "ProcessSource",
    "RelaySource",
    "Reporter",
    "ReportSource",
]

KEEPALIVE_MS = 10_000
"""Interval of reports without news inside a region."""

PAID_KEEPALIVE_MS = 30_000
"""Interval of reports without news to another region."""

LAG_SETTLE_MS = 1000
"""How long a relay waits for acknowledgements before it names those that lag.

Processes acknowledge within milliseconds of each other; without the wait, each change
would travel up once per process instead of once per region.
"""


class ProcessIdentity(msgspec.Struct, frozen=True):
    """Who a process is and where it runs."""

    process_id: ProcessId
    program: str
    vm_id: VmId
    zone: ZoneName
    region: RegionName

    @property
    def name(self) -> str:
        """Covered name of the process."""
        return covered_name(self.vm_id, self.program)


class ReportSource(ABC):
    """Gives the acknowledgement to report."""

    @abstractmethod
    def summary(self, now_ms: float) -> AckSummary:
        """Return the acknowledgement as it is now."""


class ProcessSource(ReportSource):
    """Acknowledges for one process.

    Parameters
    ----------
    identity : ProcessIdentity
    versions : callable
        Returns the versions in force.
    """

    def __init__(self, identity: ProcessIdentity, versions):
        self._identity = identity
        self._versions = versions

    def summary(self, now_ms: float) -> AckSummary:
        """Return the versions in force in the process."""
        return AckSummary(
            dict(self._versions()), 1, frozenset({self._identity.name}), ()
        )


class RelaySource(ReportSource):
    """Acknowledges for a relay and everything below it."""

    def __init__(self, identity: ProcessIdentity, state: RelayState, board: AckBoard):
        self._identity = identity
        self._state = state
        self._board = board

    def summary(self, now_ms: float) -> AckSummary:
        """Return the oldest versions below the relay."""
        self._board.advance(now_ms)
        return self._board.summary(self._identity.name, self._state.versions())


class Reporter:
    """Decides what to report on one stream, and when.

    Parameters
    ----------
    identity : ProcessIdentity
    source : ReportSource
    state : RelayState
    same_region : bool
        Whether the relay above is in the same region.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        source: ReportSource,
        state: RelayState,
        same_region: bool,
    ):
        self._identity = identity
        self._source = source
        self._state = state
        self._keepalive_ms = KEEPALIVE_MS if same_region else PAID_KEEPALIVE_MS
        self._sent: AckSummary | None = None
        self._sent_at_ms = 0.0
        self._lagging_since_ms: float | None = None
        # What the relay above has. A relay that has less than was reported at the
        # start asks for it.
        self._above = state.versions()

    def first_request(self, now_ms: float) -> WatchRequest:
        """Return the request that opens the stream and tells what is already here."""
        request = self._request(self._source.summary(now_ms), now_ms)
        for office, version in sorted(self._state.versions().items()):
            request.have.append(DocumentVersion(office=office, version=version))
        request.vm_list_version = self._state.vms.version
        return request

    def next_request(self, now_ms: float) -> WatchRequest | None:
        """Return the report to send now, or None if there is nothing to report."""
        summary = self._source.summary(now_ms)
        pushed = self._documents_to_push()
        if not pushed and not self._is_due(summary, now_ms):
            return None
        request = self._request(summary, now_ms)
        request.pushed.extend(pushed)
        return request

    def note_update(self, update: WatchUpdate) -> None:
        """Take note of what the relay above has."""
        for document in update.documents:
            self._raise_above(OfficeName(document.office), document.version)
        for office in update.wanted_offices:
            self._above[OfficeName(office)] = 0

    def next_due_ms(self) -> float:
        """Return when the next report is due without news, in loop milliseconds."""
        if self._lagging_since_ms is not None:
            return self._lagging_since_ms + LAG_SETTLE_MS
        return self._sent_at_ms + self._keepalive_ms

    def _is_due(self, summary: AckSummary, now_ms: float) -> bool:
        sent = self._sent
        if now_ms - self._sent_at_ms >= self._keepalive_ms:
            return True
        if sent.in_force != summary.in_force or sent.covered != summary.covered:
            return True
        if sent.lagging == summary.lagging:
            self._lagging_since_ms = None
            return False
        if self._lagging_since_ms is None:
            self._lagging_since_ms = now_ms
        return now_ms - self._lagging_since_ms >= LAG_SETTLE_MS

    def _documents_to_push(self):
        pushed = []
        for office, copy in self._state.documents.items():
            known = self._above.get(office, 0)
            if copy.version > known:
                pushed.append(pack_document(copy, self._state.base(office, known)))
                self._above[office] = copy.version
        return pushed

    def _raise_above(self, office: OfficeName, version: int) -> None:
        self._above[office] = max(self._above.get(office, 0), version)

    def _request(self, summary: AckSummary, now_ms: float) -> WatchRequest:
        request = WatchRequest(
            process_id=self._identity.process_id,
            process_count=summary.process_count,
            vm_id=self._identity.vm_id,
        )
        if self._sent is None:
            request.zone = self._identity.zone
            request.region = self._identity.region
            request.program = self._identity.program
        for office, version in sorted(summary.in_force.items()):
            request.in_force.append(DocumentVersion(office=office, version=version))
        for lag in summary.lagging:
            request.lagging.append(
                LaggingProcess(
                    process_id=lag.process_id, office=lag.office, version=lag.version
                )
            )
        if self._sent is None or summary.covered != self._sent.covered:
            request.covered_changed = True
            request.covered.extend(sorted(summary.covered))
        self._sent = summary
        self._sent_at_ms = now_ms
        self._lagging_since_ms = None
        return request
