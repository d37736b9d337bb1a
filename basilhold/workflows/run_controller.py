"""Starts and stops runs on workers, and applies the outcomes of runs."""

import asyncio
import contextlib
import math
from collections.abc import Iterator

from basilhold.observability import log_event, metric
from basilhold.ports.runners import CallOutcome, RunnerCall, StartCall
from basilhold.workflows import events
from basilhold.workflows.committer import Committer
from basilhold.workflows.crash_blame import clearance_ms
from basilhold.workflows.model import TaskKey, task_name
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.pacing import PaceChange, find_pace_changes
from basilhold.workflows.planner import Placement
from basilhold.workflows.pool import Run, RunKey, RunStage, Worker
from basilhold.workflows.progress import (
    EndKind,
    RunEnd,
    TaskStage,
    Workflow,
    WorkflowState,
)
from basilhold.workflows.worker_link import WATCHED_SILENT_MAX, WorkerLink

__all__ = ["AVOID_FAILING_WORKER_MS", "RunController"]

START_VALID_MS = 1_900
"""How long a start request is valid; the worker rejects one that arrives later."""

CLOCK_TOLERANCE_MS = 250.0
"""Allowance for the rate of a worker's clock since its last listing."""

STOP_RETRY_INTERVAL_MS = 150
"""Delay before an unconfirmed stop request is repeated."""

AVOID_FAILING_WORKER_MS = 2_500
"""How long a worker with repeated failed runs gets no new work."""

AVOID_REFUSING_WORKER_MS = 500
"""How long a worker that refused a start request gets no new work."""


