"""The workers of a service: registrations, links, incarnations and losses."""

import asyncio

import msgspec

from basilhold.core import WorkerId
from basilhold.observability import log_event
from basilhold.workflows import events
from basilhold.workflows.model import task_name
from basilhold.workflows.orders import Orders
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.pool import (
    ListedRun,
    Listing,
    Run,
    RunStage,
    Worker,
    WorkerInfo,
    reconcile,
    remove_lost_runs,
    transfer_runs,
)
from basilhold.workflows.worker_link import Look, WorkerLink

__all__ = ["Roster"]

REGISTRY_INTERVAL_MS = 700
"""A worker that leaves must get no new work after 3 s."""


class Roster:
    """Follows the registrations of workers and what each of them lists.

    Parameters
    ----------
    state : OwnerState
    orders : Orders
    """

    def __init__(self, state: OwnerState, orders: Orders):
        self._state = state
        self._orders = orders

    async def run(self) -> None:
        """Read the registrations regularly until cancelled."""
        while True:
            await asyncio.sleep(REGISTRY_INTERVAL_MS / 1000)
            await self.read()

    def drop_lapsed(self, now_ms: float) -> None:
        """Give up unregistered workers whose leases have certainly lapsed."""
        for worker in list(self._state.pool.workers.values()):
            unlinked = worker.worker_id not in self._state.links
            if unlinked and now_ms > worker.lease_expires_ms:
                self._worker_lost(worker, "its lease has lapsed")

    async def read(self) -> None:
        """Read the registrations once."""
        result = await self._state.ports.registry.read()
        if result.is_error():
            return
        registered = {
            worker_id: info
            for worker_id, (service, info) in result.ok.items()
            if service == self._state.service
        }
        for worker_id, info in registered.items():
            self._update_worker(worker_id, info)
        for worker_id, worker in list(self._state.pool.workers.items()):
            if worker_id not in registered:
                worker.unregistered = True
                if not worker.runs:
                    self._drop_worker(worker)
        self._state.plan_event.set()

    def _update_worker(self, worker_id: WorkerId, info: WorkerInfo) -> None:
        worker = self._state.pool.workers.get(worker_id)
        if worker is not None and info.born_unix_ms < worker.info.born_unix_ms:
            # The worker's own list told of a newer incarnation before the registry.
            return
        if worker is not None and 0 < worker.info.born_unix_ms < info.born_unix_ms:
            self._replace_incarnation(worker, info)
            return
        if worker is None:
            worker = self._state.pool.workers[worker_id] = Worker(info)
        elif worker.info != info:
            worker.free = worker.free + info.capacity - worker.info.capacity
            worker.info = info
        worker.unregistered = False
        if worker_id not in self._state.links:
            self._open_link(worker)

    async def _serve_link(self, link: WorkerLink) -> None:
        worker = link.worker
        try:
            while self._take_look(link, await link.look(self._state.clock)):
                if worker.unregistered and not worker.runs:
                    self._drop_worker(worker)
                    return
        finally:
            if self._state.links.get(worker.worker_id) is link:
                del self._state.links[worker.worker_id]

    def _take_look(self, link: WorkerLink, look: Look) -> bool:
        """Apply what a look has shown; return whether the worker is still there."""
        worker = link.worker
        if look.fenced:
            raise LeaseLostError("a worker has seen a higher epoch")
        if look.restarted is not None:
            if not link.closed:
                self._take_restart(worker, look.restarted)
            return False
        if look.lost:
            if not link.closed:
                self._worker_lost(worker, look.lost)
            return False
        for listed in look.unknown:
            self._stop_unknown(worker, listed)
        for ended in look.ends:
            self._orders.apply_end(worker, ended.key, ended.end, ended.run)
        for run in list(worker.runs.values()):
            if run.stop_wanted and not run.stop_confirmed:
                self._orders.stop(worker, run)
        self._orders.adjust_pace(worker)
        if look.first or look.ends:
            self._state.plan_event.set()
        if look.ends:
            self._orders.committer.acknowledge_soon()
        return True

    def _stop_unknown(self, worker: Worker, listed: ListedRun) -> None:
        workflow = self._state.workflows.get(listed.key.job_id)
        step = None
        if workflow is not None and workflow.has_task(listed.key.task):
            step = workflow.spec.steps[listed.key.task.step]
        if listed.key in worker.runs:
            # Another run of the task is expected here; its capacity is counted.
            return
        log_event(
            events.RUN_UNKNOWN,
            task=task_name(listed.key.job_id, listed.key.task),
            run=listed.number,
            worker=worker.worker_id,
        )
        run = Run(
            listed.key,
            listed.number,
            step.reserved() if step else worker.free,
            step,
            RunStage.RUNNING,
            confirmed_ms=self._state.clock.monotonic_ms(),
        )
        worker.add(run)
        self._orders.stop(worker, run)

    def _worker_lost(self, worker: Worker, reason: str) -> None:
        """Conclude that nothing runs on a worker any more."""
        log_event(
            events.WORKER_LOST,
            worker=worker.worker_id,
            reason=reason,
            runs=len(worker.runs),
        )
        self._drop_worker(worker)
        for ended in remove_lost_runs(worker):
            self._orders.apply_end(worker, ended.key, ended.end)
        self._state.plan_event.set()

    def _take_restart(self, worker: Worker, listing: Listing) -> None:
        """Go on with a new incarnation whose lists have been read."""
        info = msgspec.structs.replace(worker.info, born_unix_ms=listing.born_unix_ms)
        successor = self._replace_incarnation(worker, info)
        now_ms = self._state.clock.monotonic_ms()
        changed = reconcile(successor, listing, now_ms, now_ms)
        link = self._state.links[successor.worker_id]
        self._take_look(link, Look(ends=changed.ends, unknown=changed.unknown))

    def _replace_incarnation(self, worker: Worker, info: WorkerInfo) -> Worker:
        successor = Worker(info)
        transfer_runs(worker, successor)
        self._worker_lost(worker, "it has restarted")
        self._state.pool.workers[info.worker_id] = successor
        self._open_link(successor)
        return successor

    def _open_link(self, worker: Worker) -> None:
        state = self._state
        link = WorkerLink(worker, state.ports.runners, state.lease, state.limits)
        link.on_look = lambda look: self._take_look(link, look)
        self._state.links[worker.worker_id] = link
        self._state.start(self._serve_link(link))

    def _drop_worker(self, worker: Worker) -> None:
        worker.unregistered = True
        if self._state.pool.workers.get(worker.worker_id) is worker:
            del self._state.pool.workers[worker.worker_id]
        link = self._state.links.get(worker.worker_id)
        if link is not None and link.worker is worker:
            link.closed = True
            del self._state.links[worker.worker_id]
