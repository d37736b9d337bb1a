"""HTTP servers for callers and for the platform's readiness probe."""

import asyncio
import contextlib
import math
import re
from collections.abc import Callable

from tornado.web import Application, RequestHandler

from basilhold.adapters.http_requests import HeadCheck, Refusal, RequestHead
from basilhold.adapters.http_server import HttpServer, ServerResources
from basilhold.core import Clock, JobId
from basilhold.core.connection_account import ServerLimits
from basilhold.observability import Metrics, log_event, metric
from basilhold.platform.bodies import decode_workflow
from basilhold.platform.events import CALLER_REJECTED
from basilhold.tenants import NO_TENANT, Tenant, TenantName
from basilhold.workflows import events
from basilhold.workflows.configuration_watch import ConfigurationSource
from basilhold.workflows.frontend import Existence, WorkflowFrontend
from basilhold.workflows.model import WorkflowSpec, find_step_above_quota
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.routes import QueueRoute

__all__ = ["CallerServer", "make_readiness_server"]

DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "X-Api-Key"
DEFAULT_TIMEOUT_MS = 3_000.0
TIMEOUT_MAX_MS = 30_000.0
"""Longest time limit of a caller that is respected. A request that waits for a silent
store holds a connection for as long."""

RESPONSE_MARGIN_MS = 250.0
"""Time reserved for the response to reach the caller, over a link of up to 60 ms."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_STATE_NAMES = {state: state.value for state in WorkflowState}


class _JobHandler(RequestHandler):
    """Handles one request of a caller: submit, query or cancel a job."""

    def initialize(self, server: "CallerServer") -> None:
        """Store the server and count the request; tornado calls this for each one.

        `on_finish` follows in any case, but `prepare` only for methods that tornado
        knows.
        """
        self._server = server
        self._queue_route: QueueRoute | None = None
        self._tenant: Tenant | None = None
        server.on_request_start()

    async def prepare(self) -> None:
        """Look up the queue and the tenant of the request, or reply with an error."""
        if self._server.closing:
            self.set_header("Connection", "close")
        table = await self._server.configuration.current()
        if table is None:
            self._reply_unavailable(503, "the configuration is not confirmed")
            return
        self._queue_route = table.find(self.request.host, self.request.path)
        if self._queue_route is None:
            self._server.log_rejected("", "no such queue", table.version)
            self._reply(404, {"error": "no such queue"})
            return
        if table.tenants is not None:
            key = self.request.headers.get(KEY_HEADER, "")
            self._tenant = table.tenants.find(key)
            if not table.admits(self._queue_route, self._tenant):
                self._reply_unauthorized(table.version, bool(key))

    def on_finish(self) -> None:
        """Record that the request is finished."""
        self._server.on_request_end()

    def on_connection_close(self) -> None:
        """Let the request run on: a submission may already be stored."""

    async def post(self) -> None:
        """Submit a job."""
        job_id = self._job_id()
        if job_id is None:
            return
        policy = self._queue_route.policy
        decoded = decode_workflow(
            job_id,
            policy,
            self.request.body,
            self._server.frontend.shared_ms() or 0.0,
            self._server.row_bytes_max,
            self._tenant.name if self._tenant else NO_TENANT,
        )
        if decoded.is_error():
            self._reply(400, {"error": decoded.error})
            return
        if self._exceeds_quota(decoded.ok):
            return
        outcome = await self._server.frontend.submit(decoded.ok, self._deadline_ms())
        if outcome is StoreOutcome.STORED:
            self._reply(200, {})
        elif outcome is StoreOutcome.NOT_STORED:
            self._reply_unavailable(503, "the store does not answer")
        elif outcome is StoreOutcome.TOO_MANY_TASKS:
            self._reply_unavailable(503, "the service has too many unfinished tasks")
        elif outcome is StoreOutcome.ID_TAKEN:
            self._reply(409, {"error": "another tenant has a job with this id"})
        else:
            self._reply(504, {"error": "it is not known whether the job is stored"})

    def _exceeds_quota(self, spec: WorkflowSpec) -> bool:
        """Reply 429 if the tenant's quota can never admit a step of a job.

        The job never runs. The same job may be submitted again once the quota is
        higher.
        """
        if self._tenant is None:
            return False
        step = find_step_above_quota(spec.steps, self._tenant.quota)
        if step is None:
            return False
        unit = "gang" if spec.steps[step].gang else "task"
        self._reply_unavailable(429, f"a {unit} of step {step} is above the quota")
        return True

    async def get(self) -> None:
        """Return a job's state, or the number of waiting jobs of a queue."""
        frontend = self._server.frontend
        if self._path_suffix() == "":
            count = await frontend.queue_length(self._queue_route.policy)
            if count is None:
                self._reply_unavailable(503, "an owner of jobs does not answer")
            else:
                self._reply(200, {"waiting": count})
            return
        job_id = self._job_id()
        if job_id is None:
            return
        existence, state = await frontend.state(
            self._queue_route.policy, job_id, self._visible_tenant()
        )
        if existence is Existence.EXISTS:
            self._reply(200, {"state": _STATE_NAMES[state]})
        elif existence is Existence.ABSENT:
            self._reply(410, {"error": "no such job"})
        else:
            self._reply_unavailable(503, "neither the owner nor the store answers")

    async def delete(self) -> None:
        """Cancel a job."""
        job_id = self._job_id()
        if job_id is None:
            return
        existence = await self._server.frontend.cancel(
            self._queue_route.policy,
            job_id,
            self._deadline_ms(),
            self._visible_tenant(),
        )
        if existence is Existence.EXISTS:
            self._reply(200, {})
        elif existence is Existence.ABSENT:
            self._reply(410, {"error": "no such job"})
        else:
            self._reply(504, {"error": "it is not known whether the job is cancelled"})

    def send_error(self, status_code: int = 500, **kwargs) -> None:
        """Reply to a request that failed, or was cancelled as the process ends.

        Tornado would send 500. The operation may have taken effect, so the reply is
        504, after which callers repeat the request with the same job id.
        """
        if status_code == 500 and not self._headers_written:
            self._reply(504, {"error": "the outcome is not known"})
            return
        super().send_error(status_code, **kwargs)

    def _visible_tenant(self) -> TenantName | None:
        """Return the tenant whose jobs the caller may see; ``None`` for all jobs.

        The jobs of a public queue may be seen without a key.
        """
        if self._queue_route.public or self._tenant is None:
            return None
        return self._tenant.name

    def _path_suffix(self) -> str:
        return self.request.path[len(self._queue_route.path_prefix) :]

    def _job_id(self) -> JobId | None:
        suffix = self._path_suffix()
        if _JOB_ID.fullmatch(suffix):
            return JobId(suffix)
        self._reply(400, {"error": "a job's id has 16 hexadecimal digits"})
        return None

    def _timeout_ms(self) -> float:
        """Return the time limit of the caller, or the default, in milliseconds."""
        try:
            timeout_ms = float(self.request.headers.get(DEADLINE_HEADER, ""))
        except ValueError:
            timeout_ms = math.nan
        if not math.isfinite(timeout_ms):
            return DEFAULT_TIMEOUT_MS
        return min(timeout_ms, TIMEOUT_MAX_MS)

    def _deadline_ms(self) -> float:
        now_ms = self._server.clock.monotonic_ms()
        return now_ms + max(0.0, self._timeout_ms() - RESPONSE_MARGIN_MS)

    def _reply_unauthorized(self, version: int, has_key: bool) -> None:
        """Reply 401 to a caller without a key, or whose key no tenant has."""
        reason = self._server.reject_key(
            self._queue_route.policy.name, has_key, version
        )
        self.set_header("WWW-Authenticate", "ApiKey")
        self._reply(401, {"error": reason})

    def _reply_unavailable(self, status: int, reason: str) -> None:
        """Reply with an error and the delay after which the caller may retry."""
        log_event(
            events.WORKFLOW_REFUSED,
            job=self.request.path.rsplit("/", 1)[-1],
            queue=self._queue_route.policy.name if self._queue_route else "",
            status=status,
            reason=reason,
        )
        timeout_ms = self._timeout_ms()
        self.set_header(
            "Retry-After", str(self._server.frontend.retry_after_s(timeout_ms))
        )
        self._reply(status, {"error": reason})

    def _reply(self, status: int, body: dict) -> None:
        self.set_status(status)
        self.finish(body)


