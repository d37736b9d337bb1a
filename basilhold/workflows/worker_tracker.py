"""Tracks the workers of a service: registrations, polls, restarts and losses."""

import asyncio

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.observability import log_event
from basilhold.tenants import NO_TENANT
from basilhold.workflows import events
from basilhold.workflows.crash_blame import CrashEvidence
from basilhold.workflows.crash_evidence import collect_crash_evidence, record_silence
from basilhold.workflows.model import task_name
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.pool import (
    ListedRun,
    Listing,
    LossReason,
    Run,
    RunKey,
    RunStage,
    Worker,
    WorkerInfo,
)
from basilhold.workflows.progress import EndKind, RunEnd
from basilhold.workflows.reconciliation import (
    EndedRun,
    reconcile,
    remove_lost_runs,
    transfer_runs,
)
from basilhold.workflows.run_controller import RunController
from basilhold.workflows.worker_link import PollResult, WorkerLink

__all__ = ["WorkerTracker"]

REGISTRY_POLL_INTERVAL_MS = 700
"""Interval at which the registrations are read. A worker that leaves must get no new
work after 3 s."""

FAILED_POLL_DELAY_MS = 1_000
"""Delay after a poll on whose result the owner has failed."""

REMEMBERED_WORKERS_MAX = 1_024
"""Number of lost workers about which something is remembered."""


class _UnconfirmedCrash(msgspec.Struct, frozen=True):
    """Runs of a worker that refused connections until its lease had lapsed.

    Parameters
    ----------
    worker_id : WorkerId
    born_unix_ms : int
        Unix time at which that incarnation of the worker started, in milliseconds.
    ends : list of EndedRun
        The runs to blame if the worker has crashed.
    """

    worker_id: WorkerId
    born_unix_ms: int
    ends: list[EndedRun]


