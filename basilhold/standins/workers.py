"""In-memory workers that run tasks under leases."""

from collections.abc import Callable

import msgspec
import xxhash
from expression import Error, Ok, Result

from basilhold.core import (
    Attempt,
    Clock,
    Epoch,
    InvariantError,
    Resources,
    TaskId,
    WorkerId,
)
from basilhold.ports import (
    AgentError,
    AgentErrorKind,
    RefusalReason,
    RenewReply,
    RenewRequest,
    StartReply,
    StartRequest,
    StopReply,
    TaskReport,
    WorkerAgent,
    WorkerReport,
)

__all__ = ["MemoryWorker", "MemoryWorkers", "TaskBehaviour", "hash_tasks"]


def hash_tasks(tasks: dict[TaskId, Attempt]) -> int:
    """Return a hash of the tasks that a worker runs, independent of their order."""
    digest = xxhash.xxh64()
    for task_id in sorted(tasks):
        digest.update(f"{task_id}:{tasks[task_id]};".encode())
    return digest.intdigest()


class TaskBehaviour(msgspec.Struct, frozen=True):
    """What a task does once it runs.

    Parameters
    ----------
    run_time_ms : int
        Time until it ends, in milliseconds; 0 if it never ends by itself.
    fails : bool
    used : Resources, optional
        Usage; the declared size by default.
    """

    run_time_ms: int = 0
    fails: bool = False
    used: Resources | None = None


class _Run:
    """One attempt on a worker."""

    def __init__(self, request: StartRequest, behaviour: TaskBehaviour, now_ms: int):
        self.request = request
        self.behaviour = behaviour
        self.declared = request.resources
        self.started_unix_ms = now_ms
        self.running = True
        self.succeeded: bool | None = None
        self.checkpoint_unix_ms = 0

    def report(self) -> TaskReport:
        used = self.behaviour.used or self.declared
        return TaskReport(
            self.request.task_id,
            self.request.attempt,
            self.running,
            self.succeeded,
            used,
            self.checkpoint_unix_ms,
        )


