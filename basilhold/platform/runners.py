"""Clients of the platform's runners, their registrations and the advice service.

A runner is the agent on a worker that executes tasks.
"""

import asyncio
import math
import re
from ipaddress import ip_address

import msgspec
from expression import Error, Ok, Result

from basilhold.adapters import (
    HttpAddress,
    HttpCall,
    HttpFailure,
    HttpPool,
    HttpReply,
)
from basilhold.core import (
    Count,
    JobId,
    JsonDecoder,
    Resources,
    WorkerId,
    decode_json,
)
from basilhold.ports import ChangeFeed, Row, TableService
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

__all__ = [
    "PlatformAdviceService",
    "PlatformRunnerClient",
    "PlatformWorkerRegistry",
    "parse_endpoint",
]

ENDS_PER_LISTING = 500
"""Largest number of ended runs in one reply of a runner."""

COMMAND_TIMEOUT_MS = 500
"""Timeout of a start, stop or pace command. A round trip between regions takes 60 ms,
so a later reply is unlikely."""

CHECKPOINT_LENGTH_MAX = 256
"""Longest checkpoint that is stored, in characters; those of the platform have 16."""

LEASE_RENEWAL_MARGIN_MS = 700
"""Time beyond its long poll that a lease renewal may take."""

ADVICE_TIMEOUT_MS = 3_500
"""The advice service handles one request of each machine at a time; others queue."""

REGISTRATIONS_PREFIX = "servers//"

SCAN_ROWS_MAX = 500
"""Registrations up to which each read scans them, in one page. 4,320 of them take nine
pages and 1.7 MB, which an owner reads every 700 ms."""

SCAN_EVERY_READS = 4
"""Every so many reads of more registrations scan them, should the feed have left out a
change: a worker that leaves must get no new work after 3 s."""

BYTES_PER_MIB = 1 << 20
PORT_MAX = 65_535
MILLI_GPUS_PER_GPU = 1_000

_WORKER_ID = re.compile(r"[!-~]+")

_REJECTION_OUTCOMES = {
    "fence": CallOutcome.FENCED,
    "old": CallOutcome.OLD_RUN,
    "late": CallOutcome.LATE,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.BAD_TICKET,
}


def parse_endpoint(endpoint: str) -> HttpAddress:
    """Parse an endpoint of the form ``host:port``.

    Raises
    ------
    ValueError
        If the port is missing or not an integer.
    """
    host, port = endpoint.rsplit(":", 1)
    return HttpAddress(host, int(port))


class _StartBody(msgspec.Struct, omit_defaults=True):
    """Command to start a run.

    `until_ms` is the runner's clock up to which the start may take effect, `spec` the
    task's payload and `fence` the owner's epoch.
    """

    task: str
    run: int
    spec: str
    until_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class _StopBody(msgspec.Struct):
    """Command to stop a run."""

    task: str
    run: int
    fence: int


class _PaceBody(msgspec.Struct):
    """Command to run a task at `percent` of its full speed."""

    task: str
    run: int
    percent: int
    fence: int


class _HoldBody(msgspec.Struct, omit_defaults=True):
    """Renewal of a lease; a long poll of up to `wait_ms` for the end of a run.

    The runner drops the ends up to number `acked_through` from its list. `until_ms` is
    the new end of the lease on the runner's clock; 0 leaves it unchanged.
    """

    fence: int
    acked_through: int
    until_ms: int = 0
    wait_ms: int = 0


class _RunningRow(msgspec.Struct, array_like=True):
    """A run in a list of runs; `pace` is in percent of its full speed."""

    task: str
    run: Count
    checkpoint: str
    pace: float
    usage: float = 0.0


class _EndedRow(msgspec.Struct, array_like=True):
    """The end of a run in a list of ends, which are numbered in order."""

    number: Count
    task: str
    run: Count
    kind: str
    checkpoint: str


class _HoldReply(msgspec.Struct):
    """Runs on a runner, and those that have ended.

    `born` is the Unix time of the runner's start, in milliseconds.
    """

    clock_ms: float
    running: list[_RunningRow] = []
    finished: list[_EndedRow] = []
    born: Count = 0


class _CommandReply(msgspec.Struct):
    """Reply to a command that was carried out."""

    clock_ms: float = math.inf


class _Rejection(msgspec.Struct):
    """Body of a reply with status 409."""

    reason: str = ""


