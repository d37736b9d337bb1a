"""What all handlers of the operators' API have in common."""

import re
from typing import Any, TypeVar

import msgspec
from absl import logging
from expression import Result
from tornado.web import (
    HTTPError,
    MissingArgumentError,
    RequestHandler,
    stream_request_body,
)

from basilhold.core import (
    OfficeName,
    decode_json,
)
from basilhold.observability import log_event
from basilhold.operators_api.auth import TokenTable
from basilhold.operators_api.backend import (
    OperatorBackend,
    OperatorError,
    OperatorIdentity,
)
from basilhold.operators_api.events import (
    OPERATOR_CHANGE,
    OPERATOR_FAILURE,
    OPERATOR_REFUSED,
)
from basilhold.operators_api.problems import (
    Problem,
    ProblemKind,
    make_problem,
    problem_of,
)

__all__ = ["OperatorContext", "OperatorHandler", "ProblemError"]

T = TypeVar("T")

PAGE_LIMIT_MAX = 500
_KEY = re.compile(r"[!-~]{1,255}")
_VERSION = re.compile(r'"?([0-9]{1,18})"?')


class OperatorContext(msgspec.Struct):
    """What the handlers share.

    Parameters
    ----------
    backend : OperatorBackend
    tokens : TokenTable
    body_bytes_max : int
        Longest request body, in bytes.
    waits_max : int
        Most requests that wait for a version at a time.
    waits : int
        Requests that wait now.
    """

    backend: OperatorBackend
    tokens: TokenTable
    body_bytes_max: int = 1 << 20
    waits_max: int = 64
    waits: int = 0


class ProblemError(Exception):
    """Ends a request with a problem document."""

    def __init__(self, problem: Problem):
        super().__init__(problem.detail)
        self.problem = problem


@stream_request_body
class OperatorHandler(RequestHandler):
    """Authenticates, bounds the body, and writes results and problem documents."""

    operator: OperatorIdentity

    def initialize(self, context: OperatorContext) -> None:
        """Receive the shared context from the route."""
        self.context = context
        self.backend = context.backend
        self._body = bytearray()
        self._too_large = False

    async def prepare(self) -> None:
        """Refuse requests without a valid token before their body is read."""
        identity = self.context.tokens.identify(
            self.request.headers.get("Authorization", "")
        )
        if identity is None:
            self.set_header("WWW-Authenticate", "Bearer")
            log_event(
                OPERATOR_REFUSED,
                host=self.request.remote_ip,
                method=self.request.method,
                path=self.request.path,
            )
            self.fail(ProblemKind.UNAUTHENTICATED, "the token is missing or unknown")
        self.operator = identity
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.context.body_bytes_max:
            self._fail_too_large()

    def data_received(self, chunk: bytes) -> None:
        """Collect a part of the body, within the bound."""
        # An exception here would close the connection without a response, so an
        # overlong chunked body is only noted, and refused when it is decoded.
        if len(self._body) + len(chunk) > self.context.body_bytes_max:
            self._too_large = True
            self._body.clear()
        if not self._too_large:
            self._body += chunk

    def _fail_too_large(self) -> None:
        limit = self.context.body_bytes_max
        self.fail(ProblemKind.TOO_LARGE, f"the body is over {limit} bytes")

    def fail(self, kind: ProblemKind, detail: str) -> None:
        """End the request with a problem document."""
        raise ProblemError(make_problem(kind, detail))

    def decode(self, kind: type[T]) -> T:
        """Return the body as a value of a type."""
        if self._too_large:
            self._fail_too_large()
        try:
            return decode_json(bytes(self._body), kind)
        except msgspec.DecodeError as error:
            self.fail(ProblemKind.INVALID, f"body: {error}")
            raise

    def require_own_office(self, office: OfficeName, what: str) -> None:
        """Refuse a change of what another office owns."""
        if office != self.operator.office:
            self.fail(
                ProblemKind.FORBIDDEN,
                f"{what} belongs to {office}; the token is for {self.operator.office}",
            )

    def require_key(self) -> str:
        """Return the idempotency key."""
        key = self.request.headers.get("Idempotency-Key", "")
        if not _KEY.fullmatch(key):
            reason = "is missing" if not key else "is too long or not printable ASCII"
            self.fail(ProblemKind.KEY_REQUIRED, f"Idempotency-Key {reason}")
        return key

    def require_version(self) -> int:
        """Return the version in ``If-Match``."""
        header = self.request.headers.get("If-Match", "")
        if not header:
            self.fail(ProblemKind.VERSION_REQUIRED, "If-Match is missing")
        match = _VERSION.fullmatch(header)
        if not match:
            self.fail(ProblemKind.INVALID, "If-Match is not a version number")
        return int(match[1])

    def query_int(self, name: str, default: int, low: int, high: int) -> int:
        """Return a whole number from the query, within bounds."""
        text = self.get_query_argument(name, str(default))
        if not re.fullmatch("[0-9]{1,18}", text) or not low <= int(text) <= high:
            self.fail(ProblemKind.INVALID, f"{name}: expected {low} to {high}")
        return int(text)

    def respond(
        self, result: Result[msgspec.Struct | msgspec.Raw, OperatorError], status=200
    ) -> None:
        """Write a backend's result."""
        self.write_json(self.value_of(result), status)

    def value_of(self, result: Result[T, OperatorError]) -> T:
        """Return a result's value, or end the request with its problem."""
        if result.is_error():
            raise ProblemError(problem_of(result.error))
        return result.ok

    def write_json(self, value: msgspec.Struct | msgspec.Raw, status=200) -> None:
        """Write a value as the response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")
        self.finish(msgspec.json.encode(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write the problem document of an exception."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        problem = _problem_of_exception(error, status_code)
        self.clear_header("Content-Type")
        self.set_status(problem.status)
        self.set_header("Content-Type", "application/problem+json")
        self.set_header("Basilhold-Outcome", problem.outcome)
        if problem.retry_after_s:
            self.set_header("Retry-After", str(problem.retry_after_s))
        if problem.status == ProblemKind.UNAUTHENTICATED.status:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(msgspec.json.encode(problem))

    def log_exception(self, kind: Any, value: Any, trace: Any) -> None:
        """Log unexpected exceptions only; problems are ordinary responses."""
        if isinstance(value, ProblemError | HTTPError):
            return
        log_event(
            OPERATOR_FAILURE,
            method=self.request.method,
            path=self.request.path,
            error=repr(kind),
        )
        logging.error("traceback", exc_info=(kind, value, trace))

    def on_finish(self) -> None:
        """Record changes with their author."""
        if self.request.method != "GET" and hasattr(self, "operator"):
            log_event(
                OPERATOR_CHANGE,
                operator=self.operator.name,
                office=self.operator.office,
                method=self.request.method,
                path=self.request.path,
                status=self.get_status(),
            )


def _problem_of_exception(error: BaseException | None, status: int) -> Problem:
    if isinstance(error, ProblemError):
        return error.problem
    if isinstance(error, MissingArgumentError):
        return make_problem(ProblemKind.INVALID, f"{error.arg_name} is missing")
    if status == 404:
        return make_problem(ProblemKind.NOT_FOUND, "there is no such path")
    if status == 405:
        return make_problem(ProblemKind.METHOD, "the path has other methods")
    if 400 <= status < 500:
        return make_problem(ProblemKind.INVALID, "the request is malformed")
    return make_problem(ProblemKind.INTERNAL, "the gateway failed")
