"""The workers of a service as their owner knows them, and what runs on them. Pure."""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from basilhold.core import JobId, Resources, WorkerId
from basilhold.workflows.model import RunNumber, StepSpec, TaskKey
from basilhold.workflows.progress import EndKind, RunEnd

__all__ = [
    "EndedRun",
    "ListedEnd",
    "ListedRun",
    "Listing",
    "Pool",
    "Run",
    "RunKey",
    "RunStage",
    "Worker",
    "WorkerInfo",
    "transfer_runs",
    "reconcile",
    "remove_lost_runs",
]

FAILED_RUNS_MAX = 3
"""Consecutive failed runs after which a worker gets no new work for a while."""


class RunKey(NamedTuple):
    """Names a task among all workflows of a service."""

    job_id: JobId
    task: TaskKey


class WorkerInfo(msgspec.Struct, frozen=True):
    """What a worker's registration says.

    Parameters
    ----------
    worker_id : WorkerId
    endpoint : str
        ``host:port`` of its agent.
    born_unix_ms : int
        Start of this incarnation.
    capacity : Resources
    rack : str
    labels : frozenset of str
    draining : bool
        The worker leaves and takes no new work.
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


class RunStage(Enum):
    """Where a run stands, as far as the owner knows.

    `UNCERTAIN` means that a start got no reply and may still take effect.
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
        What it takes of the worker's capacity.
    step : StepSpec, optional
        ``None`` for a run of an unknown workflow.
    stage : RunStage
    started_ms, confirmed_ms : float
        Times of the loop's clock at which the start was decided, and at which the
        worker confirmed or listed the run first.
    until_clock_ms : float
        Worker's clock after which an unanswered start can no longer take effect.
    stopping : bool
    stop_wanted, stop_confirmed : bool
        The run must end; the worker has confirmed the stop.
    listed : bool
        The worker's own list has shown the run.
    percent : int
        Pace at which it works.
    usage : float
        Tail latency of a serving task in milliseconds, else cores in use.
    checkpoint : str
    """

    key: RunKey
    number: RunNumber
    reserved: Resources
    step: StepSpec | None = None
    stage: RunStage = RunStage.COMMITTING
    started_ms: float = 0.0
    confirmed_ms: float = 0.0
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


class ListedRun(msgspec.Struct, frozen=True):
    """A run in a worker's list."""

    key: RunKey
    number: RunNumber
    checkpoint: str
    percent: int
    usage: float


class ListedEnd(msgspec.Struct, frozen=True):
    """An end in a worker's list, numbered per incarnation from 1."""

    sequence: int
    key: RunKey
    end: RunEnd


class Listing(msgspec.Struct, frozen=True):
    """Reply of a worker: everything that runs and has ended there.

    Parameters
    ----------
    clock_ms : float
        Worker's own clock.
    born_unix_ms : int
    running : tuple of ListedRun
    ended : tuple of ListedEnd
        Ends that were not acknowledged yet.
    """

    clock_ms: float
    born_unix_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


class Worker:
    """A worker with its runs.

    Parameters
    ----------
    info : WorkerInfo

    Attributes
    ----------
    worker_id : WorkerId
    """

    def __init__(self, info: WorkerInfo):
        self.info = info
        # The planner compares ids often; an attribute costs a third of a property.
        self.worker_id = info.worker_id
        self.runs: dict[RunKey, Run] = {}
        self.free = info.capacity
        self.listed = False
        self.unregistered = False
        self.listed_ms = 0.0
        self.clock_ms = 0.0
        self.lease_expires_ms = 0.0
        self.acknowledged_sequence = 0
        self.processed_sequence = 0
        self.failed_runs = 0
        self.avoid_until_ms = 0.0
        self.run_time_ratio = 1.0
        self.draining_since_ms = 0.0

    def clock_at(self, now_ms: float) -> float:
        """Return the worker's clock at a time of the loop's clock."""
        return self.clock_ms + (now_ms - self.listed_ms)

    def add(self, run: Run) -> None:
        """Reserve capacity for a run."""
        self.runs[run.key] = run
        self.free = self.free - run.reserved

    def remove(self, key: RunKey) -> Run | None:
        """Release a run's capacity."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.free = self.free + run.reserved
        return run

    def accepts_runs(self, now_ms: float) -> bool:
        """Return whether new runs may be placed here."""
        if not self.listed or self.unregistered or self.info.draining:
            return False
        if now_ms < self.avoid_until_ms:
            return False
        # A worker that failed everything lately proves itself with one run.
        return self.failed_runs < FAILED_RUNS_MAX or not self.runs

    def has_room(self, step: StepSpec) -> bool:
        """Return whether one task of a step fits now."""
        return step.reserved().fits_in(self.free)

    def is_admissible(self, step: StepSpec) -> bool:
        """Return whether a step's tasks could run here if the worker were empty."""
        if step.label and step.label not in self.info.labels:
            return False
        return step.reserved().fits_in(self.info.capacity)

    def count_of_step(self, job_id: JobId, occurrence: int, step: int) -> int:
        """Return how many tasks of a step run here."""
        return sum(
            1
            for key in self.runs
            if key.job_id == job_id
            and key.task.step == step
            and key.task.occurrence == occurrence
        )

    def record_outcome(self, failed: bool, now_ms: float, avoid_ms: float) -> bool:
        """Count the outcome of a run; return whether the worker becomes avoided."""
        if not failed:
            self.failed_runs = 0
            self.avoid_until_ms = 0.0
            return False
        self.failed_runs += 1
        if self.failed_runs < FAILED_RUNS_MAX:
            return False
        self.avoid_until_ms = now_ms + avoid_ms
        return self.failed_runs == FAILED_RUNS_MAX