_COMMAND_REPLY_DECODER = JsonDecoder(_CommandReply)
_REJECTION_DECODER = JsonDecoder(_Rejection)
_HOLD_REPLY_DECODER = JsonDecoder(_HoldReply)


class PlatformRunnerClient(RunnerClient):
    """Client of the runners.

    Parameters
    ----------
    pool : HttpPool
        Connections for starts, stops and changes of pace.
    poll_pool : HttpPool, optional
        Connections for lease renewals, most of which wait for the end of a run; `pool`
        by default.
    """

    def __init__(self, pool: HttpPool, poll_pool: HttpPool | None = None):
        self._pool = pool
        self._poll_pool = poll_pool or pool

    async def start(self, worker: Worker, call: StartCall) -> CallOutcome:
        """Start a run."""
        body = _StartBody(
            _format_task_name(call.run),
            call.run.run,
            call.payload,
            math.floor(call.until_clock_ms),
            call.run.epoch,
            call.checkpoint,
            call.ticket,
        )
        result = await self._send(worker, "/-/run-start", body)
        outcome = _command_outcome(result)
        if outcome is not CallOutcome.DONE:
            return outcome
        try:
            reply = _COMMAND_REPLY_DECODER.decode(result.ok.body)
        except msgspec.DecodeError:
            return CallOutcome.UNKNOWN
        return call.outcome_at(reply.clock_ms)

    async def stop(self, worker: Worker, call: RunnerCall) -> CallOutcome:
        """Stop a run."""
        body = _StopBody(_format_task_name(call), call.run, call.epoch)
        return await self._send_command(worker, "/-/run-stop", body)

    async def pace(self, worker: Worker, call: RunnerCall, percent: int) -> CallOutcome:
        """Set the speed of a run, in percent of its full speed."""
        body = _PaceBody(_format_task_name(call), call.run, percent, call.epoch)
        return await self._send_command(worker, "/-/pace", body)

    async def renew_lease(
        self, worker: Worker, call: RenewLeaseCall
    ) -> Result[Listing, CallOutcome]:
        """Renew the lease and return the runs that are running or have ended.

        The reply may take `wait_ms` of the call, as the runner waits for an end. An
        unreadable reply is `CallOutcome.UNKNOWN`, a refused or closed connection
        `CallOutcome.DISCONNECTED`.
        """
        body = _HoldBody(
            call.epoch,
            call.acknowledged,
            math.floor(call.until_clock_ms),
            call.wait_ms,
        )
        timeout_ms = call.timeout_ms or call.wait_ms + LEASE_RENEWAL_MARGIN_MS
        result = await self._post(self._poll_pool, worker, "/-/hold", body, timeout_ms)
        if result.is_error():
            return Error(_unanswered_outcome(result.error))
        outcome = _decode_outcome(result.ok)
        if outcome is not CallOutcome.DONE:
            return Error(outcome)
        try:
            return Ok(_make_listing(_HOLD_REPLY_DECODER.decode(result.ok.body)))
        except (msgspec.DecodeError, ValueError):
            return Error(CallOutcome.UNKNOWN)

    def close_connections(self, worker: Worker) -> None:
        """Close the unused connections to a worker."""
        try:
            address = parse_endpoint(worker.info.endpoint)
        except ValueError:
            # The endpoint of a stored assignment may be empty.
            return
        self._pool.close_unused(address)
        self._poll_pool.close_unused(address)

    async def _send_command(
        self, worker: Worker, path: str, body: msgspec.Struct
    ) -> CallOutcome:
        return _command_outcome(await self._send(worker, path, body))

    async def _send(
        self, worker: Worker, path: str, body: msgspec.Struct
    ) -> Result[HttpReply, HttpFailure]:
        return await self._post(self._pool, worker, path, body, COMMAND_TIMEOUT_MS)

    async def _post(
        self,
        pool: HttpPool,
        worker: Worker,
        path: str,
        body: msgspec.Struct,
        timeout_ms: int,
    ) -> Result[HttpReply, HttpFailure]:
        call = HttpCall(
            parse_endpoint(worker.info.endpoint),
            "POST",
            path,
            msgspec.json.encode(body),
            timeout_ms,
            headers=(("X-Expect-Instance", worker.worker_id),),
        )
        return await pool.run(call)


def _format_task_name(call: RunnerCall) -> str:
    return task_name(call.job_id, call.task)


