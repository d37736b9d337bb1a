"""The owner of a service: schedules its workflows and persists their progress.

An assignment is committed to the store before the start request is sent to the worker,
and the outcome of a run is committed before it is acknowledged to the worker. The next
owner after a failover therefore knows every run that may exist, and no outcome that was
committed is lost.
"""

import asyncio
import math
from typing import Any

import msgspec

from basilhold.core import (
    JobId,
    ServiceName,
    decode_json,
)
from basilhold.observability import log_event, metric
from basilhold.ports import Row
from basilhold.tenants import (
    DEFAULT_WEIGHT,
    NO_TENANT,
    BlockedDemand,
    SubmissionRates,
    TenantName,
    amounts_of,
    is_valid_weight,
)
from basilhold.workflows import events
from basilhold.workflows.advice_queries import AdviceQuery
from basilhold.workflows.evacuation import find_evacuations
from basilhold.workflows.model import (
    WORKERS_PER_QUERY,
    QueueName,
    WorkflowSpec,
    task_name,
)
from basilhold.workflows.owner_lease import LEASE_VALIDITY_MS, Lease
from basilhold.workflows.owner_state import LeaseLostError, OwnerPorts, OwnerState
from basilhold.workflows.planner import Placement, Plan, plan
from basilhold.workflows.pool import Pool, Run, RunKey, Worker
from basilhold.workflows.progress import Workflow, WorkflowState
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest
from basilhold.workflows.quota_keeper import QuotaKeeper
from basilhold.workflows.ready_steps import ReadyStep, make_ready_step
from basilhold.workflows.recovery import (
    LOAD_BATCH,
    load_workflows,
    read_run_times,
    restore_assignments,
)
from basilhold.workflows.rows import (
    is_jobs_key,
    jobs_prefix,
    parse_jobs_key,
    run_times_key,
)
from basilhold.workflows.run_controller import AVOID_FAILING_WORKER_MS, RunController
from basilhold.workflows.stragglers import find_stragglers
from basilhold.workflows.worker_link import OwnerLimits, late_run_bound_ms
from basilhold.workflows.worker_tracker import WorkerTracker

__all__ = ["LeaseLostError", "OwnerPorts", "ServiceOwner"]

FEED_POLL_INTERVAL_MS = 1_000
"""Interval at which the change feed is polled. Submissions and cancellations are also
sent to the owner directly; the feed recovers those whose message was lost."""

PLAN_DELAY_MS = 2.0
"""Delay before a planning pass, so that submissions and outcomes of runs that arrive
together are handled in one pass."""

PLAN_PAUSE_FACTOR = 1.5
"""Pause after a planning pass, as a multiple of its duration. A pass over a long
backlog on many workers takes tens of milliseconds; the pause lets commits and polls of
workers run between passes."""

ADVICE_RETRY_MS = 300.0
"""Delay before a failed request to the advice service is repeated."""

DUE_CHECK_INTERVAL_MS = 100
"""Interval of the periodic checks. Occurrences of repeated workflows may start up to
250 ms early, never more."""

EXPORT_INTERVAL_MS = 5_000.0
"""Interval at which the gauges of run times are set."""

START_DELAY_MAX_MS = 2_000.0
"""Time from the assignment of a task up to which its start is sent. A commit that takes
longer is rare."""

STABLE_RUN_MS = 10_000.0
"""Time at work after which the crashes under a long-running task are forgotten."""