class WorkerTracker:
    """Tracks the registered workers of a service and the runs that each one lists.

    Parameters
    ----------
    state : OwnerState
    run_controller : RunController
        Stops runs and applies the outcomes that workers report.
    """

    def __init__(self, state: OwnerState, run_controller: RunController):
        self._state = state
        self._run_controller = run_controller
        self._unconfirmed_crashes: dict[str, _UnconfirmedCrash] = {}
        self._replaced: dict[tuple[WorkerId, int], None] = {}

    async def run(self) -> None:
        """Read the registrations periodically until cancelled."""
        while True:
            await asyncio.sleep(REGISTRY_POLL_INTERVAL_MS / 1000)
            await self.refresh_registrations()

    def remove_expired_workers(self, now_ms: float) -> None:
        """Remove workers without a link whose leases have certainly expired."""
        for worker in list(self._state.pool.workers.values()):
            unlinked = worker.worker_id not in self._state.links
            if unlinked and worker.has_lapsed(now_ms):
                self._handle_worker_loss(worker, LossReason.EXPIRED)

    def end_probations(self, now_ms: float) -> None:
        """Let workers get more work whose probes have been at work for long enough."""
        for worker in self._state.pool.workers.values():
            if not worker.silent_since_ms:
                worker.end_probation(now_ms)

    async def refresh_registrations(self) -> None:
        """Read the registrations once; nothing changes if they cannot be read."""
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
                    self._remove_worker(worker)
        self._state.plan_event.set()

    def _update_worker(self, worker_id: WorkerId, info: WorkerInfo) -> None:
        self._confirm_crash(info)
        if (worker_id, info.born_unix_ms) in self._replaced:
            # Its registration is removed some time after the worker has gone.
            return
        worker = self._state.pool.workers.get(worker_id)
        if worker is not None and info.born_unix_ms < worker.info.born_unix_ms:
            # The worker itself has already reported a newer incarnation.
            return
        if worker is not None and 0 < worker.info.born_unix_ms < info.born_unix_ms:
            self._replace_incarnation(worker, info)
            return
        if worker is None:
            worker = self._state.pool.workers[worker_id] = self._make_worker(info)
        elif worker.info != info:
            worker.free = worker.free + info.capacity - worker.info.capacity
            worker.info = info
        worker.unregistered = False
        if worker_id not in self._state.links:
            self._open_link(worker)

    def contact_unregistered_workers(self) -> None:
        """Poll the workers of stored assignments that are not registered any more.

        One that is only cut off from the store is still at work, and one that has
        crashed is known to have done so once another replies at its address.
        """
        for worker in self._state.pool.workers.values():
            if worker.worker_id not in self._state.links and worker.info.endpoint:
                self._open_link(worker)

    def _confirm_crash(self, info: WorkerInfo) -> None:
        """Count the crash of a worker whose successor has registered at its address."""
        crash = self._unconfirmed_crashes.pop(info.endpoint, None)
        if crash is None:
            return
        if (crash.worker_id, crash.born_unix_ms) == (info.worker_id, info.born_unix_ms):
            # It was only unreachable.
            return
        for ended in crash.ends:
            self._run_controller.apply_late_crash(ended.key, ended.end)

    async def _poll_worker(self, link: WorkerLink) -> None:
        worker = link.worker
        try:
            while await self._poll_once(link):
                if worker.unregistered and not worker.runs:
                    self._remove_worker(worker)
                    return
        finally:
            if self._state.links.get(worker.worker_id) is link:
                del self._state.links[worker.worker_id]

    async def _poll_once(self, link: WorkerLink) -> bool:
        """Poll a worker once; return whether to go on. An error is logged."""
        try:
            return self._apply_poll(link, await link.poll(self._state.clock))
        except LeaseLostError:
            raise
        except Exception as error:
            name = f"polls of {link.worker.worker_id}"
            log_event(events.LOOP_FAILED, loop=name, error=repr(error))
            # Ends that may not have been applied are read again.
            link.worker.processed_sequence = link.worker.acknowledged_sequence
            await asyncio.sleep(FAILED_POLL_DELAY_MS / 1000)
            return not link.closed

    def _apply_poll(self, link: WorkerLink, look: PollResult) -> bool:
        """Apply the result of a poll; return whether to go on polling this incarnation.

        Raises
        ------
        LeaseLostError
            If the worker has seen a higher epoch.
        """
        worker = link.worker
        if look.fenced is not None:
            self._state.check_fenced(worker, look.fenced)
            # A call with a higher token of this link may have overtaken the poll.
            return not link.closed
        if look.restarted is not None:
            if not link.closed:
                self._handle_restart(worker, look.restarted)
            return False
        if look.lost:
            if not link.closed:
                self._handle_worker_loss(worker, look.lost)
            # The link of a worker with held runs stays open.
            return not link.closed
        for key in look.begun:
            run = worker.runs.get(key)
            is_expected = run is not None and run.listed
            self._run_controller.note_begun(key, run if is_expected else None)
        for ended in look.ends:
            self._run_controller.apply_end(worker, ended.key, ended.end, ended.run)
        for listed in look.unknown:
            self._stop_unknown(worker, listed)
        for run in list(worker.runs.values()):
            if run.stop_wanted and not run.stop_confirmed:
                self._run_controller.stop(worker, run)
        self._run_controller.adjust_pace(worker)
        if look.first or look.ends:
            self._state.plan_event.set()
        may_extend = self._state.lease.may_extend(worker.worker_id)
        if look.ends or (look.first and not may_extend):
            self._run_controller.committer.request_commit()
        return True

    def _stop_unknown(self, worker: Worker, listed: ListedRun) -> None:
        workflow = self._state.workflows.get(listed.key.job_id)
        step = None
        if workflow is not None and workflow.has_task(listed.key.task):
            step = workflow.spec.steps[listed.key.task.step]
        if listed.key in worker.runs:
            # Another run of the task is expected on this worker, and its capacity is
            # already reserved.
            return
        log_event(
            events.RUN_UNKNOWN,
            task=task_name(listed.key.job_id, listed.key.task),
            run=listed.number,
            worker=worker.worker_id,
        )
        unused = Resources() if worker.free.is_negative() else worker.free
        run = Run(
            listed.key,
            listed.number,
            step.reserved() if step else unused,
            step,
            RunStage.RUNNING,
            confirmed_ms=self._state.clock.monotonic_ms(),
            polls_before=worker.poll_count,
            tenant=workflow.spec.tenant if step else NO_TENANT,
            size=step.size if step else Resources(),
        )
        self._state.pool.add_unassigned(worker, run)
        self._run_controller.stop(worker, run)

    def _report_silence(self, worker: Worker) -> None:
        """Log that a worker has stopped answering, and what it started last."""
        record_silence(worker, self._state.pool)
        youngest = worker.youngest_run()
        is_known = youngest is not None and youngest.sent_ms
        age_ms = worker.silent_since_ms - youngest.sent_ms if is_known else -1
        heard_ms = worker.silent_since_ms - worker.heard_ms if worker.heard_ms else -1
        log_event(
            events.WORKER_SILENT,
            worker=worker.worker_id,
            endpoint=worker.info.endpoint,
            disconnected=worker.disconnected,
            heard_ms=round(heard_ms),
            runs=len(worker.runs),
            youngest=task_name(*youngest.key) if youngest else "-",
            age_ms=round(age_ms),
        )

    def _collect_evidence(
        self, worker: Worker, trusts_restored: bool = True
    ) -> dict[RunKey, CrashEvidence]:
        """Return the runs that may be to blame for a crash of a worker."""
        if worker.info.draining:
            return {}
        now_ms = self._state.clock.monotonic_ms()
        pool = self._state.pool
        return collect_crash_evidence(worker, pool, now_ms, trusts_restored)

    def _handle_worker_loss(
        self,
        worker: Worker,
        reason: LossReason,
        evidence: dict[RunKey, CrashEvidence] | None = None,
    ) -> None:
        """Remove a worker on which nothing can run any more, and end its runs.

        Parameters
        ----------
        worker : Worker
        reason : LossReason
        evidence : dict of RunKey to CrashEvidence, optional
            Runs that may be to blame, if that is known already.
        """
        now_ms = self._state.clock.monotonic_ms()
        silent_ms = now_ms - worker.silent_since_ms if worker.silent_since_ms else 0.0
        has_lapsed = reason in (LossReason.LAPSED, LossReason.EXPIRED)
        if has_lapsed and worker.has_held_runs(now_ms):
            self._end_lapsed_runs(worker, now_ms)
            return
        log_event(
            events.WORKER_LOST,
            worker=worker.worker_id,
            reason=reason.value,
            endpoint=worker.info.endpoint,
            silent_ms=round(silent_ms),
            runs=len(worker.runs),
        )
        self._remove_worker(worker)
        self._state.admissions.drop_tickets(worker.worker_id)
        if evidence is None:
            evidence = self._collect_evidence(worker)
        if reason is LossReason.REPLACED:
            self._replaced[worker.worker_id, worker.info.born_unix_ms] = None
            _limit_size(self._replaced)
        has_crashed = reason in (LossReason.REPLACED, LossReason.RESTARTED)
        if evidence and reason is LossReason.LAPSED and worker.disconnected:
            self._remember_unconfirmed(worker, evidence)
        blamed = evidence if has_crashed else {}
        for ended in remove_lost_runs(worker, worker.runs.values(), blamed):
            self._run_controller.apply_end(worker, ended.key, ended.end)
        self._state.plan_event.set()

    def _end_lapsed_runs(self, worker: Worker, now_ms: float) -> None:
        """End the runs of a silent worker, but those whose starts may be carried out.

        The others wait until the worker answers, or until they are not held any more.
        """
        lapsed = worker.lapsed_runs(now_ms)
        log_event(
            events.RUNS_HELD,
            worker=worker.worker_id,
            ended=len(lapsed),
            held=len(worker.runs) - len(lapsed),
            held_ms=round(max(r.held_until_ms for r in worker.runs.values()) - now_ms),
        )
        if worker.disconnected:
            keys = {run.key for run in lapsed}
            evidence = self._collect_evidence(worker)
            evidence = {key: e for key, e in evidence.items() if key in keys}
            if evidence:
                self._remember_unconfirmed(worker, evidence)
        for ended in remove_lost_runs(worker, lapsed, {}):
            self._run_controller.apply_end(worker, ended.key, ended.end)
        self._state.plan_event.set()

    def _remember_unconfirmed(
        self, worker: Worker, evidence: dict[RunKey, CrashEvidence]
    ) -> None:
        """Remember which runs to blame if a silent worker turns out to have crashed.

        When it has crashed is known only once its successor has registered.
        """
        ends = [
            EndedRun(
                key,
                RunEnd(
                    key.task,
                    worker.runs[key].number,
                    EndKind.CRASHED,
                    crash=msgspec.structs.replace(crash, may_have_ended=True),
                ),
            )
            for key, crash in evidence.items()
        ]
        crashes = self._unconfirmed_crashes
        known = crashes.get(worker.info.endpoint)
        incarnation = worker.worker_id, worker.info.born_unix_ms
        if known is not None and (known.worker_id, known.born_unix_ms) == incarnation:
            ends = known.ends + ends
        crashes[worker.info.endpoint] = _UnconfirmedCrash(
            worker.worker_id, worker.info.born_unix_ms, ends
        )
        _limit_size(crashes)

    def _handle_restart(self, worker: Worker, listing: Listing) -> None:
        """Replace a worker by a newer incarnation whose lists have been read."""
        # The new incarnation may be of another kind. It gets no work before its own
        # registration has been read.
        info = msgspec.structs.replace(
            worker.info,
            born_unix_ms=listing.born_unix_ms,
            capacity=Resources(),
            labels=frozenset(),
        )
        successor = self._replace_incarnation(worker, info)
        now_ms = self._state.clock.monotonic_ms()
        changed = reconcile(successor, listing, successor.poll_count, now_ms)
        link = self._state.links[successor.worker_id]
        self._apply_poll(
            link,
            PollResult(ends=changed.ends, unknown=changed.unknown, begun=changed.begun),
        )

    def _replace_incarnation(self, worker: Worker, info: WorkerInfo) -> Worker:
        successor = self._make_worker(info)
        successor.late_calls_until_ms = worker.late_calls_until_ms
        # Among the runs that are transferred may be the one that caused the crash.
        evidence = self._collect_evidence(worker, trusts_restored=False)
        transfer_runs(worker, successor, evidence)
        self._handle_worker_loss(worker, LossReason.RESTARTED, evidence)
        self._state.pool.workers[info.worker_id] = successor
        link = self._open_link(successor)
        if successor.runs:
            link.note_restart(self._state.clock.monotonic_ms())
        return successor

    def _make_worker(self, info: WorkerInfo) -> Worker:
        """Return a worker, with the speed that it had under its id before."""
        worker = Worker(info, self._state.pool.usage)
        worker.run_time_ratio = self._state.run_times.model.speed(info.worker_id)
        return worker

    def _open_link(self, worker: Worker) -> WorkerLink:
        state = self._state
        # The worker rejects what is left of earlier links once this one has reached it.
        worker.fence = state.lease.take_fence()
        ports = state.ports
        link = WorkerLink(
            worker, ports.runners, state.lease, state.limits, ports.poll_turns
        )
        link.on_poll = lambda look: self._apply_poll(link, look)
        link.on_silence = lambda: self._report_silence(worker)
        self._state.links[worker.worker_id] = link
        self._state.spawn(self._poll_worker(link))
        self._run_controller.watch_worker(link)
        return link

    def _remove_worker(self, worker: Worker) -> None:
        worker.unregistered = True
        if self._state.pool.workers.get(worker.worker_id) is worker:
            del self._state.pool.workers[worker.worker_id]
        link = self._state.links.get(worker.worker_id)
        if link is not None and link.worker is worker:
            link.closed = True
            del self._state.links[worker.worker_id]


def _limit_size(entries: dict) -> None:
    """Remove the oldest entry of a dictionary that has become too large."""
    if len(entries) > REMEMBERED_WORKERS_MAX:
        del entries[next(iter(entries))]
