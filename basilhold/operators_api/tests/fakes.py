"""An operators' backend in memory, for the tests of the handlers and of the client."""

import msgspec
from expression import Error, Ok

from basilhold.core import (
    JobId,
    OfficeDocument,
    OfficeName,
    ProcessId,
    Resources,
    TaskState,
    WorkerId,
    ZoneName,
)
from basilhold.operators_api import (
    Attested,
    ClassList,
    ClassView,
    ConfigVersions,
    Explanation,
    HistoryList,
    InForce,
    JobAccepted,
    JobDetail,
    JobPage,
    JobSummary,
    OfficeVersion,
    OperatorBackend,
    OperatorContext,
    OperatorError,
    OperatorErrorKind,
    TaskCount,
    TaskView,
    TokenTable,
    WaitReason,
    WorkerPage,
    WorkerState,
    WorkerView,
    operator_routes,
)
from basilhold.settings import Operator

OSLO, BERGEN = OfficeName("oslo-office"), OfficeName("bergen-office")
OSLO_TOKEN = "token-of-the-oslo-office"
BERGEN_TOKEN = "token-of-the-bergen-office"
OPERATORS = (
    Operator(name="kari", office=OSLO, token=OSLO_TOKEN),
    Operator(name="nils", office=BERGEN, token=BERGEN_TOKEN),
)
ZONE = ZoneName("oslo-a")


def make_context(backend, **bounds):
    return OperatorContext(backend, TokenTable(OPERATORS), **bounds)


def make_routes(backend, **bounds):
    return operator_routes(make_context(backend, **bounds))


class FakeBackend(OperatorBackend):
    """Holds documents and jobs; `error` replaces the next results."""

    def __init__(self):
        self.versions_by_office = {
            office: [OfficeVersion(office, 0, OfficeDocument(office))]
            for office in (OSLO, BERGEN)
        }
        self.jobs_by_key = {}
        self.details = {}
        self.error = None
        self.calls = []
        self.waits_until_in_force = 0
        self.store_region_answers = True

    def _give(self, name, value=None, *arguments):
        self.calls.append((name, *arguments))
        return Error(self.error) if self.error else Ok(value)

    def _latest(self, office):
        return self.versions_by_office[office][-1]

    async def classes(self):
        views = [
            ClassView(office, self._latest(office).version, work_class)
            for office in self.versions_by_office
            for work_class in self._latest(office).document.classes
        ]
        return self._give("classes", ClassList(tuple(views)))

    async def office(self, office):
        if office not in self.versions_by_office:
            kind = OperatorErrorKind.NOT_FOUND
            return Error(OperatorError(kind, f"there is no office {office}"))
        return self._give("office", self._latest(office), office)

    def _write(self, operator, document, expected_version):
        latest = self._latest(operator.office)
        if latest.version != expected_version:
            return Error(
                OperatorError(
                    OperatorErrorKind.STALE_VERSION,
                    f"version {latest.version} is in the store",
                    current_version=latest.version,
                    difference=("- preview 200", "+ preview 300"),
                )
            )
        version = OfficeVersion(
            operator.office, latest.version + 1, document, operator.name, 1_000
        )
        self.versions_by_office[operator.office].append(version)
        return Ok(version)

    async def apply(self, operator, document, expected_version):
        self.calls.append(("apply", operator.name, expected_version))
        if self.error:
            return Error(self.error)
        return self._write(operator, document, expected_version)

    async def history(self, office, limit):
        entries = self.versions_by_office[office][:0:-1][:limit]
        return self._give("history", HistoryList(tuple(entries)), office)

    async def roll_back(self, operator, to_version, expected_version):
        document = self.versions_by_office[operator.office][to_version].document
        return self._write(operator, document, expected_version)

    async def versions(self):
        offices = tuple(
            InForce(office, self._latest(office).version, True, 3, 3)
            if self.store_region_answers
            else InForce(office, self._latest(office).version, False, complete=False)
            for office in self.versions_by_office
        )
        return self._give("versions", ConfigVersions(offices))

    async def wait_in_force(self, office, version, wait_ms):
        self.waits_until_in_force -= 1
        done = self.waits_until_in_force < 0
        lagging = () if done else (ProcessId("relay@b"),)
        value = InForce(office, version, done, 3 - len(lagging), 3, lagging)
        return self._give("wait", value, office, version)

    async def submit(self, operator, key, submission):
        self.calls.append(("submit", key))
        if self.error:
            return Error(self.error)
        if key in self.jobs_by_key:
            return Ok(JobAccepted(self.jobs_by_key[key], (ZONE,), True))
        job_id = JobId(f"{operator.office}.{len(self.jobs_by_key)}")
        self.jobs_by_key[key] = job_id
        counts = (TaskCount(TaskState.PENDING, submission.task_count),)
        summary = JobSummary(
            job_id,
            operator.office,
            submission.team,
            submission.class_name,
            ZONE,
            1_000,
            False,
            counts,
        )
        tasks = (TaskView(0, TaskState.PENDING),)
        self.details[job_id] = JobDetail(summary, tasks, submission.task_count - 1)
        return Ok(JobAccepted(job_id, (ZONE,)))

    async def job(self, job_id):
        if job_id not in self.details:
            kind = OperatorErrorKind.NOT_FOUND
            return Error(OperatorError(kind, f"there is no job {job_id}"))
        return self._give("job", self.details[job_id], job_id)

    async def jobs(self, query):
        summaries = [
            detail.summary
            for job_id, detail in sorted(self.details.items())
            if job_id > query.after and query.office in (None, detail.summary.office)
        ]
        page = summaries[: query.limit]
        more = len(summaries) > len(page)
        return self._give(
            "jobs", JobPage(tuple(page), page[-1].job_id if more else ""), query
        )

    async def cancel(self, operator, job_id):
        detail = self.details[job_id]
        summary = msgspec.structs.replace(detail.summary, cancel_requested=True)
        self.details[job_id] = msgspec.structs.replace(detail, summary=summary)
        return self._give("cancel", self.details[job_id], job_id)

    async def explain(self, job_id):
        reasons = (WaitReason("2 GPUs more than any worker has free", 7),)
        return self._give("explain", Explanation(job_id, 1, reasons), job_id)

    async def workers(self, query):
        worker = WorkerView(
            WorkerId("restore-1"),
            ZONE,
            "rack-1",
            WorkerState.LIVE,
            Resources(64_000, 256 << 30, 8_000),
            Resources(),
        )
        return self._give("workers", WorkerPage((worker,)), query)

    async def attest_lost(self, operator, worker_id, reason):
        value = Attested(worker_id, 2)
        return self._give("attest", value, worker_id, operator.name, reason)

    async def state(self, zone):
        return self._give("state", msgspec.Raw(b'{"zone": "oslo-a"}'), zone)
