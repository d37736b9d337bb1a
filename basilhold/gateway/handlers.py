"""HTTP handlers for callers."""

import asyncio
import socket
import struct

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from basilhold.core import ClassName, InvariantError, TeamName
from basilhold.gateway.active_request import adjust_outcome_without_lookup
from basilhold.gateway.answers import CallerSink
from basilhold.gateway.front import FrontEnd
from basilhold.gateway.problems import OUTCOME_HEADER, PROBLEM_TYPE, encode_problem
from basilhold.gateway.service import UNKNOWN_CLASS
from basilhold.ports import ResponseHead
from basilhold.requests import (
    CallerRequest,
    Outcome,
    Problem,
    ProblemKind,
    RequestEnd,
)

__all__ = [
    "CallHandler",
    "ReadyHandler",
    "UnknownPathHandler",
    "make_application",
    "request_routes",
]

CALL_PREFIX = "/call"
HEADER_COUNT_MAX = 100

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | {"authorization", "content-length", "host"}


class _HttpCallerSink(CallerSink):
    """Writes an answer to the caller as fast as the caller reads it."""

    def __init__(self, handler: "CallHandler"):
        self._handler = handler
        self.started = False
        self.gone = False

    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        """Set the headers that the gateway adds."""
        if self.gone:
            return
        self._handler.set_header(OUTCOME_HEADER, outcome.value)
        if replayed:
            self._handler.set_header("Basilhold-Replayed", "true")

    async def start(self, head: ResponseHead) -> None:
        """Set status and headers."""
        if self.gone:
            return
        self.started = True
        handler = self._handler
        handler.set_status(head.status)
        handler.clear_header("Content-Type")
        handler.clear_header("Server")
        handler.clear_header("Date")
        named = _connection_names(head.headers)
        for name, value in head.headers:
            lowered = name.lower()
            if lowered in _HOP_BY_HOP or lowered in named:
                continue
            if not lowered.startswith("basilhold-"):
                handler.add_header(name, value)

    async def write(self, data: bytes) -> None:
        """Write part of the body; a caller that has left reads nothing more."""
        if self.gone:
            return
        try:
            self._handler.write(data)
            await self._handler.flush()
        except StreamClosedError:
            self.gone = True


class _ProblemHandler(RequestHandler):
    """Handler whose own answers are problem documents."""

    def compute_etag(self) -> None:
        """Leave entity tags to the upstreams."""
        return

    def write_problem(self, problem: Problem) -> None:
        """Answer with a problem document."""
        self.clear()
        self.set_status(problem.kind.status)
        self.set_header("Content-Type", PROBLEM_TYPE)
        self.set_header(OUTCOME_HEADER, problem.outcome.value)
        if problem.retry_after_s is not None:
            self.set_header("Retry-After", str(problem.retry_after_s))
        if problem.kind is ProblemKind.UNAUTHENTICATED:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(encode_problem(problem))

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer an error that tornado found."""
        if status_code == 405 or status_code == 400:
            kind, outcome = ProblemKind.MALFORMED, Outcome.NOT_RUN
        else:
            kind, outcome = ProblemKind.UPSTREAM_FAILED, Outcome.UNKNOWN
        self.write_problem(Problem(kind, outcome, self._reason))


class UnknownPathHandler(_ProblemHandler):
    """Answers requests to paths that the gateway does not serve."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.write_problem(
            Problem(
                ProblemKind.UNKNOWN_SERVICE,
                Outcome.NOT_RUN,
                f"nothing is served here; requests go to {CALL_PREFIX}/",
            )
        )


class ReadyHandler(RequestHandler):
    """Answers the load balancer's readiness checks."""

    def initialize(self, front: FrontEnd) -> None:
        """Set the shared state."""
        self._front = front

    def get(self) -> None:
        """Answer 200 if callers may be sent here, and 503 otherwise."""
        ready = self._front.is_ready()
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


