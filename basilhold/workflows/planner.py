"""Which task starts where. Pure.

The planner answers a backlog of unlike steps on uneven workers. Steps are served by
priority and, within one, by how soon they must start to end in time. A step that an
external service must admit is asked about only while a worker has room for it.
"""

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import AdmissionBook, StepAdmission, StepKey
from basilhold.workflows.model import StepSpec, TaskKey, objective_ms
from basilhold.workflows.pool import Pool, Run, RunKey, Worker
from basilhold.workflows.progress import Workflow

__all__ = ["Placement", "Plan", "Preemption", "Question", "ReadyStep", "plan"]

WORKERS_ASKED_MAX = 30
"""Most workers named in a question; the service's time grows with each of them."""

FAR_PENALTY = 2.0
"""Score of a worker away from the step's data, above any packing score."""

PREEMPTION_STOP_MAX = 8
"""Most runs that are stopped for one task."""


class ReadyStep(msgspec.Struct):
    """A step with tasks that wait.

    Parameters
    ----------
    workflow : Workflow
    occurrence, number : int
    keys : list of TaskKey
        Its waiting tasks.
    due_unix_ms : float
        When the workflow has to end to meet its objective.
    start_by_unix_ms : float
        When the step has to start for that.
    """

    workflow: Workflow
    occurrence: int
    number: int
    keys: list[TaskKey]
    due_unix_ms: float
    start_by_unix_ms: float

    @property
    def spec(self) -> StepSpec:
        """The step."""
        return self.workflow.spec.steps[self.number]

    @property
    def key(self) -> StepKey:
        """Name of the step."""
        return StepKey(self.workflow.job_id, self.occurrence, self.number)

    @property
    def priority(self) -> int:
        """Priority of the queue."""
        return self.workflow.spec.policy.priority


class Placement(msgspec.Struct):
    """A task and where it starts."""

    step: ReadyStep
    key: TaskKey
    worker: Worker
    ticket: str


class Question(msgspec.Struct):
    """A step and the workers that the external service is asked about."""

    step: ReadyStep
    workers: tuple[WorkerId, ...]


class Preemption(msgspec.Struct):
    """A run that is stopped so that a step of higher priority can start."""

    worker: Worker
    run: Run
    step: ReadyStep


class Plan(msgspec.Struct):
    """Outcome of one pass."""

    placements: list[Placement]
    questions: list[Question]
    preemptions: list[Preemption]


def ready_step(
    workflow: Workflow, occurrence: int, number: int, keys: list[TaskKey]
) -> ReadyStep:
    """Return a step with its deadlines."""
    spec = workflow.spec
    begin_ms = spec.due_unix_ms(occurrence) or spec.submitted_unix_ms
    due_ms = begin_ms + objective_ms(spec)
    chain_ms = _chain_from(spec.steps, number)
    return ReadyStep(workflow, occurrence, number, keys, due_ms, due_ms - chain_ms)


def _chain_from(steps: tuple[StepSpec, ...], number: int) -> float:
    """Return the longest chain of estimates that begins with a step."""
    tails = [step.estimate_ms for step in steps]
    for later in range(len(steps) - 1, -1, -1):
        for before in steps[later].after:
            length = steps[before].estimate_ms + tails[later]
            tails[before] = max(tails[before], length)
    return tails[number]


def plan(
    steps: list[ReadyStep], pool: Pool, book: AdmissionBook, now_ms: float
) -> Plan:
    """Place waiting tasks; the placements are reserved in the pool.

    Parameters
    ----------
    steps : list of ReadyStep
    pool : Pool
    book : AdmissionBook
    now_ms : float
        Time of the loop's clock, in milliseconds.

    Returns
    -------
    Plan
    """
    planner = _Pass(pool, book, now_ms)
    for step in sorted(steps, key=lambda s: (s.priority, s.start_by_unix_ms)):
        planner.place(step)
    return planner.result


