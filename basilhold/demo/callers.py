"""Callers that send HTTP requests to the gateways of a local cell."""

import asyncio
import random
import time
from itertools import cycle

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from basilhold.core import ClassName, RestartPolicy, WorkClass
from basilhold.demo.promises import Promise, Promises
from basilhold.programs.local_cell import LocalCell

__all__ = ["CallResult", "Callers", "quantile"]

CONNECTIONS_MAX = 64
TIMEOUT_S = 30.0


class CallResult(msgspec.Struct, frozen=True):
    """What a caller saw of one request.

    Parameters
    ----------
    class_name : ClassName
    request_id : str
    outcome : str
    status : int
    total_ms : float
        From sending to the last byte of the answer.
    replayed : bool
        The answer is that of an earlier request with the same key.
    """

    class_name: ClassName
    request_id: str
    outcome: str
    status: int
    total_ms: float
    replayed: bool


class Callers:
    """Sends requests of a class to all gateways in turn and checks the answers.

    Parameters
    ----------
    cell : LocalCell
    token : str
        Token of a caller.
    promises : Promises
    rng : random.Random
    """

    def __init__(
        self, cell: LocalCell, token: str, promises: Promises, rng: random.Random
    ):
        self._cell = cell
        self._token = token
        self._promises = promises
        self._rng = rng
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CONNECTIONS_MAX
        )
        self._number = 0
        self.results: list[CallResult] = []

    async def run(self, work_class: WorkClass, count: int, per_s: float) -> None:
        """Send requests at random times at a mean rate, and await all answers."""
        ports = cycle(entry.caller_port for entry in self._cell.entries.values())
        calls = []
        for _ in range(count):
            calls.append(asyncio.create_task(self.call(work_class, next(ports))))
            await asyncio.sleep(self._rng.expovariate(per_s))
        await asyncio.gather(*calls)

    async def call(
        self, work_class: WorkClass, port: int, key: str | None = None
    ) -> CallResult:
        """Send one request and check its answer."""
        self._number += 1
        request_id = f"{work_class.name}-{self._number}"
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Basilhold-Class": work_class.name,
            "X-Request-Id": request_id,
        }
        method, body = "GET", None
        if work_class.restart is RestartPolicy.FORBIDDEN:
            method, body = "POST", b"item"
            headers["Idempotency-Key"] = key or request_id
        host = self._cell.settings.local.host
        request = HTTPRequest(
            f"http://{host}:{port}/call/item",
            method,
            headers,
            body,
            request_timeout=TIMEOUT_S,
        )
        started_s = time.monotonic()
        response = await self._client.fetch(request, raise_error=False)
        total_ms = (time.monotonic() - started_s) * 1000
        outcome = response.headers.get("Basilhold-Outcome", "none")
        replayed = response.headers.get("Basilhold-Replayed") == "true"
        result = CallResult(
            work_class.name, request_id, outcome, response.code, total_ms, replayed
        )
        self.results.append(result)
        self._check(work_class, result, response.body or b"")
        return result

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _check(self, work_class: WorkClass, result: CallResult, body: bytes) -> None:
        runs = sum(
            server.state.run_counts[result.request_id]
            for server in self._cell.upstreams.values()
        )
        promises = self._promises
        if result.status == 200 and not result.replayed:
            unit = f"[{result.request_id}]".encode()
            whole = body == unit * (len(body) // len(unit)) and len(body) > 0
            promises.check(Promise.WHOLE_ANSWERS, whole, result.request_id)
        if result.outcome == "not-run":
            promises.check(Promise.NOT_RUN_IS_TRUE, runs == 0, result.request_id)
        if work_class.restart is RestartPolicy.FORBIDDEN:
            promises.check(Promise.AT_MOST_ONCE, runs <= 1, result.request_id)


def quantile(values: list[float], share: float) -> float:
    """Return the smallest value that at least a share of the values do not exceed.

    Examples
    --------
    >>> quantile([5.0, 1.0, 3.0, 2.0, 4.0], 0.5)
    3.0
    """
    ordered = sorted(values)
    index = max(0, -(-len(ordered) * share // 1) - 1)
    return ordered[int(index)]