class RunController:
    """Starts and stops runs, and applies their outcomes to workflows.

    Parameters
    ----------
    state : OwnerState

    Attributes
    ----------
    committer : Committer
        Stores progress before it takes effect.
    """

    def __init__(self, state: OwnerState):
        self._state = state
        self.committer = Committer(state, self._send_start)
        self._silent_watches = asyncio.Semaphore(WATCHED_SILENT_MAX)

    def _send_start(self, placement: Placement) -> None:
        workflow = placement.step.workflow
        self._state.spawn_for(workflow, "starting a run", self._start(placement))

    def discard(self, placement: Placement) -> None:
        """Free the capacity of a placement that was not recorded."""
        key = RunKey(placement.step.workflow.job_id, placement.key)
        run = placement.worker.runs.get(key)
        if run is not None and run.stage is RunStage.COMMITTING:
            placement.worker.remove(key)

    async def _start(self, placement: Placement) -> None:
        workflow, worker = placement.step.workflow, placement.worker
        link = self._state.links.get(worker.worker_id)
        asked_ms = self._state.clock.monotonic_ms()
        must_answer = placement.step.spec.long_running
        if link and (must_answer or not link.is_observed(asked_ms)):
            # The worker may have restarted with another capacity.
            await self._refresh(link)
        run = worker.runs.get(RunKey(workflow.job_id, placement.key))
        if run is None or run.stage is not RunStage.COMMITTING:
            return
        if run.stop_wanted or workflow.state.is_final or workflow.is_set_aside:
            self._return_unstarted(worker, run)
            return
        link = self._state.links.get(worker.worker_id)
        if not self._state.lease.is_valid() or link is None or worker.unregistered:
            self._return_unstarted(worker, run)
            return
        if self._state.quotas.is_exceeded(run.tenant):
            # The quota was lowered while the assignment was being stored.
            self._return_unstarted(worker, run)
            return
        if run.key in self._state.pool.unassigned_keys():
            # While the assignment was being stored, another worker has listed a run of
            # the task.
            self._return_unstarted(worker, run)
            return
        if must_answer and worker.heard_ms < asked_ms:
            # A task that lasts would be held for long if the start got no reply.
            self._return_unstarted(worker, run)
            return
        if worker.silent_since_ms or worker.free.is_negative():
            # While the assignment was being stored, the worker has stopped answering,
            # and may restart with another capacity, or its capacity has shrunk.
            self._return_unstarted(worker, run)
            return
        now_ms = self._state.clock.monotonic_ms()
        run.stage = RunStage.STARTING
        run.sent_ms = now_ms
        run.until_clock_ms = worker.clock_at(now_ms) + START_VALID_MS
        link.note_start(now_ms, START_VALID_MS)
        call = StartCall(
            _make_call(worker, run),
            workflow.spec.payload,
            run.until_clock_ms,
            run.checkpoint,
            placement.ticket,
            worker.clock_at(now_ms) - CLOCK_TOLERANCE_MS,
        )
        try:
            outcome = await self._state.ports.runners.start(worker, call)
        except Exception:
            run.stage = RunStage.UNCERTAIN
            raise
        if outcome is CallOutcome.DONE:
            self.note_begun(run.key, run)
        if run.key not in worker.runs or worker.runs[run.key] is not run:
            return
        self._handle_start_outcome(placement, run, call, outcome)

    def note_begun(self, key: RunKey, run: Run | None) -> None:
        """Record that a run of a task has begun.

        Parameters
        ----------
        key : RunKey
        run : Run, optional
            The run, if it is one that the owner expects on its worker.
        """
        workflow = self._state.workflows.get(key.job_id)
        if workflow is None:
            return
        workflow.note_begun()
        if run is not None and workflow.confirm_run(key.task, run.number):
            self.committer.mark_dirty(workflow)

    def _handle_start_outcome(
        self, placement: Placement, run: Run, call: StartCall, outcome: CallOutcome
    ) -> None:
        worker = placement.worker
        if outcome is CallOutcome.DISCONNECTED:
            run.disconnected_ms = self._state.clock.monotonic_ms()
        if outcome is CallOutcome.DONE:
            if run.stage is RunStage.STARTING:
                run.stage = RunStage.RUNNING
                run.confirmed_ms = self._state.clock.monotonic_ms()
                run.polls_before = worker.poll_count
                worker.note_round_trip(run.confirmed_ms - run.sent_ms)
                worker.heard_ms = max(worker.heard_ms, run.confirmed_ms)
                worker.alive_until_ms = max(worker.alive_until_ms, run.confirmed_ms)
            return
        log_event(
            events.RUN_NOT_STARTED,
            task=task_name(run.key.job_id, run.key.task),
            run=run.number,
            worker=worker.worker_id,
            outcome=outcome.value,
        )
        if outcome is CallOutcome.FENCED:
            self._state.check_fenced(worker, call.run.epoch)
        if outcome is CallOutcome.RESTARTED:
            self._note_restart(worker, run)
        if outcome.may_have_effect:
            self._note_unanswered_start(worker, run)
            if run.stage is RunStage.STARTING:
                run.stage = RunStage.UNCERTAIN
            if run.stage is RunStage.UNCERTAIN:
                self.stop(worker, run)
            self._stop_gang(run.key, _is_gang(run), run)
            return
        if outcome is CallOutcome.BAD_TICKET:
            self._state.admissions.drop_ticket(placement.step.key, worker.worker_id)
        elif outcome in (CallOutcome.UNAVAILABLE, CallOutcome.NO_ROOM):
            worker.avoid_until_ms = (
                self._state.clock.monotonic_ms() + AVOID_REFUSING_WORKER_MS
            )
        self._return_unstarted(worker, run)

    def _note_restart(self, worker: Worker, run: Run) -> None:
        """Record that a later incarnation of a worker has carried out a start.

        The next poll shows that incarnation, if it still answers.
        """
        run.until_clock_ms = math.inf
        link = self._state.links.get(worker.worker_id)
        if link is not None:
            link.note_restart(self._state.clock.monotonic_ms())
            self.refresh_worker(worker)

    def _note_unanswered_start(self, worker: Worker, run: Run) -> None:
        """Record that a start may still be carried out, also by a later incarnation."""
        link = self._state.links.get(worker.worker_id)
        if link is not None and link.worker is worker:
            link.note_unanswered_start(run)
            self.watch_worker(link)

    def _return_unstarted(self, worker: Worker, run: Run) -> None:
        """Return a task to the backlog whose run is known not to have started."""
        worker.remove(run.key)
        end = RunEnd(run.key.task, run.number, EndKind.UNSTARTED, run.checkpoint)
        self.apply_end(worker, run.key, end)
        self._stop_gang(run.key, _is_gang(run), run)

    def _stop_gang(self, key: RunKey, is_gang: bool, excluded: Run | None) -> None:
        """Stop all runs of a gang after one ended or did not start.

        A gang makes progress only as a whole, so its tasks are restarted together.

        Parameters
        ----------
        key : RunKey
            Task whose run ended or did not start.
        is_gang : bool
            Whether the task's step is a gang; nothing happens otherwise.
        excluded : Run, optional
            Run that is not stopped.
        """
        workflow = self._state.workflows.get(key.job_id)
        if workflow is None or not is_gang:
            return
        for other, task in workflow.assigned():
            if not _same_step(other, key.task):
                continue
            run = self._state.pool.find_run(task.worker_id, RunKey(key.job_id, other))
            if run is not None and run is not excluded and not run.stop_wanted:
                self.stop(self._state.pool.workers[task.worker_id], run)

    def stop(self, worker: Worker, run: Run) -> None:
        """Stop a run, repeating the request until the worker confirms it."""
        run.stop_wanted = True
        if run.stage is RunStage.COMMITTING or run.stopping or run.stop_confirmed:
            # A run whose start was not sent yet is dropped when it would be sent.
            return
        if worker.worker_id not in self._state.links:
            # The worker's address is unknown until it is registered. The first poll
            # of the worker then stops the run.
            return
        run.stopping = True
        self._state.spawn(self._stop_until_confirmed(worker, run))

    async def _stop_until_confirmed(self, worker: Worker, run: Run) -> None:
        try:
            await self._request_stop(worker, run)
        finally:
            run.stopping = False
        successor = self._state.pool.workers.get(worker.worker_id)
        if successor in (None, worker):
            return
        if successor.runs.get(run.key) is run:
            # The reply may be that of the previous incarnation.
            self.stop(successor, run)

    async def _request_stop(self, worker: Worker, run: Run) -> None:
        """Request a stop until it is confirmed, or the run is gone from the worker."""
        while worker.runs.get(run.key) is run and self._state.lease.is_valid():
            call = _make_call(worker, run)
            outcome = await self._state.ports.runners.stop(worker, call)
            if outcome is CallOutcome.FENCED:
                self._state.check_fenced(worker, call.epoch)
            if worker.runs.get(run.key) is not run:
                return
            if outcome is CallOutcome.DONE:
                # A list that is requested from now on contains the run or its
                # outcome, or else the run never started and never will.
                run.stop_confirmed = True
                run.stage = RunStage.RUNNING
                run.confirmed_ms = self._state.clock.monotonic_ms()
                run.polls_before = worker.poll_count
                self.refresh_worker(worker)
                return
            if outcome is CallOutcome.ABSENT or worker.unregistered:
                return
            await asyncio.sleep(STOP_RETRY_INTERVAL_MS / 1000)

    def adjust_pace(self, worker: Worker) -> None:
        """Adjust the pace of runs on spare cores to the latency of serving tasks."""
        for change in find_pace_changes(worker):
            self._state.spawn(self._set_pace(worker, change))

    async def _set_pace(self, worker: Worker, change: PaceChange) -> None:
        # A request without a reply is not retried here: the next list shows the pace
        # in effect, and a new request is made if that is not the wanted one.
        call = _make_call(worker, change.run)
        outcome = await self._state.ports.runners.pace(worker, call, change.percent)
        log_event(
            events.RUN_PACED,
            task=task_name(change.run.key.job_id, change.run.key.task),
            worker=worker.worker_id,
            percent=change.percent,
            outcome=outcome.value,
        )

    def refresh_worker(self, worker: Worker) -> None:
        """Poll a worker at once, as the pending poll may wait until a run ends."""
        link = self._state.links.get(worker.worker_id)
        if link is not None:
            self._state.spawn(self._refresh(link))

    async def _refresh(self, link: WorkerLink) -> None:
        with _log_errors("refresh of a worker"):
            await link.refresh(self._state.clock)

    def watch_worker(self, link: WorkerLink) -> None:
        """Poll a worker often while a start without a reply may be carried out."""
        if link.worker.late_calls_until_ms > self._state.clock.monotonic_ms():
            self._state.spawn(self._watch(link))

    async def _watch(self, link: WorkerLink) -> None:
        with _log_errors("watch of a worker"):
            await link.watch(self._state.clock, self._silent_watches)

    def apply_end(
        self, worker: Worker, key: RunKey, end: RunEnd, run: Run | None = None
    ) -> None:
        """Apply the outcome of a run to its workflow.

        Outcomes of unknown tasks are ignored.

        Parameters
        ----------
        worker : Worker
            Worker on which the run was placed.
        key : RunKey
            Task of the run.
        end : RunEnd
            How the run ended.
        run : Run, optional
            The run, if it was still expected on the worker.
        """
        workflow = self._state.workflows.get(key.job_id)
        if workflow is None or not workflow.has_task(key.task):
            return
        with self._state.guard(workflow, "applying the end of a run"):
            self._apply_end(workflow, worker, key, end, run)

    def _apply_end(
        self,
        workflow: Workflow,
        worker: Worker,
        key: RunKey,
        end: RunEnd,
        run: Run | None,
    ) -> None:
        step = workflow.spec.steps[key.task.step]
        self._update_worker_statistics(worker, end, run)
        was_final = workflow.state.is_final
        is_late = workflow.task(key.task).run != end.run
        if not workflow.apply_end(end, self._state.time.now_ms()):
            return
        self._state.ports.metrics.add(
            metric("basilhold_workflow_runs_total"),
            service=self._state.service,
            outcome=end.kind.value,
        )
        log_event(
            events.RUN_ENDED,
            task=task_name(key.job_id, key.task),
            run=end.run,
            worker=worker.worker_id,
            kind=end.kind.value,
        )
        if end.kind is EndKind.CRASHED and not was_final:
            self._note_crash(workflow, key, end)
        if workflow.task(key.task).stage is TaskStage.DONE:
            self._settle_tasks(workflow, key, is_late)
        if workflow.state.is_final and not was_final:
            self.finalize_workflow(workflow)
        elif workflow.task(key.task).stage is TaskStage.PENDING:
            self._state.backlog.mark_waiting(workflow, key.task)
            if end.kind is not EndKind.DONE:
                self._stop_gang(key, step.gang, None)
        self.committer.mark_dirty(workflow)
        self._state.plan_event.set()

    def apply_late_crash(self, key: RunKey, end: RunEnd) -> None:
        """Count a crash that was confirmed after its run had been given up."""
        workflow = self._state.workflows.get(key.job_id)
        if workflow is None or not workflow.has_task(key.task):
            return
        with self._state.guard(workflow, "counting a crash"):
            if not workflow.count_late_crash(end, self._state.time.now_ms()):
                return
            self._note_crash(workflow, key, end)
            if workflow.state.is_final:
                self.finalize_workflow(workflow)
            self.committer.mark_dirty(workflow)
            self._state.plan_event.set()

    def _note_crash(self, workflow: Workflow, key: RunKey, end: RunEnd) -> None:
        """Log a task that may have crashed its worker, and hold it back if need be."""
        history = workflow.task(key.task).crash
        now_ms = self._state.clock.monotonic_ms()
        self._state.isolation.note_crash(workflow, key.task, now_ms)
        is_guilty = workflow.state is WorkflowState.FAILED
        if history.is_suspect or is_guilty:
            log_event(
                events.TASK_SUSPECTED,
                task=task_name(key.job_id, key.task),
                run=end.run,
                crashes=history.crashes,
                age_ms=history.age_ms,
                alone=end.crash.is_only_suspect,
                correlated=end.crash.is_correlated,
                guilty=is_guilty,
            )

    def clear_suspects(self, now_ms: float) -> None:
        """Clear suspects that have been at work for long enough."""
        for worker in self._state.pool.workers.values():
            if worker.silent_since_ms or not worker.listed:
                continue
            for run in list(worker.suspects.values()):
                workflow = self._state.workflows.get(run.key.job_id)
                if workflow is None:
                    worker.clear_suspect(run.key)
                    continue
                with self._state.guard(workflow, "clearing a suspect"):
                    self._clear_suspect(workflow, worker, run, now_ms)

    def _clear_suspect(
        self, workflow: Workflow, worker: Worker, run: Run, now_ms: float
    ) -> None:
        history = workflow.task(run.key.task).crash
        if history is not None and history.is_suspect:
            at_work_ms = now_ms - run.confirmed_ms if run.confirmed_ms else 0.0
            if at_work_ms < clearance_ms(history):
                return
            workflow.clear_suspicion(run.key.task)
            self.committer.mark_dirty(workflow)
        worker.clear_suspect(run.key)
        self._state.plan_event.set()

    def _settle_tasks(self, workflow: Workflow, key: RunKey, is_late: bool) -> None:
        """Withdraw what still waits or runs of a task that is done, or of its gang.

        Parameters
        ----------
        workflow : Workflow
        key : RunKey
        is_late : bool
            Whether the task was done by a run that had been given up, so that another
            one may run.
        """
        tasks = [key.task]
        if workflow.spec.steps[key.task.step].gang:
            tasks = workflow.task_keys(key.task.occurrence, key.task.step)
        for task in tasks:
            self._state.backlog.mark_not_waiting(workflow, task)
            if is_late:
                self._stop_all_runs(RunKey(workflow.job_id, task))

    def _stop_all_runs(self, key: RunKey) -> None:
        for worker in self._state.pool.workers.values():
            if key in worker.runs:
                self.stop(worker, worker.runs[key])

    def _update_worker_statistics(
        self, worker: Worker, end: RunEnd, run: Run | None
    ) -> None:
        """Update the run times and failure count of a worker from a run's outcome."""
        now_ms = self._state.clock.monotonic_ms()
        # A confirmed stop replaces the time of the confirmation.
        is_timed = run is not None and run.confirmed_ms and not run.stop_wanted
        if is_timed and not run.is_restored and end.kind is EndKind.DONE:
            self._state.run_times.record(run, worker, now_ms)
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            failed = end.kind is EndKind.FAILED
            if worker.record_outcome(failed, now_ms, AVOID_FAILING_WORKER_MS):
                log_event(
                    events.WORKER_AVOIDED,
                    worker=worker.worker_id,
                    failures=worker.failed_runs,
                )

    def finalize_workflow(self, workflow: Workflow) -> None:
        """Stop the remaining runs of a workflow that has ended, and log its end."""
        self._state.backlog.remove(workflow)
        self._state.admissions.remove_job(workflow.job_id)
        self._state.reservations.remove_job(workflow.job_id)
        self._state.run_times.remove_job(workflow.job_id)
        self._state.isolation.remove_job(workflow.job_id)
        for key, task in workflow.assigned():
            run = self._state.pool.find_run(
                task.worker_id, RunKey(workflow.job_id, key)
            )
            if run is not None:
                self.stop(self._state.pool.workers[task.worker_id], run)
        self.committer.mark_dirty(workflow)
        duration_ms = workflow.ended_ms - workflow.spec.submitted_ms
        self._state.observe(
            "basilhold_workflow_seconds", duration_ms, state=workflow.state.value
        )
        log_event(
            events.WORKFLOW_ENDED,
            job=workflow.job_id,
            state=workflow.state.value,
            after_ms=round(duration_ms),
        )


@contextlib.contextmanager
def _log_errors(loop: str) -> Iterator[None]:
    """Log an exception in the body of the ``with`` statement.

    Raises
    ------
    LeaseLostError
        If the body raises it.
    """
    try:
        yield
    except LeaseLostError:
        raise
    except Exception as error:
        log_event(events.LOOP_FAILED, loop=loop, error=repr(error))


def _make_call(worker: Worker, run: Run) -> RunnerCall:
    """Return what identifies a run in a call to its worker."""
    return RunnerCall(run.key.job_id, run.key.task, run.number, worker.fence)


def _same_step(one: TaskKey, other: TaskKey) -> bool:
    return (one.occurrence, one.step) == (other.occurrence, other.step)


def _is_gang(run: Run) -> bool:
    return run.step is not None and run.step.gang
