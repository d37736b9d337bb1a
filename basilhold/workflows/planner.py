"""Which task starts where. Pure.

The planner answers a backlog of unlike steps on uneven workers. Steps are served by
priority and, within one, by how soon they must start to end in time. A step that an
external service must admit is asked about first while a worker has room for it, and
again while one has room or will have it when the answer arrives.
"""

import math

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import AdmissionBook, StepAdmission, StepKey
from basilhold.workflows.model import (
    WORKERS_PER_QUESTION,
    AdvicePolicy,
    StepSpec,
    TaskKey,
)
from basilhold.workflows.pool import Pool, Run, RunKey, Worker
from basilhold.workflows.preemption import (
    Offer,
    Preemption,
    Reservations,
    choose_offers,
    count_fitting,
    find_offer,
)
from basilhold.workflows.questions import Question, make_questions
from basilhold.workflows.ready_steps import START_BY_TOLERANCE_MS, ReadyStep, rank

__all__ = ["Placement", "Plan", "plan"]

FAR_PENALTY = 2.0
"""Score of a worker away from the step's data, above any packing score."""

KEPT_PENALTY = 1.0
"""Score of a worker whose room is kept for a less urgent step, above any packing
score: runs were stopped to make it, and would be stopped elsewhere again."""

START_OVERHEAD_MS = 400.0
"""After a stop, a start takes a look at the worker, a commit and a round trip."""

SOON_MARGIN_MS = 300.0

EARLY_END_SHARE = 0.6
"""Estimates are off by up to nine tenths; a step whose turn is next asks again from
this share of the estimate on."""

SPEED_WEIGHT = 0.1
URGENT_SPEED_WEIGHT = 0.3
"""How much a worker's speed counts against how tightly a task fits."""


class Placement(msgspec.Struct):
    """A task and where it starts."""

    step: ReadyStep
    key: TaskKey
    worker: Worker
    ticket: str


class Plan(msgspec.Struct):
    """Outcome of one pass."""

    placements: list[Placement]
    questions: list[Question]
    preemptions: list[Preemption]


def plan(
    steps: list[ReadyStep],
    pool: Pool,
    book: AdmissionBook,
    reservations: Reservations,
    now_ms: float,
    shared_ms: float,
    stop_ms: float,
    may_stop: bool = True,
) -> Plan:
    """Place waiting tasks; the placements are reserved in the pool.

    Parameters
    ----------
    steps : list of ReadyStep
    pool : Pool
    book : AdmissionBook
    reservations : Reservations
        Room that earlier passes have kept for steps; updated.
    now_ms, shared_ms : float
        The loop's clock and the store's, in milliseconds.
    stop_ms : float
        How long a stop of a run may take.
    may_stop : bool
        Whether runs may be stopped for others.

    Returns
    -------
    Plan
    """
    planner = _Pass(pool, book, reservations, now_ms, shared_ms, stop_ms, may_stop)
    for step in sorted(steps, key=lambda s: (rank(s, shared_ms), s.start_by_ms)):
        planner.place(step)
    return planner.result


