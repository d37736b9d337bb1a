"""Orders to workers, and what the ends of runs change."""

import asyncio

from basilhold.observability import log_event, metric
from basilhold.ports.runners import CallOutcome, RunnerCall, StartCall
from basilhold.workflows import events
from basilhold.workflows.admissions import StepKey
from basilhold.workflows.commits import Committer
from basilhold.workflows.model import StepSpec, TaskKey, task_name
from basilhold.workflows.owner_state import LeaseLostError, OwnerState
from basilhold.workflows.pacing import PaceChange, find_pace_changes
from basilhold.workflows.planner import Placement
from basilhold.workflows.pool import Run, RunKey, RunStage, Worker
from basilhold.workflows.progress import EndKind, RunEnd, TaskStage, Workflow

__all__ = ["AVOID_MS", "Orders"]

START_WINDOW_MS = 1_900
"""A start that takes effect later than this is refused by the worker as late."""

STOP_RETRY_MS = 150
AVOID_MS = 2_500
"""How long a worker whose runs fail gets no new work."""

REFUSED_AVOID_MS = 500
"""How long a worker that has refused a start gets no new work."""


class Orders:
    """Starts and stops runs, and applies their ends.

    Parameters
    ----------
    state : OwnerState
    """

    def __init__(self, state: OwnerState):
        self._state = state
        self.committer = Committer(state, self._send_start)

    def _send_start(self, placement: Placement) -> None:
        self._state.start(self._start(placement))

    async def _start(self, placement: Placement) -> None:
        workflow, worker = placement.step.workflow, placement.worker
        run = worker.runs.get(RunKey(workflow.job_id, placement.key))
        if run is None or run.stage is not RunStage.COMMITTING:
            return
        if run.stop_wanted or workflow.state.is_final:
            self._release(worker, run)
            return
        link = self._state.links.get(worker.worker_id)
        if not self._state.lease.is_valid() or link is None or worker.unregistered:
            self._release(worker, run)
            return
        now_ms = self._state.clock.monotonic_ms()
        run.stage = RunStage.STARTING
        run.until_clock_ms = worker.clock_at(now_ms) + START_WINDOW_MS
        link.note_lease(now_ms, START_WINDOW_MS)
        call = StartCall(
            self._call_of(run),
            workflow.spec.payload,
            run.until_clock_ms,
            run.checkpoint,
            placement.ticket,
        )
        outcome = await self._state.ports.runners.start(worker, call)
        if run.key not in worker.runs or worker.runs[run.key] is not run:
            return
        self._after_start(placement, run, outcome)

    def _after_start(
        self, placement: Placement, run: Run, outcome: CallOutcome
    ) -> None:
        worker = placement.worker
        if outcome is CallOutcome.DONE:
            if run.stage is RunStage.STARTING:
                run.stage = RunStage.RUNNING
                run.confirmed_ms = self._state.clock.monotonic_ms()
            return
        log_event(
            events.RUN_NOT_STARTED,
            task=task_name(run.key.job_id, run.key.task),
            run=run.number,
            worker=worker.worker_id,
            outcome=outcome.value,
        )
        if outcome is CallOutcome.FENCED:
            raise LeaseLostError("a worker has seen a higher epoch")
        if outcome is CallOutcome.UNKNOWN:
            if run.stage is RunStage.STARTING:
                run.stage = RunStage.UNCERTAIN
            if run.stage is RunStage.UNCERTAIN:
                self.stop(worker, run)
            self._stop_gang(run.key, _is_gang(run), run)
            return
        if outcome is CallOutcome.BAD_TICKET:
            self._state.admissions.drop_ticket(placement.step.key, worker.worker_id)
        elif outcome in (CallOutcome.UNAVAILABLE, CallOutcome.NO_ROOM):
            worker.avoid_until_ms = self._state.clock.monotonic_ms() + REFUSED_AVOID_MS
        self._release(worker, run)

    def _release(self, worker: Worker, run: Run) -> None:
        """Return a task whose run certainly never started to the waiting ones."""
        worker.remove(run.key)
        end = RunEnd(run.key.task, run.number, EndKind.LOST, run.checkpoint)
        self.apply_end(worker, run.key, end)
        self._stop_gang(run.key, _is_gang(run), run)

    def _stop_gang(self, key: RunKey, step_gang: bool, but: Run | None) -> None:
        """Stop a gang of which a member ended or did not start, to restart it whole."""
        workflow = self._state.workflows.get(key.job_id)
        if workflow is None or not step_gang:
            return
        for other, task in workflow.assigned():
            if not _same_step(other, key.task):
                continue
            run = self._state.pool.find_run(task.worker_id, RunKey(key.job_id, other))
            if run is not None and run is not but and not run.stop_wanted:
                self.stop(self._state.pool.workers[task.worker_id], run)

    def stop(self, worker: Worker, run: Run) -> None:
        """Stop a run, again and again until the worker confirms it."""
        run.stop_wanted = True
        if run.stage is RunStage.COMMITTING or run.stopping or run.stop_confirmed:
            # A run that was not sent yet is released when its turn to start comes.
            return
        if worker.worker_id not in self._state.links:
            # Where the worker is, is not known; its first look stops the run.
            return
        run.stopping = True
        self._state.start(self._run_stop(worker, run))

    async def _run_stop(self, worker: Worker, run: Run) -> None:
        try:
            while worker.runs.get(run.key) is run and self._state.lease.is_valid():
                outcome = await self._state.ports.runners.stop(
                    worker, self._call_of(run)
                )
                if outcome is CallOutcome.FENCED:
                    raise LeaseLostError("a worker has seen a higher epoch")
                if outcome is CallOutcome.DONE:
                    # A list that is asked for from now on shows the run, or its end,
                    # or that it never started and never will.
                    run.stop_confirmed = True
                    run.stage = RunStage.RUNNING
                    run.confirmed_ms = self._state.clock.monotonic_ms()
                    self.refresh(worker)
                    return
                if outcome is CallOutcome.ABSENT or worker.unregistered:
                    return
                await asyncio.sleep(STOP_RETRY_MS / 1000)
        finally:
            run.stopping = False

    def adjust_pace(self, worker: Worker) -> None:
        """Slow or speed up work on spare cores, by what serving tasks show."""
        for change in find_pace_changes(worker):
            self._state.start(self._pace(worker, change))

    async def _pace(self, worker: Worker, change: PaceChange) -> None:
        # A pace that gets no reply is seen in the next list, and asked for again.
        call = self._call_of(change.run)
        outcome = await self._state.ports.runners.pace(worker, call, change.percent)
        log_event(
            events.RUN_PACED,
            task=task_name(change.run.key.job_id, change.run.key.task),
            worker=worker.worker_id,
            percent=change.percent,
            outcome=outcome.value,
        )

    def refresh(self, worker: Worker) -> None:
        """Read a worker's lists now: the next regular look may wait for an end."""
        link = self._state.links.get(worker.worker_id)
        if link is not None:
            self._state.start(link.refresh(self._state.clock))

    def _call_of(self, run: Run) -> RunnerCall:
        return RunnerCall(
            run.key.job_id, run.key.task, run.number, self._state.lease.epoch
        )

    def apply_end(
        self, worker: Worker, key: RunKey, end: RunEnd, run: Run | None = None
    ) -> None:
        """Apply the end of a run to its workflow.

        Parameters
        ----------
        worker : Worker
        key : RunKey
        end : RunEnd
        run : Run, optional
            The run, if it was still expected on the worker.
        """
        workflow = self._state.workflows.get(key.job_id)
        if workflow is None or not workflow.has_task(key.task):
            return
        step = workflow.spec.steps[key.task.step]
        self._note_worker(worker, key, step, end, run)
        was_final = workflow.state.is_final
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
        if workflow.state.is_final and not was_final:
            self.end_workflow(workflow)
        elif workflow.task(key.task).stage is TaskStage.PENDING:
            self._state.backlog.mark_waiting(workflow, key.task)
            if end.kind is not EndKind.DONE:
                self._stop_gang(key, step.gang, None)
        self.committer.mark(workflow)
        self._state.plan_event.set()

    def _note_worker(
        self, worker: Worker, key: RunKey, step: StepSpec, end: RunEnd, run: Run | None
    ) -> None:
        """Learn from an end how fast and how sound its worker is."""
        now_ms = self._state.clock.monotonic_ms()
        if run is not None and end.kind is EndKind.DONE and run.confirmed_ms:
            step_key = StepKey(key.job_id, key.task.occurrence, key.task.step)
            self._state.run_times.record(
                step_key, step, worker, now_ms - run.started_ms
            )
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            failed = end.kind is EndKind.FAILED
            if worker.record_outcome(failed, now_ms, AVOID_MS):
                log_event(
                    events.WORKER_AVOIDED,
                    worker=worker.worker_id,
                    failures=worker.failed_runs,
                )

    def end_workflow(self, workflow: Workflow) -> None:
        """Stop what still runs of a workflow that has ended."""
        self._state.backlog.remove(workflow)
        self._state.admissions.remove_job(workflow.job_id)
        self._state.reservations.remove_job(workflow.job_id)
        self._state.run_times.remove_job(workflow.job_id)
        for key, task in workflow.assigned():
            run = self._state.pool.find_run(
                task.worker_id, RunKey(workflow.job_id, key)
            )
            if run is not None:
                self.stop(self._state.pool.workers[task.worker_id], run)
        self.committer.mark(workflow)
        took_ms = workflow.ended_ms - workflow.spec.submitted_ms
        self._state.observe(
            "basilhold_workflow_seconds", took_ms, state=workflow.state.value
        )
        log_event(
            events.WORKFLOW_ENDED,
            job=workflow.job_id,
            state=workflow.state.value,
            after_ms=round(took_ms),
        )


def _same_step(one: TaskKey, other: TaskKey) -> bool:
    return (one.occurrence, one.step) == (other.occurrence, other.step)


def _is_gang(run: Run) -> bool:
    return run.step is not None and run.step.gang
