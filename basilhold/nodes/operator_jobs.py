"""Operators' requests about jobs."""

import asyncio
from collections import Counter

import msgspec
from expression import Error, Ok, Result

from basilhold.config import ConfigInForce
from basilhold.core import (
    Attempt,
    Clock,
    JobId,
    JobRecord,
    JobSpec,
    Resources,
    TaskId,
    TaskState,
    WorkClass,
    WorkerId,
    WorkerRecord,
    ZoneName,
    decode_json,
    make_task_id,
)
from basilhold.nodes.directory import CellDirectory
from basilhold.nodes.job_notifier import JobNotifier
from basilhold.nodes.job_placement import choose_zones
from basilhold.operators_api import (
    Explanation,
    JobAccepted,
    JobDetail,
    JobPage,
    JobQuery,
    JobSubmission,
    JobSummary,
    OperatorError,
    OperatorErrorKind,
    OperatorIdentity,
    TaskCount,
    TaskView,
    WaitReason,
)
from basilhold.placement import Explanation as PlannerExplanation
from basilhold.placement import RejectionKind, WorkerShape, check_admission
from basilhold.ports import TableService, VmState
from basilhold.rpc import Transport, call, messages_pb2
from basilhold.rpc.messages_grpc import SchedulerStub
from basilhold.sharding import (
    IntakeError,
    IntakeErrorKind,
    JobIntake,
    SchedulerPeers,
    ShardSummary,
    Submission,
    make_job_id,
)

__all__ = ["OperatorJobs"]

TASKS_SHOWN_MAX = 200
RETRY_AFTER_S = 5
SUMMARY_AGE_MAX_MS = 2000
CALL_TIMEOUT_S = 2.0

_ERROR_KINDS = {
    # An earlier submission with the same key may have been stored.
    IntakeErrorKind.NOT_RUN: OperatorErrorKind.UNKNOWN,
    IntakeErrorKind.UNKNOWN: OperatorErrorKind.UNKNOWN,
    IntakeErrorKind.DIFFERENT: OperatorErrorKind.REJECTED,
    IntakeErrorKind.NOT_FOUND: OperatorErrorKind.NOT_FOUND,
    IntakeErrorKind.INVALID: OperatorErrorKind.INVALID,
}


class PlacedTask(msgspec.Struct, frozen=True):
    """Where a task is committed, and by which attempt."""

    worker_id: WorkerId
    attempt: Attempt


