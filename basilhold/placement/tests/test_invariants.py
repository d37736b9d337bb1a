from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from basilhold.core import (
    Assignment,
    ClassKind,
    Resources,
    RestartPolicy,
    TaskState,
    Team,
    split_task_id,
)
from basilhold.placement import EvictionAction, Plan
from basilhold.placement.tests.builders import FakeShardOwner, job, size
from basilhold.ports import TaskReport

SHAPES = (size(8, 32), size(16, 16), size(16, 64, 4))
SIZES = (
    size(0.5, 1),
    size(1, 4),
    size(4, 4),
    size(8, 30),
    size(2, 8, 0.5),
    size(4, 16, 2),
)
TEAMS = ("quotes", "survey", "nobody")
KINDS = (ClassKind.BATCH, ClassKind.GANG, ClassKind.SERVICE)
OPTIONS = st.fixed_dictionaries(
    {
        "tasks": st.integers(1, 6),
        "kind": st.sampled_from(KINDS),
        "target_ms": st.sampled_from([5_000, 60_000]),
        "team": st.sampled_from(TEAMS),
        "run_time_ms": st.sampled_from([0, 20_000]),
        "restart": st.sampled_from(RestartPolicy),
        "checkpoint": st.booleans(),
    }
)


class PlannerMachine(RuleBasedStateMachine):
    """Calls a planner in random order, with commits that fail or are reported late.

    Guards against overcommitted workers, tasks planned twice, gangs placed only in
    part, and evictions of tasks that must not be restarted. The worker records of the
    fake owner are checked independently of the planner's state.
    """

    def __init__(self):
        super().__init__()
        self.owner = FakeShardOwner()
        self.planner = self.owner.planner
        self.in_flight: Plan | None = None
        self.evictions = []
        self.now_unix_ms = 0
        self.name_count = 0
        quota = size(12, 48, 2)
        teams = tuple(Team(name, quota) for name in TEAMS[:2])
        self.planner.set_teams(teams, {"survey": size(4, 4)})

    @rule(shape=st.sampled_from(SHAPES), rack=st.sampled_from("ab"))
    def add_worker(self, shape, rack):
        self.name_count += 1
        added = FakeShardOwner((f"w{self.name_count}", shape, rack)).worker_records[
            f"w{self.name_count}"
        ]
        self.owner.worker_records[added.worker_id] = added
        self.planner.upsert_worker(added, True)

    @rule(task_size=st.sampled_from(SIZES), options=OPTIONS)
    def submit(self, task_size, options):
        self.name_count += 1
        record = job(
            f"j{self.name_count}", task_size, submitted=self.now_unix_ms, **options
        )
        self.owner.submit(record)

    @precondition(lambda self: self.in_flight is None)
    @rule(limit=st.sampled_from([1, 4, 200]), waited_ms=st.integers(0, 30_000))
    def plan(self, limit, waited_ms):
        self.now_unix_ms += waited_ms
        plan = self.planner.plan(self.now_unix_ms, limit)
        committed = {
            a.task_id for r in self.owner.worker_records.values() for a in r.assignments
        }
        placed_by_job: dict[str, int] = {}
        for placement in plan.placements:
            assert placement.task_id not in committed
            committed.add(placement.task_id)
            job_id, _ = split_task_id(placement.task_id)
            placed_by_job[job_id] = placed_by_job.get(job_id, 0) + 1
        self.check_gangs(placed_by_job)
        for eviction in plan.evictions:
            spec = self.owner.jobs[split_task_id(eviction.task_id)[0]].spec
            assert spec.restart is RestartPolicy.ALLOWED or not eviction.for_task_id
        self.evictions.extend(plan.evictions)
        self.in_flight = plan

    def check_gangs(self, placed_by_job: dict[str, int]) -> None:
        """Check that all waiting tasks of each placed gang were placed."""
        for job_id, placed in placed_by_job.items():
            record = self.owner.jobs[job_id]
            if record.spec.kind is ClassKind.GANG:
                waiting = sum(t.state is TaskState.PENDING for t in record.tasks) - sum(
                    split_task_id(a.task_id)[0] == job_id
                    for r in self.owner.worker_records.values()
                    for a in r.assignments
                )
                assert placed == waiting, (placed, waiting)

    @precondition(lambda self: self.in_flight is not None)
    @rule(upsert_first=st.booleans(), upsert=st.booleans())
    def commit(self, upsert_first, upsert):
        for p in self.in_flight.placements:
            record = self.owner.worker_records[p.worker_id]
            added = Assignment(p.task_id, p.attempt, p.resources)
            record.assignments = (*record.assignments, added)
            job_id, index = split_task_id(p.task_id)
            self.owner.jobs[job_id].tasks[index].attempt = p.attempt
        changed = {p.worker_id for p in self.in_flight.placements}
        if not upsert_first:
            self.planner.confirm(self.in_flight.placements)
        if upsert or upsert_first:
            for worker_id in sorted(changed):
                self.planner.upsert_worker(self.owner.worker_records[worker_id], True)
        if upsert_first:
            self.planner.confirm(self.in_flight.placements)
        self.in_flight = None

    @precondition(lambda self: self.in_flight is not None)
    @rule()
    def fail_commit(self):
        self.planner.abandon(self.in_flight.placements)
        self.in_flight = None

    @precondition(lambda self: self.evictions)
    @rule(lost=st.booleans())
    def carry_out_eviction(self, lost):
        eviction = self.evictions.pop(0)
        record = self.owner.worker_records.get(eviction.worker_id)
        if lost or record is None:
            return
        if all(a.task_id != eviction.task_id for a in record.assignments):
            return
        if eviction.action is not EvictionAction.THROTTLE:
            self.owner.end_task(eviction.task_id, TaskState.PENDING)
        elif eviction.for_task_id:
            self.owner.throttle_task(eviction.task_id, eviction.cores_limit_milli)

    @rule(
        data=st.data(), state=st.sampled_from([TaskState.SUCCEEDED, TaskState.PENDING])
    )
    def end_task(self, data, state):
        committed = [
            a.task_id for r in self.owner.worker_records.values() for a in r.assignments
        ]
        known = [t for t in committed if split_task_id(t)[0] in self.owner.jobs]
        if known:
            self.owner.end_task(data.draw(st.sampled_from(known)), state)

    @rule(data=st.data())
    def report_usage(self, data):
        for record in self.owner.worker_records.values():
            reports = tuple(
                TaskReport(
                    a.task_id,
                    a.attempt,
                    data.draw(st.booleans()),
                    None,
                    data.draw(st.sampled_from(SIZES)),
                )
                for a in record.assignments[:2]
            )
            self.planner.record_usage(record.worker_id, reports, self.now_unix_ms)

    @precondition(lambda self: self.in_flight is None)
    @rule(data=st.data())
    def cancel_job(self, data):
        if self.owner.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.owner.jobs)))
            self.planner.remove_job(job_id)
            if data.draw(st.booleans()):
                self.planner.upsert_job(self.owner.jobs[job_id])
            else:
                self.remove_job(job_id)

    def remove_job(self, job_id: str) -> None:
        """Remove a job and its tasks from all records."""
        del self.owner.jobs[job_id]
        for record in self.owner.worker_records.values():
            record.assignments = tuple(
                a for a in record.assignments if split_task_id(a.task_id)[0] != job_id
            )
            self.planner.upsert_worker(record, True)

    @rule(data=st.data())
    def change_worker(self, data):
        if not self.owner.worker_records:
            return
        record = self.owner.worker_records[
            data.draw(st.sampled_from(sorted(self.owner.worker_records)))
        ]
        record.quarantined_until_unix_ms = data.draw(
            st.sampled_from([0, 0, self.now_unix_ms + 5000])
        )
        self.planner.upsert_worker(record, data.draw(st.booleans()))

    @precondition(lambda self: self.in_flight is None)
    @rule(data=st.data())
    def remove_worker(self, data):
        if self.owner.worker_records:
            name = data.draw(st.sampled_from(sorted(self.owner.worker_records)))
            self.planner.remove_worker(name)
            del self.owner.worker_records[name]

    @rule()
    def explain(self):
        for job_id in self.owner.jobs:
            assert self.planner.explain(job_id, self.now_unix_ms).reason

    @invariant()
    def planner_state_is_consistent(self):
        self.planner.check_invariants()

    @invariant()
    def no_worker_is_overcommitted(self):
        planned: dict[str, Resources] = {}
        for p in self.in_flight.placements if self.in_flight else ():
            planned[p.worker_id] = planned.get(p.worker_id, Resources()) + p.resources
        for worker_id, record in self.owner.worker_records.items():
            total = record.committed() + planned.get(worker_id, Resources())
            assert total.fits_in(record.capacity), worker_id


InvariantsTest = PlannerMachine.TestCase
InvariantsTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
