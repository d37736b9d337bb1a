"""Upstreams in memory and over HTTP, with faults that tests switch on."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Self

import msgspec
from expression import Error, Ok, Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from basilhold.core import InvariantError, RegionName, UpstreamId, ZoneName
from basilhold.ports import (
    ResponseHead,
    ResponseSink,
    SendError,
    SendPhase,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = [
    "LEAVING_HEADER",
    "MemoryUpstream",
    "MemoryUpstreamClient",
    "MemoryUpstreams",
    "UpstreamBehaviour",
    "UpstreamServer",
]

LEAVING_HEADER = "Basilhold-Leaving"
"""Header of a 503 answer by which an upstream says that it takes no new work."""

ID_HEADER = "X-Request-Id"
SERVICE_TIME_HEADER = "X-Service-Time-Ms"
"""Header by which a test sets the service time of one request over HTTP."""

CHUNK_BYTES = 16 << 10


class UpstreamFate(Enum):
    """What an upstream does with one request."""

    ANSWER = "answer"
    FAIL = "fail"
    CUT = "cut"
    TRUNCATE = "truncate"
    LATE = "late"


class UpstreamBehaviour(msgspec.Struct):
    """How an upstream treats requests.

    Parameters
    ----------
    service_ms : float
        Mean service time, in milliseconds.
    spread : float
        Service times vary by this share of the mean.
    answer_bytes : int
    fail_ratio : float
        Share of requests that are answered with 500 at once.
    cut_ratio : float
        Share whose connection is cut before the answer; the request runs.
    truncate_ratio : float
        Share whose answer ends in the middle.
    late_ratio : float
        Share that takes `late_ms` longer.
    late_ms : float
    refusing : bool
        Whether connections are refused.
    leaving : bool
        Whether all requests get 503 with `LEAVING_HEADER` and do not run.
    """

    service_ms: float = 20.0
    spread: float = 0.5
    answer_bytes: int = 256
    fail_ratio: float = 0.0
    cut_ratio: float = 0.0
    truncate_ratio: float = 0.0
    late_ratio: float = 0.0
    late_ms: float = 60_000.0
    refusing: bool = False
    leaving: bool = False

    def draw(self, rng: random.Random) -> UpstreamFate:
        """Return the fate of the next request."""
        value = rng.random()
        for fate, ratio in (
            (UpstreamFate.FAIL, self.fail_ratio),
            (UpstreamFate.CUT, self.cut_ratio),
            (UpstreamFate.TRUNCATE, self.truncate_ratio),
            (UpstreamFate.LATE, self.late_ratio),
        ):
            if value < ratio:
                return fate
            value -= ratio
        return UpstreamFate.ANSWER

    def duration_ms(self, fate: UpstreamFate, rng: random.Random) -> float:
        """Return the time that a request takes, in milliseconds."""
        if fate is UpstreamFate.FAIL:
            return 0.1
        extra_ms = self.late_ms if fate is UpstreamFate.LATE else 0.0
        return (
            self.service_ms * rng.uniform(1 - self.spread, 1 + self.spread) + extra_ms
        )


def answer_body(request_id: str, size: int) -> bytes:
    """Return the answer to a request, which names the request in each part."""
    unit = f"[{request_id}]".encode()
    return unit * max(1, size // len(unit))


class MemoryUpstream:
    """One upstream.

    Parameters
    ----------
    upstream_id : UpstreamId
    zone : ZoneName
    region : RegionName
    slots : int
    behaviour : UpstreamBehaviour, optional

    Attributes
    ----------
    active : int
        Requests that are being handled.
    active_max : int
    run_counts : collections.Counter of str
        How often the request with an id has started to run.
    started_count : int
    leaving_starts : list of float
        Loop times of requests that arrived while the upstream was leaving.
    on_run : callable or None
        Called with the upstream and the request's id when a request starts to run.
    """

    def __init__(
        self,
        upstream_id: UpstreamId,
        zone: ZoneName,
        region: RegionName,
        slots: int = 8,
        behaviour: UpstreamBehaviour | None = None,
    ):
        self.upstream_id = upstream_id
        self.zone = zone
        self.region = region
        self.slots = slots
        self.behaviour = behaviour or UpstreamBehaviour()
        self.active = 0
        self.active_max = 0
        self.run_counts: Counter[str] = Counter()
        self.started_count = 0
        self.leaving_starts: list[float] = []
        self.on_run: Callable[[MemoryUpstream, str], None] | None = None

    def enter(self, request_id: str) -> None:
        """Start to handle a request.

        Raises
        ------
        InvariantError
            If more requests than slots are being handled.
        """
        self.active += 1
        self.active_max = max(self.active_max, self.active)
        self.started_count += 1
        if self.active > self.slots:
            raise InvariantError(
                f"upstream {self.upstream_id} handles {self.active} requests, "
                f"it has {self.slots} slots"
            )
        if self.behaviour.leaving:
            self.leaving_starts.append(asyncio.get_running_loop().time())
        else:
            self.run_counts[request_id] += 1
            if self.on_run is not None:
                self.on_run(self, request_id)

    def leave(self) -> None:
        """Stop to handle a request."""
        self.active -= 1


class MemoryUpstreams:
    """Upstreams of a cell.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    errors : list of InvariantError
        Violations found so far; runs raise the first one.
    """

    def __init__(self, seed: int = 0):
        self.rng = random.Random(seed)
        self.members: dict[UpstreamId, MemoryUpstream] = {}
        self.errors: list[InvariantError] = []

    def add(self, upstream: MemoryUpstream) -> MemoryUpstream:
        """Add an upstream."""
        self.members[upstream.upstream_id] = upstream
        return upstream

    def run_counts(self) -> Counter[str]:
        """Return how often each request has run, over all upstreams."""
        total: Counter[str] = Counter()
        for upstream in self.members.values():
            total.update(upstream.run_counts)
        return total

    def check(self) -> None:
        """Raise the first violation.

        Raises
        ------
        InvariantError
        """
        if self.errors:
            raise self.errors[0]


class MemoryUpstreamClient(UpstreamClient):
    """Sends one gateway's requests to upstreams in memory.

    Parameters
    ----------
    upstreams : MemoryUpstreams
    zone : ZoneName
    region : RegionName
    zone_latency_ms, region_latency_ms : float
        One-way latency inside a region and between regions, in milliseconds.
    """

    def __init__(
        self,
        upstreams: MemoryUpstreams,
        zone: ZoneName,
        region: RegionName,
        zone_latency_ms: float = 1.0,
        region_latency_ms: float = 30.0,
    ):
        self._upstreams = upstreams
        self._zone = zone
        self._region = region
        self._zone_latency_ms = zone_latency_ms
        self._region_latency_ms = region_latency_ms

    async def send(
        self, request: UpstreamRequest, sink: ResponseSink
    ) -> Result[ResponseHead, SendError]:
        """Send a request and pass the answer on."""
        upstream = self._upstreams.members.get(request.upstream_id)
        if upstream is None or upstream.behaviour.refusing:
            await asyncio.sleep(self._zone_latency_ms * 2 / 1000)
            return Error(SendError(SendPhase.NOT_SENT, "connection refused"))
        latency_ms = self._latency_ms(upstream)
        await asyncio.sleep(latency_ms / 1000)
        try:
            upstream.enter(_request_id(request))
        except InvariantError as error:
            self._upstreams.errors.append(error)
        whole = False
        try:
            result = await self._answer(upstream, request, sink, latency_ms)
            whole = result.is_ok()
            return result
        finally:
            if whole:
                upstream.leave()
            else:
                # The upstream learns of a closed connection one latency later.
                loop = asyncio.get_running_loop()
                loop.call_later(latency_ms / 1000, upstream.leave)

    def _latency_ms(self, upstream: MemoryUpstream) -> float:
        if upstream.region == self._region:
            return self._zone_latency_ms
        return self._region_latency_ms

    async def _answer(
        self,
        upstream: MemoryUpstream,
        request: UpstreamRequest,
        sink: ResponseSink,
        latency_ms: float,
    ) -> Result[ResponseHead, SendError]:
        rng = self._upstreams.rng
        behaviour = upstream.behaviour
        if behaviour.leaving:
            head = ResponseHead(
                503,
                (
                    ("Connection", "close"),
                    (LEAVING_HEADER, "1"),
                    ("Content-Length", "0"),
                ),
            )
            await asyncio.sleep(latency_ms / 1000)
            await sink.start(head)
            return Ok(head)
        fate = behaviour.draw(rng)
        await asyncio.sleep(behaviour.duration_ms(fate, rng) / 1000)
        if fate is UpstreamFate.CUT:
            await asyncio.sleep(latency_ms / 1000)
            return Error(SendError(SendPhase.SENT, "connection cut"))
        status = 500 if fate is UpstreamFate.FAIL else 200
        body = answer_body(_request_id(request), behaviour.answer_bytes)
        head = ResponseHead(status, (("Content-Length", str(len(body))),))
        await asyncio.sleep(latency_ms / 1000)
        await sink.start(head)
        if fate is UpstreamFate.TRUNCATE:
            await sink.write(body[: len(body) // 2])
            return Error(SendError(SendPhase.ANSWERING, "the answer is cut"))
        for start in range(0, len(body), CHUNK_BYTES):
            await sink.write(body[start : start + CHUNK_BYTES])
        return Ok(head)


def _request_id(request: UpstreamRequest) -> str:
    for name, value in request.headers:
        if name.lower() == ID_HEADER.lower():
            return value
    return ""


class UpstreamServer:
    """HTTP server that behaves like a `MemoryUpstream`.

    Parameters
    ----------
    behaviour : UpstreamBehaviour, optional
    seed : int

    Attributes
    ----------
    port : int
        Port on the loopback address, once started.
    state : MemoryUpstream
        What the server has counted.
    """

    def __init__(self, behaviour: UpstreamBehaviour | None = None, seed: int = 0):
        self.behaviour = behaviour or UpstreamBehaviour()
        self.state = MemoryUpstream(
            UpstreamId("local"),
            ZoneName("local"),
            RegionName("local"),
            behaviour=self.behaviour,
        )
        self.rng = random.Random(seed)
        self.port = 0
        self._server = HTTPServer(
            Application(
                [(r"/.*", _UpstreamHandler, {"server": self})],
                log_function=lambda handler: None,
            ),
            max_body_size=64 << 20,
        )

    async def __aenter__(self) -> Self:
        sockets = bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.stop()
        await self._server.close_all_connections()


class _UpstreamHandler(RequestHandler):
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, server: UpstreamServer) -> None:
        self._server = server

    def compute_etag(self) -> None:
        return

    async def _answer(self) -> None:
        server = self._server
        request_id = self.request.headers.get(ID_HEADER, "")
        server.state.enter(request_id)
        try:
            await self._answer_entered(server, request_id)
        finally:
            server.state.leave()

    async def _answer_entered(self, server: UpstreamServer, request_id: str) -> None:
        behaviour = server.behaviour
        if behaviour.leaving:
            self.set_status(503)
            self.set_header("Connection", "close")
            self.set_header(LEAVING_HEADER, "1")
            self.finish()
            return
        fate = behaviour.draw(server.rng)
        duration_ms = behaviour.duration_ms(fate, server.rng)
        wanted_ms = self.request.headers.get(SERVICE_TIME_HEADER)
        await asyncio.sleep(float(wanted_ms or duration_ms) / 1000)
        stream = self.request.connection.stream
        if fate is UpstreamFate.CUT:
            self._finished = True
            stream.close()
            return
        body = answer_body(request_id, behaviour.answer_bytes)
        self.set_status(500 if fate is UpstreamFate.FAIL else 200)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(len(body)))
        if fate is UpstreamFate.TRUNCATE:
            self.write(body[: len(body) // 2])
            await self.flush()
            self._finished = True
            stream.close()
            return
        with contextlib.suppress(Exception):
            for start in range(0, len(body), CHUNK_BYTES):
                self.write(body[start : start + CHUNK_BYTES])
                await self.flush()
            self.finish()

    get = head = post = delete = patch = put = options = _answer
