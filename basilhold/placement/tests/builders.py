"""Builders of records for tests, and a fake owner of a shard."""

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
    """Return an amount of resources, given in cores, GiB of memory and GPUs."""
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
    """Return the record of a job whose tasks are all pending.

    Parameters
    ----------
    job_id : str
    task_size : Resources
        Resources that each task needs.
    tasks : int
        Number of tasks.
    kind : ClassKind
    target_ms : int
        Target wait of the class in milliseconds. The class is named after it and the
        kind.
    submitted : int
        Time of the submission, in Unix milliseconds.
    team : str
    run_time_ms : int
        Declared run time in milliseconds, 0 for none.
    restart : RestartPolicy
    checkpoint : bool
        Whether the tasks can save a checkpoint.
    """
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
    """Calls a planner in the order in which a shard's owner does.

    All commits succeed.

    Parameters
    ----------
    *workers : tuple of str, Resources and str
        Id, capacity and rack of each worker.

    Attributes
    ----------
    planner : TargetPlanner
    worker_records : dict of str to WorkerRecord
        The committed records by worker id.
    jobs : dict of str to JobRecord
        The submitted jobs by id.
    """

    def __init__(self, *workers: tuple[str, Resources, str]):
        self.planner = TargetPlanner()
        self.worker_records: dict[str, WorkerRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        for name, capacity, rack in workers:
            record = WorkerRecord(WorkerId(name), ZoneName("ruse"), rack, capacity)
            self.worker_records[name] = record
            self.planner.upsert_worker(record, True)

    def submit(self, *records: JobRecord) -> None:
        """Pass jobs to the planner."""
        for record in records:
            self.jobs[record.spec.job_id] = record
            self.planner.upsert_job(record)

    def plan(self, now: int, limit: int = 200) -> Plan:
        """Plan at a time in Unix milliseconds, then commit and confirm the plan."""
        plan = self.planner.plan(now, limit)
        for p in plan.placements:
            record = self.worker_records[p.worker_id]
            added = Assignment(p.task_id, p.attempt, p.resources)
            record.assignments = (*record.assignments, added)
            job_id, index = split_task_id(p.task_id)
            self.jobs[job_id].tasks[index].attempt = p.attempt
        self.planner.confirm(plan.placements)
        return plan

    def end_task(self, task_id: str, state: TaskState = TaskState.SUCCEEDED) -> None:
        """Remove a task from its worker's record and set its state.

        A task in state ``PENDING`` waits again.
        """
        job_id, index = split_task_id(TaskId(task_id))
        self.jobs[job_id].tasks[index].state = state
        self.planner.upsert_job(self.jobs[job_id])
        for record in self.worker_records.values():
            kept = tuple(a for a in record.assignments if a.task_id != task_id)
            if len(kept) < len(record.assignments):
                record.assignments = kept
                self.planner.upsert_worker(record, True)

    def throttle_task(self, task_id: str, cores_milli: int) -> None:
        """Commit a lower number of cores for a throttled task."""
        for record in self.worker_records.values():
            record.assignments = tuple(
                Assignment(
                    a.task_id,
                    a.attempt,
                    Resources(
                        cores_milli, a.resources.memory_bytes, a.resources.gpus_milli
                    ),
                )
                if a.task_id == task_id
                else a
                for a in record.assignments
            )
            self.planner.upsert_worker(record, True)

    def commit_assignment(
        self, worker: str, task_id: str, task_size: Resources
    ) -> None:
        """Commit the first attempt of a task that the planner did not place."""
        record = self.worker_records[worker]
        added = Assignment(TaskId(task_id), Attempt(1), task_size)
        record.assignments = (*record.assignments, added)
        self.planner.upsert_worker(record, True)


def workers_by_task(plan: Plan) -> dict[str, str]:
    """Return the workers of the placed tasks by task id."""
    return {p.task_id: p.worker_id for p in plan.placements}