class CallerServer(HeadCheck):
    """HTTP server through which callers submit, query and cancel jobs.

    Parameters
    ----------
    frontend : WorkflowFrontend
        Carries out the requests.
    configuration : ConfigurationSource
        Gives the queues and tenants by which callers are answered.
    clock : Clock
    row_bytes_max : int
        Largest value of a row in the store, in bytes.
    metrics : Metrics, optional
        Counts rejected calls.
    limits : ServerLimits, optional
    resources : ServerResources, optional
        Shared with other servers of the process.

    Attributes
    ----------
    in_flight : int
        Number of requests that are being handled.
    closing : bool
        If true, each response asks its caller to close the connection.
    server : HttpServer
        Does not listen yet.
    """

    def __init__(
        self,
        frontend: WorkflowFrontend,
        configuration: ConfigurationSource,
        clock: Clock,
        row_bytes_max: int,
        metrics: Metrics | None = None,
        limits: ServerLimits | None = None,
        resources: ServerResources | None = None,
    ):
        self._metrics = metrics
        self.frontend = frontend
        self.row_bytes_max = row_bytes_max
        self.configuration = configuration
        self.clock = clock
        self.in_flight = 0
        self.closing = False
        self._idle = asyncio.Event()
        self._idle.set()
        application = Application(
            [(r".*", _JobHandler, {"server": self})],
            log_function=lambda handler: None,
        )
        self.server = HttpServer("callers", application, limits, resources, self)

    async def check(self, head: RequestHead) -> Refusal | None:
        """Refuse a request for an unknown queue or without a key before its body."""
        table = await self.configuration.current()
        if table is None:
            retry_after_s = self.frontend.retry_after_s(DEFAULT_TIMEOUT_MS)
            return Refusal(
                503,
                "the configuration is not confirmed",
                (("Retry-After", str(retry_after_s)),),
            )
        route = table.find(head.host, head.path)
        if route is None:
            self.log_rejected("", "no such queue", table.version)
            return Refusal(404, "no such queue")
        if table.tenants is not None:
            key = head.headers.get(KEY_HEADER, "")
            if not table.admits(route, table.tenants.find(key)):
                reason = self.reject_key(route.policy.name, bool(key), table.version)
                return Refusal(401, reason, (("WWW-Authenticate", "ApiKey"),))
        return None

    def reject_key(self, queue: str, has_key: bool, version: int) -> str:
        """Count and log a call without a valid key; return the reason."""
        self.count_rejected()
        reason = "the API key is unknown" if has_key else "an API key is missing"
        self.log_rejected(queue, reason, version)
        return reason

    def log_rejected(self, queue: str, reason: str, version: int) -> None:
        """Log a call that is rejected by the configuration."""
        log_event(
            CALLER_REJECTED,
            queue=queue,
            reason=reason,
            version=version,
            age_ms=round(self.configuration.age_ms()),
        )

    def on_request_start(self) -> None:
        """Record that the handling of a request begins."""
        self.in_flight += 1
        self._idle.clear()

    def on_request_end(self) -> None:
        """Record that a request is finished."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    def count_rejected(self) -> None:
        """Count a call without a valid API key."""
        if self._metrics is not None:
            self._metrics.add(metric("basilhold_callers_rejected_total"))

    async def wait_idle(self, timeout_s: float) -> int:
        """Wait until no request is in flight.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        int
            Number of requests that are still in flight.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        return self.in_flight


class _ReadinessHandler(RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Store the readiness check; tornado calls this for each request."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Reply to a readiness probe with 200 if ready, else with 503."""
        self.set_status(200 if self._is_ready() else 503)


def make_readiness_server(
    is_ready: Callable[[], bool],
    limits: ServerLimits | None = None,
    resources: ServerResources | None = None,
) -> HttpServer:
    """Create the server that answers readiness probes.

    Parameters
    ----------
    is_ready : callable
        Returns whether the process can serve callers.
    limits : ServerLimits, optional
    resources : ServerResources, optional
        Shared with other servers of the process.

    Returns
    -------
    HttpServer
        Does not listen yet.
    """
    routes = [(r"/-/ready", _ReadinessHandler, {"is_ready": is_ready})]
    application = Application(routes, log_function=lambda handler: None)
    return HttpServer("readiness", application, limits, resources)
