"""Follows the VM list, which lags and is not always reliable."""

from abc import ABC, abstractmethod

from basilhold.core import WorkerId, WorkerRecord
from basilhold.observability import log_event
from basilhold.ports import VmRecord, VmState
from basilhold.sharding.changes import AddWorker, Change, RemoveWorker
from basilhold.sharding.events import VM_LIST_UNRELIABLE
from basilhold.sharding.peers import CellView
from basilhold.sharding.session import WorkerSession
from basilhold.sharding.tables import ShardTables

__all__ = ["WorkerList", "WorkerListOwner"]

_SUDDEN_LOSS_DIVISOR = 3
"""A list that loses more than a third of its workers at once is not believed."""


class WorkerListOwner(ABC):
    """What the worker list tells the shard's owner."""

    @abstractmethod
    def submit(self, change: Change) -> None:
        """Commit a change."""

    @abstractmethod
    def session(self, worker_id: WorkerId) -> WorkerSession | None:
        """Return the session with a worker."""

    @abstractmethod
    def refresh_worker(self, worker_id: WorkerId) -> None:
        """Tell the planner whether a worker takes tasks."""


class WorkerList:
    """Adds and removes worker rows as VMs come and go.

    A VM's absence from the list moves no task: only leases and workers do. It stops
    new placements there, unless too many VMs vanished at once.

    Parameters
    ----------
    cell : CellView
    tables : ShardTables
    owner : WorkerListOwner
    """

    def __init__(self, cell: CellView, tables: ShardTables, owner: WorkerListOwner):
        self._cell = cell
        self._tables = tables
        self._owner = owner
        self._usable: set[WorkerId] = set()
        self._listed: dict[WorkerId, VmRecord] = {}
        self._added: set[WorkerId] = set()
        self._removing: set[WorkerId] = set()
        self._unreliable = False
        self._starting = True

    def is_usable(self, worker_id: WorkerId) -> bool:
        """Return whether a worker is listed as live."""
        return worker_id in self._usable

    def note_removed(self, worker_id: WorkerId) -> None:
        """Take note that a worker's row was deleted, so that it may be added again."""
        self._added.discard(worker_id)
        self._removing.discard(worker_id)

    def update(self) -> None:
        """Take in the list as it is now."""
        zone = self._tables.zone
        listed = {WorkerId(record.vm_id): record for record in self._cell.workers(zone)}
        known = self._tables.workers.keys() if self._starting else self._listed.keys()
        lost = sum(not self._is_gone(w) for w in known - listed.keys())
        live = {w for w, vm in listed.items() if vm.state is VmState.LIVE}
        if lost * _SUDDEN_LOSS_DIVISOR > len(known):
            self._note_unreliable(lost, len(known))
            missing = set(known) - listed.keys()
            if not self._starting:
                listed = {w: self._listed[w] for w in missing} | listed
                missing &= self._usable
            self._listed = listed
            self._add_new()
            self._set_usable(live | missing)
            return
        self._starting = False
        self._unreliable = False
        self._listed = listed
        self._add_new()
        self._remove_gone()
        self._set_usable(live)

    def _is_gone(self, worker_id: WorkerId) -> bool:
        session = self._owner.session(worker_id)
        return session is not None and session.is_gone()

    def _note_unreliable(self, lost: int, known: int) -> None:
        if not self._unreliable:
            zone = self._tables.zone
            log_event(VM_LIST_UNRELIABLE, lost=lost, known=known, zone=zone)
        self._unreliable = True

    def _add_new(self) -> None:
        zone = self._tables.zone
        for worker_id, vm in self._listed.items():
            if worker_id in self._tables.workers:
                self._added.discard(worker_id)
            elif worker_id not in self._added and vm.state is VmState.LIVE:
                self._added.add(worker_id)
                record = WorkerRecord(worker_id, zone, vm.rack, vm.capacity)
                self._owner.submit(AddWorker(record))

    def _remove_gone(self) -> None:
        for worker_id, worker in self._tables.workers.items():
            if worker_id in self._listed or worker.record.assignments:
                self._removing.discard(worker_id)
            elif worker_id not in self._removing and self._is_gone(worker_id):
                self._removing.add(worker_id)
                self._owner.submit(RemoveWorker(worker_id))

    def _set_usable(self, usable: set[WorkerId]) -> None:
        changed = self._usable ^ usable
        self._usable = usable
        for worker_id in sorted(changed):
            self._owner.refresh_worker(worker_id)
