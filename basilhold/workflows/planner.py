"""Placement of waiting tasks on workers.

The planner places a backlog of heterogeneous steps on heterogeneous workers. Steps are
ordered by priority and, within one priority, by the latest start with which they can
still end in time. For a step that an external advice service must admit, queries are
sent once a worker has capacity for it, and again while a worker has capacity or will
have it when the answer arrives. The module performs no I/O.
"""

import math
from collections.abc import Callable
from heapq import heapify, heappop, heapreplace

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.tenants import BlockedDemand, QuotaBook, TenantName
from basilhold.workflows.admissions import AdmissionRecords, StepAdmission, StepKey
from basilhold.workflows.advice_queries import AdviceQuery, make_queries
from basilhold.workflows.isolation import Isolation, used_cores_ratio
from basilhold.workflows.model import (
    WORKERS_PER_QUERY,
    AdvicePolicy,
    StepSpec,
    TaskKey,
)
from basilhold.workflows.pool import Pool, Run, RunKey, Worker
from basilhold.workflows.preemption import (
    Preemption,
    PreemptionOption,
    Reservations,
    choose_options,
    count_fitting,
    find_option,
)
from basilhold.workflows.ready_steps import START_BY_TOLERANCE_MS, ReadyStep, rank
from basilhold.workflows.step_order import DeadlineOrder, StepOrder

__all__ = ["Placement", "Plan", "StepFailure", "plan"]

OTHER_RACK_PENALTY = 2.0
"""Score of a worker outside the rack of the step's data; above any packing score."""

RESERVED_PENALTY = 1.0
"""Score of a worker whose capacity is reserved for a step of lower priority; above any
packing score. Runs were stopped to free that capacity, and if it is used, further runs
will be stopped elsewhere."""

START_OVERHEAD_MS = 400.0
"""Time from a stop to the next start: reading the worker's listing, a commit and a
round trip."""

ENDING_MARGIN_MS = 300.0
"""Time after the expected answer up to which capacity that becomes free is included."""

EARLY_END_FRACTION = 0.6
"""Share of its estimated run time after which a run may end. Estimates are off by up to
nine tenths, so the next step in the order renews its tickets this early."""

SPEED_WEIGHT = 0.1
URGENT_SPEED_WEIGHT = 0.3
"""Weight of a worker's speed relative to the capacity that a placement leaves free, for
normal work and for work of priority 0."""


WITHHOLD_UNUSED_MAX_MS = 1_500.0
HALF_USED_RATIO = 0.5
"""Longest time for which workers are withheld for a gang while less than this share of
the cores is in use."""

LARGE_POOL = 600
"""Workers beyond which the room for a step whose first queries are open is not searched
for again in each pass. With 2,160 workers that took 2.4 ms for each such step."""

DEADLINE_ORDER = DeadlineOrder()

WorkerChoice = Callable[[ReadyStep, TaskKey, list[Worker]], Worker | None]
"""Returns the worker for a task, or ``None`` if none has room."""


class Placement(msgspec.Struct):
    """A task and the worker on which it starts.

    `ticket` is empty if the queue's policy needs none.
    """

    step: ReadyStep
    key: TaskKey
    worker: Worker
    ticket: str


class StepFailure(msgspec.Struct):
    """A step that could not be planned because of an unexpected error."""

    step: ReadyStep
    error: Exception


class Plan(msgspec.Struct):
    """Decisions of one planning pass.

    `blocked` is the work that waits for quota, by tenant.
    """

    placements: list[Placement]
    queries: list[AdviceQuery]
    preemptions: list[Preemption]
    blocked: dict[TenantName, BlockedDemand]
    failures: list[StepFailure]


