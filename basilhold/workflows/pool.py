"""State of a service's workers and their runs, as known to the service's owner.

The module performs no I/O.
"""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from basilhold.core import Epoch, JobId, Resources, WorkerId
from basilhold.tenants import NO_TENANT, TenantName, TenantUsage
from basilhold.workflows.crash_blame import EARLY_CRASH_MS, CrashEvidence, CrashLog
from basilhold.workflows.model import QueueName, RunNumber, StepSpec, TaskKey
from basilhold.workflows.progress import EndKind, RunEnd

__all__ = [
    "ListedEnd",
    "ListedRun",
    "Listing",
    "LossReason",
    "PROBE_MS",
    "Pool",
    "Run",
    "RunKey",
    "RunStage",
    "Worker",
    "WorkerInfo",
]

PENDING_POLL_MS = 50.0
"""Least time after which a poll without a reply is pending at its worker. An attempt
to connect to a worker that is gone is refused within a round trip."""

FAILED_RUNS_MAX = 3
"""Consecutive failed runs after which a worker temporarily receives no new runs."""

PROBE_MS = 2_500.0
"""Time from the start of a run after which it shows that its worker is sound, although
it has not ended."""


ISOLATED_RUN_MAX_MS = 4_000.0
"""Time from the start of an isolated suspect up to which nothing else starts on its
worker."""


class RunKey(NamedTuple):
    """Identifies a task among all workflows of a service."""

    job_id: JobId
    task: TaskKey


class WorkerInfo(msgspec.Struct, frozen=True):
    """Registration of a worker.

    Parameters
    ----------
    worker_id : WorkerId
    endpoint : str
        ``host:port`` of the worker's agent.
    born_unix_ms : int
        Unix time at which this incarnation of the worker started, in milliseconds.
    capacity : Resources
    rack : str
    labels : frozenset of str
    draining : bool
        Whether the worker is being decommissioned and accepts no new runs.
    zone : str
    """

    worker_id: WorkerId
    endpoint: str
    born_unix_ms: int
    capacity: Resources
    rack: str = ""
    labels: frozenset[str] = frozenset()
    draining: bool = False
    zone: str = ""


class LossReason(Enum):
    """Why no run that a worker had can be at work any more.

    `REPLACED` means that another worker replies at its address, and `RESTARTED` that
    the worker itself replies as a new incarnation. After `LAPSED`, the worker has been
    silent for longer than its lease; after `EXPIRED`, the same holds for one that the
    owner could never reach. `CLOSED` is not about the worker: the owner has dropped it.
    """

    REPLACED = "another worker has its address"
    RESTARTED = "it has restarted"
    LAPSED = "its lease has lapsed"
    EXPIRED = "its lease has expired"
    CLOSED = "the link was closed"


class RunStage(Enum):
    """Stage of a run, as known to the owner.

    `COMMITTING` runs wait until their assignment is stored, and `STARTING` runs for the
    reply to their start call. `UNCERTAIN` means that a start call got no reply and may
    still take effect.
    """

    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"