def _unanswered_outcome(failure: HttpFailure) -> CallOutcome:
    if failure.disconnected:
        return CallOutcome.DISCONNECTED
    return CallOutcome.UNKNOWN


def _command_outcome(result: Result[HttpReply, HttpFailure]) -> CallOutcome:
    """Return the outcome of a command from its reply or failure."""
    if result.is_ok():
        return _decode_outcome(result.ok)
    if not result.error.sent:
        return CallOutcome.UNAVAILABLE
    return _unanswered_outcome(result.error)


def _decode_outcome(reply: HttpReply) -> CallOutcome:
    """Map a reply to an outcome; 421 means that another incarnation replied."""
    if reply.status == 200:
        return CallOutcome.DONE
    if reply.status == 409:
        try:
            reason = _REJECTION_DECODER.decode(reply.body).reason
        except msgspec.DecodeError:
            return CallOutcome.REJECTED
        return _REJECTION_OUTCOMES.get(reason, CallOutcome.REJECTED)
    if reply.status == 421:
        return CallOutcome.ABSENT
    if reply.status in (429, 503):
        return CallOutcome.UNAVAILABLE
    # The runner may have executed the command before it failed.
    return CallOutcome.UNKNOWN if reply.status >= 500 else CallOutcome.REJECTED


def _parse_task_name(name: str) -> RunKey:
    """Parse a task name, ``job.occurrence.step.index``.

    Raises
    ------
    ValueError
        If the name is malformed.
    """
    job_id, occurrence, step, index = name.split(".")
    return RunKey(JobId(job_id), TaskKey(int(occurrence), int(step), int(index)))


def _limit_checkpoint(checkpoint: str) -> str:
    """Return a checkpoint, or an empty string if it is too long to be stored."""
    return checkpoint if checkpoint and len(checkpoint) <= CHECKPOINT_LENGTH_MAX else ""


def _make_listing(reply: _HoldReply) -> Listing:
    running = tuple(
        ListedRun(
            _parse_task_name(row.task),
            RunNumber(row.run),
            _limit_checkpoint(row.checkpoint),
            int(row.pace),
            row.usage,
        )
        for row in reply.running
    )
    ended = tuple(_make_listed_end(row) for row in reply.finished)
    is_complete = len(ended) < ENDS_PER_LISTING
    return Listing(reply.clock_ms, reply.born, running, ended, is_complete)


def _make_listed_end(row: _EndedRow) -> ListedEnd:
    """Return the end in a row of a list of runs.

    Raises
    ------
    ValueError
        If the task's name or the outcome is unknown.
    """
    key = _parse_task_name(row.task)
    checkpoint = _limit_checkpoint(row.checkpoint)
    kind = EndKind(row.kind)
    if not kind.is_reported:
        raise ValueError(f"{row.kind} is not an outcome that a runner reports")
    return ListedEnd(
        row.number, key, RunEnd(key.task, RunNumber(row.run), kind, checkpoint)
    )