def plan(
    steps: list[ReadyStep],
    pool: Pool,
    admissions: AdmissionRecords,
    reservations: Reservations,
    now_ms: float,
    store_ms: float,
    stop_ms: float,
    may_preempt: bool = True,
    quotas: QuotaBook | None = None,
    order: StepOrder = DEADLINE_ORDER,
    isolation: Isolation | None = None,
) -> Plan:
    """Plan placements, queries to the advice service and preemptions.

    Parameters
    ----------
    steps : list of ReadyStep
        Placed tasks are removed from their `keys`.
    pool : Pool
        Placed runs are added to its workers, and runs to be stopped are marked.
    admissions : AdmissionRecords
    reservations : Reservations
        Capacity that earlier passes have reserved for steps; updated.
    now_ms, store_ms : float
        Times of the event loop's clock and of the store's clock, in milliseconds.
    stop_ms : float
        Time that stopping a run may take, in milliseconds.
    may_preempt : bool
        Whether runs may be stopped so that steps of higher priority can start.
    quotas : QuotaBook, optional
        What each tenant may start; without it, there are no quotas.
    order : StepOrder
        Order in which the steps are placed.
    isolation : Isolation, optional
        Waiting tasks that may crash their workers; updated.

    Returns
    -------
    Plan
    """
    # The order also finds which tenants are above their share.
    ordered = order.sort(steps, store_ms, pool, quotas)
    planning_pass = _PlanningPass(
        pool,
        admissions,
        reservations,
        now_ms,
        store_ms,
        stop_ms,
        may_preempt,
        quotas,
        isolation or Isolation(),
        any(step.spec.gang for step in steps),
    )
    for step in ordered:
        planning_pass.try_step(step)
    return planning_pass.result