@stream_request_body
class CallHandler(_ProblemHandler):
    """Serves requests to ``/call/<path>`` by upstreams of the named class."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, front: FrontEnd) -> None:
        """Set the shared state."""
        self._front = front
        self._body = bytearray()
        self._team: TeamName | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[RequestEnd] | None = None
        self._sink = _HttpCallerSink(self)

    def prepare(self) -> None:
        """Check what can be checked before the body arrives."""
        problem = self._framing_problem() or self._header_problem()
        if problem is not None:
            self._refuse(problem)
            return
        loop = asyncio.get_running_loop()
        timeout_s = self._front.body_timeout_ms / 1000
        self._timer = loop.call_later(timeout_s, self._refuse_slow_sender)

    def data_received(self, chunk: bytes) -> None:
        """Take part of the body."""
        if self._finished:
            return
        if len(self._body) + len(chunk) > self._front.body_bytes_max:
            self._refuse(self._too_large())
        elif self._front.bodies_bytes + len(chunk) > self._front.bodies_bytes_max:
            detail = "the gateway holds too many request bodies"
            self._refuse(Problem(ProblemKind.QUEUE_FULL, Outcome.NOT_RUN, detail, 1))
        else:
            self._front.bodies_bytes += len(chunk)
            self._body += chunk

    def on_connection_close(self) -> None:
        """Abandon the request of a caller that has left."""
        self._free_body()
        self._sink.gone = True
        if self._task is not None:
            self._task.cancel()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Free the request's memory."""
        self._free_body()

    async def _call(self, path: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        sink = self._sink
        request = self._make_request(path)
        self._task = asyncio.create_task(self._front.service.handle(request, sink))
        try:
            end = await self._task
        except asyncio.CancelledError:
            # The caller has left, or the gateway has cut the request at its stop.
            if sink.gone or sink.started:
                self._abort()
            else:
                detail = "the gateway has stopped before the request ended"
                self.write_problem(
                    Problem(ProblemKind.STOPPING, Outcome.UNKNOWN, detail, 1)
                )
            return
        except InvariantError as error:
            self._abort()
            self._front.on_invariant_error(error)
            return
        if end.problem is None:
            self._finish_answer()
        elif sink.started:
            self._abort()
        else:
            self.write_problem(end.problem)

    get = head = post = delete = patch = put = options = _call

    def _finish_answer(self) -> None:
        try:
            self.finish()
        except Exception:
            # Tornado raises if the body does not match the upstream's length.
            self._abort()
            raise

    def _abort(self) -> None:
        """Reset the connection, so that a cut answer never looks whole."""
        self._sink.gone = True
        stream = self.request.connection.stream
        if stream is None or stream.closed():
            return
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._finished = True
        stream.close()

    def _make_request(self, path: str) -> CallerRequest:
        headers = self.request.headers
        named = _connection_names(tuple(headers.get_all()))
        passed = tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in _NOT_FORWARDED
            and name.lower() not in named
            and not name.lower().startswith("basilhold-")
        )
        timeout = headers.get("Basilhold-Timeout-Ms")
        query = f"?{self.request.query}" if self.request.query else ""
        return CallerRequest(
            class_name=ClassName(headers["Basilhold-Class"]),
            team=self._team,
            method=self.request.method,
            path=self.request.path.removeprefix(CALL_PREFIX) + query,
            headers=passed,
            body=bytes(self._body),
            timeout_ms=None if timeout is None else int(timeout),
            idempotency_key=headers.get("Idempotency-Key"),
        )

    def _framing_problem(self) -> Problem | None:
        headers = self.request.headers
        lengths = headers.get_list("Content-Length")
        if len(lengths) > 1 or any("," in length for length in lengths):
            return _malformed("the request has several Content-Length values")
        if lengths and "Transfer-Encoding" in headers:
            return _malformed("the request has Content-Length and Transfer-Encoding")
        if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
            return _malformed("Content-Length is not a number")
        if lengths and int(lengths[0]) > self._front.body_bytes_max:
            return self._too_large()
        if sum(1 for _ in headers.get_all()) > HEADER_COUNT_MAX:
            detail = f"the request has more than {HEADER_COUNT_MAX} headers"
            return Problem(ProblemKind.HEADERS_TOO_LARGE, Outcome.NOT_RUN, detail)
        return None

    def _header_problem(self) -> Problem | None:
        headers = self.request.headers
        scheme, _, token = headers.get("Authorization", "").partition(" ")
        if scheme.lower() == "bearer":
            self._team = self._front.callers.identify(token.strip())
        if self._team is None:
            detail = "the Authorization header holds no known bearer token"
            return Problem(ProblemKind.UNAUTHENTICATED, Outcome.NOT_RUN, detail)
        if not headers.get("Basilhold-Class"):
            return _malformed("the Basilhold-Class header is missing")
        if len(headers.get_list("Idempotency-Key")) > 1:
            return _malformed("the request has several Idempotency-Key values")
        timeout = headers.get("Basilhold-Timeout-Ms", "1")
        valid = timeout.isascii() and timeout.isdigit() and len(timeout) <= 9
        if not valid or int(timeout) == 0:
            return _malformed("Basilhold-Timeout-Ms is not a positive number")
        return None

    def _too_large(self) -> Problem:
        detail = f"the body is longer than {self._front.body_bytes_max} bytes"
        return Problem(ProblemKind.BODY_TOO_LARGE, Outcome.NOT_RUN, detail)

    def _refuse_slow_sender(self) -> None:
        if not self._finished:
            detail = "the body did not arrive in time"
            self._refuse(Problem(ProblemKind.SENDER_TOO_SLOW, Outcome.NOT_RUN, detail))

    def _refuse(self, problem: Problem) -> None:
        key = self.request.headers.get("Idempotency-Key")
        problem = adjust_outcome_without_lookup(problem, key)
        counters = self._front.service.counters
        counters.problems[problem.kind] += 1
        counters.record_outcome(UNKNOWN_CLASS, problem.outcome)
        self.set_header("Connection", "close")
        self.write_problem(problem)

    def _free_body(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._front.bodies_bytes -= len(self._body)
        self._body = bytearray()


def _connection_names(headers: tuple[tuple[str, str], ...]) -> frozenset[str]:
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    )


def _malformed(detail: str) -> Problem:
    return Problem(ProblemKind.MALFORMED, Outcome.NOT_RUN, detail)


def request_routes(front: FrontEnd) -> list[tuple]:
    """Return the routes of the request path, for an application with others."""
    shared = {"front": front}
    return [
        (rf"{CALL_PREFIX}(/.*)", CallHandler, shared),
        (r"/readyz", ReadyHandler, shared),
    ]


def make_application(front: FrontEnd, extra_routes: list[tuple] = ()) -> Application:
    """Return an application with the request path and further routes."""
    return Application(
        [*extra_routes, *request_routes(front)],
        default_handler_class=UnknownPathHandler,
        log_function=lambda handler: None,
    )
