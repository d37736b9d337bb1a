"""Keeps new tasks off workers that fail everything."""

from abc import ABC, abstractmethod

from basilhold.core import Clock, TaskState, WorkerId, WorkerRecord, split_task_id
from basilhold.observability import log_event
from basilhold.placement import Placement
from basilhold.sharding.changes import Change, Release, SetQuarantine
from basilhold.sharding.events import WORKER_QUARANTINED
from basilhold.sharding.health import WorkerHealth

__all__ = ["Quarantine", "QuarantineOwner"]


class QuarantineOwner(ABC):
    """What the quarantine tells the shard's owner."""

    @abstractmethod
    def submit(self, change: Change) -> None:
        """Commit a change."""

    @abstractmethod
    def refresh_worker(self, worker_id: WorkerId) -> None:
        """Tell the planner whether a worker takes tasks."""


class Quarantine:
    """Applies the verdicts of `WorkerHealth` and lets one probe task through.

    Parameters
    ----------
    health : WorkerHealth
    clock : Clock
    owner : QuarantineOwner
    """

    def __init__(self, health: WorkerHealth, clock: Clock, owner: QuarantineOwner):
        self._health = health
        self._clock = clock
        self._owner = owner
        self._until_ms: dict[WorkerId, int] = {}
        self._probing: set[WorkerId] = set()
        self._probed: set[WorkerId] = set()

    def load(self, record: WorkerRecord) -> None:
        """Take in a worker's row after a takeover."""
        if record.quarantined_until_unix_ms:
            self._until_ms[record.worker_id] = record.quarantined_until_unix_ms

    def admits(self, record: WorkerRecord) -> bool:
        """Return whether new tasks may go to a worker."""
        worker_id = record.worker_id
        if worker_id not in self._until_ms:
            return True
        return worker_id in self._probing and worker_id not in self._probed

    def update(self) -> None:
        """Open the workers whose delay has passed to one probe."""
        now_ms = self._clock.unix_ms()
        for worker_id, until_ms in self._until_ms.items():
            if now_ms >= until_ms and worker_id not in self._probing:
                self._probing.add(worker_id)
                self._owner.refresh_worker(worker_id)

    def limit_probes(
        self, placements: tuple[Placement, ...]
    ) -> tuple[tuple[Placement, ...], tuple[Placement, ...]]:
        """Split placements into those to commit and those beyond one probe."""
        kept, excess = [], []
        used: set[WorkerId] = set(self._probed)
        for placement in placements:
            worker_id = placement.worker_id
            if worker_id in self._until_ms and worker_id in used:
                excess.append(placement)
                continue
            used.add(worker_id)
            kept.append(placement)
        return tuple(kept), tuple(excess)

    def placed(self, worker_id: WorkerId) -> None:
        """Close a worker that got its probe."""
        if worker_id in self._probing and worker_id not in self._probed:
            self._probed.add(worker_id)
            self._owner.refresh_worker(worker_id)

    def note(self, change: Release) -> None:
        """Judge a worker by the end of an attempt."""
        worker_id = change.worker_id
        job_id = split_task_id(change.task_id)[0]
        if change.state is TaskState.SUCCEEDED:
            self._health.succeeded(worker_id)
            if worker_id in self._until_ms:
                self._end(worker_id)
        elif change.failed:
            if change.state is TaskState.FAILED:
                self._health.forgive(job_id)
            self._failed(worker_id, change)
        elif worker_id in self._probed:
            self._probed.discard(worker_id)
            self._owner.refresh_worker(worker_id)

    def _failed(self, worker_id: WorkerId, change: Release) -> None:
        quarantined = worker_id in self._until_ms
        if quarantined and worker_id not in self._probed:
            return
        if change.state is TaskState.FAILED and not quarantined:
            return
        job_id = split_task_id(change.task_id)[0]
        now_ms = self._clock.unix_ms()
        until_ms = self._health.failed(worker_id, job_id, now_ms)
        if until_ms is None:
            return
        log_event(WORKER_QUARANTINED, worker_id=worker_id, until_unix_ms=until_ms)
        self._until_ms[worker_id] = until_ms
        self._probing.discard(worker_id)
        self._probed.discard(worker_id)
        self._owner.submit(SetQuarantine(worker_id, until_ms))
        self._owner.refresh_worker(worker_id)

    def _end(self, worker_id: WorkerId) -> None:
        self.remove(worker_id)
        self._owner.submit(SetQuarantine(worker_id, 0))
        self._owner.refresh_worker(worker_id)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker's quarantine."""
        self._until_ms.pop(worker_id, None)
        self._probing.discard(worker_id)
        self._probed.discard(worker_id)
        self._health.remove(worker_id)
