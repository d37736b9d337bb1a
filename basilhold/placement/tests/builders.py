"""Short constructors for records, and a stand-in for the shard's owner."""

from basilhold.core import (
    Assignment,
    Attempt,
    ClassKind,
    ClassName,
    JobId,
    JobRecord,
    JobSpec,
    OfficeName,
    Resources,
    RestartPolicy,
    TaskId,
    TaskRecord,
    TaskState,
    TeamName,
    WorkerId,
    WorkerRecord,
    ZoneName,
    split_task_id,
)
from basilhold.placement import Plan, TargetPlanner

GIB = 1 << 30


def size(cores: float, memory_gib: float = 1, gpus: float = 0) -> Resources:
    return Resources(int(cores * 1000), int(memory_gib * GIB), int(gpus * 1000))


def job(
    job_id: str,
    task_size: Resources,
    *,
    tasks: int = 1,
    kind: ClassKind = ClassKind.BATCH,
    target_ms: int = 60_000,
    submitted: int = 0,
    team: str = "quotes",
    run_time_ms: int = 0,
    restart: RestartPolicy = RestartPolicy.ALLOWED,
    checkpoint: bool = False,
) -> JobRecord:
    spec = JobSpec(
        JobId(job_id),
        OfficeName("trakia"),
        TeamName(team),
        ClassName(f"{kind.value}-{target_ms}"),
        kind,
        target_ms,
        tasks,
        task_size,
        submitted,
        run_time_ms,
        restart,
        checkpoint,
    )
    return JobRecord(spec, [TaskRecord() for _ in range(tasks)])


class FakeShardOwner:
    """Keeps the call order of the shard's owner, with commits that succeed."""

    def __init__(self, *workers: tuple[str, Resources, str]):
        self.planner = TargetPlanner()
        self.worker_records: dict[str, WorkerRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        for name, capacity, rack in workers:
            row = WorkerRecord(WorkerId(name), ZoneName("ruse"), rack, capacity)
            self.worker_records[name] = row
            self.planner.upsert_worker(row, True)

    def submit(self, *records: JobRecord) -> None:
        for record in records:
            self.jobs[record.spec.job_id] = record
            self.planner.upsert_job(record)

    def plan(self, now: int, limit: int = 200) -> Plan:
        """Plan and commit."""
        plan = self.planner.plan(now, limit)
        for p in plan.placements:
            row = self.worker_records[p.worker_id]
            added = Assignment(p.task_id, p.attempt, p.resources)
            row.assignments = (*row.assignments, added)
            job_id, index = split_task_id(p.task_id)
            self.jobs[job_id].tasks[index].attempt = p.attempt
        self.planner.confirm(plan.placements)
        return plan

    def end_task(self, task_id: str, state: TaskState = TaskState.SUCCEEDED) -> None:
        """Remove a task from its worker's row; ``PENDING`` queues it again."""
        job_id, index = split_task_id(TaskId(task_id))
        self.jobs[job_id].tasks[index].state = state
        self.planner.upsert_job(self.jobs[job_id])
        for row in self.worker_records.values():
            kept = tuple(a for a in row.assignments if a.task_id != task_id)
            if len(kept) < len(row.assignments):
                row.assignments = kept
                self.planner.upsert_worker(row, True)

    def throttle_task(self, task_id: str, cores_milli: int) -> None:
        """Commit a throttled task with fewer cores."""
        for row in self.worker_records.values():
            row.assignments = tuple(
                Assignment(
                    a.task_id,
                    a.attempt,
                    Resources(
                        cores_milli, a.resources.memory_bytes, a.resources.gpus_milli
                    ),
                )
                if a.task_id == task_id
                else a
                for a in row.assignments
            )
            self.planner.upsert_worker(row, True)

    def commit_assignment(
        self, worker: str, task_id: str, task_size: Resources
    ) -> None:
        """Commit a task that the planner did not place."""
        row = self.worker_records[worker]
        added = Assignment(TaskId(task_id), Attempt(1), task_size)
        row.assignments = (*row.assignments, added)
        self.planner.upsert_worker(row, True)


def workers_by_task(plan: Plan) -> dict[str, str]:
    """Return the worker by task."""
    return {p.task_id: p.worker_id for p in plan.placements}
