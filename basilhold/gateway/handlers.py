"""HTTP handlers for the requests of callers."""

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

_HOP_BY_HOP_HEADERS = frozenset(
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
_NOT_FORWARDED_HEADERS = _HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-length",
    "host",
}


class _HttpCallerSink(CallerSink):
    """Writes an answer to the caller's connection.

    `write` returns only when the connection has accepted the data, so that an answer
    is read from the upstream no faster than the caller reads it.

    Attributes
    ----------
    started : bool
        Whether status and headers are set, so that no other answer can be sent.
    caller_gone : bool
        Whether the caller has closed the connection; all data is then discarded.
    """

    def __init__(self, handler: "CallHandler"):
        self._handler = handler
        self.started = False
        self.caller_gone = False

    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        """Set the headers by which the gateway reports the outcome."""
        if self.caller_gone:
            return
        self._handler.set_header(OUTCOME_HEADER, outcome.value)
        if replayed:
            self._handler.set_header("Basilhold-Replayed", "true")

    async def start(self, head: ResponseHead) -> None:
        """Set the status and the headers that are forwarded."""
        if self.caller_gone:
            return
        self.started = True
        handler = self._handler
        handler.set_status(head.status)
        handler.clear_header("Content-Type")
        handler.clear_header("Server")
        handler.clear_header("Date")
        connection_names = _connection_names(head.headers)
        for name, value in head.headers:
            lowercase_name = name.lower()
            if (
                lowercase_name in _HOP_BY_HOP_HEADERS
                or lowercase_name in connection_names
            ):
                continue
            if not lowercase_name.startswith("basilhold-"):
                handler.add_header(name, value)

    async def write(self, data: bytes) -> None:
        """Write a part of the body; does nothing if the caller has disconnected."""
        if self.caller_gone:
            return
        try:
            self._handler.write(data)
            await self._handler.flush()
        except StreamClosedError:
            self.caller_gone = True


class _ProblemHandler(RequestHandler):
    """Base of handlers that report errors as problem documents."""

    def compute_etag(self) -> None:
        """Add no entity tag; only upstreams do."""
        return

    def write_problem(self, problem: Problem) -> None:
        """Send a problem document as the response."""
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
        """Send a problem document for an error that tornado has found.

        The outcome is ``not-run`` only for 400 and 405, which are raised before the
        request is sent to an upstream.
        """
        if status_code == 405 or status_code == 400:
            kind, outcome = ProblemKind.MALFORMED, Outcome.NOT_RUN
        else:
            kind, outcome = ProblemKind.UPSTREAM_FAILED, Outcome.UNKNOWN
        self.write_problem(Problem(kind, outcome, self._reason))


class UnknownPathHandler(_ProblemHandler):
    """Rejects requests to paths that the gateway does not serve."""

    def prepare(self) -> None:
        """Reject the request."""
        self.write_problem(
            Problem(
                ProblemKind.UNKNOWN_SERVICE,
                Outcome.NOT_RUN,
                f"nothing is served here; requests go to {CALL_PREFIX}/",
            )
        )


class ReadyHandler(RequestHandler):
    """Responds to the readiness checks of the load balancer."""

    def initialize(self, front: FrontEnd) -> None:
        """Set the state shared by the handlers."""
        self._front = front

    def get(self) -> None:
        """Respond with 200 if the gateway accepts requests, and with 503 otherwise."""
        ready = self._front.is_ready()
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