class ServiceOwner:
    """Runs the workflows of one service while its lease is valid.

    Parameters
    ----------
    ports : OwnerPorts
        Interfaces to the store, the workers and the advice service.
    lease : Lease
        Lease of the service, held by this process.
    limits : OwnerLimits
        Bounds on leases, rows and waiting times.

    Attributes
    ----------
    loaded : bool
        Whether the stored workflows have been loaded.
    """

    def __init__(self, ports: OwnerPorts, lease: Lease, limits: OwnerLimits):
        self._state = OwnerState(ports, lease, limits)
        self._run_controller = RunController(self._state)
        self._committer = self._run_controller.committer
        self._worker_tracker = WorkerTracker(self._state, self._run_controller)
        self._quota_keeper = QuotaKeeper(self._state, self._committer.request_commit)
        self._submission_rates = SubmissionRates()
        self._early_cancels: set[JobId] = set()
        self._feed_version = 0
        self._exported_ms = -math.inf
        self.loaded = False

    # Requests from callers and peers.

    @property
    def service(self) -> ServiceName:
        """Name of the service."""
        return self._state.service

    @property
    def pool(self) -> Pool:
        """The workers of the service."""
        return self._state.pool

    def is_current(self) -> bool:
        """Return whether the known states of workflows are authoritative.

        This holds during an outage of the store too: no other process can take over
        then, so the last known states remain valid.
        """
        return self.loaded and not self._state.lease.is_lost

    def workflow_state(self, job_id: JobId) -> WorkflowState | None:
        """Return the committed state of a workflow, or ``None`` if it is unknown."""
        return self._state.committed_states.get(job_id)

    def workflow_tenant(self, job_id: JobId) -> TenantName:
        """Return the tenant of a workflow; empty if it has none or is unknown."""
        workflow = self._state.workflows.get(job_id)
        return workflow.spec.tenant if workflow else NO_TENANT

    def unstarted_count(self, queue: QueueName) -> int:
        """Return the number of a queue's active workflows without a started task."""
        return sum(
            1
            for workflow in self._state.backlog.active_workflows()
            if workflow.spec.policy.name == queue and not workflow.has_started()
        )

    def submit(self, spec: WorkflowSpec) -> None:
        """Add a workflow whose specification is stored; repeated calls are ignored."""
        if spec.job_id in self._state.workflows:
            return
        if spec.job_id in self._state.unreadable:
            # It may have progress that this owner cannot read.
            return
        workflow = Workflow(self._with_submission_time(spec))
        workflow.is_surplus = self._is_surplus(workflow.spec)
        self._state.workflows[spec.job_id] = workflow
        self._state.committed_states[spec.job_id] = workflow.state
        if spec.job_id in self._early_cancels:
            self._early_cancels.discard(spec.job_id)
            self._cancel(workflow)
            return
        self._state.backlog.add(workflow)
        self._state.plan_event.set()

    def _is_surplus(self, spec: WorkflowSpec) -> bool:
        """Count a submission; return whether it exceeds its tenant's rate."""
        registry = self._state.ports.tenants()
        tenant = registry.get(spec.tenant) if registry is not None else None
        if tenant is None:
            return False
        weight = tenant.weight
        is_replaced = self._state.ports.step_order.divides_capacity
        if not is_valid_weight(weight) and (is_replaced or not math.isfinite(weight)):
            weight = DEFAULT_WEIGHT
        return not self._submission_rates.take(tenant.name, weight, spec.submitted_ms)

    def _with_submission_time(self, spec: WorkflowSpec) -> WorkflowSpec:
        """Return the specification with a submission time, which is at most now."""
        now_ms = self._state.time.now_ms()
        if 0.0 < spec.submitted_ms <= now_ms:
            return spec
        return msgspec.structs.replace(spec, submitted_ms=now_ms)

    def cancel(self, job_id: JobId) -> None:
        """Cancel a workflow whose cancellation is stored.

        A cancellation that arrives before the workflow's submission is remembered.
        """
        workflow = self._state.workflows.get(job_id)
        if workflow is None:
            self._early_cancels.add(job_id)
        else:
            self._cancel(workflow)

    def _cancel(self, workflow: Workflow) -> None:
        with self._state.guard(workflow, "cancelling"):
            if workflow.cancel(self._state.time.now_ms()):
                self._run_controller.finalize_workflow(workflow)

    async def serve_quota(self, request: QuotaRequest) -> QuotaReply:
        """Give parts of tenants' quotas to the owner of another service."""
        return await self._quota_keeper.serve(request)

    @property
    def task_units(self) -> int:
        """What the active workflows count against the limit of tasks."""
        return self._state.backlog.units

    def describe(self) -> dict[str, Any]:
        """Return a summary of the owner's state for the operator's state dump."""
        state = self._state
        workers = state.pool.workers.values()
        return {
            "epoch": state.lease.epoch,
            "valid": state.lease.is_valid(),
            "commit_age_ms": round(state.lease.age_ms()),
            "workers": len(workers),
            "unreached_workers": [w.worker_id for w in workers if not w.listed],
            "draining_workers": [w.worker_id for w in workers if w.info.draining],
            "runs": sum(len(w.runs) for w in workers),
            "free_cores_milli": sum(w.free.cores_milli for w in workers),
            "workflows": len(state.workflows),
            "active_workflows": sum(1 for _ in state.backlog.active_workflows()),
            "task_units": state.backlog.units,
            "tenants": self._describe_tenants(),
            "run_times": state.run_times.model.describe(),
        }

    def _describe_tenants(self) -> dict[str, Any]:
        state = self._state
        if not state.ports.step_order.divides_capacity:
            return state.quotas.describe()
        return state.quotas.describe(amounts_of(state.pool.capacity()))

    # Lifecycle.

    async def run(self, reason: str) -> None:
        """Load the stored workflows and run them until the lease is lost.

        Parameters
        ----------
        reason : str
            Why the service was claimed; for the log.

        Raises
        ------
        LeaseLostError
            If another process owns the service, or may own it.
        """
        state = self._state
        try:
            # The committer renews the lease while the rows are read, which may take
            # longer than the lease is valid.
            state.spawn(self._committer.run())
            state.spawn(self._load_run_times())
            loading = state.spawn(self._load(reason))
            await asyncio.wait(
                {loading, state.failure}, return_when=asyncio.FIRST_COMPLETED
            )
            if state.failure.done():
                state.failure.result()
            for coroutine in (
                self._plan_loop(),
                self._worker_tracker.run(),
                self._feed_loop(),
                self._periodic_check_loop(),
                self._committer.delete_expired(),
                # Work of tenants waits until this one has read their allotments.
                self._quota_keeper.run(),
            ):
                state.spawn(coroutine)
            await state.failure
        finally:
            state.lease.invalidate()
            await state.background_tasks.cancel()
            # A worker accepts a limited number of connections, and the next owner needs
            # some of them.
            for worker in state.pool.workers.values():
                state.ports.runners.close_connections(worker)

    async def release(self) -> None:
        """Release the service with a last commit, so that it can be claimed at once."""
        self.loaded = False
        if await self._committer.release():
            epoch = self._state.lease.epoch
            log_event(events.OWNER_RELEASED, service=self._state.service, epoch=epoch)
        self._state.fail_lease_lost("released")

    async def _load(self, reason: str) -> None:
        loaded = await load_workflows(self._state.ports.table, self._state.service)
        self._feed_version = loaded.version
        self._state.unreadable |= loaded.unreadable
        now_ms = self._state.clock.monotonic_ms()
        for workflow in loaded.workflows:
            workflow.spec = self._with_submission_time(workflow.spec)
        assigned = 0
        ordered = sorted(loaded.workflows, key=lambda w: w.spec.submitted_ms)
        for number, workflow in enumerate(ordered, 1):
            if number % LOAD_BATCH == 0:
                await asyncio.sleep(0)
            with self._state.guard(workflow, "loading"):
                self._add_loaded(workflow)
                assigned += restore_assignments(
                    self._state.pool,
                    [workflow],
                    self._state.clock.monotonic_ms(),
                    self._state.time.now_ms(),
                )
        for job_id in loaded.cancelled:
            self.cancel(job_id)
        for worker in self._state.pool.workers.values():
            worker.note_lease(self._inherited_lease_ms(worker, now_ms))
            for run in worker.runs.values():
                workflow = self._state.workflows[run.key.job_id]
                if not workflow.task(run.key.task).is_confirmed:
                    # The previous owner may not have got a reply to the start.
                    sent_ms = (run.sent_ms or now_ms) + START_DELAY_MAX_MS
                    run.held_until_ms = late_run_bound_ms(sent_ms, self._state.limits)
            worker.unregistered = True
        self._state.has_all_workers = True
        await self._worker_tracker.refresh_registrations()
        self._worker_tracker.contact_unregistered_workers()
        self.loaded = True
        log_event(
            events.OWNER_CLAIMED,
            service=self._state.service,
            epoch=self._state.lease.epoch,
            reason=reason,
            workflows=len(loaded.workflows),
            assigned=assigned,
        )
        self._state.plan_event.set()

    async def _load_run_times(self) -> None:
        """Read what previous owners have learned; the takeover does not wait for it.

        Nothing is stored before it has been read.
        """
        state = self._state
        value = await read_run_times(state.ports.table, state.service)
        model = state.run_times.model
        if value is not None:
            try:
                model.restore(value)
            except Exception as error:
                # Whatever the row contains, work goes on without it.
                key = run_times_key(state.service)
                log_event(events.BAD_ROW, key=key, reason=repr(error))
        for worker in state.pool.workers.values():
            if worker.run_time_ratio == 1.0:
                worker.run_time_ratio = model.speed(worker.worker_id)
        state.has_run_times = True

    def _inherited_lease_ms(self, worker: Worker, now_ms: float) -> float:
        """Return until when a lease may last that a previous owner has granted."""
        predecessor = self._state.lease.predecessor
        expiry_ms = self._state.limits.any_lease_expiry_ms()
        if predecessor is None:
            return now_ms + LEASE_VALIDITY_MS + expiry_ms
        return predecessor.lease_bound_ms(worker.worker_id, expiry_ms)

    def _add_loaded(self, workflow: Workflow) -> None:
        state = self._state
        state.workflows[workflow.job_id] = workflow
        state.committed_states[workflow.job_id] = workflow.state
        workflow.is_surplus = self._is_surplus(workflow.spec)
        state.isolation.restore(workflow)
        if not workflow.state.is_final and not workflow.is_set_aside:
            state.backlog.add(workflow)

    # Planning.

    async def _plan_loop(self) -> None:
        pause_ms = PLAN_DELAY_MS
        while True:
            await self._state.plan_event.wait()
            await asyncio.sleep(pause_ms / 1000)
            self._state.plan_event.clear()
            if not self._state.lease.is_valid():
                continue
            begin_ms = self._state.clock.monotonic_ms()
            self._apply_plan(self._plan())
            took_ms = self._state.clock.monotonic_ms() - begin_ms
            pause_ms = max(PLAN_DELAY_MS, PLAN_PAUSE_FACTOR * took_ms)

    def _plan(self) -> Plan:
        now_ms = self._state.clock.monotonic_ms()
        instant = self._state.time.read()
        self._quota_keeper.refresh()
        state = self._state
        state.quotas.shares.observe(instant.now_ms)
        steps: list[ReadyStep] = []
        unassigned = state.pool.unassigned_keys()
        for workflow in list(state.backlog.active_workflows()):
            with state.guard(workflow, "finding its ready steps"):
                steps += state.backlog.ready_steps(workflow, instant, unassigned)
        new_plan = plan(
            steps,
            state.pool,
            state.admissions,
            state.reservations,
            now_ms,
            instant.now_ms,
            state.limits.stop_ms,
            # While a commit is stalled, nothing can start on capacity that a preemption
            # would free.
            may_preempt=not self._committer.is_stalled(),
            quotas=state.quotas,
            isolation=state.isolation,
            order=state.ports.step_order,
        )
        if state.ports.step_order.divides_capacity:
            self._report_starvation(steps, now_ms)
        return new_plan

    def _report_starvation(self, steps: list[ReadyStep], now_ms: float) -> None:
        """Log which tenants have work that waits behind that of others for long."""
        quotas = self._state.quotas
        waiting = {step.key for step in steps if step.keys}
        for starvation in quotas.shares.note_waiting(waiting, now_ms):
            total = amounts_of(self._state.pool.capacity())
            standing = quotas.describe_share(starvation.tenant, total)
            log_event(
                events.TENANT_STARVED,
                service=self._state.service,
                tenant=starvation.tenant,
                waited_ms=round(starvation.waited_ms),
                steps=starvation.count,
                share=standing["share"],
                due_share=standing["due_share"],
            )

    def _apply_plan(self, new_plan: Plan) -> None:
        for failure in new_plan.failures:
            workflow = failure.step.workflow
            self._state.set_aside(workflow, "planning", failure.error)
        for placement in new_plan.placements:
            workflow = placement.step.workflow
            with self._state.guard(workflow, "assigning a task"):
                self._assign(placement)
            if workflow.is_set_aside:
                self._run_controller.discard(placement)
        for query in new_plan.queries:
            self._request_advice(query)
        for preemption in new_plan.preemptions:
            run = preemption.run
            log_event(
                events.RUN_PREEMPTED,
                task=task_name(run.key.job_id, run.key.task),
                run=run.number,
                worker=preemption.worker.worker_id,
                reason=preemption.step.workflow.job_id,
            )
            self._run_controller.stop(preemption.worker, run)
        self._report_blocked(new_plan.blocked)

    def _report_blocked(self, blocked: dict[TenantName, BlockedDemand]) -> None:
        """Log which tenants wait for quota, and ask the other services for some."""
        quotas = self._state.quotas
        for name in quotas.note_blocked(blocked, self._state.clock.monotonic_ms()):
            if quotas.ledger is not None:
                log_event(
                    events.QUOTA_MISSING,
                    service=self._state.service,
                    **quotas.explain(name),
                )
        if blocked:
            self._quota_keeper.wake()

    def _assign(self, placement: Placement) -> None:
        workflow, worker = placement.step.workflow, placement.worker
        run = worker.runs[RunKey(workflow.job_id, placement.key)]
        store_ms = self._state.time.now_ms()
        workflow.assign(
            placement.key,
            run.number,
            worker.worker_id,
            worker.info.endpoint,
            store_ms,
            worker.info.born_unix_ms,
        )
        self._state.isolation.note_start(run.key)
        self._state.backlog.mark_not_waiting(workflow, placement.key)
        self._committer.start_after_commit(placement)
        queued_ms = store_ms - workflow.spec.submitted_ms
        self._state.observe("basilhold_workflow_start_wait_seconds", queued_ms)
        log_event(
            events.RUN_ASSIGNED,
            task=task_name(workflow.job_id, placement.key),
            run=run.number,
            worker=worker.worker_id,
            free=worker.free.cores_milli,
            queued_ms=round(queued_ms),
        )

    def _request_advice(self, query: AdviceQuery) -> None:
        step = query.step
        policy = step.workflow.spec.policy
        if not self._state.ports.advice.is_available(policy, len(query.workers)):
            # The next planning pass retries, in the order that applies then.
            return
        self._state.admissions.step(step.key).query_sent(query.workers)
        workflow = query.step.workflow
        self._state.spawn_for(workflow, "asking for advice", self._await_advice(query))

    async def _await_advice(self, query: AdviceQuery) -> None:
        step = query.step
        advice_state = self._state.admissions.step(step.key)
        asked_ms = self._state.clock.monotonic_ms()
        policy = step.workflow.spec.policy
        born_unix_ms = self._state.pool.birth_times(query.workers)
        try:
            answer = await self._state.ports.advice.ask(
                step.workflow.job_id,
                step.occurrence,
                step.number,
                query.workers,
                policy,
            )
        finally:
            advice_state.query_closed(query.workers)
        now_ms = self._state.clock.monotonic_ms()
        self._state.observe("basilhold_workflow_advice_seconds", now_ms - asked_ms)
        if answer.is_error():
            advice_state.retry_ms = now_ms + ADVICE_RETRY_MS
            log_event(
                events.ADVICE_FAILED,
                job=step.workflow.job_id,
                step=step.number,
                reason=answer.error,
            )
        else:
            tickets = answer.ok.tickets
            answered = advice_state.admitted | advice_state.refused
            if answered.isdisjoint(query.workers):
                asked, admitted = len(query.workers), len(tickets)
                self._state.admissions.update_admitted_share(
                    policy.name, asked, admitted
                )
            self._state.admissions.record(
                step.key, query.workers, tickets, policy.advice.valid_ms, now_ms
            )
            now_born_unix_ms = self._state.pool.birth_times(query.workers)
            for worker_id in query.workers:
                if now_born_unix_ms.get(worker_id) != born_unix_ms.get(worker_id):
                    # The ticket may be for its former incarnation.
                    self._state.admissions.drop_ticket(step.key, worker_id)
            log_event(
                events.ADVICE_RECEIVED,
                job=step.workflow.job_id,
                step=step.number,
                asked=len(query.workers),
                admitted=len(tickets),
                after_ms=round(now_ms - asked_ms),
            )
        self._state.plan_event.set()

    # Change feed and periodic checks.

    async def _feed_loop(self) -> None:
        prefix = jobs_prefix(self._state.service)
        while True:
            await asyncio.sleep(FEED_POLL_INTERVAL_MS / 1000)
            result = await self._state.ports.feed.changes(prefix, self._feed_version, 0)
            if result.is_error():
                continue
            if not result.ok.complete:
                loaded = await load_workflows(
                    self._state.ports.table, self._state.service
                )
                self._feed_version = loaded.version
                for workflow in loaded.workflows:
                    self.submit(workflow.spec)
                for job_id in loaded.cancelled:
                    self.cancel(job_id)
                continue
            self._feed_version = result.ok.version
            for row in result.ok.rows:
                if is_jobs_key(self._state.service, row.key):
                    self._apply_feed_row(row)

    def _apply_feed_row(self, row: Row) -> None:
        job_id, is_cancel = parse_jobs_key(row.key)
        if is_cancel:
            self.cancel(job_id)
            return
        try:
            self.submit(decode_json(row.value, WorkflowSpec))
        except Exception as error:
            # Whatever the row contains, it must not keep the owner from the others.
            log_event(events.BAD_ROW, key=row.key, reason=repr(error))
            if job_id not in self._state.workflows:
                self._state.unreadable.add(job_id)

    async def _periodic_check_loop(self) -> None:
        """Check periodically for expired workers, stragglers and draining workers.

        Plans again if tasks wait, as occurrences may be due and workers usable again.
        """
        while True:
            await asyncio.sleep(DUE_CHECK_INTERVAL_MS / 1000)
            now_ms = self._state.clock.monotonic_ms()
            self._worker_tracker.remove_expired_workers(now_ms)
            self._worker_tracker.end_probations(now_ms)
            self._run_controller.clear_suspects(now_ms)
            self._forget_crashes(now_ms)
            self._stop_stragglers(now_ms)
            self._export_run_times(now_ms)
            self._evacuate(now_ms)
            if self._state.backlog.has_waiting():
                self._state.plan_event.set()

    def _forget_crashes(self, now_ms: float) -> None:
        """Forget the crashes under long-running tasks that have been at work since."""
        state = self._state
        for key in state.isolation.unstable_tasks():
            workflow = state.workflows.get(key.job_id)
            if workflow is None:
                state.isolation.note_stable(key)
                continue
            with state.guard(workflow, "forgetting crashes"):
                worker_id = workflow.task(key.task).worker_id
                run = state.pool.find_run(worker_id, key)
                if run is None or not run.confirmed_ms:
                    continue
                is_answering = not state.pool.workers[worker_id].silent_since_ms
                if is_answering and now_ms - run.confirmed_ms > STABLE_RUN_MS:
                    workflow.forget_crashes(key.task)
                    state.isolation.note_stable(key)
                    self._committer.mark_dirty(workflow)

    def _stop_stragglers(self, now_ms: float) -> None:
        stragglers, slow_workers = find_stragglers(
            self._state.pool, self._state.run_times, now_ms
        )
        for worker_id in slow_workers:
            worker = self._state.pool.workers[worker_id]
            worker.avoid_until_ms = max(
                worker.avoid_until_ms, now_ms + AVOID_FAILING_WORKER_MS
            )
        for spared in self._state.run_times.take_spared():
            self._count_overdue(spared.reason.name.lower())
            log_event(
                events.RUN_SPARED,
                task=task_name(spared.run.key.job_id, spared.run.key.task),
                run=spared.run.number,
                worker=spared.worker.worker_id,
                after_ms=round(now_ms - spared.run.begun_ms),
                reason=spared.reason.value,
            )
        for straggler in stragglers:
            run = straggler.run
            key = run.key.task
            self._state.run_times.count_restart(run, now_ms)
            self._count_overdue("restarted")
            log_event(
                events.RUN_OVERDUE,
                task=task_name(run.key.job_id, key),
                run=run.number,
                worker=straggler.worker.worker_id,
                after_ms=round(now_ms - run.begun_ms),
            )
            self._avoid_worker_for_task(run, straggler.worker)
            self._run_controller.stop(straggler.worker, run)

    def _count_overdue(self, decision: str) -> None:
        self._state.ports.metrics.add(
            metric("basilhold_workflow_overdue_runs_total"),
            service=self._state.service,
            decision=decision,
        )

    def _export_run_times(self, now_ms: float) -> None:
        """Set the gauges of run times, at intervals."""
        if now_ms - self._exported_ms < EXPORT_INTERVAL_MS:
            return
        self._exported_ms = now_ms
        declared = metric("basilhold_workflow_run_time_ratio")
        for queue, described in self._state.run_times.model.describe().items():
            for quantile in ("median", "high"):
                self._state.ports.metrics.set(
                    declared,
                    described[quantile],
                    service=self._state.service,
                    queue=queue,
                    quantile=quantile,
                )

    def _evacuate(self, now_ms: float) -> None:
        """Move long-running tasks off draining workers."""
        state = self._state
        if not state.lease.is_valid():
            return
        for evacuation in find_evacuations(state.pool, state.admissions, now_ms):
            run, worker = evacuation.run, evacuation.worker
            workflow = state.workflows.get(run.key.job_id)
            if workflow is None:
                continue
            if evacuation.may_stop or workflow.spec.policy.advice is None:
                log_event(
                    events.RUN_EVACUATED,
                    task=task_name(run.key.job_id, run.key.task),
                    run=run.number,
                    worker=worker.worker_id,
                )
                self._run_controller.stop(worker, run)
                continue
            key = run.key.task
            step = make_ready_step(workflow, key.occurrence, key.step, [key])
            if state.admissions.step(step.key).may_ask(now_ms):
                names = [w.worker_id for w in evacuation.targets]
                names = names[:WORKERS_PER_QUERY]
                self._request_advice(AdviceQuery(step, tuple(names)))

    def _avoid_worker_for_task(self, run: Run, worker: Worker) -> None:
        """Prefer other workers for the next run of a task."""
        workflow = self._state.workflows.get(run.key.job_id)
        if workflow is not None:
            workflow.avoid_worker(run.key.task, worker.worker_id)
