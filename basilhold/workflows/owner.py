"""The owner of a service: decides about its workflows and keeps their rows.

A start is stored before it is sent, and an end before it is acknowledged. A successor
therefore knows every run that may exist, and no stored end is lost.
"""

import asyncio
from collections.abc import Callable

import msgspec

from basilhold.core import Clock, JobId, ServiceName, WorkerId
from basilhold.observability import log_event
from basilhold.ports import ChangeFeed, TableService, Write
from basilhold.ports.runners import (
    AdviceService,
    CallOutcome,
    Registry,
    RunnerCall,
    StartCall,
    TaskRunners,
)
from basilhold.workflows import events
from basilhold.workflows.admissions import AdmissionBook, StepKey
from basilhold.workflows.backlog import Backlog
from basilhold.workflows.model import QueueName, WorkflowSpec, task_name
from basilhold.workflows.ownership import VALID_MS, CommitOutcome, Lease
from basilhold.workflows.planner import Placement, Plan, Question, plan
from basilhold.workflows.pool import (
    Listing,
    Pool,
    Run,
    RunKey,
    RunStage,
    Worker,
    WorkerInfo,
    carry_over,
    reconcile,
    remove_lost,
)
from basilhold.workflows.progress import (
    EndKind,
    RunEnd,
    TaskStage,
    Workflow,
    WorkflowState,
)
from basilhold.workflows.recovery import load_workflows, place_assigned
from basilhold.workflows.rows import jobs_prefix, parse_jobs_key, progress_key
from basilhold.workflows.stragglers import RunTimes, find_stragglers
from basilhold.workflows.tasks import TaskSet
from basilhold.workflows.worker_link import LinkLimits, Look, WorkerLink

__all__ = ["LeaseLostError", "OwnerPorts", "ServiceOwner"]

RENEW_MS = 600
"""Longest time between two commits; `TAKEOVER_MS` allows for three missed ones."""

COMMIT_INTERVAL_MS = 20
"""Shortest time between two commits: each call to the store is paid for."""

ROWS_PER_COMMIT = 90
"""Below the store's bound of 100 entries in a transaction."""

BYTES_PER_COMMIT = 600_000
"""Below the store's bound of 1 MB in a transaction, encoded as base64."""

START_WINDOW_MS = 1_900
"""A start that takes effect later than this is refused by the worker as late."""

FEED_INTERVAL_MS = 1_000
"""Submissions and cancellations are also sent to the owner directly; the feed finds
those whose message was lost."""

FEED_OVERLAP_WAIT_MS = 0
REGISTRY_INTERVAL_MS = 700
"""A worker that leaves must get no new work after 3 s."""

AVOID_MS = 2_500
"""How long a worker whose runs fail gets no new work."""

RETRY_ADVICE_MS = 300.0
DUE_CHECK_MS = 100
"""Repeated workflows may start up to 250 ms early, never more."""


class LeaseLostError(Exception):
    """Another process owns the service, or may own it."""


class OwnerPorts(msgspec.Struct):
    """What an owner speaks to."""

    table: TableService
    feed: ChangeFeed
    runners: TaskRunners
    registry: Registry
    advice: AdviceService
    clock: Clock