class _PlanningPass:
    """One pass over the ready steps.

    The parameters are those of `plan`, and whether any of the steps is a gang.
    """

    def __init__(
        self,
        pool: Pool,
        admissions: AdmissionRecords,
        reservations: Reservations,
        now_ms: float,
        store_ms: float,
        stop_ms: float,
        may_preempt: bool,
        quotas: QuotaBook | None,
        isolation: Isolation,
        has_gangs: bool,
    ):
        self._preemption_allowed = may_preempt
        self._admissions = admissions
        self._reservations = reservations
        self._now_ms = now_ms
        self._store_ms = store_ms
        self._stop_ms = stop_ms
        accepting = pool.accepting_workers(now_ms)
        # Needed for gangs only; half a millisecond with 2,000 workers.
        self._is_half_used = has_gangs and pool.used_cores_ratio() >= HALF_USED_RATIO
        kept = isolation.choose_workers(accepting, now_ms)
        self._accepting = accepting
        self._workers = accepting
        if kept:
            self._workers = [w for w in accepting if w.worker_id not in kept]
        # Whether any worker may be isolated; suspects placed in this pass count too.
        self._has_suspects = any(w.suspects for w in self._workers)
        # Admissible workers, and those of them with room, by label and size. During a
        # pass, free capacity only shrinks from one step to the next.
        self._admissible: dict[tuple[str, Resources], list[Worker]] = {}
        self._roomy: dict[tuple[str, Resources], list[Worker]] = {}
        self._isolation = isolation
        # Capacity claimed by steps that were planned earlier in this pass.
        self._claimed: dict[WorkerId, Resources] = {}
        # Free capacity for which steps without any answer have sent queries.
        self._queried: dict[WorkerId, Resources] = {}
        # Claimed capacity that becomes free by the time an answer arrives.
        self._ending_claimed: dict[WorkerId, Resources] = {}
        # Cache of the capacity of runs that end by the time an answer arrives.
        self._ending_capacities: dict[AdvicePolicy, dict[WorkerId, Resources]] = {}
        # Capacity withheld from steps of lower priority than the one given with it.
        self._withheld: dict[WorkerId, list[tuple[int, Resources]]] = {}
        self._quotas = quotas
        # Empty while there is enough capacity, or if it is not divided by shares.
        self._above_share = quotas.shares.standing.above if quotas else set()
        self._planned: set[StepKey] = set()
        # Runs that the current step has added to workers.
        self._added: list[tuple[Worker, RunKey]] = []
        self.result = Plan([], [], [], {}, [])

    def try_step(self, step: ReadyStep) -> None:
        """Plan a step; undo its placements and report it if that fails."""
        self._added.clear()
        placed_before = len(self.result.placements)
        try:
            self.plan_step(step)
        except Exception as error:
            for worker, key in self._added:
                worker.remove(key)
            del self.result.placements[placed_before:]
            self.result.failures.append(StepFailure(step, error))

    def plan_step(self, step: ReadyStep) -> None:
        """Place tasks of a step, send queries, and claim capacity for the rest."""
        step.keys = [
            key
            for key in step.keys
            if not self._isolation.is_held(step.workflow, key, self._now_ms)
        ]
        if step.keys and self._apply_quota(step):
            suspects = self._take_suspects(step)
            if suspects.keys:
                self._plan_suspects(suspects)
            if step.keys:
                self._plan_step(step)
        else:
            self._reservations.release(step.key)
        if not step.keys:
            self._reservations.remove_step(step.key)
        self._planned.add(step.key)

    def _apply_quota(self, step: ReadyStep) -> bool:
        """Limit a step to the tasks that its tenant's quota allows now.

        The rest waits for a later pass, so a step that is wider than the quota runs in
        several waves. A gang is allowed wholly or not at all.

        Returns
        -------
        bool
            Whether any task is allowed.
        """
        room = self._quotas.room(step.tenant) if self._quotas else None
        if room is None:
            return True
        size = step.spec.size
        count = count_fitting(room, size, len(step.keys))
        if count == len(step.keys):
            return True
        if step.spec.gang:
            count = 0
        blocked = size.scaled(len(step.keys) - count)
        unit = blocked if step.spec.gang else size
        if self._quotas.may_ever_start(step.tenant, unit):
            self._note_blocked(step, blocked)
        del step.keys[count:]
        return count > 0

    def _note_blocked(self, step: ReadyStep, size: Resources) -> None:
        claim = (rank(step, self._store_ms), step.start_by_ms)
        demand = BlockedDemand(size, claim, step.workflow.job_id)
        known = self.result.blocked.setdefault(step.tenant, demand)
        if known is not demand:
            known.add(demand)

    def _take_suspects(self, step: ReadyStep) -> ReadyStep:
        """Return the tasks to be started apart from other suspects; a gang wholly.

        They are removed from the step.
        """
        suspects = [
            key
            for key in step.keys
            if self._isolation.must_isolate(step.workflow, key, self._now_ms)
        ]
        if suspects and step.spec.gang:
            suspects = step.keys
        step.keys = [key for key in step.keys if key not in suspects]
        return msgspec.structs.replace(step, keys=suspects)

    def _plan_suspects(self, step: ReadyStep) -> None:
        """Place suspects, each workflow's on workers without other suspects.

        If such a worker crashes, a task of that workflow is the cause.
        """
        suitable = [
            worker
            for worker in self._accepting
            if worker.is_admissible(step.spec) and self._may_isolate(step, worker)
        ]
        if step.workflow.spec.policy.advice is None:
            self._place_on(step, suitable, None, self._choose_isolated_worker)
            return
        admission = self._admissions.step(step.key)
        ticketed = [w for w in suitable if admission.ticket(w.worker_id, self._now_ms)]
        if ticketed:
            self._place_on(step, ticketed, admission, self._choose_isolated_worker)
        if step.keys:
            possible = [w for w in suitable if w.worker_id not in admission.refused]
            self._send_queries(step, possible, admission)

    def _may_isolate(self, step: ReadyStep, worker: Worker) -> bool:
        """Return whether a worker may be used for the suspects of a step."""
        job_id = step.workflow.job_id
        if worker.suspects:
            return all(key.job_id == job_id for key in worker.suspects)
        if step.spec.gang:
            return not worker.has_started_recently(self._now_ms)
        key = RunKey(job_id, step.keys[0])
        return self._isolation.may_use(worker, key, self._now_ms)

    def _choose_isolated_worker(
        self, step: ReadyStep, key: TaskKey, workers: list[Worker]
    ) -> Worker | None:
        """Return the worker for a suspect, or ``None``.

        Workers with suspects of the same workflow come first, then those with the
        least other work.
        """
        size = step.spec.reserved()
        fitting = [
            worker
            for worker in workers
            if size.fits_in(self._available(worker, step))
            and not (step.spec.per_worker_max and self._remaining_on(step, worker) <= 0)
        ]
        return min(
            fitting,
            key=lambda worker: (not worker.suspects, used_cores_ratio(worker)),
            default=None,
        )

    def _plan_step(self, step: ReadyStep) -> None:
        if step.workflow.spec.policy.advice is None:
            self._place_on(step, self._workers_with_room(step), None)
            suitable = self._suitable_workers(step) if step.keys else []
            if suitable:
                self._claim(step, suitable, None)
            return
        suitable = self._suitable_workers(step)
        if not suitable:
            return
        admission = self._admissions.step(step.key)
        if admission.tickets:
            ticketed = [
                worker
                for worker in self._workers_with_room(step)
                if admission.ticket(worker.worker_id, self._now_ms)
            ]
            if ticketed:
                self._place_on(step, ticketed, admission)
        if not step.keys:
            return
        if admission.is_unknown:
            if self._may_use_answer(step, suitable, admission):
                self._send_queries(step, suitable, admission)
            return
        possible = [w for w in suitable if w.worker_id not in admission.refused]
        self._send_queries(
            step, self._claim(step, possible, admission), admission, possible
        )

    def _suitable_workers(self, step: ReadyStep) -> list[Worker]:
        """Return the workers that a step may use if they are idle."""
        kind = (step.spec.label, step.spec.reserved())
        workers = self._admissible.get(kind)
        if workers is None:
            label, size = kind
            workers = [
                worker
                for worker in self._workers
                if size.fits_in(worker.info.capacity)
                and (not label or label in worker.info.labels)
            ]
            self._admissible[kind] = workers
        return self._without_isolated(workers)

    def _workers_with_room(self, step: ReadyStep) -> list[Worker]:
        """Return those of the suitable workers that are not too full for a task."""
        label, size = kind = (step.spec.label, step.spec.reserved())
        workers = self._roomy.get(kind)
        if workers is None:
            workers = self._workers
            if label:
                workers = [w for w in workers if label in w.info.labels]
        workers = [w for w in workers if size.fits_in(w.free)]
        self._roomy[kind] = workers
        return self._without_isolated(workers)

    def _without_isolated(self, workers: list[Worker]) -> list[Worker]:
        if not self._has_suspects:
            return workers
        return [w for w in workers if not (w.suspects and w.is_isolated(self._now_ms))]

    def _may_use_answer(
        self, step: ReadyStep, workers: list[Worker], admission: StepAdmission
    ) -> bool:
        """Return whether an answer could be used before its tickets expire.

        Capacity about which earlier steps have sent queries counts as taken here,
        although they will be refused some of it. Placements ignore these queries.
        """
        needed = len(step.keys)
        if admission.open_queries and len(workers) > LARGE_POOL:
            slots = admission.wanted_slots
        else:
            slots = self._free_slots(step, workers, needed, self._queried)
            admission.wanted_slots = slots
        count = sum(slots.values())
        if count >= needed or (count and not step.spec.gang):
            size = step.spec.reserved()
            for worker_id, task_count in slots.items():
                queried = self._queried.get(worker_id, Resources())
                self._queried[worker_id] = queried + size.scaled(task_count)
            return True
        if not (step.spec.gang or self._is_urgent(step)) or self._is_late(step):
            return False
        return any(self._find_option(step, worker, 1) for worker in workers)

    def _place_on(
        self,
        step: ReadyStep,
        workers: list[Worker],
        admission: StepAdmission | None,
        choose: WorkerChoice | None = None,
    ) -> None:
        """Place as many tasks of a step as fit; a gang wholly or not at all."""
        if choose is None:
            has_avoided = any(step.workflow.task(key).avoided for key in step.keys)
            ranking = None if has_avoided else _WorkerRanking(self, step, workers)
            choose = ranking.choose if ranking else self._choose_worker
        placed: list[Placement] = []
        for key in step.keys:
            worker = choose(step, key, workers)
            if worker is None:
                break
            run = _make_run(step, key, self._now_ms)
            run.is_isolated = choose == self._choose_isolated_worker
            self._has_suspects = self._has_suspects or run.is_suspect
            worker.add(run)
            self._added.append((worker, run.key))
            ticket = (
                admission.ticket(worker.worker_id, self._now_ms) if admission else ""
            )
            placed.append(Placement(step, key, worker, ticket))
        if step.spec.gang and len(placed) < len(step.keys):
            for placement in placed:
                placement.worker.remove(RunKey(step.workflow.job_id, placement.key))
            return
        self.result.placements.extend(placed)
        del step.keys[: len(placed)]

    def _choose_worker(
        self, step: ReadyStep, key: TaskKey, workers: list[Worker]
    ) -> Worker | None:
        """Return the worker with the lowest score for a task, or ``None``."""
        avoided = step.workflow.task(key).avoided
        best, best_score = None, 0.0
        score_of = self.scorer(step)
        for worker in workers:
            score = score_of(worker)
            if score is None:
                continue
            if worker.worker_id in avoided:
                score += 2 * OTHER_RACK_PENALTY
            if best is None or score < best_score:
                best, best_score = worker, score
        return best

    def scorer(self, step: ReadyStep) -> Callable[[Worker], float | None]:
        """Return a function that returns the score of a worker for a task of a step.

        It returns ``None`` for a worker on which the task has no room.
        """
        spec = step.spec
        size = spec.reserved()
        restricted = self._restricted_workers()
        packing_score = _packing_scorer(spec, step.priority == 0)

        def score(worker: Worker) -> float | None:
            if not size.fits_in(worker.free):
                return None
            is_restricted = worker.worker_id in restricted
            if is_restricted and not size.fits_in(self._available(worker, step)):
                return None
            if spec.per_worker_max and self._remaining_on(step, worker) <= 0:
                return None
            result = packing_score(worker)
            if is_restricted and self._uses_reserved_capacity(step, worker):
                result += RESERVED_PENALTY
            if spec.rack and worker.info.rack != spec.rack:
                result += OTHER_RACK_PENALTY
            return result

        return score

    def _available(self, worker: Worker, step: ReadyStep) -> Resources:
        """Return the free capacity of a worker that a step may use."""
        available = worker.free
        worker_id = worker.worker_id
        claimed = self._claimed.get(worker_id)
        if claimed:
            available = available - claimed
        if self._reservations.has_worker(worker_id):
            reserved = self._reservations.reserved_for_others(
                step, worker_id, self._planned
            )
            if reserved:
                available = available - reserved
        for priority, size in self._withheld.get(worker_id, ()):
            if priority < step.priority:
                available = available - size
        return available

    def _uses_reserved_capacity(self, step: ReadyStep, worker: Worker) -> bool:
        """Return whether a task would use capacity reserved for lower priorities."""
        if not self._reservations.has_worker(worker.worker_id):
            return False
        reserved = self._reservations.reserved_for_lower_priority(
            step, worker.worker_id
        )
        if reserved is None:
            return False
        return not step.spec.reserved().fits_in(
            self._available(worker, step) - reserved
        )

    def _remaining_on(self, step: ReadyStep, worker: Worker) -> int:
        """Return how many more tasks of a step may run on a worker."""
        if not step.spec.per_worker_max:
            return len(step.keys)
        job_id = step.workflow.job_id
        count = worker.count_of_step(job_id, step.occurrence, step.number)
        return step.spec.per_worker_max - count

    def _send_queries(
        self,
        step: ReadyStep,
        workers: list[Worker],
        admission: StepAdmission,
        spares: list[Worker] | None = None,
    ) -> None:
        """Add queries about workers, and about some spares in case they are refused."""
        if not workers or not admission.may_ask(self._now_ms):
            return
        self.result.queries += make_queries(
            step,
            workers,
            spares or [],
            lambda worker: self._available(worker, step),
            admission,
            self._admissions.admitted_share(step.workflow.spec.policy.name),
            self._now_ms,
        )

    def _claim(
        self, step: ReadyStep, workers: list[Worker], admission: StepAdmission | None
    ) -> list[Worker]:
        """Claim capacity for a step's waiting tasks against later steps of the pass.

        Admitted workers are used first. Runs are stopped if capacity is missing and
        the step may preempt.

        Parameters
        ----------
        step : ReadyStep
        workers : list of Worker
            Workers that may run the step and were not refused.
        admission : StepAdmission, optional
            ``None`` if the step needs no tickets.

        Returns
        -------
        list of Worker
            Workers to query. These have capacity now or, if there are none, when an
            answer arrives. A step for which the admitted workers can never suffice, but
            which may preempt, gets the workers without a decision.
        """
        needed = len(step.keys)
        admitted_ids = admission.admitted if admission else ()
        admitted = [w for w in workers if w.worker_id in admitted_ids]
        others = [w for w in workers if w.worker_id not in admitted_ids]
        slots = self._free_slots(step, admitted, needed)
        slots |= self._free_slots(step, others, needed - sum(slots.values()))
        count = sum(slots.values())
        enough = count >= needed
        usable = count > 0 and (enough or not step.spec.gang)
        if usable:
            self._claim_slots(step, slots)
        preempted: dict[WorkerId, Resources] = {}
        may_preempt = self._may_preempt(step, admission)
        if enough and step.spec.gang:
            self._reservations.replace(step, slots)
        elif not enough and may_preempt:
            # Only admitted workers, since capacity freed on a worker that is refused
            # later is useless to the step.
            preempted = self._preempt(
                step, admitted if admission else workers, slots, needed
            )
        elif self._preemption_allowed:
            self._reservations.release(step.key)
        if usable:
            return [w for w in workers if w.worker_id in slots]
        if not admission:
            return []
        ending = self._claim_ending_capacity(step, admitted + others, preempted)
        if ending or self._is_enough_if_idle(step, admitted):
            return ending
        return others if may_preempt else []

    def _may_preempt(self, step: ReadyStep, admission: StepAdmission | None) -> bool:
        """Return whether runs of lower priority may be stopped for a step now."""
        if not self._preemption_allowed or self._is_late(step):
            return False
        if not step.spec.gang:
            return self._is_urgent(step)
        if admission is not None and admission.unanswered:
            # Open queries may still admit workers with more free capacity. Capacity
            # that was freed for the step before stays reserved meanwhile.
            return self._reservations.has(step.key)
        return True

    def _is_enough_if_idle(self, step: ReadyStep, workers: list[Worker]) -> bool:
        """Return whether a step could start if the workers were idle."""
        size = step.spec.reserved()
        needed = len(step.keys) if step.spec.gang else 1
        for worker in workers:
            limit = min(needed, self._remaining_on(step, worker))
            needed -= count_fitting(worker.info.capacity, size, limit)
            if needed <= 0:
                return True
        return False

    def _claim_ending_capacity(
        self,
        step: ReadyStep,
        workers: list[Worker],
        preempted: dict[WorkerId, Resources],
    ) -> list[Worker]:
        """Claim capacity that becomes free for a step by the time an answer arrives.

        Renewing tickets early avoids that a worker is idle while the step waits for an
        answer. In the order of the steps, each capacity is claimed by one step only.

        Parameters
        ----------
        step : ReadyStep
        workers : list of Worker
        preempted : dict of WorkerId to Resources
            Capacity that this pass claimed for the step by preemption.

        Returns
        -------
        list of Worker
            Workers with claimed capacity; empty if a gang does not fit wholly.
        """
        size = step.spec.reserved()
        missing = len(step.keys)
        slots: dict[WorkerId, int] = {}
        for worker in workers:
            if missing <= 0:
                break
            ending = self._ending_capacity(worker, step.workflow.spec.policy.advice)
            if worker.free.cores_milli + ending.cores_milli < size.cores_milli:
                continue
            available = worker.free + ending
            taken = self._claimed.get(worker.worker_id, Resources())
            taken = taken + self._ending_claimed.get(worker.worker_id, Resources())
            available = available - taken + preempted.get(worker.worker_id, Resources())
            count = count_fitting(
                available, size, min(missing, self._remaining_on(step, worker))
            )
            if count:
                slots[worker.worker_id] = count
                missing -= count
        if not slots or (step.spec.gang and missing > 0):
            return []
        for worker_id, count in slots.items():
            claimed = self._ending_claimed.get(worker_id, Resources())
            self._ending_claimed[worker_id] = claimed + size.scaled(count)
        return [w for w in workers if w.worker_id in slots]

    def _ending_capacity(self, worker: Worker, advice: AdvicePolicy) -> Resources:
        """Return the capacity of a worker's runs that may end before an answer."""
        cache = self._ending_capacities.setdefault(advice, {})
        ending = cache.get(worker.worker_id)
        if ending is None:
            answer_ms = advice.answer_ms(WORKERS_PER_QUERY)
            horizon_ms = self._now_ms + answer_ms + ENDING_MARGIN_MS
            ending = Resources()
            for run in worker.runs.values():
                if run.stop_wanted or _early_end_ms(run, worker) <= horizon_ms:
                    ending = ending + run.reserved
            cache[worker.worker_id] = ending
        return ending

    def _free_slots(
        self,
        step: ReadyStep,
        workers: list[Worker],
        needed: int,
        taken: dict[WorkerId, Resources] | None = None,
    ) -> dict[WorkerId, int]:
        """Return how many tasks fit on each worker, up to the number needed.

        Workers that the task avoids come last, those with reservations for the step
        first, and then those that fit most tightly.

        Parameters
        ----------
        step : ReadyStep
        workers : list of Worker
        needed : int
            Number of tasks to fit.
        taken : dict of WorkerId to Resources, optional
            Capacity that counts as taken in addition.

        Returns
        -------
        dict of WorkerId to int
            Workers on which at least one task fits.
        """
        slots: dict[WorkerId, int] = {}
        if needed <= 0:
            return slots
        size = step.spec.reserved()
        avoided = step.workflow.task(step.keys[0]).avoided
        reserved = self._reservations.workers_of(step.key)
        restricted = self._restricted_workers()
        score_of = _packing_scorer(step.spec)
        # Sorted only as far as needed.
        heap: list[tuple[bool, bool, float, int, Worker, Resources]] = []
        for index, worker in enumerate(workers):
            available = worker.free
            if not size.fits_in(available):
                continue
            worker_id = worker.worker_id
            if worker_id in restricted:
                available = self._available(worker, step)
            if taken and worker_id in taken:
                available = available - taken[worker_id]
            if size.fits_in(available):
                is_avoided, has_none = worker_id in avoided, worker_id not in reserved
                score = score_of(worker)
                heap.append((is_avoided, has_none, score, index, worker, available))
        heapify(heap)
        while heap and needed > 0:
            *_, worker, available = heappop(heap)
            limit = min(needed, self._remaining_on(step, worker))
            count = count_fitting(available, size, limit)
            if count > 0:
                slots[worker.worker_id] = count
                needed -= count
        return slots

    def _restricted_workers(self) -> set[WorkerId]:
        """Return the workers of whose free capacity a step may not use all."""
        restricted = set(self._reservations.worker_ids())
        return restricted.union(self._claimed, self._withheld)

    def _claim_slots(self, step: ReadyStep, slots: dict[WorkerId, int]) -> None:
        """Claim capacity for a number of tasks on each worker."""
        size = step.spec.reserved()
        for worker_id, count in slots.items():
            claimed = self._claimed.get(worker_id, Resources())
            self._claimed[worker_id] = claimed + size.scaled(count)

    def _is_late(self, step: ReadyStep) -> bool:
        """Return whether a step can no longer end in time, as far as is estimated."""
        return rank(step, self._store_ms) > step.priority

    def _is_urgent(self, step: ReadyStep) -> bool:
        """Return whether a step misses its objective unless runs are stopped now."""
        slack_ms = step.start_by_ms - self._store_ms
        preemption_ms = self._stop_ms + START_OVERHEAD_MS
        if step.spec.long_running:
            # One whose run has ended is needed back, however old its workflow is.
            return slack_ms < preemption_ms
        return -START_BY_TOLERANCE_MS < slack_ms < preemption_ms

    def _preempt(
        self,
        step: ReadyStep,
        workers: list[Worker],
        slots: dict[WorkerId, int],
        needed: int,
    ) -> dict[WorkerId, Resources]:
        """Stop runs of lower priority for the tasks that do not fit.

        If that cannot make enough capacity for a gang, none is stopped, and workers are
        withheld from lower priorities instead.

        Parameters
        ----------
        step : ReadyStep
        workers : list of Worker
            Workers on which runs may be stopped.
        slots : dict of WorkerId to int
            Number of tasks that fit on each worker without stops.
        needed : int
            Number of waiting tasks.

        Returns
        -------
        dict of WorkerId to Resources
            Capacity that was claimed for the step.
        """
        missing = needed if step.spec.gang else needed - sum(slots.values())
        options = [self._find_option(step, worker, missing) for worker in workers]
        chosen = choose_options(
            step,
            (option for option in options if option is not None),
            missing,
            self._reservations,
        )
        if step.spec.gang and sum(option.task_count for option in chosen) < missing:
            self._reservations.release(step.key)
            if self._may_withhold(step):
                self._withhold_workers(step, workers)
            return {}
        size = step.spec.reserved()
        preempted: dict[WorkerId, Resources] = {}
        reserved: dict[WorkerId, int] = {}
        for option in chosen:
            if option.task_count > missing:
                # The last worker may need fewer stops than its option includes.
                option = self._find_option(step, option.worker, missing)
            missing -= option.task_count
            worker_id = option.worker.worker_id
            reserved[worker_id] = option.task_count
            preempted[worker_id] = size.scaled(option.task_count)
            claimed = self._claimed.get(worker_id, Resources())
            self._claimed[worker_id] = claimed + preempted[worker_id]
            for cache in self._ending_capacities.values():
                cache.pop(worker_id, None)
            for run in option.victims:
                run.stop_wanted = True
                self.result.preemptions.append(Preemption(option.worker, run, step))
        self._reservations.replace(step, reserved)
        return preempted

    def _may_withhold(self, step: ReadyStep) -> bool:
        """Return whether workers may be withheld for a gang.

        The work that it waits for may take long. While much of the pool is unused,
        other work does not wait for that.
        """
        since_ms = self._reservations.withheld_since_ms(step.key, self._now_ms)
        if self._now_ms - since_ms < WITHHOLD_UNUSED_MAX_MS:
            return True
        return self._is_half_used

    def _withhold_workers(self, step: ReadyStep, workers: list[Worker]) -> None:
        """Withhold the workers that a gang will get from work of lower priority.

        Work of the same priority may still use them, so that a gang that waits for a
        whole worker does not block smaller gangs from parts of it. None is withheld
        if the gang does not fit beside the tasks that are at work for good.
        """
        size = step.spec.reserved()
        missing = len(step.keys)
        counts: list[tuple[Worker, int]] = []
        for worker in sorted(workers, key=lambda w: -w.free.cores_milli):
            if missing <= 0:
                break
            limit = min(missing, self._remaining_on(step, worker))
            count = count_fitting(_freeable_capacity(worker, step), size, limit)
            counts.append((worker, count))
            missing -= count
        if missing > 0:
            return
        for worker, count in counts:
            if count:
                withheld = self._withheld.setdefault(worker.worker_id, [])
                withheld.append((step.priority, size.scaled(count)))

    def _find_option(
        self, step: ReadyStep, worker: Worker, limit: int
    ) -> PreemptionOption | None:
        """Return how a worker can make capacity for up to `limit` tasks by stops."""
        limit = min(limit, self._remaining_on(step, worker))
        return find_option(
            step,
            worker,
            self._available(worker, step),
            limit,
            self._now_ms,
            self._above_share,
        )