class _Pass:
    """One pass over the waiting steps."""

    def __init__(self, pool: Pool, book: AdmissionBook, now_ms: float):
        self._book = book
        self._now_ms = now_ms
        self._usable = pool.usable(now_ms)
        self._claimed: dict[WorkerId, Resources] = {}
        self.result = Plan([], [], [])

    def place(self, step: ReadyStep) -> None:
        """Place what fits of a step, or ask about it."""
        fits = [w for w in self._usable if w.is_admissible(step.spec)]
        if not fits:
            return
        if step.workflow.spec.policy.advice is None:
            self._place_on(step, fits, None)
            return
        known = self._book.step(step.key)
        ticketed = [w for w in fits if known.ticket(w.worker_id, self._now_ms)]
        if ticketed:
            self._place_on(step, ticketed, known)
        if step.keys and not known.asking and self._now_ms >= known.retry_ms:
            self._ask(step, fits, known)

    def _place_on(
        self, step: ReadyStep, workers: list[Worker], known: StepAdmission | None
    ) -> None:
        placed: list[Placement] = []
        for key in step.keys:
            worker = self._choose(step, key, workers)
            if worker is None:
                break
            run = _make_run(step, key, self._now_ms)
            worker.add(run)
            ticket = known.ticket(worker.worker_id, self._now_ms) if known else ""
            placed.append(Placement(step, key, worker, ticket))
        if step.spec.gang and len(placed) < len(step.keys):
            for placement in placed:
                placement.worker.remove(RunKey(step.workflow.job_id, placement.key))
            placed = []
        self.result.placements.extend(placed)
        if len(placed) < len(step.keys):
            self._preempt(step, workers, len(step.keys) - len(placed))
        del step.keys[: len(placed)]

    def _choose(
        self, step: ReadyStep, key: TaskKey, workers: list[Worker]
    ) -> Worker | None:
        spec = step.spec
        failed_on = step.workflow.task(key).failed_on
        best, best_score = None, 0.0
        for worker in workers:
            if not spec.reserved().fits_in(self._room(worker)):
                continue
            if spec.per_worker_max and self._is_full(step, worker):
                continue
            score = _packing_score(worker, spec)
            if spec.rack and worker.info.rack != spec.rack:
                score += FAR_PENALTY
            if worker.worker_id in failed_on:
                score += 2 * FAR_PENALTY
            if best is None or score < best_score:
                best, best_score = worker, score
        return best

    def _room(self, worker: Worker) -> Resources:
        claimed = self._claimed.get(worker.worker_id)
        return worker.free - claimed if claimed else worker.free

    def _is_full(self, step: ReadyStep, worker: Worker) -> bool:
        job_id = step.workflow.job_id
        count = worker.count_of_step(job_id, step.occurrence, step.number)
        return count >= step.spec.per_worker_max

    def _ask(self, step: ReadyStep, fits: list[Worker], known: StepAdmission) -> None:
        open_workers = [w for w in fits if w.worker_id not in known.refused]
        first = not known.admitted and not known.refused
        if not first:
            open_workers = [
                w
                for w in open_workers
                if step.spec.reserved().fits_in(self._room(w))
                and not known.ticket(w.worker_id, self._now_ms)
            ]
        if not open_workers:
            return
        open_workers.sort(key=lambda w: -w.free.cores_milli)
        names = tuple(w.worker_id for w in open_workers[:WORKERS_ASKED_MAX])
        self.result.questions.append(Question(step, names))

    def _preempt(self, step: ReadyStep, workers: list[Worker], count: int) -> None:
        """Stop cheaper runs of lower priority for tasks that do not fit."""
        if step.spec.gang:
            count = len(step.keys)
        for worker in sorted(workers, key=lambda w: -w.free.cores_milli):
            if count <= 0:
                return
            count -= self._preempt_on(step, worker, count)

    def _preempt_on(self, step: ReadyStep, worker: Worker, count: int) -> int:
        """Claim room on a worker for up to `count` tasks; return for how many."""
        size = step.spec.reserved()
        room = self._room(worker)
        stopping = [run for run in worker.runs.values() if run.stop_wanted]
        for run in stopping:
            room = room + run.reserved
        victims = sorted(
            (run for run in worker.runs.values() if _may_stop(run, step)),
            key=lambda run: (-run.priority, self._now_ms - _saved_ms(run)),
        )
        if step.spec.per_worker_max:
            count = min(count, step.spec.per_worker_max)
        served = 0
        while served < count:
            needed = size
            chosen: list[Run] = []
            have = room
            for run in victims:
                if needed.fits_in(have) or len(chosen) == PREEMPTION_STOP_MAX:
                    break
                chosen.append(run)
                have = have + run.reserved
            if not needed.fits_in(have):
                return served
            for run in chosen:
                victims.remove(run)
                run.stop_wanted = True
                self.result.preemptions.append(Preemption(worker, run, step))
            room = have - size
            claimed = self._claimed.get(worker.worker_id, Resources())
            self._claimed[worker.worker_id] = claimed + size
            served += 1
        return served


def _make_run(step: ReadyStep, key: TaskKey, now_ms: float) -> Run:
    spec = step.spec
    number = step.workflow.next_run(
        step.workflow.step_keys(key.occurrence, key.step) if spec.gang else [key]
    )
    return Run(
        RunKey(step.workflow.job_id, key),
        number,
        spec.reserved(),
        spec,
        started_ms=now_ms,
        checkpoint=step.workflow.task(key).checkpoint,
        priority=step.priority,
    )


def _may_stop(run: Run, step: ReadyStep) -> bool:
    spec = run.step
    return (
        spec is not None
        and run.priority > step.priority
        and not run.stop_wanted
        and not spec.gang
        and not spec.long_running
        and not spec.uses_spare_cores
    )


def _saved_ms(run: Run) -> float:
    return run.checkpoint_ms or run.started_ms


def _packing_score(worker: Worker, step: StepSpec) -> float:
    """Return how much a placement leaves free, from 0 (nothing) to 1.

    Work without GPUs goes to workers without GPUs first.
    """
    left = worker.free - step.reserved()
    capacity = worker.info.capacity
    score = left.cores_milli / max(1, capacity.cores_milli)
    if capacity.gpus_milli and not step.size.gpus_milli:
        score += 0.5
    return 0.5 * score * worker.work_ratio