class Run(msgspec.Struct):
    """One run of a task on a worker.

    Parameters
    ----------
    key : RunKey
    number : RunNumber
    reserved : Resources
        Capacity of the worker that the run occupies.
    step : StepSpec, optional
        ``None`` for a run of an unknown workflow.
    stage : RunStage
    started_ms, sent_ms, confirmed_ms : float
        Time of the event loop's clock at which the start was decided, at which it was
        sent, and at which the worker first confirmed or listed the run, in
        milliseconds; 0 if this owner does not know it. The start of a restored run is
        the time of the takeover.
    polls_before : int
        Number of polls of the worker that had been sent when it confirmed or listed the
        run; only the listings of later ones certainly contain the run.
    until_clock_ms : float
        Time of the worker's clock, in milliseconds, after which an unanswered start can
        no longer take effect.
    stopping : bool
        Whether stop calls are being sent.
    stop_wanted : bool
        Whether the run must end.
    stop_confirmed : bool
        Whether the worker has confirmed the stop.
    listed : bool
        Whether a listing of the worker has contained the run.
    percent : int
        Share of full speed at which the run works, in percent.
    usage : float
        Tail latency of a serving task in milliseconds; for other tasks, cores in use.
    checkpoint : str
        Latest checkpoint; empty if there is none.
    checkpoint_ms : float
        Time of the event loop's clock at which the checkpoint was first listed, in
        milliseconds.
    priority : int
        Priority of the queue at the start; 0 is the highest.
    tenant : TenantName
        Tenant of the workflow.
    size : Resources
        Resources that count against the quota of the tenant.
    is_suspect : bool
        Whether the run may crash its worker; see `crash_blame`.
    is_isolated : bool
        Whether nothing else starts on the worker at first.
    disconnected_ms : float
        Time of the event loop's clock at which the connection broke over which the
        start had been sent, in milliseconds; 0 if it has not.
    is_restored : bool
        Whether a previous owner has started the run.
    crash : CrashEvidence, optional
        What the crash of the worker's previous incarnation says about the run, which
        may have been at work there.
    is_unassigned : bool
        Whether a worker has listed the run although it is not assigned to it. Its task
        must not start elsewhere before the run has ended.
    is_absent : bool
        Whether the run is no longer at work, although its end is not listed yet: a
        listing that was not complete has contained neither.
    queue : QueueName
        Queue of the workflow; empty for a run of an unknown workflow.
    held_until_ms : float
        Time of the event loop's clock up to which the run counts as possibly at work
        even if the lease of its worker has expired, in milliseconds: its start got no
        reply, and a later incarnation may carry it out.
    """

    key: RunKey
    number: RunNumber
    reserved: Resources
    step: StepSpec | None = None
    stage: RunStage = RunStage.COMMITTING
    started_ms: float = 0.0
    sent_ms: float = 0.0
    confirmed_ms: float = 0.0
    polls_before: int = 0
    until_clock_ms: float = 0.0
    stopping: bool = False
    stop_wanted: bool = False
    stop_confirmed: bool = False
    listed: bool = False
    percent: int = 100
    usage: float = 0.0
    checkpoint: str = ""
    checkpoint_ms: float = 0.0
    priority: int = 0
    tenant: TenantName = NO_TENANT
    size: Resources = Resources()
    is_suspect: bool = False
    is_isolated: bool = False
    disconnected_ms: float = 0.0
    is_restored: bool = False
    crash: CrashEvidence | None = None
    is_unassigned: bool = False
    is_absent: bool = False
    queue: QueueName = QueueName("")
    held_until_ms: float = 0.0

    @property
    def begun_ms(self) -> float:
        """When the run began, as a time of the event loop's clock in milliseconds.

        A run begins once its worker has confirmed it. A slow store delays the start,
        which is no fault of the worker. Until then, it is the time of the decision.
        """
        return max(self.started_ms, self.confirmed_ms)

    def lost_end(self, crash: CrashEvidence | None = None) -> RunEnd:
        """Return the end of the run if it can no longer be at work.

        Parameters
        ----------
        crash : CrashEvidence, optional
            What the crash of the worker says about the run, if there was one.
        """
        crash = crash or self.crash
        end = RunEnd(self.key.task, self.number, EndKind.LOST, self.checkpoint)
        if crash is None:
            return end
        return msgspec.structs.replace(end, kind=EndKind.CRASHED, crash=crash)

    @property
    def may_have_begun(self) -> bool:
        """Whether this incarnation has carried out the start, as far as is known."""
        if self.crash is not None:
            return False
        if self.stage is RunStage.UNCERTAIN:
            return self.disconnected_ms > 0
        return self.stage is not RunStage.COMMITTING


class ListedRun(msgspec.Struct, frozen=True):
    """A run in a worker's listing."""

    key: RunKey
    number: RunNumber
    checkpoint: str
    percent: int
    usage: float


class ListedEnd(msgspec.Struct, frozen=True):
    """An ended run in a worker's listing.

    `sequence` numbers the ends of one incarnation of the worker, starting at 1.
    """

    sequence: int
    key: RunKey
    end: RunEnd


class Listing(msgspec.Struct, frozen=True):
    """Reply of a worker that lists all its running and ended runs.

    Parameters
    ----------
    clock_ms : float
        Time of the worker's own clock, in milliseconds.
    born_unix_ms : int
        Unix time at which the worker's incarnation started, in milliseconds.
    running : tuple of ListedRun
    ended : tuple of ListedEnd
        Ended runs that the owner has not acknowledged yet.
    is_complete : bool
        Whether these are all of them. The next ones are listed after an
        acknowledgement.
    """

    clock_ms: float
    born_unix_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    is_complete: bool = True


