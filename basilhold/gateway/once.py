"""At-most-once execution of requests that carry an idempotency key."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Self

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    Clock,
    ProcessId,
    RequestKey,
    decode_json,
)
from basilhold.gateway.counters import Count, RequestCounters
from basilhold.gateway.events import RESULT_NOT_RECORDED
from basilhold.gateway.once_results import (
    ClaimResult,
    OnceClaim,
    OnceLimits,
    Replay,
    not_run_problem,
    store_unavailable_problem,
    unknown_problem,
)
from basilhold.gateway.once_writer import OnceWriter, WriteError, WriteErrorKind
from basilhold.observability import log_event
from basilhold.ports import ABSENT, ObjectStore, Row, TableService
from basilhold.requests import (
    OnceAnswer,
    OnceRecord,
    OnceState,
    Outcome,
    Problem,
    ProblemKind,
    RepeatAction,
    RequestPeers,
    RequestProgress,
    choose_repeat_action,
)
from basilhold.requests.once import record_key

__all__ = ["OnceRegistry"]

RECORD_RETRY_DELAY_MS_MAX = 2000
"""Longest delay between attempts to record a result, in milliseconds."""

CLEANUP_TASKS_MAX = 1000
"""Maximum number of concurrent cleanups of records whose write was not confirmed."""

DEADLINE_MARGIN_MS = 50
"""Time before a deadline that is kept for reading a record and sending the answer,
in milliseconds."""


class _ClaimState:
    """Progress of a claim, shared with the code that handles its timeout.

    `other_record_seen` tells whether a record of another submission with the same key
    was found. From then on, a timeout must not be reported as ``not-run``.
    """

    __slots__ = ("other_record_seen",)

    def __init__(self):
        self.other_record_seen = False


class _LocalRequest:
    """A keyed request that this gateway is processing.

    `done` is set when the processing ends; `progress` is its result from then on.
    """

    __slots__ = ("done", "progress")

    def __init__(self):
        self.done = asyncio.Event()
        self.progress = RequestProgress.RUNNING


class OnceRegistry:
    """Claims the right to run keyed requests and records their answers.

    A request is claimed by creating a row in the table service before it is sent, so
    that of several submissions with the same key at most one runs. Use as an
    asynchronous context manager.

    Parameters
    ----------
    process_id : ProcessId
        This gateway; other gateways ask it about the requests that it has claimed.
    clock : Clock
    table : TableService
        Stores the records.
    objects : ObjectStore
        Stores answers that are too large for a record.
    peers : RequestPeers
        Other gateways.
    rng : random.Random
    counters : RequestCounters
    limits : OnceLimits, optional

    Attributes
    ----------
    record_count_estimate : int
        Estimated number of records of the whole cell.
    """

    def __init__(
        self,
        process_id: ProcessId,
        clock: Clock,
        table: TableService,
        objects: ObjectStore,
        peers: RequestPeers,
        rng: random.Random,
        counters: RequestCounters,
        limits: OnceLimits | None = None,
    ):
        self._process_id = process_id
        self._clock = clock
        self._table = table
        self.objects = objects
        self._peers = peers
        self._rng = rng
        self._counters = counters
        self._limits = limits or OnceLimits()
        self._writer = OnceWriter(table, counters)
        self._local_requests: dict[RequestKey, _LocalRequest] = {}
        self._record_tasks: set[asyncio.Task[None]] = set()
        self._cleanup_tasks: set[asyncio.Task[None]] = set()
        self._unrecorded_count = 0
        self._unrecorded_bytes = 0
        self._cleanup_task_count = 0
        self.record_count_estimate = 0

    async def __aenter__(self) -> Self:
        await self._writer.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = self._record_tasks | self._cleanup_tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._writer.__aexit__(*exc_info)

    @property
    def unrecorded_count(self) -> int:
        """Number of results that are not recorded yet."""
        return self._unrecorded_count

    async def wait_recorded(self) -> None:
        """Wait until every result is recorded or discarded."""
        while self._record_tasks:
            await asyncio.wait(set(self._record_tasks))

    async def wait_for_progress(self, key: RequestKey, wait_ms: int) -> RequestProgress:
        """Wait until a request of this gateway ends and return its progress.

        Parameters
        ----------
        key : RequestKey
        wait_ms : int
            Maximum time to wait, in milliseconds.

        Returns
        -------
        RequestProgress
            ``RUNNING`` if the time has passed, ``NOT_HELD`` if this gateway is not
            processing the request.
        """
        local_request = self._local_requests.get(key)
        if local_request is None:
            return RequestProgress.NOT_HELD
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await local_request.done.wait()
        except TimeoutError:
            return RequestProgress.RUNNING
        return local_request.progress

    async def claim(
        self, key: RequestKey, fingerprint: str, deadline_ms: float
    ) -> ClaimResult:
        """Claim the right to run a request, or return the answer to a repeat.

        Parameters
        ----------
        key : RequestKey
        fingerprint : str
            Digest of the request; a repeat must have the same.
        deadline_ms : float
            The caller's deadline on the event loop's clock, in milliseconds.

        Returns
        -------
        OnceClaim, Replay or Problem
            A claim if the caller of this method is to run the request, a replay if
            the request has finished, or else the reason for neither.
        """
        if self.record_count_estimate >= self._limits.records_max:
            # Repeats of requests that are already recorded are still answered.
            earlier = await self.look_up(key, fingerprint, deadline_ms)
            if earlier is not None:
                return earlier
            return not_run_problem(
                ProblemKind.TOO_MANY_RECORDS, "too many keyed requests are recorded"
            )
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        state = _ClaimState()
        try:
            async with asyncio.timeout(
                max(0.0, remaining_ms - DEADLINE_MARGIN_MS) / 1000
            ):
                return await self._claim(key, fingerprint, deadline_ms, state)
        except TimeoutError:
            if state.other_record_seen:
                return unknown_problem("the request's record could not be read in time")
            return store_unavailable_problem()

    async def look_up(
        self, key: RequestKey, fingerprint: str, deadline_ms: float
    ) -> Replay | Problem | None:
        """Return the answer to a repeat, or ``None`` if the request has no record.

        The parameters are those of `claim`; nothing is written.
        """
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(
                max(0.0, remaining_ms - DEADLINE_MARGIN_MS) / 1000
            ):
                read = await self._table.read((record_key(key),))
                if read.is_error():
                    return store_unavailable_problem()
                row = read.ok.get(record_key(key))
                if row is None:
                    return None
                return await self._resolve_repeat(key, row, fingerprint, deadline_ms)
        except TimeoutError:
            return unknown_problem("the request's record could not be read in time")

    async def _claim(
        self,
        key: RequestKey,
        fingerprint: str,
        deadline_ms: float,
        state: "_ClaimState",
    ) -> ClaimResult:
        while True:
            if key in self._local_requests:
                state.other_record_seen = True
                problem = await self._wait_for_holder(
                    self._process_id, key, deadline_ms
                )
                if problem is not None:
                    return problem
                read = await self._table.read((record_key(key),))
                if read.is_error():
                    return unknown_problem("the request's record can't be read")
                row = read.ok.get(record_key(key))
            else:
                created = await self._create_record(key, fingerprint, deadline_ms)
                if created.is_ok():
                    return created.ok
                if created.error.kind is WriteErrorKind.CONFLICT_UNREAD:
                    return unknown_problem("the request's record can't be read")
                if created.error.kind is not WriteErrorKind.CONFLICT:
                    return store_unavailable_problem()
                row = created.error.row
            state.other_record_seen = row is not None
            if row is None:
                continue
            result = await self._resolve_repeat(key, row, fingerprint, deadline_ms)
            if result is not None:
                return result

    async def _create_record(
        self, key: RequestKey, fingerprint: str, deadline_ms: float
    ) -> Result[OnceClaim, WriteError]:
        now_unix_ms = self._clock.unix_ms()
        remaining_ms = int(deadline_ms - self._clock.monotonic_ms())
        record = OnceRecord(
            holder=self._process_id,
            write_id=f"{self._rng.getrandbits(64):016x}",
            fingerprint=fingerprint,
            deadline_unix_ms=now_unix_ms + remaining_ms,
            expires_unix_ms=now_unix_ms + self._limits.retention_ms,
        )
        self._local_requests[key] = _LocalRequest()
        created = False
        try:
            value = msgspec.json.encode(record)
            written = await self._writer.write(record_key(key), ABSENT, value)
            if written.is_ok():
                created = True
                self.record_count_estimate += 1
                return Ok(OnceClaim(key, written.ok, record))
            if written.error.kind in (
                WriteErrorKind.UNKNOWN,
                WriteErrorKind.CONFLICT_UNREAD,
            ):
                self._start_cleanup(key, record)
            return Error(written.error)
        except asyncio.CancelledError:
            self._start_cleanup(key, record)
            raise
        finally:
            if not created:
                self._finish_local(key, RequestProgress.NOT_HELD)

    async def _resolve_repeat(
        self, key: RequestKey, row: Row, fingerprint: str, deadline_ms: float
    ) -> ClaimResult | None:
        record = decode_json(row.value, OnceRecord)
        action = choose_repeat_action(record, fingerprint, self._clock.unix_ms())
        if action is RepeatAction.REJECT_REUSE:
            return not_run_problem(
                ProblemKind.KEY_REUSED,
                "the idempotency key was used for a different request",
            )
        if action is RepeatAction.REPLAY:
            return Replay(key, record.write_id, record.answer)
        if action is RepeatAction.REPORT_NOT_KEPT:
            return Problem(
                ProblemKind.ANSWER_NOT_KEPT,
                Outcome.RAN,
                "the request has run, but its answer could not be kept",
            )
        if action is RepeatAction.REPORT_UNKNOWN:
            return unknown_problem("the request was not confirmed before its deadline")
        return await self._resolve_running(key, record, fingerprint, deadline_ms)

    async def _resolve_running(
        self,
        key: RequestKey,
        record: OnceRecord,
        fingerprint: str,
        deadline_ms: float,
    ) -> ClaimResult | None:
        problem = await self._wait_for_holder(record.holder, key, deadline_ms)
        if problem is not None:
            return problem
        read = await self._table.read((record_key(key),))
        if read.is_error():
            return unknown_problem("the request's record can't be read")
        row = read.ok.get(record_key(key))
        if row is None:
            return None
        latest = decode_json(row.value, OnceRecord)
        if latest.write_id == record.write_id and latest.state is OnceState.RUNNING:
            return unknown_problem("the gateway that held the request does not know it")
        return await self._resolve_repeat(key, row, fingerprint, deadline_ms)

    async def _wait_for_holder(
        self, holder: ProcessId, key: RequestKey, deadline_ms: float
    ) -> Problem | None:
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        wait_ms = max(0, int(remaining_ms - 2 * DEADLINE_MARGIN_MS))
        if holder == self._process_id:
            progress = await self.wait_for_progress(key, wait_ms)
        else:
            reply = await self._peers.ask(holder, key, wait_ms)
            if reply.is_error():
                return unknown_problem(
                    "the gateway that holds the request can't be reached"
                )
            progress = reply.ok
        if progress is RequestProgress.RUNNING:
            return Problem(
                ProblemKind.STILL_RUNNING,
                Outcome.UNKNOWN,
                "a request with the same idempotency key is still running",
                retry_after_s=1,
            )
        return None

    def record_answer(self, claim: OnceClaim, answer: OnceAnswer) -> None:
        """Record the complete answer of a request, in the background.

        The write is retried until it succeeds. The answer is discarded, with a log
        event, if the limits of `OnceLimits` are reached or the record has changed.
        """
        record = msgspec.structs.replace(
            claim.record, state=OnceState.FINISHED, answer=answer
        )
        size = len(answer.body)
        full = (
            self._unrecorded_count >= self._limits.unrecorded_max
            or self._unrecorded_bytes + size > self._limits.unrecorded_bytes_max
        )
        if full:
            self._drop_result(claim, "too many results are waiting for the store")
            return
        self._unrecorded_count += 1
        self._unrecorded_bytes += size
        self._spawn(self._record_result(claim, record, size))

    def release_not_run(self, claim: OnceClaim) -> None:
        """Remove the record of a request that was certainly not sent.

        It is removed in the background; a repeat can then run.
        """
        self._spawn(self._remove_record(claim))

    def release_unknown(self, claim: OnceClaim) -> None:
        """Stop processing a request whose outcome is unknown.

        Its record stays, so that a repeat does not run it again.
        """
        self._finish_local(claim.key, RequestProgress.NOT_HELD)

    async def _record_result(
        self, claim: OnceClaim, record: OnceRecord, size: int
    ) -> None:
        value = msgspec.json.encode(record)
        delay_ms = 50.0
        try:
            while True:
                written = await self._writer.write(
                    record_key(claim.key), claim.version, value
                )
                if written.is_ok():
                    self._finish_local(claim.key, RequestProgress.FINISHED)
                    return
                if written.error.kind is WriteErrorKind.CONFLICT:
                    self._drop_result(claim, "the record was modified or removed")
                    return
                await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)
                delay_ms = min(delay_ms * 2, RECORD_RETRY_DELAY_MS_MAX)
        finally:
            self._unrecorded_count -= 1
            self._unrecorded_bytes -= size

    async def _remove_record(self, claim: OnceClaim) -> None:
        written = await self._writer.write(record_key(claim.key), claim.version, None)
        if written.is_ok():
            self.record_count_estimate -= 1
        self._finish_local(claim.key, RequestProgress.NOT_HELD)

    async def remove_expired(self, row: Row) -> bool:
        """Remove an expired record in the next batch; return whether it was removed."""
        return (await self._writer.write(row.key, row.version, None)).is_ok()

    def _start_cleanup(self, key: RequestKey, record: OnceRecord) -> None:
        if self._cleanup_task_count < CLEANUP_TASKS_MAX:
            self._cleanup_task_count += 1
            self._spawn(self._clean_up(key, record), self._cleanup_tasks)

    async def _clean_up(self, key: RequestKey, record: OnceRecord) -> None:
        """Remove a record whose write was not confirmed and whose request was not sent.

        Attempts end 60 s after the deadline of the request.
        """
        try:
            delay_ms = 100.0
            while self._clock.unix_ms() < record.deadline_unix_ms + 60_000:
                await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)
                delay_ms = min(delay_ms * 2, 10_000.0)
                read = await self._table.read((record_key(key),))
                if read.is_error():
                    continue
                row = read.ok.get(record_key(key))
                if row is None or row.value != msgspec.json.encode(record):
                    return
                written = await self._writer.write(row.key, row.version, None)
                if written.is_ok():
                    return
        finally:
            self._cleanup_task_count -= 1

    def _drop_result(self, claim: OnceClaim, reason: str) -> None:
        self._counters.counts[Count.RESULTS_NOT_RECORDED] += 1
        log_event(RESULT_NOT_RECORDED, reason=reason)
        self._finish_local(claim.key, RequestProgress.NOT_HELD)

    def _finish_local(self, key: RequestKey, progress: RequestProgress) -> None:
        local_request = self._local_requests.pop(key, None)
        if local_request is not None:
            local_request.progress = progress
            local_request.done.set()

    def _spawn(
        self,
        coroutine: Coroutine[None, None, None],
        tasks: set[asyncio.Task[None]] | None = None,
    ) -> None:
        tasks = self._record_tasks if tasks is None else tasks
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
