"""The platform's runners, their registrations and the advice service."""

import math
import re
from ipaddress import ip_address

import msgspec
from expression import Error, Ok, Result

from basilhold.adapters import HttpAddress, HttpCall, HttpPool, HttpReply
from basilhold.core import JobId, Resources, WorkerId
from basilhold.ports import TableService
from basilhold.ports.runners import (
    Admission,
    AdviceService,
    CallOutcome,
    RenewLeaseCall,
    RunnerCall,
    RunnerClient,
    StartCall,
    WorkerRegistry,
)
from basilhold.workflows.model import QueuePolicy, RunNumber, TaskKey, task_name
from basilhold.workflows.pool import (
    ListedEnd,
    ListedRun,
    Listing,
    RunKey,
    Worker,
    WorkerInfo,
)
from basilhold.workflows.progress import EndKind, RunEnd
from basilhold.workflows.recovery import scan_once

__all__ = ["PlatformAdvice", "PlatformRegistry", "PlatformRunners", "address_of"]

ORDER_TIMEOUT_MS = 500
"""A round trip between regions takes 60 ms; an order without a reply by then is
unlikely to get one."""

CHECKPOINT_MAX = 256
"""Longest checkpoint that is stored, in characters; the platform's have 16."""

HOLD_MARGIN_MS = 700
ADVICE_TIMEOUT_MS = 3_500
"""A question may wait for its turn."""

MIB = 1 << 20
PORT_MAX = 65_535
GPU_MILLI = 1_000

_WORKER_ID = re.compile(r"[!-~]+")

_OUTCOMES = {
    "fence": CallOutcome.FENCED,
    "old": CallOutcome.OLD_RUN,
    "late": CallOutcome.LATE,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.BAD_TICKET,
}


def address_of(endpoint: str) -> HttpAddress:
    """Return the address in ``host:port``."""
    host, port = endpoint.rsplit(":", 1)
    return HttpAddress(host, int(port))


class _StartBody(msgspec.Struct, omit_defaults=True):
    task: str
    run: int
    spec: str
    until_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class _OrderBody(msgspec.Struct):
    task: str
    run: int
    fence: int


class _PaceBody(msgspec.Struct):
    task: str
    run: int
    percent: int
    fence: int


class _HoldBody(msgspec.Struct, omit_defaults=True):
    """`acked_through` makes the runner forget ends up to this number."""

    fence: int
    acked_through: int
    until_ms: int = 0
    wait_ms: int = 0


class _HoldReply(msgspec.Struct):
    """`running` rows are task, run, checkpoint, percent and a usage figure."""

    clock_ms: float
    running: list[list] = []
    finished: list[list] = []
    born: int = 0


class _Refusal(msgspec.Struct):
    reason: str = ""


_REFUSAL = msgspec.json.Decoder(_Refusal)
_HOLD = msgspec.json.Decoder(_HoldReply)


class PlatformRunners(RunnerClient):
    """Calls to runners.

    Parameters
    ----------
    pool : HttpPool
    """

    def __init__(self, pool: HttpPool):
        self._pool = pool

    async def start(self, worker: Worker, call: StartCall) -> CallOutcome:
        """Start a run."""
        body = _StartBody(
            _name(call.run),
            call.run.run,
            call.payload,
            math.floor(call.until_clock_ms),
            call.run.epoch,
            call.checkpoint,
            call.ticket,
        )
        return await self._order(worker, "/-/run-start", body)

    async def stop(self, worker: Worker, call: RunnerCall) -> CallOutcome:
        """Stop a run."""
        body = _OrderBody(_name(call), call.run, call.epoch)
        return await self._order(worker, "/-/run-stop", body)

    async def pace(self, worker: Worker, call: RunnerCall, percent: int) -> CallOutcome:
        """Let a run work at a share of its speed."""
        body = _PaceBody(_name(call), call.run, percent, call.epoch)
        return await self._order(worker, "/-/pace", body)

    async def renew_lease(
        self, worker: Worker, call: RenewLeaseCall
    ) -> Result[Listing, CallOutcome]:
        """Renew the lease and return what runs and has ended."""
        body = _HoldBody(
            call.epoch,
            call.acknowledged,
            math.floor(call.until_clock_ms),
            call.wait_ms,
        )
        timeout_ms = call.wait_ms + HOLD_MARGIN_MS
        result = await self._send(worker, "/-/hold", body, timeout_ms)
        if result.is_error():
            return Error(CallOutcome.UNKNOWN)
        outcome = _outcome(result.ok)
        if outcome is not CallOutcome.DONE:
            return Error(outcome)
        try:
            return Ok(_listing(_HOLD.decode(result.ok.body)))
        except (msgspec.DecodeError, ValueError, TypeError, IndexError):
            return Error(CallOutcome.UNKNOWN)

    async def _order(
        self, worker: Worker, path: str, body: msgspec.Struct
    ) -> CallOutcome:
        result = await self._send(worker, path, body, ORDER_TIMEOUT_MS)
        if result.is_error():
            failed = CallOutcome.UNKNOWN if result.error.sent else None
            return failed or CallOutcome.UNAVAILABLE
        return _outcome(result.ok)

    async def _send(
        self, worker: Worker, path: str, body: msgspec.Struct, timeout_ms: int
    ):
        call = HttpCall(
            address_of(worker.info.endpoint),
            "POST",
            path,
            msgspec.json.encode(body),
            timeout_ms,
            headers=(("X-Expect-Instance", worker.worker_id),),
        )
        return await self._pool.run(call)