class Worker:
    """A worker and its runs.

    Parameters
    ----------
    info : WorkerInfo
    usage : TenantUsage, optional
        Updated with the runs of the worker.

    Attributes
    ----------
    worker_id : WorkerId
    runs : dict of RunKey to Run
    free : Resources
        Capacity that no run occupies.
    listed : bool
        Whether the worker answered the latest request for its listing.
    unregistered : bool
        Whether the worker is no longer registered or has been removed from the pool.
    listed_ms, clock_ms : float
        Time of the event loop's clock at the last listing, and time of the worker's
        clock in that listing, in milliseconds.
    fence : Epoch
        Fencing token of calls to the worker.
    acknowledged_sequence, processed_sequence : int
        Last ended run that may be acknowledged to the worker, and last one processed.
    failed_runs : int
        Consecutive failed runs.
    failed_ms : float
        Time of the event loop's clock at which the last of them ended, in milliseconds.
    avoid_until_ms : float
        Time of the event loop's clock before which no runs are placed here, in
        milliseconds.
    run_time_ratio : float
        Moving average of actual to expected run times; above 1 for a slow worker.
    sound_ms : float
        Time of the event loop's clock at which a run of ordinary length last ended, in
        milliseconds.
    draining_since_ms : float
        Time of the event loop's clock at which the owner noticed that the worker is
        draining, in milliseconds; 0 if it has not.
    heard_ms : float
        Time of the event loop's clock at which the latest reply arrived, in
        milliseconds.
    silent_since_ms : float
        Time of the event loop's clock at which the first poll failed that no reply has
        followed, in milliseconds; 0 if the worker answers.
    alive_until_ms : float
        Time of the event loop's clock until which the worker was certainly up, in
        milliseconds.
    disconnected : bool
        Whether that poll failed because the connection was refused or closed.
    round_trip_ms : float
        Shortest time from a call to its reply, in milliseconds; 0 if none is known.
    suspects : dict of RunKey to Run
        Runs that may crash the worker.
    unassigned : dict of RunKey to Run
        Runs that the worker has listed although they are not assigned to it.
    poll_count : int
        Number of polls sent to this incarnation.
    late_calls_until_ms : float
        Time of the event loop's clock until which a start without a reply may still be
        carried out, in milliseconds. Its fencing token is below `fence`.
    """

    def __init__(self, info: WorkerInfo, usage: TenantUsage | None = None):
        self.info = info
        self._usage = usage if usage is not None else TenantUsage()
        # An attribute, since the planner compares ids often and a property takes three
        # times as long.
        self.worker_id = info.worker_id
        self.runs: dict[RunKey, Run] = {}
        self.free = info.capacity
        self.listed = False
        self.unregistered = False
        self.listed_ms = 0.0
        self.clock_ms = 0.0
        self.fence = Epoch(0)
        self._own_lease_ms = 0.0
        self._foreign_lease_ms = 0.0
        self.acknowledged_sequence = 0
        self.processed_sequence = 0
        self.failed_runs = 0
        self.failed_ms = 0.0
        self.avoid_until_ms = 0.0
        self.run_time_ratio = 1.0
        self.sound_ms = -math.inf
        self.draining_since_ms = 0.0
        self.heard_ms = 0.0
        self.silent_since_ms = 0.0
        self.alive_until_ms = 0.0
        self.disconnected = False
        self.round_trip_ms = 0.0
        self.suspects: dict[RunKey, Run] = {}
        self.unassigned: dict[RunKey, Run] = {}
        self.poll_count = 0
        self.late_calls_until_ms = 0.0

    @property
    def lease_expires_ms(self) -> float:
        """Time of the event loop's clock up to which the lease on the worker may last.

        In milliseconds.
        """
        return max(self._own_lease_ms, self._foreign_lease_ms)

    def note_lease(self, until_ms: float) -> None:
        """Record that the lease may last up to a time of the event loop's clock."""
        self._own_lease_ms = max(self._own_lease_ms, until_ms)

    def note_foreign_lease(self, until_ms: float) -> None:
        """Record how long a call for a former incarnation may extend the lease."""
        self._foreign_lease_ms = max(self._foreign_lease_ms, until_ms)

    def limit_foreign_lease(self, until_ms: float) -> None:
        """Record that such calls have no effect any more, and how long it may last."""
        self._foreign_lease_ms = until_ms

    def lapsed_runs(self, now_ms: float) -> list[Run]:
        """Return the runs that cannot be at work any more, as the lease has expired.

        Runs whose starts may still be carried out are not among them.
        """
        if now_ms <= self.lease_expires_ms:
            return []
        return [
            run
            for run in self.runs.values()
            if run.stage is not RunStage.COMMITTING and now_ms > run.held_until_ms
        ]

    def has_lapsed(self, now_ms: float) -> bool:
        """Return whether the lease has expired and runs are to be ended for it.

        That is so without any runs too, but not if all of them are held.
        """
        if now_ms <= self.lease_expires_ms:
            return False
        return bool(self.lapsed_runs(now_ms)) or not self.has_held_runs(now_ms)

    def has_held_runs(self, now_ms: float) -> bool:
        """Return whether runs are held beyond the lease."""
        return any(run.held_until_ms >= now_ms for run in self.runs.values())

    def note_reply(self, now_ms: float) -> None:
        """Record that a poll was answered."""
        self.heard_ms = self.alive_until_ms = now_ms
        self.silent_since_ms = 0.0
        self.disconnected = False

    def note_round_trip(self, took_ms: float) -> None:
        """Record the time from a call to its immediate reply, in milliseconds."""
        known_ms = self.round_trip_ms or took_ms
        self.round_trip_ms = min(known_ms, took_ms)

    def note_silence(self, now_ms: float, disconnected: bool, sent_ms: float) -> bool:
        """Record that a poll failed; return whether it is the first one to fail.

        Parameters
        ----------
        now_ms, sent_ms : float
            Times of the event loop's clock at which the poll failed and was sent, in
            milliseconds.
        disconnected : bool
            Whether the connection was refused or closed.
        """
        if self.silent_since_ms:
            return False
        self.silent_since_ms = now_ms
        self.disconnected = disconnected
        refusal_ms = max(PENDING_POLL_MS, 2 * self.round_trip_ms)
        if disconnected and now_ms - sent_ms > refusal_ms:
            # The worker had accepted the poll and was up until the connection broke.
            self.alive_until_ms = now_ms
        return True

    def clear_suspect(self, key: RunKey) -> None:
        """Record that a run does not crash the worker."""
        run = self.suspects.pop(key, None)
        if run is not None:
            run.is_suspect = False

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether nothing but suspects of one workflow may start here."""
        return any(
            run.is_isolated and now_ms - run.started_ms < ISOLATED_RUN_MAX_MS
            for run in self.suspects.values()
        )

    def has_started_recently(self, now_ms: float) -> bool:
        """Return whether a run has just begun, or is about to begin, on this worker."""
        return any(
            run.stage in (RunStage.COMMITTING, RunStage.STARTING)
            or now_ms - run.sent_ms < EARLY_CRASH_MS
            for run in self.runs.values()
        )

    def youngest_run(self) -> Run | None:
        """Return the run that started last, among those that may have begun."""
        begun = [r for r in self.runs.values() if r.stage is not RunStage.COMMITTING]
        return max(begun, key=lambda run: run.sent_ms, default=None)

    def clock_at(self, now_ms: float) -> float:
        """Return the worker's clock at a time of the event loop's, in milliseconds."""
        return self.clock_ms + (now_ms - self.listed_ms)

    def add(self, run: Run) -> None:
        """Add a run and allocate its capacity."""
        self.runs[run.key] = run
        if run.is_suspect:
            self.suspects[run.key] = run
        if run.is_unassigned:
            self.unassigned[run.key] = run
        self.free = self.free - run.reserved
        self._usage.add(run.tenant, run.size)

    def remove(self, key: RunKey) -> Run | None:
        """Remove a run, if there is one, and free its capacity."""
        run = self.runs.pop(key, None)
        self.suspects.pop(key, None)
        self.unassigned.pop(key, None)
        if run is not None:
            self.free = self.free + run.reserved
            self._usage.subtract(run.tenant, run.size)
        return run

    def accepts_runs(self, now_ms: float) -> bool:
        """Return whether new runs may be placed on this worker."""
        if not self.listed or self.unregistered or self.info.draining:
            return False
        if now_ms < self.avoid_until_ms:
            return False
        # After repeated failures, a worker gets the runs of one planning pass at a time
        # as probes until one succeeds.
        return self.failed_runs < FAILED_RUNS_MAX or not self._probes()

    def _probes(self) -> list[Run]:
        """Return the runs that have been placed here since the last failure."""
        return [run for run in self.runs.values() if run.started_ms >= self.failed_ms]

    def end_probation(self, now_ms: float) -> None:
        """Accept new runs again if a probe has been at work for long enough.

        The next failure makes the worker avoided again.
        """
        if self.failed_runs < FAILED_RUNS_MAX:
            return
        at_work = [run for run in self._probes() if not run.is_absent]
        if any(now_ms - run.started_ms >= PROBE_MS for run in at_work):
            self.failed_runs = FAILED_RUNS_MAX - 1

    def has_room(self, step: StepSpec) -> bool:
        """Return whether one task of a step fits into the free capacity."""
        return step.reserved().fits_in(self.free)

    def is_admissible(self, step: StepSpec) -> bool:
        """Return whether a task of a step could run here if the worker were idle."""
        if step.label and step.label not in self.info.labels:
            return False
        return step.reserved().fits_in(self.info.capacity)

    def count_of_step(self, job_id: JobId, occurrence: int, step: int) -> int:
        """Return the number of a step's tasks on this worker."""
        return sum(
            1
            for key in self.runs
            if key.job_id == job_id
            and key.task.step == step
            and key.task.occurrence == occurrence
        )

    def record_outcome(self, failed: bool, now_ms: float, avoid_ms: float) -> bool:
        """Record the outcome of a run and avoid the worker after repeated failures.

        Parameters
        ----------
        failed : bool
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        avoid_ms : float
            Time for which a failing worker gets no new runs, in milliseconds.

        Returns
        -------
        bool
            Whether this failure is the one that reached `FAILED_RUNS_MAX`.
        """
        if not failed:
            self.failed_runs = 0
            self.avoid_until_ms = 0.0
            return False
        self.failed_runs += 1
        self.failed_ms = now_ms
        if self.failed_runs < FAILED_RUNS_MAX:
            return False
        self.avoid_until_ms = now_ms + avoid_ms
        return self.failed_runs == FAILED_RUNS_MAX