class _WorkerRanking:
    """Workers in the order of their scores, for the tasks of one step.

    A placement changes the score of its worker only. A search of all workers for each
    task took 12 ms a task with 2,160 workers.

    Parameters
    ----------
    planning_pass : _PlanningPass
    step : ReadyStep
    workers : list of Worker
        Of workers with the same score, the first one is chosen.
    """

    def __init__(
        self, planning_pass: _PlanningPass, step: ReadyStep, workers: list[Worker]
    ):
        self._score = planning_pass.scorer(step)
        self._last: Worker | None = None
        self._heap: list[tuple[float, int, Worker]] = []
        for index, worker in enumerate(workers):
            score = self._score(worker)
            if score is not None:
                self._heap.append((score, index, worker))
        heapify(self._heap)

    def choose(
        self, step: ReadyStep, key: TaskKey, workers: list[Worker]
    ) -> Worker | None:
        """Return the worker with the lowest score, or ``None``.

        The one returned before has got a task since.
        """
        while self._heap:
            _, index, worker = self._heap[0]
            if worker is not self._last:
                self._last = worker
                return worker
            self._last = None
            score = self._score(worker)
            if score is None:
                heappop(self._heap)
            else:
                heapreplace(self._heap, (score, index, worker))
        return None


def _freeable_capacity(worker: Worker, step: ReadyStep) -> Resources:
    """Return the capacity of a worker that a gang can get in the course of time.

    That is all but what long-running tasks occupy that it may not stop.
    """
    capacity = worker.info.capacity
    for run in worker.runs.values():
        is_lasting = run.step is not None and run.step.long_running
        if is_lasting and run.priority <= step.priority:
            capacity = capacity - run.reserved
    return capacity