def _name(call: RunnerCall) -> str:
    return task_name(call.job_id, call.task)


def _outcome(reply: HttpReply) -> CallOutcome:
    if reply.status == 200:
        return CallOutcome.DONE
    if reply.status == 409:
        try:
            reason = _REFUSAL.decode(reply.body).reason
        except msgspec.DecodeError:
            return CallOutcome.REJECTED
        return _OUTCOMES.get(reason, CallOutcome.REJECTED)
    if reply.status == 421:
        return CallOutcome.ABSENT
    if reply.status in (429, 503):
        return CallOutcome.UNAVAILABLE
    # A runner that failed on the way may have carried the order out.
    return CallOutcome.UNKNOWN if reply.status >= 500 else CallOutcome.REJECTED


def _parse_name(name: str) -> RunKey:
    job_id, occurrence, step, index = name.split(".")
    return RunKey(JobId(job_id), TaskKey(int(occurrence), int(step), int(index)))


def _short(checkpoint: str) -> str:
    """Return a checkpoint, or an empty string for one that would not fit our rows."""
    return checkpoint if checkpoint and len(checkpoint) <= CHECKPOINT_MAX else ""


def _listing(reply: _HoldReply) -> Listing:
    running = []
    for name, run, checkpoint, percent, *usage in reply.running:
        figure = float(usage[0]) if usage else 0.0
        key = _parse_name(name)
        running.append(
            ListedRun(key, RunNumber(run), _short(checkpoint), int(percent), figure)
        )
    ended = []
    for number, name, run, how, checkpoint in reply.finished:
        key = _parse_name(name)
        end = RunEnd(key.task, RunNumber(run), EndKind(how), _short(checkpoint))
        ended.append(ListedEnd(number, key, end))
    return Listing(reply.clock_ms, reply.born, tuple(running), tuple(ended))


class _CapacityBody(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _EntryBody(msgspec.Struct):
    """A runner's own registration; `labels` are its kind and its rack."""

    service: str
    address: str
    state: str
    zone: str = ""
    capacity: _CapacityBody = _CapacityBody()
    labels: list[str] = []
    born: int = 0


class PlatformRegistry(WorkerRegistry):
    """Registrations of runners in the store.

    Parameters
    ----------
    table : TableService
    """

    def __init__(self, table: TableService):
        self._table = table

    async def read(self) -> Result[dict[WorkerId, tuple[str, WorkerInfo]], str]:
        """Return service and registration of each runner that can be used."""
        scanned = await scan_once(self._table, "servers//")
        if scanned.is_error():
            return Error(scanned.error.reason)
        found = {}
        for row in scanned.ok[0]:
            worker_id = WorkerId(row.key.split("/", 2)[2])
            entry = _decode_entry(row.value)
            # The id becomes a header of each call.
            if entry is not None and _WORKER_ID.fullmatch(worker_id):
                found[worker_id] = (entry.service, _info(worker_id, entry))
        return Ok(found)


def _decode_entry(value: bytes) -> _EntryBody | None:
    """Return a registration, or ``None`` for one of another writer."""
    try:
        entry = msgspec.json.decode(value, type=_EntryBody)
        address = address_of(entry.address)
        ip_address(address.host)
    except (msgspec.DecodeError, ValueError):
        return None
    if not 0 < address.port <= PORT_MAX:
        return None
    return entry if entry.state in ("ready", "draining") else None


def _info(worker_id: WorkerId, entry: _EntryBody) -> WorkerInfo:
    capacity = Resources(
        entry.capacity.cpu, entry.capacity.mem_mb * MIB, entry.capacity.gpu * GPU_MILLI
    )
    rack = entry.labels[1] if len(entry.labels) > 1 else ""
    return WorkerInfo(
        worker_id,
        entry.address,
        entry.born,
        capacity,
        rack,
        frozenset(entry.labels),
        entry.state == "draining",
        entry.zone,
    )


class _AdviceBody(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _AdviceReply(msgspec.Struct):
    admitted: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class PlatformAdvice(AdviceService):
    """The advice service, asked from this machine.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
    """

    def __init__(self, pool: HttpPool, address: HttpAddress):
        self._pool = pool
        self._address = address

    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return true: the turns of this machine are not tracked here."""
        return True

    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the named workers may run the step."""
        body = _AdviceBody(f"{job_id}.{occurrence}.{step}", workers)
        call = HttpCall(
            self._address,
            "POST",
            "/-/advise",
            msgspec.json.encode(body),
            ADVICE_TIMEOUT_MS,
            repeatable=True,
        )
        result = await self._pool.run(call)
        if result.is_error():
            return Error(result.error.reason)
        if result.ok.status != 200:
            return Error(f"status {result.ok.status}")
        try:
            reply = msgspec.json.decode(result.ok.body, type=_AdviceReply)
        except msgspec.DecodeError as error:
            return Error(f"the reply cannot be read: {error}")
        return Ok(Admission({WorkerId(i): ticket for i, ticket in reply.admitted}))