class Pool:
    """All workers of a service.

    Attributes
    ----------
    workers : dict of WorkerId to Worker
    usage : TenantUsage
        Resources that the runs of each tenant use on these workers.
    crash_log : CrashLog
        When workers stopped answering.
    """

    def __init__(self):
        self.workers: dict[WorkerId, Worker] = {}
        self.usage = TenantUsage()
        self.crash_log = CrashLog()
        # Each start looks for unassigned runs, which few workers ever have.
        self._unassigned_holders: set[WorkerId] = set()

    def capacity(self) -> Resources:
        """Return the capacity of all workers."""
        total = Resources()
        for worker in self.workers.values():
            total = total + worker.info.capacity
        return total

    def used_cores_ratio(self) -> float:
        """Return the share of all cores that runs occupy."""
        capacity = sum(w.info.capacity.cores_milli for w in self.workers.values())
        free = sum(w.free.cores_milli for w in self.workers.values())
        return (capacity - free) / max(1, capacity)

    def accepting_workers(self, now_ms: float) -> list[Worker]:
        """Return the workers that accept new runs."""
        return [w for w in self.workers.values() if w.accepts_runs(now_ms)]

    def birth_times(self, worker_ids: Iterable[WorkerId]) -> dict[WorkerId, int]:
        """Return when the known ones of some workers started, as Unix milliseconds."""
        known = {w: self.workers[w] for w in worker_ids if w in self.workers}
        return {name: worker.info.born_unix_ms for name, worker in known.items()}

    def unassigned_keys(self) -> set[RunKey]:
        """Return the tasks with runs at work that are not assigned."""
        keys: set[RunKey] = set()
        for worker_id in list(self._unassigned_holders):
            worker = self.workers.get(worker_id)
            if worker is not None and worker.unassigned:
                keys.update(worker.unassigned)
            else:
                self._unassigned_holders.discard(worker_id)
        return keys

    def add_unassigned(self, worker: Worker, run: Run) -> None:
        """Add a run that a worker has listed although it is not assigned to it."""
        run.is_unassigned = True
        worker.add(run)
        self._unassigned_holders.add(worker.worker_id)

    def find_run(self, worker_id: WorkerId, key: RunKey) -> Run | None:
        """Return a task's run on a worker, or ``None``."""
        worker = self.workers.get(worker_id)
        return worker.runs.get(key) if worker else None
