"""Observes the commits and placements of a scheduler."""

from collections import Counter, deque

import msgspec
from expression import Result

from basilhold.core import (
    ClassName,
    Clock,
    JobId,
    JobRecord,
    JobSpec,
    ZoneName,
    split_task_id,
)
from basilhold.placement import Placement, TargetPlanner
from basilhold.ports import (
    Row,
    ScanPage,
    StoreError,
    StoreErrorKind,
    TableService,
    Transaction,
)

__all__ = ["CommitDuration", "CommitWatch", "ObservedPlanner", "TaskWait"]

_COMMIT_PREFIX = "commit/"

KEPT_MAX = 10_000
"""Observations kept until the metrics are read; older ones are dropped."""


class CommitDuration(msgspec.Struct, frozen=True):
    """Duration of one commit, in seconds."""

    zone: ZoneName
    duration_s: float


class TaskWait(msgspec.Struct, frozen=True):
    """Time a task waited until its first placement, relative to its target."""

    class_name: ClassName
    ratio: float


class CommitWatch(TableService):
    """Passes operations on and measures the commits among them.

    Parameters
    ----------
    inner : TableService
    clock : Clock

    Attributes
    ----------
    durations : deque of CommitDuration
    failures : Counter of (ZoneName, StoreErrorKind)
    """

    def __init__(self, inner: TableService, clock: Clock):
        self._inner = inner
        self._clock = clock
        self.durations: deque[CommitDuration] = deque(maxlen=KEPT_MAX)
        self.failures: Counter[tuple[ZoneName, StoreErrorKind]] = Counter()

    async def read(self, keys: tuple[str, ...]) -> Result[dict[str, Row], StoreError]:
        """Read rows."""
        return await self._inner.read(keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, StoreError]:
        """Read a page of rows."""
        return await self._inner.scan(prefix, after, limit)

    async def transact(
        self, transaction: Transaction
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction."""
        zone = _committed_zone(transaction)
        started_ms = self._clock.monotonic_ms()
        result = await self._inner.transact(transaction)
        if zone is not None:
            duration_s = (self._clock.monotonic_ms() - started_ms) / 1000
            self.durations.append(CommitDuration(zone, duration_s))
            if result.is_error():
                self.failures[zone, result.error.kind] += 1
        return result


class ObservedPlanner(TargetPlanner):
    """A planner that notes how long tasks waited until their first placement.

    Parameters
    ----------
    clock : Clock
    waits : deque of TaskWait
        Where the waits are added.
    """

    def __init__(self, clock: Clock, waits: deque[TaskWait]):
        super().__init__()
        self._clock = clock
        self._waits = waits
        self._specs: dict[JobId, JobSpec] = {}

    def upsert_job(self, record: JobRecord) -> None:
        """Take a job's row."""
        self._specs[record.spec.job_id] = record.spec
        super().upsert_job(record)

    def remove_job(self, job_id: JobId) -> None:
        """Forget a job."""
        self._specs.pop(job_id, None)
        super().remove_job(job_id)

    def confirm(self, placements: tuple[Placement, ...]) -> None:
        """Take note of committed placements."""
        now_ms = self._clock.unix_ms()
        for placement in placements:
            spec = self._specs.get(split_task_id(placement.task_id)[0])
            if spec is None or placement.attempt > 1:
                continue
            waited_ms = max(now_ms - spec.submitted_unix_ms, 0)
            ratio = waited_ms / max(spec.wait_target_ms, 1)
            self._waits.append(TaskWait(spec.class_name, ratio))
        super().confirm(placements)


def _committed_zone(transaction: Transaction) -> ZoneName | None:
    for write in transaction.writes:
        if write.key.startswith(_COMMIT_PREFIX):
            return ZoneName(write.key.removeprefix(_COMMIT_PREFIX))
    return None