def _early_end_ms(run: Run, worker: Worker) -> float:
    """Return the earliest expected end of a run.

    It is a time of the event loop's clock in milliseconds, infinite for a run that is
    not expected to end.
    """
    if run.step is None or run.step.long_running:
        return math.inf
    expected_ms = run.step.estimate_ms * worker.run_time_ratio
    return run.begun_ms + EARLY_END_FRACTION * expected_ms


def _make_run(step: ReadyStep, key: TaskKey, now_ms: float) -> Run:
    """Return a new run of a task; the runs of a gang share one number."""
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
        tenant=step.tenant,
        size=spec.size,
        is_suspect=step.workflow.is_suspect(key),
        queue=step.workflow.spec.policy.name,
    )


def _packing_scorer(step: StepSpec, urgent: bool = False) -> Callable[[Worker], float]:
    """Return a function that scores a placement of a step's task; lower is better.

    The score grows with the share of the worker's cores that stays free, from 0 to 1,
    and with the worker's relative run time. It is higher for tasks without GPUs on
    workers with GPUs, so that such tasks use other workers first.

    Parameters
    ----------
    step : StepSpec
    urgent : bool
        Whether the worker's speed gets the higher weight.
    """
    needed_milli = step.reserved().cores_milli
    needs_gpu = bool(step.size.gpus_milli)
    weight = URGENT_SPEED_WEIGHT if urgent else SPEED_WEIGHT

    def score(worker: Worker) -> float:
        capacity = worker.info.capacity
        left_milli = worker.free.cores_milli - needed_milli
        share = left_milli / (capacity.cores_milli or 1)
        if capacity.gpus_milli and not needs_gpu:
            share += 0.5
        return 0.5 * share + weight * worker.run_time_ratio

    return score