class _Pass:
    """One pass over the waiting steps."""

    def __init__(
        self,
        pool: Pool,
        book: AdmissionBook,
        reservations: Reservations,
        now_ms: float,
        shared_ms: float,
        stop_ms: float,
        may_stop: bool,
    ):
        self._stops_allowed = may_stop
        self._book = book
        self._reservations = reservations
        self._now_ms = now_ms
        self._shared_ms = shared_ms
        self._stop_ms = stop_ms
        self._usable = pool.usable(now_ms)
        self._claimed: dict[WorkerId, Resources] = {}
        self._asked: dict[WorkerId, Resources] = {}
        self._promised: dict[WorkerId, Resources] = {}
        self._ending_rooms: dict[AdvicePolicy, dict[WorkerId, Resources]] = {}
        self._drained: dict[WorkerId, list[tuple[int, Resources]]] = {}
        self._settled: set[StepKey] = set()
        self.result = Plan([], [], [])

    def place(self, step: ReadyStep) -> None:
        """Place what fits of a step, ask about it, and claim room for the rest."""
        self._place(step)
        if not step.keys:
            self._reservations.drop(step.key)
        self._settled.add(step.key)

    def _place(self, step: ReadyStep) -> None:
        fits = [w for w in self._usable if w.is_admissible(step.spec)]
        if not fits:
            return
        if step.workflow.spec.policy.advice is None:
            self._place_on(step, fits, None)
            if step.keys:
                self._claim(step, fits, None)
            return
        known = self._book.step(step.key)
        ticketed = [w for w in fits if known.ticket(w.worker_id, self._now_ms)]
        if ticketed:
            self._place_on(step, ticketed, known)
        if not step.keys:
            return
        if known.is_unknown:
            if self._may_find_room(step, fits):
                self._ask(step, fits, known)
            return
        possible = [w for w in fits if w.worker_id not in known.refused]
        self._ask(step, self._claim(step, possible, known), known, possible)

    def _may_find_room(self, step: ReadyStep, workers: list[Worker]) -> bool:
        """Return whether an answer could be used before its tickets expire.

        Room that steps before this one ask about is taken, although some of it will
        not be admitted for them; placements are not held up by that.
        """
        needed = len(step.keys)
        slots = self._free_slots(step, workers, needed, self._asked)
        count = sum(slots.values())
        if count >= needed or (count and not step.spec.gang):
            size = step.spec.reserved()
            for worker_id, times in slots.items():
                asked = self._asked.get(worker_id, Resources())
                self._asked[worker_id] = asked + size.scaled(times)
            return True
        if not (step.spec.gang or self._is_urgent(step)) or self._is_late(step):
            return False
        return any(self._offer(step, worker, 1) for worker in workers)

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
            return
        self.result.placements.extend(placed)
        del step.keys[: len(placed)]

    def _choose(
        self, step: ReadyStep, key: TaskKey, workers: list[Worker]
    ) -> Worker | None:
        spec = step.spec
        size = spec.reserved()
        avoided = step.workflow.task(key).avoided
        best, best_score = None, 0.0
        for worker in workers:
            if not size.fits_in(self._room(worker, step)):
                continue
            if spec.per_worker_max and self._left_on(step, worker) <= 0:
                continue
            score = _packing_score(worker, spec, step.priority == 0)
            if self._takes_kept_room(step, worker):
                score += KEPT_PENALTY
            if spec.rack and worker.info.rack != spec.rack:
                score += FAR_PENALTY
            if worker.worker_id in avoided:
                score += 2 * FAR_PENALTY
            if best is None or score < best_score:
                best, best_score = worker, score
        return best

    def _room(self, worker: Worker, step: ReadyStep) -> Resources:
        room = worker.free
        claimed = self._claimed.get(worker.worker_id)
        if claimed:
            room = room - claimed
        kept = self._reservations.kept_from(step, worker.worker_id, self._settled)
        if kept:
            room = room - kept
        for priority, size in self._drained.get(worker.worker_id, ()):
            if priority < step.priority:
                room = room - size
        return room

    def _takes_kept_room(self, step: ReadyStep, worker: Worker) -> bool:
        """Return whether a task would take room that less urgent steps wait for."""
        kept = self._reservations.kept_for_later(step, worker.worker_id)
        if kept is None:
            return False
        return not step.spec.reserved().fits_in(self._room(worker, step) - kept)

    def _left_on(self, step: ReadyStep, worker: Worker) -> int:
        """Return how many more tasks of a step a worker may run."""
        if not step.spec.per_worker_max:
            return len(step.keys)
        job_id = step.workflow.job_id
        count = worker.count_of_step(job_id, step.occurrence, step.number)
        return step.spec.per_worker_max - count

    def _ask(
        self,
        step: ReadyStep,
        workers: list[Worker],
        known: StepAdmission,
        spares: list[Worker] | None = None,
    ) -> None:
        """Ask about workers, and about some spare ones in case those are refused."""
        if not workers or not known.may_ask(self._now_ms):
            return
        self.result.questions += make_questions(
            step,
            workers,
            spares or [],
            lambda worker: self._room(worker, step),
            known,
            self._book.admitted_share(step.workflow.spec.policy.name),
            self._now_ms,
        )

    def _claim(
        self, step: ReadyStep, workers: list[Worker], known: StepAdmission | None
    ) -> list[Worker]:
        """Keep room for a step's waiting tasks from the steps after it.

        Workers that are known to be admitted come first.

        Returns
        -------
        list of Worker
            Those that have room now or, if there are none, when an answer arrives.
        """
        needed = len(step.keys)
        admitted = known.admitted if known else ()
        first = [w for w in workers if w.worker_id in admitted]
        others = [w for w in workers if w.worker_id not in admitted]
        free = self._free_slots(step, first, needed)
        free |= self._free_slots(step, others, needed - sum(free.values()))
        count = sum(free.values())
        enough = count >= needed
        usable = count > 0 and (enough or not step.spec.gang)
        if usable:
            self._claim_slots(step, free)
        own: dict[WorkerId, Resources] = {}
        may_preempt = self._may_preempt(step, known)
        if enough and step.spec.gang:
            self._reservations.set(step, free)
        elif not enough and may_preempt:
            # A stop on a worker that is then refused would free room for nobody.
            own = self._preempt(step, first if known else workers, free, needed)
        elif self._stops_allowed:
            self._reservations.drop(step.key)
        if usable:
            return [w for w in workers if w.worker_id in free]
        if not known:
            return []
        promised = self._promise(step, first + others, own)
        if promised or self._is_enough_if_empty(step, first):
            return promised
        return others if may_preempt else []

    def _may_preempt(self, step: ReadyStep, known: StepAdmission | None) -> bool:
        """Return whether runs of lower priority may be stopped for a step now."""
        if not self._stops_allowed or self._is_late(step):
            return False
        if not step.spec.gang:
            return self._is_urgent(step)
        if known is not None and known.unanswered:
            # Answers that are still to come may admit workers with more room. Room that
            # was made before is kept meanwhile.
            return self._reservations.has(step.key)
        return True

    def _is_enough_if_empty(self, step: ReadyStep, workers: list[Worker]) -> bool:
        """Return whether a step could start if its priority had the workers alone."""
        size = step.spec.reserved()
        needed = len(step.keys) if step.spec.gang else 1
        for worker in workers:
            most = min(needed, self._left_on(step, worker))
            needed -= count_fitting(worker.info.capacity, size, most)
            if needed <= 0:
                return True
        return False

    def _promise(
        self, step: ReadyStep, workers: list[Worker], own: dict[WorkerId, Resources]
    ) -> list[Worker]:
        """Return workers that will have room for a step when an answer arrives.

        A worker would stand empty while the step asks for new tickets. Room is
        promised to one step at a time, in their order.

        Parameters
        ----------
        step : ReadyStep
        workers : list of Worker
        own : dict
            Room that was claimed for this step in this pass.
        """
        size = step.spec.reserved()
        missing = len(step.keys)
        slots: dict[WorkerId, int] = {}
        for worker in workers:
            if missing <= 0:
                break
            ending = self._ending(worker, step.workflow.spec.policy.advice)
            if worker.free.cores_milli + ending.cores_milli < size.cores_milli:
                continue
            room = worker.free + ending
            taken = self._claimed.get(worker.worker_id, Resources())
            taken = taken + self._promised.get(worker.worker_id, Resources())
            room = room - taken + own.get(worker.worker_id, Resources())
            count = count_fitting(room, size, min(missing, self._left_on(step, worker)))
            if count:
                slots[worker.worker_id] = count
                missing -= count
        if not slots or (step.spec.gang and missing > 0):
            return []
        for worker_id, count in slots.items():
            promised = self._promised.get(worker_id, Resources())
            self._promised[worker_id] = promised + size.scaled(count)
        return [w for w in workers if w.worker_id in slots]

    def _ending(self, worker: Worker, advice: AdvicePolicy) -> Resources:
        """Return the room of a worker's runs that may end before an answer arrives."""
        known = self._ending_rooms.setdefault(advice, {})
        ending = known.get(worker.worker_id)
        if ending is None:
            answer_ms = advice.answer_ms(WORKERS_PER_QUESTION)
            horizon_ms = self._now_ms + answer_ms + SOON_MARGIN_MS
            ending = Resources()
            for run in worker.runs.values():
                if run.stop_wanted or _early_end_ms(run, worker) <= horizon_ms:
                    ending = ending + run.reserved
            known[worker.worker_id] = ending
        return ending

    def _free_slots(
        self,
        step: ReadyStep,
        workers: list[Worker],
        needed: int,
        taken: dict[WorkerId, Resources] | None = None,
    ) -> dict[WorkerId, int]:
        """Return how many tasks fit on each worker, up to the number needed."""
        size = step.spec.reserved()
        avoided = step.workflow.task(step.keys[0]).avoided
        slots: dict[WorkerId, int] = {}
        roomy: list[tuple[tuple[bool, bool], float, Worker, Resources]] = []
        for worker in workers if needed > 0 else ():
            room = self._room(worker, step)
            if taken and worker.worker_id in taken:
                room = room - taken[worker.worker_id]
            if size.fits_in(room):
                score = _packing_score(worker, step.spec)
                second = (
                    worker.worker_id in avoided,
                    not self._reservations.is_kept(step, worker.worker_id),
                )
                roomy.append((second, score, worker, room))
        roomy.sort(key=lambda entry: entry[:2])
        for _, _, worker, room in roomy:
            if needed <= 0:
                break
            most = min(needed, self._left_on(step, worker))
            count = count_fitting(room, size, most)
            if count > 0:
                slots[worker.worker_id] = count
                needed -= count
        return slots

    def _claim_slots(self, step: ReadyStep, slots: dict[WorkerId, int]) -> None:
        size = step.spec.reserved()
        for worker_id, count in slots.items():
            claimed = self._claimed.get(worker_id, Resources())
            self._claimed[worker_id] = claimed + size.scaled(count)

    def _is_late(self, step: ReadyStep) -> bool:
        return rank(step, self._shared_ms) > step.priority

    def _is_urgent(self, step: ReadyStep) -> bool:
        """Return whether a step misses its objective unless others make room."""
        slack_ms = step.start_by_ms - self._shared_ms
        soon_ms = self._stop_ms + START_OVERHEAD_MS
        return -START_BY_TOLERANCE_MS < slack_ms < soon_ms

    def _preempt(
        self,
        step: ReadyStep,
        workers: list[Worker],
        free: dict[WorkerId, int],
        needed: int,
    ) -> dict[WorkerId, Resources]:
        """Stop runs of lower priority for the tasks that do not fit.

        Returns
        -------
        dict of WorkerId to Resources
            Room that is claimed for the step.
        """
        missing = needed if step.spec.gang else needed - sum(free.values())
        offers = [self._offer(step, worker, missing) for worker in workers]
        chosen = choose_offers(
            step,
            (offer for offer in offers if offer is not None),
            missing,
            self._reservations,
        )
        if step.spec.gang and sum(offer.task_count for offer in chosen) < missing:
            self._reservations.drop(step.key)
            self._drain_for(step, workers)
            return {}
        size = step.spec.reserved()
        own: dict[WorkerId, Resources] = {}
        kept: dict[WorkerId, int] = {}
        for offer in chosen:
            if offer.task_count > missing:
                # The last worker need not stop as much as it could.
                offer = self._offer(step, offer.worker, missing)
            missing -= offer.task_count
            worker_id = offer.worker.worker_id
            kept[worker_id] = offer.task_count
            own[worker_id] = size.scaled(offer.task_count)
            claimed = self._claimed.get(worker_id, Resources())
            self._claimed[worker_id] = claimed + own[worker_id]
            for known in self._ending_rooms.values():
                known.pop(worker_id, None)
            for run in offer.victims:
                run.stop_wanted = True
                self.result.preemptions.append(Preemption(offer.worker, run, step))
        self._reservations.set(step, kept)
        return own

    def _drain_for(self, step: ReadyStep, workers: list[Worker]) -> None:
        """Keep new work of lower priority off the workers that a gang will get.

        Work of the same priority may still use them: one gang that waits for a whole
        worker must not keep smaller ones from its parts.
        """
        size = step.spec.reserved()
        missing = len(step.keys)
        for worker in sorted(workers, key=lambda w: -w.free.cores_milli):
            if missing <= 0:
                return
            capacity = worker.info.capacity
            count = count_fitting(
                capacity, size, min(missing, self._left_on(step, worker))
            )
            if count:
                drained = self._drained.setdefault(worker.worker_id, [])
                drained.append((step.priority, size.scaled(count)))
                missing -= count

    def _offer(self, step: ReadyStep, worker: Worker, most: int) -> Offer | None:
        """Return what a worker can offer once some of its runs have stopped."""
        most = min(most, self._left_on(step, worker))
        return find_offer(step, worker, self._room(worker, step), most, self._now_ms)


def _early_end_ms(run: Run, worker: Worker) -> float:
    """Return when a run may have ended, by a rough estimate."""
    if run.step is None or run.step.long_running:
        return math.inf
    expected_ms = run.step.estimate_ms * worker.work_ratio
    return run.started_ms + EARLY_END_SHARE * expected_ms


def _make_run(step: ReadyStep, key: TaskKey, now_ms: float) -> Run:
    spec = step.spec
    number = step.workflow.next_run_number(
        step.workflow.task_keys(key.occurrence, key.step) if spec.gang else [key]
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


def _packing_score(worker: Worker, step: StepSpec, urgent: bool = False) -> float:
    """Return how much a placement leaves free, from 0 (nothing) to 1.

    Work without GPUs goes to workers without GPUs first.
    """
    left = worker.free - step.reserved()
    capacity = worker.info.capacity
    score = left.cores_milli / max(1, capacity.cores_milli)
    if capacity.gpus_milli and not step.size.gpus_milli:
        score += 0.5
    weight = URGENT_SPEED_WEIGHT if urgent else SPEED_WEIGHT
    return 0.5 * score + weight * worker.work_ratio