class OperatorJobs:
    """Submits, shows, cancels and explains jobs.

    Parameters
    ----------
    clock : Clock
    table : TableService
    intake : JobIntake
    in_force : ConfigInForce
    directory : CellDirectory
    peers : SchedulerPeers
    transport : Transport
    """

    def __init__(
        self,
        clock: Clock,
        table: TableService,
        intake: JobIntake,
        in_force: ConfigInForce,
        directory: CellDirectory,
        peers: SchedulerPeers,
        transport: Transport,
    ):
        self._clock = clock
        self._table = table
        self._intake = intake
        self._in_force = in_force
        self._directory = directory
        self._peers = peers
        self._transport = transport
        self._notifier = JobNotifier(transport, directory)
        self._summaries: dict[ZoneName, ShardSummary] = {}
        self._summaries_at_ms: float | None = None

    async def submit(
        self, operator: OperatorIdentity, key: str, submission: JobSubmission
    ) -> Result[JobAccepted, OperatorError]:
        """Check and store a job."""
        work_class = self._in_force.work_class(submission.class_name)
        if work_class is None:
            detail = f"no class {submission.class_name} is in force"
            rejected = OperatorError(OperatorErrorKind.REJECTED, detail)
            return await self._reject(make_job_id(operator.office, key), rejected)
        spec = self._spec(operator, key, submission, work_class)
        await self._refresh_summaries()
        rejected = self._check(spec)
        if rejected is not None:
            return await self._reject(spec.job_id, rejected)
        tasks_by_zone = choose_zones(
            spec, self._directory.all_workers(), self._summaries
        )
        stored = await self._intake.submit(Submission(spec, tasks_by_zone))
        if stored.is_error():
            return Error(_describe(stored.error))
        job_ids = stored.ok.parts or (spec.job_id,)
        for zone in tasks_by_zone:
            self._notifier.notify(zone, job_ids)
        zones = tuple(sorted(tasks_by_zone))
        return Ok(JobAccepted(spec.job_id, zones, stored.ok.repeated))

    async def job(self, job_id: JobId) -> Result[JobDetail, OperatorError]:
        """Return a job and its tasks."""
        status = await self._intake.status(job_id)
        if status.is_error():
            return Error(_describe(status.error))
        parts = status.ok.parts
        placed = await self._placed_tasks({part.spec.job_id for part in parts})
        tasks = [view for part in parts for view in _task_views(part, placed)]
        counts = Counter(view.state for view in tasks)
        summary = _summary(job_id, parts[0], ZoneName(""), counts)
        shown = tuple(tasks[:TASKS_SHOWN_MAX])
        return Ok(JobDetail(summary, shown, len(tasks) - len(shown)))

    async def jobs(self, query: JobQuery) -> Result[JobPage, OperatorError]:
        """Return a page of jobs."""
        after = f"job/{query.after}" if query.after else ""
        found: list[JobSummary] = []
        while True:
            page = await self._table.scan("job/", after, limit=200)
            if page.is_error():
                return Error(_unavailable(page.error.reason))
            for row in page.ok.rows:
                record = decode_json(row.value, JobRecord)
                if _matches(record, query):
                    zone = ZoneName(row.key.split("/")[1])
                    found.append(_stored_summary(record, zone))
                    if len(found) == query.limit:
                        return Ok(JobPage(tuple(found), row.key.removeprefix("job/")))
            after = page.ok.next_after
            if not after:
                return Ok(JobPage(tuple(found)))

    async def cancel(self, job_id: JobId) -> Result[JobDetail, OperatorError]:
        """Mark a job as cancelled."""
        result = await self._intake.cancel(job_id)
        if result.is_error():
            return Error(_describe(result.error))
        status = await self._intake.status(job_id)
        if status.is_ok():
            part_ids = tuple(part.spec.job_id for part in status.ok.parts)
            for zone in result.ok.zones:
                self._notifier.notify(zone, part_ids)
        return await self.job(job_id)

    async def explain(self, job_id: JobId) -> Result[Explanation, OperatorError]:
        """Ask the owners of the job's shards why its tasks wait."""
        status = await self._intake.status(job_id)
        if status.is_error():
            return Error(_describe(status.error))
        waiting = 0
        reasons: Counter[str] = Counter()
        for part in status.ok.parts:
            explanation = await self._ask_owners(part.spec.job_id)
            if explanation is None:
                continue
            waiting += explanation.waiting_tasks
            if explanation.waiting_tasks:
                reasons[explanation.reason] += 0
            reasons.update(explanation.lacking_workers)
        shown = tuple(WaitReason(text, count) for text, count in reasons.items())
        return Ok(Explanation(job_id, waiting, shown))

    async def _reject(
        self, job_id: JobId, rejected: OperatorError
    ) -> Result[JobAccepted, OperatorError]:
        """Refuse a submission unless it repeats one that was accepted."""
        status = await self._intake.status(job_id)
        if status.is_ok():
            return Ok(JobAccepted(job_id, repeated=True))
        if status.error.kind is IntakeErrorKind.NOT_FOUND:
            return Error(rejected)
        return Error(_describe(status.error))

    def _spec(
        self,
        operator: OperatorIdentity,
        key: str,
        submission: JobSubmission,
        work_class: WorkClass,
    ) -> JobSpec:
        return JobSpec(
            job_id=make_job_id(operator.office, key),
            office=operator.office,
            team=submission.team,
            class_name=submission.class_name,
            kind=work_class.kind,
            wait_target_ms=work_class.wait_target_ms,
            task_count=submission.task_count,
            task_resources=submission.task_resources,
            submitted_unix_ms=self._clock.unix_ms(),
            run_time_ms=submission.run_time_ms,
            restart=work_class.restart,
            checkpoint=work_class.checkpoint,
            command=submission.command,
        )

    def _check(self, spec: JobSpec) -> OperatorError | None:
        shapes: Counter[tuple[ZoneName, Resources]] = Counter(
            (record.zone, record.capacity)
            for record in self._directory.all_workers()
            if record.state is VmState.LIVE
        )
        waiting = sum(
            usage.waiting_tasks
            for summary in self._summaries.values()
            for usage in summary.team_usage
            if usage.team == spec.team
        )
        result = check_admission(
            spec,
            tuple(WorkerShape(z, size, count) for (z, size), count in shapes.items()),
            {work_class.name: work_class for work_class in self._in_force.classes()},
            self._in_force.team(spec.team),
            waiting,
        )
        if result.is_ok():
            return None
        kind = OperatorErrorKind.REJECTED
        if result.error.kind is RejectionKind.QUEUE_FULL:
            kind = OperatorErrorKind.QUEUE_FULL
        return OperatorError(kind, result.error.reason)

    async def _refresh_summaries(self) -> None:
        now_ms = self._clock.monotonic_ms()
        age_ms = now_ms - (self._summaries_at_ms or -SUMMARY_AGE_MAX_MS)
        if self._summaries_at_ms is not None and age_ms < SUMMARY_AGE_MAX_MS:
            return
        self._summaries_at_ms = now_ms
        processes = self._peers.processes()
        answers = await asyncio.gather(
            *(self._peers.probe(process.process_id) for process in processes)
        )
        for answer in answers:
            for summary in answer.shards if answer else ():
                known = self._summaries.get(summary.zone)
                if known is None or summary.epoch >= known.epoch:
                    self._summaries[summary.zone] = summary

    async def _ask_owners(self, job_id: JobId) -> PlannerExplanation | None:
        request = messages_pb2.ExplainRequest(job_id=job_id)
        zones = [shard.zone for shard in self._directory.shards()]
        addresses = {self._directory.owner_address(zone) for zone in zones}
        for address in addresses - {None}:
            stub = SchedulerStub(self._transport.channel(address))
            reply = await call(stub.Explain, request, CALL_TIMEOUT_S)
            if reply.is_ok() and reply.ok.content:
                return decode_json(reply.ok.content, PlannerExplanation)
        return None

    async def _placed_tasks(self, job_ids: set[JobId]) -> dict[TaskId, PlacedTask]:
        placed: dict[TaskId, PlacedTask] = {}
        after = ""
        while True:
            page = await self._table.scan("worker/", after)
            if page.is_error():
                return placed
            for row in page.ok.rows:
                record = decode_json(row.value, WorkerRecord)
                for assignment in record.assignments:
                    if assignment.task_id.rpartition("#")[0] in job_ids:
                        placed[assignment.task_id] = PlacedTask(
                            record.worker_id, assignment.attempt
                        )
            after = page.ok.next_after
            if not after:
                return placed


