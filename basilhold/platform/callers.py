"""The callers' interface over HTTP, and the readiness probe."""

import asyncio
import contextlib
import math
import re
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from basilhold.core import Clock, JobId
from basilhold.observability import log_event
from basilhold.platform.bodies import decode_workflow
from basilhold.workflows import events
from basilhold.workflows.frontend import Existence, WorkflowFrontend
from basilhold.workflows.peers import StoreOutcome
from basilhold.workflows.progress import WorkflowState
from basilhold.workflows.routes import QueueRoute, QueueTable

__all__ = ["CallerServer", "make_ready_server"]

DEADLINE_HEADER = "X-Deadline-Ms"
DEADLINE_DEFAULT_MS = 3_000.0
DEADLINE_MARGIN_MS = 250.0
"""An answer has to reach the caller before its deadline, over up to 60 ms."""

BODY_BYTES_MAX = 1 << 18
BODY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 30.0

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_STATE_NAMES = {state: state.value for state in WorkflowState}


class _JobHandler(RequestHandler):
    """One request of a caller."""

    def initialize(self, server: "CallerServer") -> None:
        """Set what the request is served by; tornado calls this for each request."""
        self._server = server
        self._route: QueueRoute | None = None

    async def prepare(self) -> None:
        """Find the queue; answer at once where there is none."""
        self._server.begin()
        if self._server.closing:
            self.set_header("Connection", "close")
        table = self._server.queues()
        if table is None:
            self._refuse(503, "no configuration yet")
            return
        self._route = table.find(self.request.host, self.request.path)
        if self._route is None:
            self._reply(404, {"error": "no such queue"})

    def on_finish(self) -> None:
        """Count the request as answered."""
        self._server.end()

    def on_connection_close(self) -> None:
        """Leave what is under way: a submission may be stored already."""

    async def post(self) -> None:
        """Submit a job."""
        job_id = self._job_id()
        if job_id is None:
            return
        policy = self._route.policy
        decoded = decode_workflow(
            job_id,
            policy,
            self.request.body,
            self._server.front.shared_ms() or 0.0,
            self._server.row_bytes_max,
        )
        if decoded.is_error():
            self._reply(400, {"error": decoded.error})
            return
        outcome = await self._server.front.submit(decoded.ok, self._deadline_ms())
        if outcome is StoreOutcome.STORED:
            self._reply(200, {})
        elif outcome is StoreOutcome.NOT_STORED:
            self._refuse(503, "the store does not answer")
        else:
            self._reply(504, {"error": "it is not known whether the job is stored"})

    async def get(self) -> None:
        """Return a job's state, or how many jobs of the queue wait."""
        front = self._server.front
        if self._rest() == "":
            count = await front.queue_length(self._route.policy)
            if count is None:
                self._refuse(503, "the queue's owner does not answer")
            else:
                self._reply(200, {"waiting": count})
            return
        job_id = self._job_id()
        if job_id is None:
            return
        existence, state = await front.state(self._route.policy, job_id)
        if existence is Existence.EXISTS:
            self._reply(200, {"state": _STATE_NAMES[state]})
        elif existence is Existence.ABSENT:
            self._reply(410, {"error": "no such job"})
        else:
            self._refuse(503, "neither the owner nor the store answers")

    async def delete(self) -> None:
        """Cancel a job."""
        job_id = self._job_id()
        if job_id is None:
            return
        existence = await self._server.front.cancel(
            self._route.policy, job_id, self._deadline_ms()
        )
        if existence is Existence.EXISTS:
            self._reply(200, {})
        elif existence is Existence.ABSENT:
            self._reply(410, {"error": "no such job"})
        else:
            self._reply(504, {"error": "it is not known whether the job is cancelled"})

    def send_error(self, status_code: int = 500, **kwargs) -> None:
        """Answer a request that failed, or was cut as the process ends.

        Tornado would send 500. What the request asked for may have been done, so the
        answer is the one after which callers ask again under the same id.
        """
        if status_code == 500 and not self._headers_written:
            self._reply(504, {"error": "the outcome is not known"})
            return
        super().send_error(status_code, **kwargs)

    def _rest(self) -> str:
        return self.request.path[len(self._route.path_prefix) :]

    def _job_id(self) -> JobId | None:
        name = self._rest()
        if _JOB_ID.fullmatch(name):
            return JobId(name)
        self._reply(400, {"error": "a job's id has 16 hexadecimal digits"})
        return None

    def _time_left_ms(self) -> float:
        try:
            given_ms = float(self.request.headers.get(DEADLINE_HEADER, ""))
        except ValueError:
            given_ms = math.nan
        return given_ms if math.isfinite(given_ms) else DEADLINE_DEFAULT_MS

    def _deadline_ms(self) -> float:
        now_ms = self._server.clock.monotonic_ms()
        return now_ms + max(0.0, self._time_left_ms() - DEADLINE_MARGIN_MS)

    def _refuse(self, status: int, reason: str) -> None:
        log_event(
            events.WORKFLOW_REFUSED,
            job=self.request.path.rsplit("/", 1)[-1],
            queue=self._route.policy.name if self._route else "",
            status=status,
            reason=reason,
        )
        time_left_ms = self._time_left_ms()
        self.set_header(
            "Retry-After", str(self._server.front.retry_after_s(time_left_ms))
        )
        self._reply(status, {"error": reason})

    def _reply(self, status: int, body: dict) -> None:
        self.set_status(status)
        self.finish(body)


class CallerServer:
    """Serves callers.

    Parameters
    ----------
    front : WorkflowFrontend
    queues : callable
        Returns the newest configuration, or ``None`` before the first.
    clock : Clock
    row_bytes_max : int
        Largest value of a row in the store.
    """

    def __init__(
        self,
        front: WorkflowFrontend,
        queues: Callable[[], QueueTable | None],
        clock: Clock,
        row_bytes_max: int,
    ):
        self.front = front
        self.row_bytes_max = row_bytes_max
        self.queues = queues
        self.clock = clock
        self.in_flight = 0
        self.closing = False
        self._idle = asyncio.Event()
        self._idle.set()
        application = Application(
            [(r".*", _JobHandler, {"server": self})],
            log_function=lambda handler: None,
        )
        self.server = HTTPServer(
            application,
            max_body_size=BODY_BYTES_MAX,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def begin(self) -> None:
        """Count a request that is being served."""
        self.in_flight += 1
        self._idle.clear()

    def end(self) -> None:
        """Count a request as answered."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> int:
        """Wait until all requests are answered; return how many are not."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        return self.in_flight


class _ReadyHandler(RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Set what decides; tornado calls this for each request."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer the platform's probe."""
        self.set_status(200 if self._is_ready() else 503)


def make_ready_server(is_ready: Callable[[], bool]) -> HTTPServer:
    """Return a server of readiness probes that does not listen yet."""
    routes = [(r"/-/ready", _ReadyHandler, {"is_ready": is_ready})]
    return HTTPServer(Application(routes, log_function=lambda handler: None))