class _CapacityBody(msgspec.Struct, frozen=True):
    """Thousandths of cores, MiB of memory and whole GPUs of a worker."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class _RegistrationBody(msgspec.Struct):
    """Registration that a runner has written; `labels` are its kind and its rack."""

    service: str
    address: str
    state: str
    zone: str = ""
    capacity: _CapacityBody = _CapacityBody()
    labels: list[str] = []
    born: Count = 0


class _Registered(msgspec.Struct, frozen=True):
    """A decoded registration; `info` is ``None`` if the row cannot be used."""

    version: int
    service: str
    info: WorkerInfo | None


class PlatformWorkerRegistry(WorkerRegistry):
    """Registrations of runners in the store.

    If they fill more than a page, the rows are scanned at every few reads only, and the
    reads in between get the changes from the feed.

    Parameters
    ----------
    table : TableService
        Table service of the store.
    feed : ChangeFeed
        Change feed of the store.
    """

    def __init__(self, table: TableService, feed: ChangeFeed):
        self._table = table
        self._feed = feed
        self._rows: dict[str, Row] = {}
        self._decoded: dict[str, _Registered] = {}
        self._version = 0
        self._reads_since_scan = 0
        self._lock = asyncio.Lock()

    async def read(self) -> Result[dict[WorkerId, tuple[str, WorkerInfo]], str]:
        """Return the service and the registration of each usable runner.

        Registrations that cannot be read are left out.

        Returns
        -------
        Result of (dict, str)
            Service name and `WorkerInfo` by worker id, or why the scan failed.
        """
        # Owners of several services in this process share the rows.
        async with self._lock:
            if not await self._apply_changes():
                scanned = await scan_once(self._table, REGISTRATIONS_PREFIX)
                if scanned.is_error():
                    return Error(scanned.error.reason)
                rows, self._version = scanned.ok
                self._rows = {row.key: row for row in rows}
                self._reads_since_scan = 0
            self._decode_rows()
        return Ok(
            {
                entry.info.worker_id: (entry.service, entry.info)
                for entry in self._decoded.values()
                if entry.info is not None
            }
        )

    async def _apply_changes(self) -> bool:
        """Apply the changes since the last read; return false if a scan is due."""
        self._reads_since_scan += 1
        is_due = self._reads_since_scan >= SCAN_EVERY_READS
        if is_due or len(self._rows) <= SCAN_ROWS_MAX or self._version <= 0:
            return False
        result = await self._feed.changes(REGISTRATIONS_PREFIX, self._version, 0)
        if result.is_error() or not result.ok.complete:
            return False
        changes = result.ok
        if not {row.key for row in changes.rows}.isdisjoint(changes.deleted):
            # Whether a row was deleted first or last is not known.
            return False
        self._version = changes.version
        for row in changes.rows:
            known = self._rows.get(row.key)
            if known is None or row.version > known.version:
                self._rows[row.key] = row
        for key in changes.deleted:
            self._rows.pop(key, None)
        return True

    def _decode_rows(self) -> None:
        """Decode the rows whose versions have changed."""
        decoded: dict[str, _Registered] = {}
        for key, row in self._rows.items():
            known = self._decoded.get(key)
            if known is None or known.version != row.version:
                known = _decode_row(row)
            decoded[key] = known
        self._decoded = decoded


def _decode_row(row: Row) -> _Registered:
    worker_id = WorkerId(row.key.split("/", 2)[2])
    registration = _decode_registration(row.value)
    # The id is sent as a header of each call, so it must be printable ASCII.
    if registration is None or not _WORKER_ID.fullmatch(worker_id):
        return _Registered(row.version, "", None)
    info = _make_worker_info(worker_id, registration)
    return _Registered(row.version, registration.service, info)


def _decode_registration(value: bytes) -> _RegistrationBody | None:
    """Decode a registration.

    Other programs may write to the table too. Returns ``None`` if the row is malformed,
    the address is not usable or the runner is neither ready nor draining.
    """
    try:
        registration = decode_json(value, _RegistrationBody)
        address = parse_endpoint(registration.address)
        ip_address(address.host)
    except (msgspec.DecodeError, ValueError):
        return None
    if not 0 < address.port <= PORT_MAX:
        return None
    return registration if registration.state in ("ready", "draining") else None


def _make_worker_info(
    worker_id: WorkerId, registration: _RegistrationBody
) -> WorkerInfo:
    capacity = Resources(
        registration.capacity.cpu,
        registration.capacity.mem_mb * BYTES_PER_MIB,
        registration.capacity.gpu * MILLI_GPUS_PER_GPU,
    )
    rack = registration.labels[1] if len(registration.labels) > 1 else ""
    return WorkerInfo(
        worker_id,
        registration.address,
        registration.born,
        capacity,
        rack,
        frozenset(registration.labels),
        registration.state == "draining",
        registration.zone,
    )


class _AdviceBody(msgspec.Struct):
    """Request for the workers that may run a step."""

    step: str
    workers: tuple[str, ...]


class _AdviceReply(msgspec.Struct):
    """Admitted workers with their tickets, valid for `valid_ms`."""

    admitted: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class PlatformAdviceService(AdviceService):
    """Client of the advice service.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
        Address of the advice service.
    """

    def __init__(self, pool: HttpPool, address: HttpAddress):
        self._pool = pool
        self._address = address

    def is_available(self, policy: QueuePolicy, worker_count: int) -> bool:
        """Return true: requests in progress from this machine are not tracked here."""
        return True

    async def ask(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Return which of the given workers may run the step, or why it is unknown."""
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
            reply = decode_json(result.ok.body, _AdviceReply)
        except msgspec.DecodeError as error:
            return Error(f"the reply cannot be read: {error}")
        return Ok(Admission({WorkerId(i): ticket for i, ticket in reply.admitted}))