def _task_views(part: JobRecord, placed: dict[TaskId, PlacedTask]) -> list[TaskView]:
    views = []
    for index, task in enumerate(part.tasks):
        place = placed.get(make_task_id(part.spec.job_id, index))
        state, attempt = task.state, task.attempt
        if place is not None and state is TaskState.PENDING:
            # The job's row is not written when a task is placed.
            state, attempt = TaskState.RUNNING, place.attempt
        worker_id = place.worker_id if place else None
        views.append(TaskView(index, state, attempt, worker_id, task.reason))
    return views


def _stored_summary(record: JobRecord, zone: ZoneName) -> JobSummary:
    counts = Counter(task.state for task in record.tasks)
    return _summary(record.spec.job_id, record, zone, counts)


def _summary(
    job_id: JobId, record: JobRecord, zone: ZoneName, counts: Counter[TaskState]
) -> JobSummary:
    spec = record.spec
    return JobSummary(
        job_id=job_id,
        office=spec.office,
        team=spec.team,
        class_name=spec.class_name,
        zone=zone,
        submitted_unix_ms=spec.submitted_unix_ms,
        cancel_requested=record.cancel_requested,
        task_counts=tuple(TaskCount(state, count) for state, count in counts.items()),
    )


def _matches(record: JobRecord, query: JobQuery) -> bool:
    if query.office is not None and record.spec.office != query.office:
        return False
    if query.team is not None and record.spec.team != query.team:
        return False
    return not query.unfinished_only or any(
        not task.state.is_final for task in record.tasks
    )


def _describe(error: IntakeError) -> OperatorError:
    kind = _ERROR_KINDS[error.kind]
    retryable = kind in (OperatorErrorKind.UNAVAILABLE, OperatorErrorKind.UNKNOWN)
    detail = error.reason or error.kind.value
    return OperatorError(kind, detail, retry_after_s=RETRY_AFTER_S if retryable else 0)


def _unavailable(reason: str) -> OperatorError:
    return OperatorError(
        OperatorErrorKind.UNAVAILABLE, reason, retry_after_s=RETRY_AFTER_S
    )