class Pool:
    """All workers of a service."""

    def __init__(self):
        self.workers: dict[WorkerId, Worker] = {}

    def accepting_workers(self, now_ms: float) -> list[Worker]:
        """Return the workers that take new runs."""
        return [w for w in self.workers.values() if w.accepts_runs(now_ms)]

    def find_run(self, worker_id: WorkerId, key: RunKey) -> Run | None:
        """Return a task's run on a worker."""
        worker = self.workers.get(worker_id)
        return worker.runs.get(key) if worker else None


class EndedRun(msgspec.Struct):
    """The end of a run; `run` is ``None`` if it had been given up before."""

    key: RunKey
    end: RunEnd
    run: Run | None = None


class Reconciled(msgspec.Struct):
    """What a listing changed.

    Parameters
    ----------
    ends : list of EndedRun
        Ends to apply to the workflows, in order.
    unknown : list of ListedRun
        Runs that the owner did not place; they have to be stopped or adopted.
    """

    ends: list[EndedRun]
    unknown: list[ListedRun]


def reconcile(
    worker: Worker, listing: Listing, asked_ms: float, now_ms: float
) -> Reconciled:
    """Bring a worker's runs in line with its own list.

    Parameters
    ----------
    worker : Worker
    listing : Listing
    asked_ms, now_ms : float
        Times of the loop's clock at which the list was asked for and arrived.

    Returns
    -------
    Reconciled
    """
    result = Reconciled([], [])
    worker.listed = True
    worker.listed_ms = now_ms
    worker.clock_ms = listing.clock_ms
    listed_keys = set()
    for listed in listing.running:
        listed_keys.add(listed.key)
        _apply_listed_run(worker, listed, now_ms, result)
    for ended in listing.ended:
        if ended.sequence <= worker.processed_sequence:
            continue
        worker.processed_sequence = ended.sequence
        run = worker.runs.get(ended.key)
        if run is not None and run.number <= ended.end.run:
            worker.remove(ended.key)
            listed_keys.discard(ended.key)
        same = run is not None and run.number == ended.end.run
        result.ends.append(EndedRun(ended.key, ended.end, run if same else None))
    for key, run in list(worker.runs.items()):
        if key not in listed_keys and _is_lost(run, listing, asked_ms):
            worker.remove(key)
            end = RunEnd(key.task, run.number, EndKind.LOST, run.checkpoint)
            result.ends.append(EndedRun(key, end))
    return result


def _apply_listed_run(
    worker: Worker, listed: ListedRun, now_ms: float, result: Reconciled
) -> None:
    run = worker.runs.get(listed.key)
    if run is None or run.number != listed.number:
        result.unknown.append(listed)
        return
    if run.stage in (RunStage.STARTING, RunStage.UNCERTAIN):
        run.stage = RunStage.RUNNING
        run.confirmed_ms = now_ms
    if listed.checkpoint and listed.checkpoint != run.checkpoint:
        run.checkpoint = listed.checkpoint
        run.checkpoint_ms = now_ms
    run.listed = True
    run.percent = listed.percent
    run.usage = listed.usage


def _is_lost(run: Run, listing: Listing, asked_ms: float) -> bool:
    """Return whether a run that is not listed cannot run there any more."""
    if run.stage is RunStage.COMMITTING or run.stage is RunStage.STARTING:
        return False
    if run.stage is RunStage.UNCERTAIN:
        return listing.clock_ms > run.until_clock_ms
    return run.confirmed_ms < asked_ms


def transfer_runs(old: Worker, new: Worker) -> None:
    """Move the runs that may exist on a new incarnation of a worker to it.

    An incarnation has the address of the one before, so an order that was under way
    may have reached either of the two. The runs are stopped: once the new incarnation
    has confirmed that, they cannot start there any more.
    """
    for key, run in list(old.runs.items()):
        if run.listed or run.stage is RunStage.COMMITTING:
            continue
        old.remove(key)
        run.stage = RunStage.UNCERTAIN
        run.until_clock_ms = math.inf
        run.stop_wanted = True
        run.stop_confirmed = False
        new.add(run)


def remove_lost_runs(worker: Worker) -> Iterable[EndedRun]:
    """Remove all runs of a worker whose lease has lapsed or that has restarted."""
    for key, run in list(worker.runs.items()):
        if run.stage is RunStage.COMMITTING:
            continue
        worker.remove(key)
        end = RunEnd(key.task, run.number, EndKind.LOST, run.checkpoint)
        yield EndedRun(key, end)
