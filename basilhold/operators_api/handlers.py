"""Handlers of the operators' API, one class per path."""

from tornado.web import HTTPError

from basilhold.core import (
    JobId,
    OfficeDocument,
    OfficeName,
    TeamName,
    WorkerId,
    ZoneName,
)
from basilhold.operators_api.backend import JobQuery, WorkerQuery
from basilhold.operators_api.base import (
    PAGE_LIMIT_MAX,
    OperatorContext,
    OperatorHandler,
)
from basilhold.operators_api.bodies import (
    AttestBody,
    JobSubmission,
    RollbackBody,
    WhoAmI,
)
from basilhold.operators_api.problems import ProblemKind

__all__ = ["operator_routes"]

WAIT_MS_MAX = 30_000
"""Longest single wait for a version; clients repeat the request."""


class _WhoAmIHandler(OperatorHandler):
    async def get(self) -> None:
        self.write_json(WhoAmI(self.operator.name, self.operator.office))


class _ClassesHandler(OperatorHandler):
    async def get(self) -> None:
        self.respond(await self.backend.classes())


class _ClassHandler(OperatorHandler):
    async def get(self, name: str) -> None:
        classes = self.value_of(await self.backend.classes()).classes
        found = next((c for c in classes if c.work_class.name == name), None)
        if found is None:
            self.fail(ProblemKind.NOT_FOUND, f'there is no class "{name}"')
        self.write_json(found)


class _VersionsHandler(OperatorHandler):
    async def get(self) -> None:
        self.respond(await self.backend.versions())


class _OfficeHandler(OperatorHandler):
    async def get(self, office: str) -> None:
        self.respond(await self.backend.office(OfficeName(office)))

    async def put(self, office: str) -> None:
        self.require_own_office(OfficeName(office), "the document")
        expected_version = self.require_version()
        document = self.decode(OfficeDocument)
        if document.office != office:
            detail = f"the document is for {document.office}, the path for {office}"
            self.fail(ProblemKind.INVALID, detail)
        self.respond(
            await self.backend.apply(self.operator, document, expected_version)
        )


class _HistoryHandler(OperatorHandler):
    async def get(self, office: str) -> None:
        limit = self.query_int("limit", 20, 1, 100)
        self.respond(await self.backend.history(OfficeName(office), limit))


class _RollbackHandler(OperatorHandler):
    async def post(self, office: str) -> None:
        self.require_own_office(OfficeName(office), "the document")
        body = self.decode(RollbackBody)
        self.respond(
            await self.backend.roll_back(
                self.operator, body.to_version, body.expected_version
            )
        )


class _InForceHandler(OperatorHandler):
    async def get(self, office: str) -> None:
        version = self.query_int("version", 0, 0, 10**18)
        wait_ms = self.query_int("wait_ms", 0, 0, WAIT_MS_MAX)
        if wait_ms and self.context.waits >= self.context.waits_max:
            self.fail(ProblemKind.UNAVAILABLE, "too many requests wait for versions")
        self.context.waits += 1
        try:
            result = await self.backend.wait_in_force(
                OfficeName(office), version, wait_ms
            )
        finally:
            self.context.waits -= 1
        self.respond(result)


class _JobsHandler(OperatorHandler):
    async def get(self) -> None:
        office = self.get_query_argument("office", "")
        team = self.get_query_argument("team", "")
        query = JobQuery(
            OfficeName(office) if office else None,
            TeamName(team) if team else None,
            self.get_query_argument("unfinished", "false") == "true",
            self.get_query_argument("after", ""),
            self.query_int("limit", 100, 1, PAGE_LIMIT_MAX),
        )
        self.respond(await self.backend.jobs(query))

    async def post(self) -> None:
        key = self.require_key()
        submission = self.decode(JobSubmission)
        size = submission.task_resources
        if size.is_negative() or not size.cores_milli or not size.memory_bytes:
            self.fail(
                ProblemKind.INVALID,
                "task_resources: cores_milli and memory_bytes must be above 0, and"
                " gpus_milli must not be negative",
            )
        result = await self.backend.submit(self.operator, key, submission)
        accepted = self.value_of(result)
        self.write_json(accepted, 200 if accepted.repeated else 201)


class _JobHandler(OperatorHandler):
    async def get(self, job_id: str) -> None:
        self.respond(await self.backend.job(JobId(job_id)))


class _CancelHandler(OperatorHandler):
    async def post(self, job_id: str) -> None:
        detail = self.value_of(await self.backend.job(JobId(job_id)))
        self.require_own_office(detail.summary.office, f"job {job_id}")
        self.respond(await self.backend.cancel(self.operator, JobId(job_id)), 202)


class _ExplainHandler(OperatorHandler):
    async def get(self, job_id: str) -> None:
        self.respond(await self.backend.explain(JobId(job_id)))


class _WorkersHandler(OperatorHandler):
    async def get(self) -> None:
        zone = self.get_query_argument("zone", "")
        query = WorkerQuery(
            ZoneName(zone) if zone else None,
            self.get_query_argument("after", ""),
            self.query_int("limit", 100, 1, PAGE_LIMIT_MAX),
        )
        self.respond(await self.backend.workers(query))


class _AttestHandler(OperatorHandler):
    async def post(self, worker_id: str) -> None:
        body = self.decode(AttestBody)
        self.respond(
            await self.backend.attest_lost(
                self.operator, WorkerId(worker_id), body.reason
            )
        )


class _StateHandler(OperatorHandler):
    async def get(self) -> None:
        zone = self.get_query_argument("zone", "")
        self.respond(await self.backend.state(ZoneName(zone) if zone else None))


class _UnknownPathHandler(OperatorHandler):
    async def prepare(self) -> None:
        await super().prepare()
        raise HTTPError(404)


_SEGMENT = "([^/]+)"

_PATHS = (
    ("/v1/whoami", _WhoAmIHandler),
    ("/v1/classes", _ClassesHandler),
    (f"/v1/classes/{_SEGMENT}", _ClassHandler),
    ("/v1/config", _VersionsHandler),
    (f"/v1/config/{_SEGMENT}", _OfficeHandler),
    (f"/v1/config/{_SEGMENT}/history", _HistoryHandler),
    (f"/v1/config/{_SEGMENT}/rollback", _RollbackHandler),
    (f"/v1/config/{_SEGMENT}/in-force", _InForceHandler),
    ("/v1/jobs", _JobsHandler),
    (f"/v1/jobs/{_SEGMENT}", _JobHandler),
    (f"/v1/jobs/{_SEGMENT}/cancel", _CancelHandler),
    (f"/v1/jobs/{_SEGMENT}/explain", _ExplainHandler),
    ("/v1/workers", _WorkersHandler),
    (f"/v1/workers/{_SEGMENT}/attest-lost", _AttestHandler),
    ("/v1/state", _StateHandler),
    ("/v1/.*", _UnknownPathHandler),
)


def operator_routes(context: OperatorContext) -> list[tuple]:
    """Return the routes of the API for a ``tornado.web.Application``."""
    return [(path, handler, {"context": context}) for path, handler in _PATHS]
