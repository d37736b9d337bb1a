"""Which processes have which versions in force."""

from collections.abc import Iterable, Mapping

import msgspec

from basilhold.core import OfficeName, ProcessId, RegionName, VmId
from basilhold.rpc.messages_pb2 import WatchRequest

__all__ = ["AckBoard", "AckSummary", "Lagging", "covered_name"]

SILENCE_MS = 35_000
PAID_SILENCE_MS = 105_000

LAGGING_MAX = 16
"""Lagging processes that an acknowledgement names."""

DISCONNECTED_MS = 10_000
"""How long a process whose stream ended is still counted.

Within this time it reconnects, here or to another relay. Later it shows as missing
because no relay covers it.
"""


class Lagging(msgspec.Struct, frozen=True):
    """A process that is behind the newest version."""

    process_id: ProcessId
    office: OfficeName
    version: int


class AckSummary(msgspec.Struct, frozen=True):
    """Acknowledgement for a relay and everything below it.

    Parameters
    ----------
    in_force : dict of OfficeName to int
        Oldest version in force, per office.
    process_count : int
    covered : frozenset of str
        Names, as of `covered_name`, of the processes that it stands for.
    lagging : tuple of Lagging
    """

    in_force: dict[OfficeName, int]
    process_count: int
    covered: frozenset[str]
    lagging: tuple[Lagging, ...]


class _Registration:
    def __init__(self, stream: object, silence_ms: float):
        self.stream = stream
        self.silence_ms = silence_ms
        self.in_force: dict[OfficeName, int] = {}
        self.covered: frozenset[str] = frozenset()
        self.lagging: tuple[Lagging, ...] = ()
        self.process_count = 1
        self.heard_at_ms = 0.0
        self.ended_at_ms: float | None = None


def covered_name(vm_id: VmId, program: str) -> str:
    """Return the name under which a process is expected.

    A process that is started again on its VM has the same name.
    """
    return f"{vm_id}/{program}"


class AckBoard:
    """Collects the acknowledgements of the streams of one relay.

    Processes report at least every `SILENCE_MS`, or every `PAID_SILENCE_MS` from
    another region; one that is silent for longer is not counted.

    Parameters
    ----------
    region : RegionName
        Region of the relay.
    """

    def __init__(self, region: RegionName):
        self._region = region
        self._now_ms = 0.0
        self._registrations: dict[ProcessId, _Registration] = {}

    def record(self, request: WatchRequest, stream: object, now_ms: float) -> None:
        """Take note of a request on a stream."""
        process_id = ProcessId(request.process_id)
        entry = self._registrations.get(process_id)
        if entry is None or entry.stream is not stream:
            silence_ms = (
                SILENCE_MS if request.region == self._region else PAID_SILENCE_MS
            )
            entry = _Registration(stream, silence_ms)
            self._registrations[process_id] = entry
        entry.heard_at_ms = now_ms
        entry.process_count = max(1, request.process_count)
        for version in request.in_force:
            office = OfficeName(version.office)
            # A repeated or late request must not take back an acknowledgement.
            known = entry.in_force.get(office, 0)
            entry.in_force[office] = max(known, version.version)
        entry.lagging = tuple(
            Lagging(ProcessId(lag.process_id), OfficeName(lag.office), lag.version)
            for lag in request.lagging
        )
        if request.covered_changed:
            entry.covered = frozenset(request.covered)

    def end_stream(self, process_id: ProcessId, stream: object, now_ms: float) -> None:
        """Take note of a stream's end."""
        entry = self._registrations.get(process_id)
        if entry is not None and entry.stream is stream:
            entry.ended_at_ms = now_ms

    def advance(self, now_ms: float) -> None:
        """Forget processes whose streams ended a while ago."""
        self._now_ms = now_ms
        for process_id, entry in list(self._registrations.items()):
            ended_at_ms = entry.ended_at_ms
            if ended_at_ms is not None and now_ms - ended_at_ms > DISCONNECTED_MS:
                del self._registrations[process_id]

    def summary(self, own_name: str, versions: Mapping[OfficeName, int]) -> AckSummary:
        """Return the acknowledgement for this relay and everything below it.

        Parameters
        ----------
        own_name : str
            Covered name of the relay.
        versions : mapping of OfficeName to int
            Versions that the relay has.
        """
        entries = [entry for _, entry in self._counted()]
        in_force = {
            office: min([own, *(e.in_force.get(office, 0) for e in entries)])
            for office, own in versions.items()
        }
        covered = frozenset({own_name}).union(*(e.covered for e in entries))
        lagging = [
            lag
            for office, own in versions.items()
            for lag in self._lagging(office, own)
        ]
        return AckSummary(
            in_force,
            1 + sum(entry.process_count for entry in entries),
            covered,
            tuple(lagging[:LAGGING_MAX]),
        )

    def missing(
        self, office: OfficeName, version: int, own_name: str, expected: Iterable[str]
    ) -> tuple[str, ...]:
        """Return who is not known to have a version in force, in order.

        Parameters
        ----------
        office : OfficeName
        version : int
        own_name : str
        expected : iterable of str
            Covered names that there should be.
        """
        covered = self.summary(own_name, {}).covered
        lagging = {
            f"{lag.process_id} (has version {lag.version})"
            for lag in self._lagging(office, version)
        }
        absent = {f"{name} (not connected)" for name in expected if name not in covered}
        return tuple(sorted(lagging | absent))

    def _lagging(self, office: OfficeName, version: int) -> Iterable[Lagging]:
        for process_id, entry in self._counted():
            known = entry.in_force.get(office, 0)
            if known >= version:
                continue
            named = [
                lag
                for lag in entry.lagging
                if lag.office == office and lag.version < version
            ]
            # A relay that did not say who lags may have fallen silent, so everybody
            # below it is named.
            names = sorted(entry.covered) or [process_id]
            yield from named or [
                Lagging(ProcessId(name), office, known) for name in names
            ]

    def _counted(self) -> Iterable[tuple[ProcessId, _Registration]]:
        for process_id, entry in self._registrations.items():
            if self._now_ms - entry.heard_at_ms <= entry.silence_ms:
                yield process_id, entry