@stream_request_body
class CallHandler(_ProblemHandler):
    """Serves requests to ``/call/<path>``.

    The header ``Basilhold-Class`` names the request class, and thereby the service
    whose upstreams run the request.
    """

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, front: FrontEnd) -> None:
        """Set the state shared by the handlers."""
        self._front = front
        self._body = bytearray()
        self._team: TeamName | None = None
        self._body_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[RequestEnd] | None = None
        self._sink = _HttpCallerSink(self)

    def prepare(self) -> None:
        """Check the headers, and start the timer for the body."""
        problem = self._framing_problem() or self._header_problem()
        if problem is not None:
            self._reject(problem)
            return
        loop = asyncio.get_running_loop()
        timeout_s = self._front.body_timeout_ms / 1000
        self._body_timer = loop.call_later(timeout_s, self._reject_slow_sender)

    def data_received(self, chunk: bytes) -> None:
        """Receive a part of the body; reject the request if limits are exceeded."""
        if self._finished:
            return
        if len(self._body) + len(chunk) > self._front.body_bytes_max:
            self._reject(self._body_too_large())
        elif (
            self._front.buffered_body_bytes + len(chunk)
            > self._front.buffered_body_bytes_max
        ):
            detail = "the gateway holds too many request bodies"
            self._reject(Problem(ProblemKind.QUEUE_FULL, Outcome.NOT_RUN, detail, 1))
        else:
            self._front.buffered_body_bytes += len(chunk)
            self._body += chunk

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self._release_body()
        self._sink.caller_gone = True
        if self._task is not None:
            self._task.cancel()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Release the memory of the body."""
        self._release_body()

    async def _handle_call(self, path: str) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
        sink = self._sink
        request = self._make_request(path)
        self._task = asyncio.create_task(self._front.service.handle(request, sink))
        try:
            end = await self._task
        except asyncio.CancelledError:
            # The caller has disconnected, or the gateway has cancelled the request
            # during its stop.
            if sink.caller_gone or sink.started:
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
            self._finish_response()
        elif sink.started:
            self._abort()
        else:
            self.write_problem(end.problem)

    get = head = post = delete = patch = put = options = _handle_call

    def _finish_response(self) -> None:
        try:
            self.finish()
        except Exception:
            # Tornado raises an exception if the size of the body differs from the
            # Content-Length of the upstream.
            self._abort()
            raise

    def _abort(self) -> None:
        """Reset the connection, so that a truncated answer never looks complete."""
        self._sink.caller_gone = True
        stream = self.request.connection.stream
        if stream is None or stream.closed():
            return
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._finished = True
        stream.close()

    def _make_request(self, path: str) -> CallerRequest:
        headers = self.request.headers
        connection_names = _connection_names(tuple(headers.get_all()))
        forwarded_headers = tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in _NOT_FORWARDED_HEADERS
            and name.lower() not in connection_names
            and not name.lower().startswith("basilhold-")
        )
        timeout = headers.get("Basilhold-Timeout-Ms")
        query = f"?{self.request.query}" if self.request.query else ""
        return CallerRequest(
            class_name=ClassName(headers["Basilhold-Class"]),
            team=self._team,
            method=self.request.method,
            path=self.request.path.removeprefix(CALL_PREFIX) + query,
            headers=forwarded_headers,
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
            return self._body_too_large()
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

    def _body_too_large(self) -> Problem:
        detail = f"the body is longer than {self._front.body_bytes_max} bytes"
        return Problem(ProblemKind.BODY_TOO_LARGE, Outcome.NOT_RUN, detail)

    def _reject_slow_sender(self) -> None:
        if not self._finished:
            detail = "the body did not arrive in time"
            self._reject(Problem(ProblemKind.SENDER_TOO_SLOW, Outcome.NOT_RUN, detail))

    def _reject(self, problem: Problem) -> None:
        key = self.request.headers.get("Idempotency-Key")
        problem = adjust_outcome_without_lookup(problem, key)
        counters = self._front.service.counters
        counters.problems[problem.kind] += 1
        counters.record_outcome(UNKNOWN_CLASS, problem.outcome)
        self.set_header("Connection", "close")
        self.write_problem(problem)

    def _release_body(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._front.buffered_body_bytes -= len(self._body)
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
    """Return the routes of callers' requests, for an application with further ones."""
    handler_arguments = {"front": front}
    return [
        (rf"{CALL_PREFIX}(/.*)", CallHandler, handler_arguments),
        (r"/readyz", ReadyHandler, handler_arguments),
    ]


def make_application(front: FrontEnd, extra_routes: list[tuple] = ()) -> Application:
    """Return an application that serves callers' requests and further routes."""
    return Application(
        [*extra_routes, *request_routes(front)],
        default_handler_class=UnknownPathHandler,
        log_function=lambda handler: None,
    )
