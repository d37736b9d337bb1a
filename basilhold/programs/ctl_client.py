"""HTTP client of ``basilholdctl``."""

import asyncio
import ssl
from enum import IntEnum
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import quote, urlsplit

import click
import msgspec
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from basilhold.core import decode_json
from basilhold.operators_api import Problem, WhoAmI
from basilhold.programs.ctl_output import clean_text
from basilhold.settings import is_loopback

__all__ = ["CtlError", "ExitCode", "GatewayClient", "path_of", "read_token"]

T = TypeVar("T")

ATTEMPTS_PER_GATEWAY = 2
TOKEN_BYTES_MAX = 4096


class ExitCode(IntEnum):
    """Exit codes, which ``docs/operators-api.md`` lists."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_FOUND = 3
    STALE_VERSION = 4
    NOT_ALLOWED = 5
    REJECTED = 6
    UNAVAILABLE = 7
    UNKNOWN = 8
    WAIT_TIMED_OUT = 9
    SETTINGS = 78


_EXIT_BY_STATUS = {
    400: ExitCode.REJECTED,
    401: ExitCode.NOT_ALLOWED,
    403: ExitCode.NOT_ALLOWED,
    404: ExitCode.NOT_FOUND,
    412: ExitCode.STALE_VERSION,
    413: ExitCode.REJECTED,
    422: ExitCode.REJECTED,
    429: ExitCode.UNAVAILABLE,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}


class CtlError(click.ClickException):
    """Ends the command with a message, what to do, and an exit code.

    Parameters
    ----------
    message : str
    exit_code : ExitCode
    action : str
    problem : Problem, optional
    """

    def __init__(
        self,
        message: str,
        exit_code: ExitCode,
        action: str = "",
        problem: Problem | None = None,
    ):
        super().__init__(message)
        self.exit_code = int(exit_code)
        self.action = action
        self.problem = problem

    def lines(self) -> tuple[str, ...]:
        """Return the message, the difference if there is one, and what to do."""
        lines = [f"error: {self.message}"]
        if self.problem:
            lines += [f"  {line}" for line in self.problem.difference]
        if self.action:
            lines.append(f"what to do: {self.action}")
        return tuple(map(clean_text, lines))

    def show(self, file: Any = None) -> None:
        """Write the lines to the standard error."""
        for line in self.lines():
            click.echo(line, file=file, err=True)


def path_of(*segments: str) -> str:
    """Return a path below ``/v1`` with each segment quoted.

    Examples
    --------
    >>> path_of("jobs", "a/b", "cancel")
    '/v1/jobs/a%2Fb/cancel'
    """
    return "/".join(["/v1", *(quote(segment, safe="") for segment in segments)])


def read_token(path: Path) -> str:
    """Return the token in a file, without the line end."""
    action = "Write the token that you were given to a file that only you can read."
    try:
        data = path.read_bytes()[: TOKEN_BYTES_MAX + 1]
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise CtlError(message, ExitCode.SETTINGS, action) from None
    token = data.decode("ascii", "replace").strip()
    if not token or len(data) > TOKEN_BYTES_MAX or not token.isascii():
        message = f"{path}: expected one token of ASCII characters"
        raise CtlError(message, ExitCode.SETTINGS, action)
    if any(not character.isprintable() or character == " " for character in token):
        raise CtlError(f"{path}: expected one line", ExitCode.SETTINGS, action)
    return token


class GatewayClient:
    """Sends requests to the first gateway that replies.

    Every request of the API can be repeated: changes carry a version or a key, and
    a cancellation or an attestation that is repeated changes nothing.

    Parameters
    ----------
    gateways : tuple of str
        Base URLs.
    token : str
    timeout_ms : int
        Bound of one attempt, in milliseconds.
    ca_file : Path, optional
        Certificates that the gateways' certificates are checked against.
    """

    def __init__(
        self,
        gateways: tuple[str, ...],
        token: str,
        timeout_ms: int,
        ca_file: Path | None = None,
    ):
        for gateway in gateways:
            _check_url(gateway)
        self._gateways = tuple(gateway.rstrip("/") for gateway in gateways)
        self._token = token
        self._timeout_s = timeout_ms / 1000
        self._tls = _tls_context(ca_file) if ca_file else None

    def get(self, path: str, kind: type[T], extra_timeout_s: float = 0) -> T:
        """Return the decoded response to a GET."""
        return self.send("GET", path, kind, extra_timeout_s=extra_timeout_s)

    def who_am_i(self) -> WhoAmI:
        """Return the operator that the token identifies."""
        return self.get(path_of("whoami"), WhoAmI)

    def send(
        self,
        method: str,
        path: str,
        kind: type[T],
        body: msgspec.Struct | None = None,
        headers: dict[str, str] | None = None,
        extra_timeout_s: float = 0,
    ) -> T:
        """Send a request, to another gateway if one does not reply.

        Raises
        ------
        CtlError
            If no gateway replies, or the reply is an error.
        """
        data = None if method == "GET" else msgspec.json.encode(body) if body else b""
        head = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        timeout_s = self._timeout_s + extra_timeout_s
        response = asyncio.run(self._send(method, path, data, head, timeout_s))
        if response.code >= 300:
            raise _error_of(response)
        try:
            return decode_json(response.body, kind)
        except msgspec.DecodeError as error:
            message = f"the gateway's reply cannot be read: {error}"
            action = "Use the basilholdctl of the gateways' release."
            raise CtlError(message, ExitCode.UNKNOWN, action) from None

    async def _send(
        self,
        method: str,
        path: str,
        data: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> HTTPResponse:
        client = SimpleAsyncHTTPClient(force_instance=True)
        failures: list[str] = []
        maybe_sent = False
        for gateway in self._gateways * ATTEMPTS_PER_GATEWAY:
            request = HTTPRequest(
                gateway + path,
                method,
                headers,
                data,
                connect_timeout=min(3.0, timeout_s),
                request_timeout=timeout_s,
                ssl_options=self._tls,
                follow_redirects=False,
            )
            try:
                return await client.fetch(request, raise_error=False)
            except ConnectionRefusedError:
                failures.append(f"{gateway}: connection refused")
            except Exception as error:  # tornado documents no closed set of errors
                maybe_sent = True
                failures.append(f"{gateway}: {error or type(error).__name__}")
        raise _no_reply(failures, maybe_sent and method != "GET")


def _no_reply(failures: list[str], maybe_sent: bool) -> CtlError:
    message = "no gateway replies: " + "; ".join(dict.fromkeys(failures))
    if maybe_sent:
        action = (
            "The change may have been made. Read the current state, or repeat the"
            " command with the same key or version."
        )
        return CtlError(message, ExitCode.UNKNOWN, action)
    action = "Check --gateway and the network; nothing was changed."
    return CtlError(message, ExitCode.UNAVAILABLE, action)


def _error_of(response: HTTPResponse) -> CtlError:
    exit_code = _EXIT_BY_STATUS.get(response.code, ExitCode.FAILED)
    try:
        problem = decode_json(response.body, Problem)
    except msgspec.DecodeError:
        message = f"status {response.code} without a problem document"
        action = "Check that --gateway is the address of the operators' API."
        return CtlError(message, exit_code, action)
    action = problem.action
    if problem.retry_after_s:
        action += f" Repeat after {problem.retry_after_s} s."
    message = f"{problem.title}: {problem.detail}"
    return CtlError(message, exit_code, action, problem)


def _check_url(url: str) -> None:
    try:
        parts = urlsplit(url)
        valid = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        valid = False
    if not valid:
        message = f"--gateway {url}: expected a URL such as https://10.0.0.1:18001"
        raise CtlError(message, ExitCode.USAGE)
    if parts.scheme == "http" and not is_loopback(parts.hostname or ""):
        message = f"--gateway {url}: the token would be sent in plain text"
        raise CtlError(message, ExitCode.USAGE, "Use https.")


def _tls_context(ca_file: Path) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ssl.SSLError) as error:
        message = f"{ca_file}: {error.strerror or 'no certificates'}"
        action = "Give the file of the cell's CA certificates, PEM."
        raise CtlError(message, ExitCode.SETTINGS, action) from None
