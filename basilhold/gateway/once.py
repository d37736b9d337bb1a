"""Runs keyed requests at most once and answers their repeats."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Self

import msgspec
from expression import Error, Ok, Result

from basilhold.core import Clock, ProcessId, RequestKey
from basilhold.gateway.counters import Count, RequestCounters
from basilhold.gateway.events import RESULT_NOT_RECORDED
from basilhold.gateway.once_results import (
    OnceLimits,
    OnceOpening,
    OnceTicket,
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

__all__ = ["OnceKeeper"]

FINISH_DELAY_MS_MAX = 2000
CLEANUP_MAX = 1000
ASK_MARGIN_MS = 50
"""Part of a repeat's time that is left for reading the result and answering."""


class _Sighting:
    """Whether a record of another submission with the same key was seen.

    From then on, a timeout must not be reported as ``not-run``.
    """

    __slots__ = ("other_seen",)

    def __init__(self):
        self.other_seen = False


class _Held:
    __slots__ = ("done", "progress")

    def __init__(self):
        self.done = asyncio.Event()
        self.progress = RequestProgress.RUNNING


class OnceKeeper:
    """At-most-once records of one gateway.

    Parameters
    ----------
    process_id : ProcessId
    clock : Clock
    table : TableService
    objects : ObjectStore
    peers : RequestPeers
    rng : random.Random
    counters : RequestCounters
    limits : OnceLimits, optional
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
        self._held: dict[RequestKey, _Held] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._cleanups: set[asyncio.Task[None]] = set()
        self._unrecorded_count = 0
        self._unrecorded_bytes = 0
        self._cleanup_count = 0
        self.records_estimate = 0

    async def __aenter__(self) -> Self:
        await self._writer.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = self._tasks | self._cleanups
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._writer.__aexit__(*exc_info)

    @property
    def unrecorded_count(self) -> int:
        """Number of results that wait to be recorded."""
        return self._unrecorded_count

    async def settle(self) -> None:
        """Wait until every result is recorded or dropped."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def ask(self, key: RequestKey, wait_ms: int) -> RequestProgress:
        """Answer another gateway that asks about a request."""
        held = self._held.get(key)
        if held is None:
            return RequestProgress.NOT_HELD
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await held.done.wait()
        except TimeoutError:
            return RequestProgress.RUNNING
        return held.progress

    async def open(
        self, key: RequestKey, fingerprint: str, deadline_ms: float
    ) -> OnceOpening:
        """Write the record of a request, or return what a repeat of it gets.

        Parameters
        ----------
        key : RequestKey
        fingerprint : str
        deadline_ms : float
            The caller's deadline on the loop's clock, in milliseconds.
        """
        if self.records_estimate >= self._limits.records_max:
            # A repeat of a recorded request still gets its result.
            earlier = await self.look_up(key, fingerprint, deadline_ms)
            if earlier is not None:
                return earlier
            return not_run_problem(
                ProblemKind.TOO_MANY_RECORDS, "too many keyed requests are recorded"
            )
        left_ms = deadline_ms - self._clock.monotonic_ms()
        sighting = _Sighting()
        try:
            async with asyncio.timeout(max(0.0, left_ms - ASK_MARGIN_MS) / 1000):
                return await self._open(key, fingerprint, deadline_ms, sighting)
        except TimeoutError:
            if sighting.other_seen:
                return unknown_problem("the request's record could not be read in time")
            return store_unavailable_problem()

    async def look_up(
        self, key: RequestKey, fingerprint: str, deadline_ms: float
    ) -> Replay | Problem | None:
        """Return what a repeat of a request gets, or ``None`` if it has no record."""
        left_ms = deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms - ASK_MARGIN_MS) / 1000):
                read = await self._table.read((record_key(key),))
                if read.is_error():
                    return store_unavailable_problem()
                row = read.ok.get(record_key(key))
                if row is None:
                    return None
                return await self._judge(key, row, fingerprint, deadline_ms)
        except TimeoutError:
            return unknown_problem("the request's record could not be read in time")

    async def _open(
        self,
        key: RequestKey,
        fingerprint: str,
        deadline_ms: float,
        sighting: "_Sighting",
    ) -> OnceOpening:
        while True:
            if key in self._held:
                sighting.other_seen = True
                waited = await self._wait_for_holder(self._process_id, key, deadline_ms)
                if waited is not None:
                    return waited
                read = await self._table.read((record_key(key),))
                if read.is_error():
                    return unknown_problem("the request's record can't be read")
                row = read.ok.get(record_key(key))
            else:
                begun = await self._begin(key, fingerprint, deadline_ms)
                if begun.is_ok():
                    return begun.ok
                if begun.error.kind is WriteErrorKind.CONFLICT_UNREAD:
                    return unknown_problem("the request's record can't be read")
                if begun.error.kind is not WriteErrorKind.CONFLICT:
                    return store_unavailable_problem()
                row = begun.error.row
            sighting.other_seen = row is not None
            if row is None:
                continue
            opening = await self._judge(key, row, fingerprint, deadline_ms)
            if opening is not None:
                return opening

    async def _begin(
        self, key: RequestKey, fingerprint: str, deadline_ms: float
    ) -> Result[OnceTicket, WriteError]:
        now_unix_ms = self._clock.unix_ms()
        left_ms = int(deadline_ms - self._clock.monotonic_ms())
        record = OnceRecord(
            holder=self._process_id,
            write_id=f"{self._rng.getrandbits(64):016x}",
            fingerprint=fingerprint,
            deadline_unix_ms=now_unix_ms + left_ms,
            expires_unix_ms=now_unix_ms + self._limits.keep_ms,
        )
        self._held[key] = _Held()
        begun = False
        try:
            value = msgspec.json.encode(record)
            written = await self._writer.write(record_key(key), ABSENT, value)
            if written.is_ok():
                begun = True
                self.records_estimate += 1
                return Ok(OnceTicket(key, written.ok, record))
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
            if not begun:
                self._end(key, RequestProgress.NOT_HELD)

    async def _judge(
        self, key: RequestKey, row: Row, fingerprint: str, deadline_ms: float
    ) -> OnceOpening | None:
        record = msgspec.json.decode(row.value, type=OnceRecord)
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
        return await self._ask(key, record, fingerprint, deadline_ms)

    async def _ask(
        self,
        key: RequestKey,
        record: OnceRecord,
        fingerprint: str,
        deadline_ms: float,
    ) -> OnceOpening | None:
        waited = await self._wait_for_holder(record.holder, key, deadline_ms)
        if waited is not None:
            return waited
        read = await self._table.read((record_key(key),))
        if read.is_error():
            return unknown_problem("the request's record can't be read")
        row = read.ok.get(record_key(key))
        if row is None:
            return None
        latest = msgspec.json.decode(row.value, type=OnceRecord)
        if latest.write_id == record.write_id and latest.state is OnceState.RUNNING:
            return unknown_problem("the gateway that held the request does not know it")
        return await self._judge(key, row, fingerprint, deadline_ms)

    async def _wait_for_holder(
        self, holder: ProcessId, key: RequestKey, deadline_ms: float
    ) -> Problem | None:
        left_ms = deadline_ms - self._clock.monotonic_ms()
        wait_ms = max(0, int(left_ms - 2 * ASK_MARGIN_MS))
        if holder == self._process_id:
            progress = await self.ask(key, wait_ms)
        else:
            asked = await self._peers.ask(holder, key, wait_ms)
            if asked.is_error():
                return unknown_problem(
                    "the gateway that holds the request can't be reached"
                )
            progress = asked.ok
        if progress is RequestProgress.RUNNING:
            return Problem(
                ProblemKind.STILL_RUNNING,
                Outcome.UNKNOWN,
                "a request with the same idempotency key is still running",
                retry_after_s=1,
            )
        return None

    def finish(self, ticket: OnceTicket, answer: OnceAnswer) -> None:
        """Record the whole answer of a request, in the background."""
        record = msgspec.structs.replace(
            ticket.record, state=OnceState.FINISHED, answer=answer
        )
        size = len(answer.body)
        full = (
            self._unrecorded_count >= self._limits.unrecorded_max
            or self._unrecorded_bytes + size > self._limits.unrecorded_bytes_max
        )
        if full:
            self._drop_result(ticket, "too many results wait for the store")
            return
        self._unrecorded_count += 1
        self._unrecorded_bytes += size
        self._spawn(self._record_result(ticket, record, size))

    def not_run(self, ticket: OnceTicket) -> None:
        """Remove the record of a request that was certainly not sent."""
        self._spawn(self._remove(ticket))

    def unknown(self, ticket: OnceTicket) -> None:
        """Leave the record of a request whose outcome is not known."""
        self._end(ticket.key, RequestProgress.NOT_HELD)

    async def _record_result(
        self, ticket: OnceTicket, record: OnceRecord, size: int
    ) -> None:
        value = msgspec.json.encode(record)
        delay_ms = 50.0
        try:
            while True:
                written = await self._writer.write(
                    record_key(ticket.key), ticket.version, value
                )
                if written.is_ok():
                    self._end(ticket.key, RequestProgress.FINISHED)
                    return
                if written.error.kind is WriteErrorKind.CONFLICT:
                    self._drop_result(ticket, "the record was changed or removed")
                    return
                await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)
                delay_ms = min(delay_ms * 2, FINISH_DELAY_MS_MAX)
        finally:
            self._unrecorded_count -= 1
            self._unrecorded_bytes -= size

    async def _remove(self, ticket: OnceTicket) -> None:
        written = await self._writer.write(record_key(ticket.key), ticket.version, None)
        if written.is_ok():
            self.records_estimate -= 1
        self._end(ticket.key, RequestProgress.NOT_HELD)

    async def remove_expired(self, row: Row) -> bool:
        """Remove an expired record in the next batch; return whether it is gone."""
        return (await self._writer.write(row.key, row.version, None)).is_ok()

    def _start_cleanup(self, key: RequestKey, record: OnceRecord) -> None:
        if self._cleanup_count < CLEANUP_MAX:
            self._cleanup_count += 1
            self._spawn(self._clean_up(key, record), self._cleanups)

    async def _clean_up(self, key: RequestKey, record: OnceRecord) -> None:
        """Remove a record that was perhaps written and certainly not used."""
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
            self._cleanup_count -= 1

    def _drop_result(self, ticket: OnceTicket, reason: str) -> None:
        self._counters.counts[Count.RESULTS_NOT_RECORDED] += 1
        log_event(RESULT_NOT_RECORDED, reason=reason)
        self._end(ticket.key, RequestProgress.NOT_HELD)

    def _end(self, key: RequestKey, progress: RequestProgress) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            held.progress = progress
            held.done.set()

    def _spawn(
        self,
        coroutine: Coroutine[None, None, None],
        tasks: set[asyncio.Task[None]] | None = None,
    ) -> None:
        tasks = self._tasks if tasks is None else tasks
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
