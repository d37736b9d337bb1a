"""Starts, stops and follows the committed attempts of one worker."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import msgspec
from expression import Result

from basilhold.core import (
    Assignment,
    Attempt,
    Clock,
    RestartPolicy,
    TaskId,
    TaskRecord,
    TaskState,
    WorkerId,
    split_task_id,
)
from basilhold.placement import EvictionAction
from basilhold.ports import (
    AgentError,
    AgentErrorKind,
    RefusalReason,
    StartRequest,
    StopReply,
    TaskReport,
    WorkerAgent,
    WorkerReport,
)
from basilhold.sharding.changes import Release, Throttle
from basilhold.sharding.leases import (
    WorkerLease,
    is_free,
)
from basilhold.sharding.session_owner import SessionOwner, StopOrder
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.task_rules import (
    AttemptPhase,
    MissingAction,
    after_end,
    after_lease_expiry,
    after_outgrowing,
    after_stop,
    when_missing,
)

__all__ = ["AttemptKeeper"]

_CAPACITY_REFUSALS_MAX = 3
"""Starts refused for capacity, a retry apart, before a task is placed again."""


class _Held(msgspec.Struct):
    """A committed attempt on the worker."""

    assignment: Assignment
    phase: AttemptPhase
    capacity_refusals: int = 0
    running_since_ms: float | None = None


class AttemptKeeper(ABC):
    """The attempts that are committed to one worker.

    `WorkerSession` adds the lease and decides when to talk to the worker.

    Parameters
    ----------
    worker_id : WorkerId
    lease : WorkerLease
    owner : SessionOwner
    agents : WorkerAgent
    clock : Clock
    settings : ShardingSettings
    """

    def __init__(
        self,
        worker_id: WorkerId,
        lease: WorkerLease,
        owner: SessionOwner,
        agents: WorkerAgent,
        clock: Clock,
        settings: ShardingSettings,
    ):
        self.worker_id = worker_id
        self.lease = lease
        self.reachable = False
        self._owner = owner
        self._agents = agents
        self._clock = clock
        self._settings = settings
        self._held: dict[TaskId, _Held] = {}
        self._stops: dict[TaskId, StopOrder] = {}
        self._wake = asyncio.Event()
        self._contact_due_ms = 0.0
        self._needs_report = True
        self._released = False

    @abstractmethod
    async def _call(
        self, call: Callable[[], Awaitable[Result]]
    ) -> Result[object, AgentError]:
        """Call the worker and note whether it answers."""

    @abstractmethod
    async def _renew(self) -> None:
        """Extend the worker's lease."""

    def hold(self, assignment: Assignment, fresh: bool) -> None:
        """Take charge of a committed attempt.

        Parameters
        ----------
        assignment : Assignment
        fresh : bool
            This owner committed it, so no start was sent by anyone yet.
        """
        phase = AttemptPhase.FRESH if fresh else AttemptPhase.SENT
        self._held[assignment.task_id] = _Held(assignment, phase)
        self._wake.set()

    def drop(self, task_id: TaskId, attempt: Attempt) -> None:
        """Forget an attempt that the worker's row does not name any more."""
        held = self._held.get(task_id)
        if held is not None and held.assignment.attempt == attempt:
            del self._held[task_id]
            self._stops.pop(task_id, None)

    def resize(self, assignment: Assignment) -> None:
        """Take over the size in the worker's row of a throttled attempt."""
        held = self._held.get(assignment.task_id)
        if held is not None and held.assignment.attempt == assignment.attempt:
            held.assignment = assignment

    def order_stop(self, task_id: TaskId, order: StopOrder) -> None:
        """Stop a task; a cancellation replaces an eviction."""
        if task_id not in self._held:
            return
        known = self._stops.get(task_id)
        if known is None or known.state is TaskState.PENDING:
            self._stops[task_id] = order
        self._wake.set()

    @property
    def held_count(self) -> int:
        """Number of committed attempts."""
        return len(self._held)

    def has_overdue_end(self) -> bool:
        """Return whether a task should have ended by its declared run time."""
        now_ms = self._clock.monotonic_ms()
        return any(
            held.running_since_ms is not None
            and held.phase is AttemptPhase.RUNNING
            and (job := self._owner.job_of(task_id)) is not None
            and 0 < job.spec.run_time_ms <= now_ms - held.running_since_ms
            for task_id, held in self._held.items()
        )

    def _note_running(self, held: _Held) -> None:
        held.phase = AttemptPhase.RUNNING
        if held.running_since_ms is None:
            held.running_since_ms = self._clock.monotonic_ms()

    def running(self) -> dict[TaskId, Attempt]:
        """Return the attempts that the worker is known to run."""
        return {
            task_id: held.assignment.attempt
            for task_id, held in self._held.items()
            if held.phase is AttemptPhase.RUNNING
        }

    async def _reconcile(
        self, report: WorkerReport, before: dict[TaskId, Attempt]
    ) -> None:
        """Act on differences; `before` are the attempts held when it was asked."""
        reported = {(task.task_id, task.attempt): task for task in report.tasks}
        forget = []
        for task_id, attempt in reported:
            held = self._held.get(task_id)
            if held is not None and held.assignment.attempt == attempt:
                continue
            if reported[task_id, attempt].running:
                epoch = self._owner.epoch
                await self._call(
                    lambda t=task_id, a=attempt, e=epoch: self._agents.stop(
                        self.worker_id, e, t, a
                    )
                )
            else:
                forget.append((task_id, attempt))
        for task_id, attempt in before.items():
            held = self._held.get(task_id)
            if held is not None and held.assignment.attempt == attempt:
                await self._compare(held, reported.get((task_id, attempt)))
        if forget:
            epoch = self._owner.epoch
            await self._call(
                lambda: self._agents.report(self.worker_id, epoch, tuple(forget))
            )

    async def _compare(self, held: _Held, task: TaskReport | None) -> None:
        if held.phase is AttemptPhase.RELEASING:
            return
        assignment = held.assignment
        if task is None:
            action = when_missing(held.phase, self._restart(assignment.task_id))
            if action is MissingAction.RELEASE:
                self._release_stopped(held, "the worker lost the task")
            elif action is MissingAction.CONFIRM_STOP:
                order = StopOrder(
                    EvictionAction.STOP, TaskState.PENDING, "start unconfirmed"
                )
                await self._stop(held, self._stops.get(assignment.task_id, order))
        elif task.running:
            self._note_running(held)
        elif task.succeeded is None:
            self._release_stopped(held, "stopped by the worker")
        else:
            self._release(
                held,
                after_end(
                    assignment,
                    self.worker_id,
                    self._task(assignment.task_id),
                    self._restart(assignment.task_id),
                    task.succeeded,
                    self._settings.task_failures_max,
                    self._owner.failed_workers_max(assignment.task_id),
                ),
            )

    async def _send_starts(self) -> None:
        due = [held for held in self._held.values() if self._start_is_due(held)]
        if not due:
            return
        if self.lease.granted_until_unix_ms <= self._clock.unix_ms():
            await self._renew()
        if self.reachable:
            await asyncio.gather(*(self._start(held) for held in due))

    def _start_is_due(self, held: _Held) -> bool:
        order = self._stops.get(held.assignment.task_id)
        if order is not None and order.action is not EvictionAction.THROTTLE:
            return False
        if held.phase not in (AttemptPhase.FRESH, AttemptPhase.SENT):
            return False
        restart = self._restart(held.assignment.task_id)
        return when_missing(held.phase, restart) is MissingAction.START

    async def _start(self, held: _Held) -> None:
        assignment = held.assignment
        job = self._owner.job_of(assignment.task_id)
        request = StartRequest(
            self._owner.epoch,
            assignment.task_id,
            assignment.attempt,
            assignment.resources,
            self.lease.granted_until_unix_ms,
            job.spec.command if job else "",
        )
        first = held.phase is AttemptPhase.FRESH
        held.phase = AttemptPhase.SENT
        result = await self._call(lambda: self._agents.start(self.worker_id, request))
        if held.phase is not AttemptPhase.SENT:
            return
        if result.is_ok():
            self._note_running(held)
        elif result.error.kind is AgentErrorKind.REFUSED:
            await self._start_refused(held, result.error.reason, first)

    async def _start_refused(
        self, held: _Held, reason: RefusalReason | None, first: bool
    ) -> None:
        """Act on a refusal.

        An earlier copy of the start may still arrive after a later one was refused,
        so only the refusal of the first shows that nothing was started.
        """
        if reason is RefusalReason.STALE_EPOCH:
            return
        if reason is RefusalReason.OLD_ATTEMPT:
            order = StopOrder(EvictionAction.STOP, TaskState.PENDING, "start refused")
            await self._stop(held, order)
            return
        if first:
            held.phase = AttemptPhase.FRESH
        if reason is RefusalReason.CAPACITY:
            held.capacity_refusals += 1
            if held.capacity_refusals >= _CAPACITY_REFUSALS_MAX:
                order = StopOrder(EvictionAction.STOP, TaskState.PENDING, "no capacity")
                await self._stop(held, order)
        self._contact_due_ms = self._clock.monotonic_ms() + self._settings.retry_ms
        self._needs_report = reason is RefusalReason.CAPACITY

    async def _send_stops(self) -> None:
        due = [
            (self._held[task_id], order)
            for task_id, order in self._stops.items()
            if task_id in self._held
            and self._held[task_id].phase is not AttemptPhase.RELEASING
        ]
        await asyncio.gather(*(self._stop(held, order) for held, order in due))

    async def _stop(self, held: _Held, order: StopOrder) -> None:
        """Carry out a stop; the attempt is released once the worker confirms it."""
        assignment = held.assignment
        if held.phase is AttemptPhase.FRESH and order.state is TaskState.CANCELLED:
            self._release_confirmed(held, True, order)
            return
        if order.action is EvictionAction.THROTTLE:
            # A limit is only certain for an attempt that runs: a start that arrived
            # after it would take the whole size again.
            if held.phase is AttemptPhase.RUNNING:
                await self._throttle(assignment, order)
            return
        call = self._agents.stop
        if order.action is EvictionAction.CHECKPOINT:
            call = self._agents.checkpoint
        result = await self._call(
            lambda: call(
                self.worker_id,
                self._owner.epoch,
                assignment.task_id,
                assignment.attempt,
            )
        )
        if result.is_ok() and held.phase is not AttemptPhase.RELEASING:
            reply: StopReply = result.ok
            if order.outgrew and not reply.never_started:
                self._release_outgrown(held)
            else:
                self._release_confirmed(held, reply.never_started, order)

    def _release_outgrown(self, held: _Held) -> None:
        restart = self._restart(held.assignment.task_id)
        self._release(
            held,
            after_outgrowing(
                held.assignment,
                self.worker_id,
                self._task(held.assignment.task_id),
                restart,
                self._settings.task_failures_max,
                self._owner.failed_workers_max(held.assignment.task_id),
            ),
        )

    async def _throttle(self, assignment: Assignment, order: StopOrder) -> None:
        result = await self._call(
            lambda: self._agents.throttle(
                self.worker_id,
                self._owner.epoch,
                assignment.task_id,
                assignment.attempt,
                order.cores_limit_milli,
            )
        )
        if result.is_error():
            return
        if self._stops.get(assignment.task_id) is order:
            del self._stops[assignment.task_id]
        if order.for_urgent_task:
            self._owner.throttled(
                Throttle(
                    assignment.task_id,
                    assignment.attempt,
                    self.worker_id,
                    order.cores_limit_milli,
                )
            )

    def _release_unreachable(self) -> None:
        """Release what cannot run on an unreachable worker."""
        free = is_free(self.lease, self._clock.unix_ms())
        due = [
            held
            for held in self._held.values()
            if held.phase is AttemptPhase.FRESH
            or (free and held.phase is not AttemptPhase.RELEASING)
        ]
        if free and due and not self._released:
            self._owner.lease_expired(self.worker_id, len(due))
        self._released = self._released or free
        for held in due:
            restart = self._restart(held.assignment.task_id)
            self._release(
                held,
                after_lease_expiry(
                    held.assignment, self.worker_id, held.phase, restart
                ),
            )

    def _release_stopped(self, held: _Held, reason: str) -> None:
        order = StopOrder(EvictionAction.STOP, TaskState.PENDING, reason)
        order = self._stops.get(held.assignment.task_id, order)
        self._release_confirmed(held, False, order)

    def _release_confirmed(
        self, held: _Held, never_started: bool, order: StopOrder
    ) -> None:
        restart = self._restart(held.assignment.task_id)
        self._release(
            held,
            after_stop(
                held.assignment,
                self.worker_id,
                restart,
                never_started,
                order.reason,
                order.state,
            ),
        )

    def _release(self, held: _Held, change: Release) -> None:
        held.phase = AttemptPhase.RELEASING
        self._owner.release(change)

    def _restart(self, task_id: TaskId) -> RestartPolicy:
        """Return the policy; a task without a job row is not started again."""
        job = self._owner.job_of(task_id)
        return job.spec.restart if job else RestartPolicy.FORBIDDEN

    def _task(self, task_id: TaskId) -> TaskRecord:
        job = self._owner.job_of(task_id)
        return job.tasks[split_task_id(task_id)[1]] if job else TaskRecord()