class MemoryWorker:
    """One worker VM: enforces epochs, attempts, lease expiry and capacity.

    Parameters
    ----------
    worker_id : WorkerId
    capacity : Resources
    clock : Clock
        The worker's own clock, which may differ from others by the clock error.

    Attributes
    ----------
    reachable : bool
        Whether calls arrive at all.
    behaviours : dict of str to TaskBehaviour
        Behaviour by command; the entry ``""`` is the default.
    fails_everything : bool
    on_start : callable or None
        Called with the worker and the request when an attempt starts.
    start_count : int
        Attempts started.
    """

    def __init__(self, worker_id: WorkerId, capacity: Resources, clock: Clock):
        self.worker_id = worker_id
        self.capacity = capacity
        self.clock = clock
        self.reachable = True
        self.fails_everything = False
        self.behaviours: dict[str, TaskBehaviour] = {"": TaskBehaviour()}
        self.epoch = Epoch(0)
        self.lease_expires_unix_ms = 0
        self._runs: dict[TaskId, _Run] = {}
        self._last_attempts: dict[TaskId, Attempt] = {}
        self._started_attempts: dict[TaskId, Attempt] = {}
        self.on_start: Callable[[MemoryWorker, StartRequest], None] | None = None
        self.start_count = 0

    def restart(self) -> None:
        """Lose all runs and the lease, as a VM that is rebooted.

        The highest epoch and the attempts seen are kept: an agent that forgot them
        would accept delayed messages of earlier owners.
        """
        self._runs.clear()
        self.lease_expires_unix_ms = 0

    def running_tasks(self) -> dict[TaskId, Attempt]:
        """Return the attempts that run now."""
        self._advance()
        return {
            task_id: run.request.attempt
            for task_id, run in self._runs.items()
            if run.running
        }

    def committed(self) -> Resources:
        """Return the sum of the running attempts' resources."""
        total = Resources()
        for run in self._runs.values():
            if run.running:
                total = total + run.request.resources
        return total

    def start(self, request: StartRequest) -> Result[StartReply, AgentError]:
        """Start an attempt, or repeat the reply to an earlier start of it."""
        self._advance()
        stale = self._check_epoch(request.epoch)
        if stale:
            return Error(stale)
        reply = StartReply(request.task_id, request.attempt)
        last_attempt = self._last_attempts.get(request.task_id, Attempt(0))
        run = self._runs.get(request.task_id)
        if run and run.request.attempt == request.attempt:
            return Ok(reply)
        refusal = self._refusal(request, last_attempt)
        if refusal:
            return Error(AgentError(AgentErrorKind.REFUSED, refusal, self.epoch))
        self._last_attempts[request.task_id] = request.attempt
        self._started_attempts[request.task_id] = request.attempt
        self.start_count += 1
        behaviour = self.behaviours.get(request.command) or self.behaviours[""]
        self._runs[request.task_id] = _Run(request, behaviour, self.clock.unix_ms())
        if self.on_start is not None:
            self.on_start(self, request)
        if not self.committed().fits_in(self.capacity):
            raise InvariantError(f"worker {self.worker_id} exceeds its capacity")
        return Ok(reply)

    def _refusal(
        self, request: StartRequest, last_attempt: Attempt
    ) -> RefusalReason | None:
        now_ms = self.clock.unix_ms()
        if request.attempt <= last_attempt:
            return RefusalReason.OLD_ATTEMPT
        if now_ms >= request.not_after_unix_ms:
            return RefusalReason.LATE
        if now_ms >= self.lease_expires_unix_ms:
            return RefusalReason.NO_LEASE
        if not (self.committed() + request.resources).fits_in(self.capacity):
            return RefusalReason.CAPACITY
        return None

    def stop(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Stop an attempt and refuse it from now on.

        A repeat gets the same answer as the original.
        """
        self._advance()
        stale = self._check_epoch(epoch)
        if stale:
            return Error(stale)
        never_started = self._started_attempts.get(task_id, Attempt(0)) < attempt
        self._last_attempts[task_id] = max(
            attempt, self._last_attempts.get(task_id, Attempt(0))
        )
        run = self._runs.get(task_id)
        if run and run.request.attempt <= attempt:
            run.running = False
        return Ok(StopReply(task_id, never_started))

    def checkpoint(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Save an attempt's state and stop it."""
        run = self._runs.get(task_id)
        if run and run.running and epoch >= self.epoch:
            run.checkpoint_unix_ms = self.clock.unix_ms()
        return self.stop(epoch, task_id, attempt)

    def throttle(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, cores_milli: int
    ) -> Result[None, AgentError]:
        """Limit an attempt's cores, which leaves the rest to other tasks."""
        self._advance()
        stale = self._check_epoch(epoch)
        if stale:
            return Error(stale)
        run = self._runs.get(task_id)
        if run and run.running and run.request.attempt == attempt:
            held = run.request.resources
            limited = msgspec.structs.replace(
                held, cores_milli=min(held.cores_milli, cores_milli)
            )
            run.request = msgspec.structs.replace(run.request, resources=limited)
        return Ok(None)

    def renew(self, request: RenewRequest) -> Result[RenewReply, AgentError]:
        """Extend the lease; never shortens it."""
        self._advance()
        stale = self._check_epoch(request.epoch)
        if stale:
            return Error(stale)
        self.lease_expires_unix_ms = max(
            self.lease_expires_unix_ms, request.expires_unix_ms
        )
        return Ok(RenewReply(hash_tasks(self.running_tasks()) == request.tasks_hash))

    def report(
        self, epoch: Epoch, forget: tuple[tuple[TaskId, Attempt], ...]
    ) -> Result[WorkerReport, AgentError]:
        """Report all attempts; adopting `epoch` fences all lower ones."""
        self._advance()
        stale = self._check_epoch(epoch)
        if stale:
            return Error(stale)
        for task_id, attempt in forget:
            run = self._runs.get(task_id)
            if run and not run.running and run.request.attempt == attempt:
                del self._runs[task_id]
        return Ok(
            WorkerReport(
                self.worker_id,
                self.epoch,
                self.capacity,
                self.lease_expires_unix_ms,
                tuple(run.report() for run in self._runs.values()),
            )
        )

    def _check_epoch(self, epoch: Epoch) -> AgentError | None:
        if epoch < self.epoch:
            return AgentError(
                AgentErrorKind.REFUSED, RefusalReason.STALE_EPOCH, self.epoch
            )
        self.epoch = epoch
        return None

    def _advance(self) -> None:
        """Apply what happened since the last call: ends of tasks, lease expiry."""
        now_ms = self.clock.unix_ms()
        for run in self._runs.values():
            if run.running:
                self._advance_run(run, now_ms)

    def _advance_run(self, run: _Run, now_ms: int) -> None:
        end_ms = run.started_unix_ms + run.behaviour.run_time_ms
        if self.fails_everything or run.behaviour.fails:
            end_ms = min(end_ms, run.started_unix_ms + 1)
            ends = True
        else:
            ends = run.behaviour.run_time_ms > 0
        if ends and end_ms <= min(now_ms, self.lease_expires_unix_ms):
            run.running = False
            run.succeeded = not (self.fails_everything or run.behaviour.fails)
        elif now_ms >= self.lease_expires_unix_ms:
            run.running = False


class MemoryWorkers(WorkerAgent):
    """Worker agent port over a set of in-memory workers."""

    def __init__(self, workers: dict[WorkerId, MemoryWorker] | None = None):
        self.workers = workers if workers is not None else {}

    def _call(self, worker_id: WorkerId, call):
        worker = self.workers.get(worker_id)
        if worker is None or not worker.reachable:
            return Error(AgentError(AgentErrorKind.UNREACHABLE))
        return call(worker)

    async def start(
        self, worker_id: WorkerId, request: StartRequest
    ) -> Result[StartReply, AgentError]:
        """Start an attempt of a task."""
        return self._call(worker_id, lambda worker: worker.start(request))

    async def stop(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Stop an attempt."""
        return self._call(
            worker_id, lambda worker: worker.stop(epoch, task_id, attempt)
        )

    async def checkpoint(
        self, worker_id: WorkerId, epoch: Epoch, task_id: TaskId, attempt: Attempt
    ) -> Result[StopReply, AgentError]:
        """Save an attempt's state and stop it."""
        return self._call(
            worker_id, lambda worker: worker.checkpoint(epoch, task_id, attempt)
        )

    async def throttle(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        task_id: TaskId,
        attempt: Attempt,
        cores_milli: int,
    ) -> Result[None, AgentError]:
        """Limit an attempt's cores."""
        return self._call(
            worker_id,
            lambda worker: worker.throttle(epoch, task_id, attempt, cores_milli),
        )

    async def renew(
        self, worker_id: WorkerId, request: RenewRequest
    ) -> Result[RenewReply, AgentError]:
        """Extend the worker's lease."""
        return self._call(worker_id, lambda worker: worker.renew(request))

    async def report(
        self,
        worker_id: WorkerId,
        epoch: Epoch,
        forget: tuple[tuple[TaskId, Attempt], ...] = (),
    ) -> Result[WorkerReport, AgentError]:
        """Return the worker's tasks."""
        return self._call(worker_id, lambda worker: worker.report(epoch, forget))