class ServiceOwner:
    """Runs the workflows of one service while its lease is valid.

    Parameters
    ----------
    ports : OwnerPorts
    lease : Lease
    limits : LinkLimits
        Bounds of the workers' leases.
    on_change : callable
        Called after each commit; peers that wait for a state may look again.
    """

    def __init__(
        self,
        ports: OwnerPorts,
        lease: Lease,
        limits: LinkLimits,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._ports = ports
        self._lease = lease
        self._limits = limits
        self._on_change = on_change
        self._clock = ports.clock
        self._claimed_ms = self._clock.monotonic_ms()
        self._workflows: dict[JobId, Workflow] = {}
        self._early_cancels: set[JobId] = set()
        self._visible: dict[JobId, WorkflowState] = {}
        self._backlog = Backlog()
        self._book = AdmissionBook()
        self._times = RunTimes()
        self._dirty: dict[JobId, Workflow] = {}
        self._starts: list[Placement] = []
        self._links: dict[WorkerId, WorkerLink] = {}
        self._tasks = TaskSet()
        self._commit_lock = asyncio.Lock()
        self._dirty_event = asyncio.Event()
        self._plan_event = asyncio.Event()
        self._failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.pool = Pool()
        self.loaded = False

    # What peers ask for.

    @property
    def service(self) -> ServiceName:
        """The service."""
        return self._lease.service

    def is_current(self) -> bool:
        """Return whether answers about workflows are up to date.

        While the store does not answer, nobody can take over, and the last known
        states hold.
        """
        return self.loaded and not self._lease.is_lost

    def state(self, job_id: JobId) -> WorkflowState | None:
        """Return the stored state of a workflow, or ``None`` if it is not known."""
        return self._visible.get(job_id)

    def waiting(self, queue: QueueName) -> int:
        """Return the number of a queue's workflows of which no task has started."""
        return sum(
            1
            for workflow in self._backlog.active()
            if workflow.spec.policy.name == queue and not workflow.has_started()
        )

    def submit(self, spec: WorkflowSpec) -> None:
        """Take over a workflow whose row is stored."""
        if spec.job_id in self._workflows:
            return
        workflow = Workflow(spec)
        self._workflows[spec.job_id] = workflow
        self._visible[spec.job_id] = workflow.state
        if spec.job_id in self._early_cancels:
            self._early_cancels.discard(spec.job_id)
            self._cancel(workflow)
            return
        self._backlog.add(workflow)
        self._plan_event.set()

    def cancel(self, job_id: JobId) -> None:
        """Cancel a workflow whose cancellation is stored."""
        workflow = self._workflows.get(job_id)
        if workflow is None:
            self._early_cancels.add(job_id)
        else:
            self._cancel(workflow)

    def _cancel(self, workflow: Workflow) -> None:
        if workflow.cancel(self._clock.unix_ms()):
            self._end_workflow(workflow)

    # The owner's life.

    async def run(self, reason: str) -> None:
        """Load the rows and serve until the lease is lost.

        Raises
        ------
        LeaseLostError
        """
        try:
            await self._load(reason)
            for coroutine in (
                self._commit_loop(),
                self._plan_loop(),
                self._registry_loop(),
                self._feed_loop(),
                self._due_loop(),
            ):
                self._tasks.start(self._guard(coroutine))
            await self._failure
        finally:
            self._lease.give_up()
            await self._tasks.cancel()

    async def release(self) -> None:
        """Give the service to a successor after a last commit."""
        self.loaded = False
        async with self._commit_lock:
            await self._tasks.cancel()
            writes = self._encode(self._dirty)
            if await self._lease.commit(writes, released=True) is CommitOutcome.DONE:
                log_event(
                    events.OWNER_RELEASED, service=self.service, epoch=self._lease.epoch
                )
        self._fail("released")

    async def _guard(self, coroutine) -> None:
        try:
            await coroutine
        except LeaseLostError as error:
            self._fail(str(error))
        except asyncio.CancelledError:
            raise
        except Exception as error:
            if not self._failure.done():
                self._failure.set_exception(error)

    def _fail(self, reason: str) -> None:
        if not self._failure.done():
            self._failure.set_exception(LeaseLostError(reason))

    async def _load(self, reason: str) -> None:
        loaded = await load_workflows(self._ports.table, self.service)
        self._feed_version = loaded.version
        now_ms = self._clock.monotonic_ms()
        for workflow in loaded.workflows:
            self._workflows[workflow.job_id] = workflow
            self._visible[workflow.job_id] = workflow.state
            if not workflow.state.is_final:
                self._backlog.add(workflow)
        assigned = place_assigned(self.pool, loaded.workflows, now_ms)
        for job_id in loaded.cancelled:
            self.cancel(job_id)
        for worker in self.pool.workers.values():
            # The last owner may have renewed the worker's lease until its own ended.
            worker.held_until_ms = now_ms + VALID_MS + self._limits.lapse_ms()
            worker.gone = True
        await self._read_registry()
        self.loaded = True
        log_event(
            events.OWNER_CLAIMED,
            service=self.service,
            epoch=self._lease.epoch,
            reason=reason,
            workflows=len(loaded.workflows),
            assigned=assigned,
        )
        self._plan_event.set()

    # Commits.

    async def _commit_loop(self) -> None:
        while True:
            remaining_ms = RENEW_MS - self._lease.age_ms()
            try:
                async with asyncio.timeout(max(remaining_ms, 1.0) / 1000):
                    await self._dirty_event.wait()
            except TimeoutError:
                pass
            await self._commit()
            await asyncio.sleep(COMMIT_INTERVAL_MS / 1000)

    async def _commit(self) -> None:
        async with self._commit_lock:
            await self._commit_batch()

    async def _commit_batch(self) -> None:
        self._dirty_event.clear()
        batch: dict[JobId, Workflow] = {}
        writes: list[Write] = []
        size = 0
        for job_id, workflow in self._dirty.items():
            write = self._write_of(workflow)
            if writes and size + len(write.value) > BYTES_PER_COMMIT:
                break
            if len(writes) == ROWS_PER_COMMIT:
                break
            size += len(write.value)
            writes.append(write)
            batch[job_id] = workflow
        for job_id in batch:
            del self._dirty[job_id]
        whole = not self._dirty
        starts = [p for p in self._starts if p.step.workflow.job_id not in self._dirty]
        self._starts = [
            p for p in self._starts if p.step.workflow.job_id in self._dirty
        ]
        states = {job_id: workflow.state for job_id, workflow in batch.items()}
        ends = {link: link.worker.processed for link in self._links.values()}
        if await self._lease.commit(tuple(writes)) is CommitOutcome.LOST:
            raise LeaseLostError("a commit found another owner")
        self._visible.update(states)
        for placement in starts:
            self._tasks.start(self._guard(self._start(placement)))
        if whole:
            for link, processed in ends.items():
                link.acknowledge(processed)
        if self._dirty:
            self._dirty_event.set()
        self._on_change()

    def _encode(self, workflows: dict[JobId, Workflow]) -> tuple[Write, ...]:
        return tuple(
            self._write_of(w) for w in list(workflows.values())[:ROWS_PER_COMMIT]
        )

    def _write_of(self, workflow: Workflow) -> Write:
        key = progress_key(self.service, workflow.job_id)
        return Write(key, workflow.encode())

    def _mark(self, workflow: Workflow) -> None:
        self._dirty[workflow.job_id] = workflow
        self._dirty_event.set()

    # Planning.

    async def _plan_loop(self) -> None:
        while True:
            await self._plan_event.wait()
            # Ends and submissions often come in groups.
            await asyncio.sleep(0.002)
            self._plan_event.clear()
            if not self._lease.is_valid():
                continue
            self._apply_plan(self._plan())

    def _plan(self) -> Plan:
        now_ms = self._clock.monotonic_ms()
        now_unix_ms = self._clock.unix_ms()
        steps = self._backlog.ready(now_unix_ms)
        return plan(steps, self.pool, self._book, now_ms, now_unix_ms)

    def _apply_plan(self, decided: Plan) -> None:
        for placement in decided.placements:
            self._assign(placement)
        for question in decided.questions:
            self._begin_question(question)
        for preemption in decided.preemptions:
            run = preemption.run
            log_event(
                events.RUN_PREEMPTED,
                task=task_name(run.key.job_id, run.key.task),
                run=run.number,
                worker=preemption.worker.worker_id,
                reason=preemption.step.workflow.job_id,
            )
            self._stop(preemption.worker, run)

    def _assign(self, placement: Placement) -> None:
        workflow, worker = placement.step.workflow, placement.worker
        run = worker.runs[RunKey(workflow.job_id, placement.key)]
        workflow.assign(placement.key, run.number, worker.worker_id)
        self._backlog.taken(workflow, placement.key)
        self._starts.append(placement)
        self._mark(workflow)
        log_event(
            events.RUN_ASSIGNED,
            task=task_name(workflow.job_id, placement.key),
            run=run.number,
            worker=worker.worker_id,
            free=worker.free.cores_milli,
            queued_ms=round(self._clock.unix_ms() - workflow.spec.submitted_unix_ms),
        )

    def _begin_question(self, question: Question) -> None:
        step = question.step
        policy = step.workflow.spec.policy
        if not self._ports.advice.is_available(policy, len(question.workers)):
            # The next pass asks again, in the order of that moment.
            return
        self._book.step(step.key).asking = True
        self._tasks.start(self._guard(self._ask(question)))

    async def _ask(self, question: Question) -> None:
        step = question.step
        known = self._book.step(step.key)
        asked_ms = self._clock.monotonic_ms()
        policy = step.workflow.spec.policy
        try:
            answer = await self._ports.advice.ask(
                step.workflow.job_id,
                step.occurrence,
                step.number,
                question.workers,
                policy,
            )
        finally:
            known.asking = False
        now_ms = self._clock.monotonic_ms()
        if answer.is_error():
            known.retry_ms = now_ms + RETRY_ADVICE_MS
            log_event(
                events.ADVICE_FAILED,
                job=step.workflow.job_id,
                step=step.number,
                reason=answer.error,
            )
        else:
            tickets = answer.ok.tickets
            self._book.record(
                step.key, question.workers, tickets, policy.advice.valid_ms, now_ms
            )
            log_event(
                events.ADVICE_RECEIVED,
                job=step.workflow.job_id,
                step=step.number,
                asked=len(question.workers),
                admitted=len(tickets),
                after_ms=round(now_ms - asked_ms),
            )
        self._plan_event.set()

    # Orders to workers.

    async def _start(self, placement: Placement) -> None:
        workflow, worker = placement.step.workflow, placement.worker
        run = worker.runs.get(RunKey(workflow.job_id, placement.key))
        if run is None or run.stage is not RunStage.COMMITTING:
            return
        if run.stop_wanted or workflow.state.is_final:
            self._release(worker, run, "its workflow has ended")
            return
        link = self._links.get(worker.worker_id)
        if not self._lease.is_valid() or link is None or worker.gone:
            self._release(worker, run, "the worker is gone")
            return
        now_ms = self._clock.monotonic_ms()
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
        outcome = await self._ports.runners.start(worker, call)
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
                run.confirmed_ms = self._clock.monotonic_ms()
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
                self._stop(worker, run)
            self._stop_gang(run)
            return
        if outcome is CallOutcome.BAD_TICKET:
            self._book.drop_ticket(placement.step.key, worker.worker_id)
        elif outcome in (CallOutcome.UNAVAILABLE, CallOutcome.NO_ROOM):
            worker.avoid_until_ms = self._clock.monotonic_ms() + AVOID_MS / 5
        self._release(worker, run, outcome.value)

    def _release(self, worker: Worker, run: Run, reason: str) -> None:
        """Return a task whose run certainly never started to the waiting ones."""
        worker.remove(run.key)
        end = RunEnd(run.key.task, run.number, EndKind.LOST, run.checkpoint)
        self._apply_end(worker, run.key, end)
        self._stop_gang(run)

    def _stop_gang(self, run: Run) -> None:
        """Stop the members of a gang of which one did not start."""
        if run.step is None or not run.step.gang:
            return
        workflow = self._workflows.get(run.key.job_id)
        if workflow is None:
            return
        for key, task in workflow.assigned():
            same = (key.occurrence, key.step) == (
                run.key.task.occurrence,
                run.key.task.step,
            )
            other = self.pool.run_of(task.worker_id, RunKey(run.key.job_id, key))
            if same and other is not None and other is not run:
                self._stop(self.pool.workers[task.worker_id], other)

    def _stop(self, worker: Worker, run: Run) -> None:
        run.stop_wanted = True
        if run.stage is RunStage.COMMITTING or run.stopping or run.stop_confirmed:
            # A run that was not sent yet is released when its turn to start comes.
            return
        if worker.worker_id not in self._links:
            # Where the worker is, is not known; its first look stops the run.
            return
        run.stopping = True
        self._tasks.start(self._guard(self._run_stop(worker, run)))

    async def _run_stop(self, worker: Worker, run: Run) -> None:
        try:
            while worker.runs.get(run.key) is run and self._lease.is_valid():
                outcome = await self._ports.runners.stop(worker, self._call_of(run))
                if outcome is CallOutcome.FENCED:
                    raise LeaseLostError("a worker has seen a higher epoch")
                if outcome is CallOutcome.DONE:
                    # A list that is asked for from now on shows the run, or its end,
                    # or that it never started and never will.
                    run.stop_confirmed = True
                    run.stage = RunStage.RUNNING
                    run.confirmed_ms = self._clock.monotonic_ms()
                    self._refresh(worker)
                    return
                if outcome is CallOutcome.ABSENT or worker.gone:
                    return
                await asyncio.sleep(0.15)
        finally:
            run.stopping = False

    def _refresh(self, worker: Worker) -> None:
        """Read a worker's lists now: the next regular look may wait for an end."""
        link = self._links.get(worker.worker_id)
        if link is not None:
            self._tasks.start(self._guard(self._look_once(link)))

    async def _look_once(self, link: WorkerLink) -> None:
        self._take_look(link, await link.look(self._clock, at_once=True))

    def _call_of(self, run: Run) -> RunnerCall:
        return RunnerCall(run.key.job_id, run.key.task, run.number, self._lease.epoch)

    # Ends.

    def _apply_end(
        self, worker: Worker, key: RunKey, end: RunEnd, run: Run | None = None
    ) -> None:
        workflow = self._workflows.get(key.job_id)
        if workflow is None or not workflow.has_task(key.task):
            return
        step = workflow.spec.steps[key.task.step]
        now_ms = self._clock.monotonic_ms()
        if run is not None and end.kind is EndKind.DONE and run.confirmed_ms:
            step_key = StepKey(key.job_id, key.task.occurrence, key.task.step)
            self._times.record(step_key, step, worker, now_ms - run.started_ms)
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            failed = end.kind is EndKind.FAILED
            if worker.note_end(failed, now_ms, AVOID_MS):
                log_event(
                    events.WORKER_AVOIDED,
                    worker=worker.worker_id,
                    failures=worker.failed_runs,
                )
        was_final = workflow.state.is_final
        if not workflow.apply_end(end, self._clock.unix_ms()):
            return
        log_event(
            events.RUN_ENDED,
            task=task_name(key.job_id, key.task),
            run=end.run,
            worker=worker.worker_id,
            kind=end.kind.value,
        )
        if workflow.state.is_final and not was_final:
            self._end_workflow(workflow)
        elif workflow.task(key.task).stage is TaskStage.PENDING:
            self._backlog.returned(workflow, key.task)
            if step.gang and end.kind is not EndKind.DONE:
                self._stop_rest_of_gang(workflow, key)
        self._mark(workflow)
        self._plan_event.set()

    def _stop_rest_of_gang(self, workflow: Workflow, key: RunKey) -> None:
        """Stop members that survive another's end, so that the gang restarts whole."""
        for other, task in workflow.assigned():
            if (other.occurrence, other.step) != (key.task.occurrence, key.task.step):
                continue
            run = self.pool.run_of(task.worker_id, RunKey(key.job_id, other))
            if run is not None and not run.stop_wanted:
                self._stop(self.pool.workers[task.worker_id], run)

    def _end_workflow(self, workflow: Workflow) -> None:
        self._backlog.remove(workflow)
        self._book.forget_job(workflow.job_id)
        self._times.forget_job(workflow.job_id)
        for key, task in workflow.assigned():
            run = self.pool.run_of(task.worker_id, RunKey(workflow.job_id, key))
            if run is not None:
                self._stop(self.pool.workers[task.worker_id], run)
        self._mark(workflow)
        log_event(
            events.WORKFLOW_ENDED,
            job=workflow.job_id,
            state=workflow.state.value,
            after_ms=round(workflow.ended_unix_ms - workflow.spec.submitted_unix_ms),
        )

    # Workers.

    async def _registry_loop(self) -> None:
        while True:
            await asyncio.sleep(REGISTRY_INTERVAL_MS / 1000)
            await self._read_registry()

    async def _read_registry(self) -> None:
        result = await self._ports.registry.read()
        if result.is_error():
            return
        registered = {
            worker_id: info
            for worker_id, (service, info) in result.ok.items()
            if service == self.service
        }
        for worker_id, info in registered.items():
            self._update_worker(worker_id, info)
        for worker_id, worker in list(self.pool.workers.items()):
            if worker_id not in registered:
                worker.gone = True
                if not worker.runs:
                    self._drop_worker(worker)
        self._plan_event.set()

    def _update_worker(self, worker_id, info) -> None:
        worker = self.pool.workers.get(worker_id)
        if worker is not None and info.born_unix_ms < worker.info.born_unix_ms:
            # The worker's own list told of a newer incarnation before the registry.
            return
        if worker is not None and 0 < worker.info.born_unix_ms < info.born_unix_ms:
            self._replace_incarnation(worker, info)
            return
        if worker is None:
            worker = self.pool.workers[worker_id] = Worker(info)
        elif worker.info != info:
            worker.free = worker.free + info.capacity - worker.info.capacity
            worker.info = info
        worker.gone = False
        if worker_id not in self._links:
            self._open_link(worker)

    async def _serve_link(self, link: WorkerLink) -> None:
        worker = link.worker
        try:
            while self._take_look(link, await link.look(self._clock)):
                if worker.gone and not worker.runs:
                    self._drop_worker(worker)
                    return
        finally:
            if self._links.get(worker.worker_id) is link:
                del self._links[worker.worker_id]

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
            self._apply_end(worker, ended.key, ended.end, ended.run)
        for run in list(worker.runs.values()):
            if run.stop_wanted and not run.stop_confirmed:
                self._stop(worker, run)
        if look.first or look.ends:
            self._plan_event.set()
        if look.ends:
            self._dirty_event.set()
        return True

    def _stop_unknown(self, worker: Worker, listed) -> None:
        workflow = self._workflows.get(listed.key.job_id)
        step = None
        if workflow is not None and workflow.has_task(listed.key.task):
            step = workflow.spec.steps[listed.key.task.step]
        known = worker.runs.get(listed.key)
        if known is not None and known.number > listed.number:
            # The newer run replaces it; its capacity is counted already.
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
            confirmed_ms=self._clock.monotonic_ms(),
        )
        worker.add(run)
        self._stop(worker, run)

    def _worker_lost(self, worker: Worker, reason: str) -> None:
        """Conclude that nothing runs on a worker any more."""
        log_event(
            events.WORKER_LOST,
            worker=worker.worker_id,
            reason=reason,
            runs=len(worker.runs),
        )
        self._drop_worker(worker)
        for ended in remove_lost(worker):
            self._apply_end(worker, ended.key, ended.end)
        self._plan_event.set()

    def _take_restart(self, worker: Worker, listing: Listing) -> None:
        """Go on with a new incarnation whose lists have been read."""
        info = msgspec.structs.replace(worker.info, born_unix_ms=listing.born_unix_ms)
        successor = self._replace_incarnation(worker, info)
        now_ms = self._clock.monotonic_ms()
        changed = reconcile(successor, listing, now_ms, now_ms)
        link = self._links[successor.worker_id]
        self._take_look(link, Look(ends=changed.ends, unknown=changed.unknown))

    def _replace_incarnation(self, worker: Worker, info: WorkerInfo) -> Worker:
        successor = Worker(info)
        carry_over(worker, successor)
        self._worker_lost(worker, "it has restarted")
        self.pool.workers[info.worker_id] = successor
        self._open_link(successor)
        return successor

    def _open_link(self, worker: Worker) -> None:
        link = WorkerLink(worker, self._ports.runners, self._lease, self._limits)
        self._links[worker.worker_id] = link
        self._tasks.start(self._guard(self._serve_link(link)))

    def _drop_worker(self, worker: Worker) -> None:
        worker.gone = True
        if self.pool.workers.get(worker.worker_id) is worker:
            del self.pool.workers[worker.worker_id]
        link = self._links.pop(worker.worker_id, None)
        if link is not None and link.worker is worker:
            link.closed = True

    # Submissions and due times.

    async def _feed_loop(self) -> None:
        prefix = jobs_prefix(self.service)
        while True:
            await asyncio.sleep(FEED_INTERVAL_MS / 1000)
            result = await self._ports.feed.changes(
                prefix, self._feed_version, FEED_OVERLAP_WAIT_MS
            )
            if result.is_error():
                continue
            if not result.ok.complete:
                loaded = await load_workflows(self._ports.table, self.service)
                self._feed_version = loaded.version
                for workflow in loaded.workflows:
                    self.submit(workflow.spec)
                for job_id in loaded.cancelled:
                    self.cancel(job_id)
                continue
            self._feed_version = result.ok.version
            for row in result.ok.rows:
                self._take_row(row)

    def _take_row(self, row) -> None:
        job_id, is_cancel = parse_jobs_key(row.key)
        if is_cancel:
            self.cancel(job_id)
            return
        try:
            spec = msgspec.json.decode(row.value, type=WorkflowSpec)
        except msgspec.DecodeError as error:
            log_event(events.BAD_ROW, key=row.key, reason=error)
            return
        self.submit(spec)

    async def _due_loop(self) -> None:
        """Look regularly for occurrences that are due and workers that come back."""
        while True:
            await asyncio.sleep(DUE_CHECK_MS / 1000)
            now_ms = self._clock.monotonic_ms()
            for worker in list(self.pool.workers.values()):
                unlinked = worker.worker_id not in self._links
                if unlinked and now_ms > worker.held_until_ms:
                    self._worker_lost(worker, "its lease has lapsed")
            self._stop_stragglers(now_ms)
            if self._backlog.has_waiting():
                self._plan_event.set()

    def _stop_stragglers(self, now_ms: float) -> None:
        found, slow = find_stragglers(self.pool, self._times, now_ms)
        for worker_id in slow:
            worker = self.pool.workers[worker_id]
            worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + AVOID_MS)
        for straggler in found:
            run = straggler.run
            key = run.key.task
            step_key = StepKey(run.key.job_id, key.occurrence, key.step)
            if self._times.note_restart(step_key, key.index):
                log_event(
                    events.RUN_OVERDUE,
                    task=task_name(run.key.job_id, key),
                    run=run.number,
                    worker=straggler.worker.worker_id,
                    after_ms=round(now_ms - run.started_ms),
                )
                self._avoid_for_task(run, straggler.worker)
                self._stop(straggler.worker, run)

    def _avoid_for_task(self, run: Run, worker: Worker) -> None:
        """Let a task's next run start elsewhere if another worker can run it."""
        workflow = self._workflows.get(run.key.job_id)
        if workflow is not None:
            avoided = workflow.task(run.key.task).avoided
            if worker.worker_id not in avoided:
                avoided.append(worker.worker_id)
