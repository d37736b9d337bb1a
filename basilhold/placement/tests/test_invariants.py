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
    """Calls the planner in random order, with commits that fail or arrive late.

    Guards against overcommitted workers, tasks planned twice, gangs in part, and
    victims that must not be stopped. The rows are an independent account.
    """

    def __init__(self):
        super().__init__()
        self.shard = FakeShardOwner()
        self.planner = self.shard.planner
        self.in_flight: Plan | None = None
        self.evictions = []
        self.now = 0
        self.count = 0
        quota = size(12, 48, 2)
        teams = tuple(Team(name, quota) for name in TEAMS[:2])
        self.planner.set_teams(teams, {"survey": size(4, 4)})

    @rule(shape=st.sampled_from(SHAPES), rack=st.sampled_from("ab"))
    def add_worker(self, shape, rack):
        self.count += 1
        added = FakeShardOwner((f"w{self.count}", shape, rack)).worker_records[
            f"w{self.count}"
        ]
        self.shard.worker_records[added.worker_id] = added
        self.planner.upsert_worker(added, True)

    @rule(task_size=st.sampled_from(SIZES), options=OPTIONS)
    def submit(self, task_size, options):
        self.count += 1
        record = job(f"j{self.count}", task_size, submitted=self.now, **options)
        self.shard.submit(record)

    @precondition(lambda self: self.in_flight is None)
    @rule(limit=st.sampled_from([1, 4, 200]), waited=st.integers(0, 30_000))
    def plan(self, limit, waited):
        self.now += waited
        plan = self.planner.plan(self.now, limit)
        committed = {
            a.task_id for r in self.shard.worker_records.values() for a in r.assignments
        }
        by_job: dict[str, int] = {}
        for placement in plan.placements:
            assert placement.task_id not in committed
            committed.add(placement.task_id)
            job_id, _ = split_task_id(placement.task_id)
            by_job[job_id] = by_job.get(job_id, 0) + 1
        self.check_gangs(by_job)
        for eviction in plan.evictions:
            spec = self.shard.jobs[split_task_id(eviction.task_id)[0]].spec
            assert spec.restart is RestartPolicy.ALLOWED or not eviction.for_task_id
        self.evictions.extend(plan.evictions)
        self.in_flight = plan

    def check_gangs(self, by_job: dict[str, int]) -> None:
        for job_id, planned in by_job.items():
            record = self.shard.jobs[job_id]
            if record.spec.kind is ClassKind.GANG:
                waiting = sum(t.state is TaskState.PENDING for t in record.tasks) - sum(
                    split_task_id(a.task_id)[0] == job_id
                    for r in self.shard.worker_records.values()
                    for a in r.assignments
                )
                assert planned == waiting, (planned, waiting)

    @precondition(lambda self: self.in_flight is not None)
    @rule(record_first=st.booleans(), records=st.booleans())
    def commit(self, record_first, records):
        for p in self.in_flight.placements:
            row = self.shard.worker_records[p.worker_id]
            added = Assignment(p.task_id, p.attempt, p.resources)
            row.assignments = (*row.assignments, added)
            job_id, index = split_task_id(p.task_id)
            self.shard.jobs[job_id].tasks[index].attempt = p.attempt
        touched = {p.worker_id for p in self.in_flight.placements}
        if not record_first:
            self.planner.confirm(self.in_flight.placements)
        if records or record_first:
            for worker_id in sorted(touched):
                self.planner.upsert_worker(self.shard.worker_records[worker_id], True)
        if record_first:
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
        row = self.shard.worker_records.get(eviction.worker_id)
        if lost or row is None:
            return
        if all(a.task_id != eviction.task_id for a in row.assignments):
            return
        if eviction.action is not EvictionAction.THROTTLE:
            self.shard.end_task(eviction.task_id, TaskState.PENDING)
        elif eviction.for_task_id:
            self.shard.throttle_task(eviction.task_id, eviction.cores_limit_milli)

    @rule(
        data=st.data(), state=st.sampled_from([TaskState.SUCCEEDED, TaskState.PENDING])
    )
    def end_task(self, data, state):
        committed = [
            a.task_id for r in self.shard.worker_records.values() for a in r.assignments
        ]
        known = [t for t in committed if split_task_id(t)[0] in self.shard.jobs]
        if known:
            self.shard.end_task(data.draw(st.sampled_from(known)), state)

    @rule(data=st.data())
    def report_usage(self, data):
        for row in self.shard.worker_records.values():
            reports = tuple(
                TaskReport(
                    a.task_id,
                    a.attempt,
                    data.draw(st.booleans()),
                    None,
                    data.draw(st.sampled_from(SIZES)),
                )
                for a in row.assignments[:2]
            )
            self.planner.record_usage(row.worker_id, reports, self.now)

    @precondition(lambda self: self.in_flight is None)
    @rule(data=st.data())
    def cancel_job(self, data):
        if self.shard.jobs:
            job_id = data.draw(st.sampled_from(sorted(self.shard.jobs)))
            self.planner.remove_job(job_id)
            if data.draw(st.booleans()):
                self.planner.upsert_job(self.shard.jobs[job_id])
            else:
                self.forget(job_id)

    def forget(self, job_id: str) -> None:
        del self.shard.jobs[job_id]
        for row in self.shard.worker_records.values():
            row.assignments = tuple(
                a for a in row.assignments if split_task_id(a.task_id)[0] != job_id
            )
            self.planner.upsert_worker(row, True)

    @rule(data=st.data())
    def change_worker(self, data):
        if not self.shard.worker_records:
            return
        row = self.shard.worker_records[
            data.draw(st.sampled_from(sorted(self.shard.worker_records)))
        ]
        row.quarantined_until_unix_ms = data.draw(
            st.sampled_from([0, 0, self.now + 5000])
        )
        self.planner.upsert_worker(row, data.draw(st.booleans()))

    @precondition(lambda self: self.in_flight is None)
    @rule(data=st.data())
    def lose_worker(self, data):
        if self.shard.worker_records:
            name = data.draw(st.sampled_from(sorted(self.shard.worker_records)))
            self.planner.remove_worker(name)
            del self.shard.worker_records[name]

    @rule()
    def explain(self):
        for job_id in self.shard.jobs:
            assert self.planner.explain(job_id, self.now).reason

    @invariant()
    def bookkeeping_agrees(self):
        self.planner.check_invariants()

    @invariant()
    def no_row_exceeds_its_worker(self):
        planned: dict[str, Resources] = {}
        for p in self.in_flight.placements if self.in_flight else ():
            planned[p.worker_id] = planned.get(p.worker_id, Resources()) + p.resources
        for worker_id, row in self.shard.worker_records.items():
            total = row.committed() + planned.get(worker_id, Resources())
            assert total.fits_in(row.capacity), worker_id


InvariantsTest = PlannerMachine.TestCase
InvariantsTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
