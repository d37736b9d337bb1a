"""Passes answers from upstreams to callers, and keeps those of keyed requests."""

from abc import abstractmethod

from basilhold.core import RequestKey
from basilhold.gateway.counters import Count, RequestCounters
from basilhold.gateway.events import ANSWER_NOT_KEPT
from basilhold.observability import log_event
from basilhold.ports import ObjectStore, ResponseHead, ResponseSink
from basilhold.requests import OnceAnswer, Outcome
from basilhold.requests.once import INLINE_ANSWER_BYTES_MAX, chunk_name

__all__ = ["LEAVING_HEADER", "AnswerRecorder", "AttemptSink", "CallerSink"]

LEAVING_HEADER = "basilhold-leaving"
"""Header of an answer by which an upstream says that it is leaving."""

HOLD_BYTES_MAX = 64 << 10
"""An answer up to this size is passed on only once it is whole.

A cut answer of this size can still be replaced by a retry or a problem document.
"""

CHUNK_BYTES = 128 << 10
"""With all 160 slots of 20 upstreams in use by one gateway, parts of this size take
20 MB, which is what a daemon has for its state."""

CHUNKS_MAX = 2048

RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class CallerSink(ResponseSink):
    """The caller's side of one request."""

    @abstractmethod
    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        """Set what the answer reports; called before `start`."""


class AnswerRecorder:
    """Keeps the answer of a keyed request for its repeats.

    Parameters
    ----------
    objects : ObjectStore
    key : RequestKey
    write_id : str
    counters : RequestCounters
    """

    def __init__(
        self,
        objects: ObjectStore,
        key: RequestKey,
        write_id: str,
        counters: RequestCounters,
    ):
        self._objects = objects
        self._key = key
        self._write_id = write_id
        self._counters = counters
        self._buffer = bytearray()
        self._length = 0
        self._chunk_count = 0
        self._kept = True

    async def write(self, data: bytes) -> None:
        """Add part of the body."""
        self._length += len(data)
        if not self._kept:
            return
        self._buffer += data
        while self._kept and len(self._buffer) >= CHUNK_BYTES:
            await self._put(bytes(self._buffer[:CHUNK_BYTES]))
            del self._buffer[:CHUNK_BYTES]

    async def end(self, head: ResponseHead) -> OnceAnswer:
        """Return the answer after its last part."""
        if self._chunk_count == 0 and len(self._buffer) <= INLINE_ANSWER_BYTES_MAX:
            return OnceAnswer(
                head.status, head.headers, bytes(self._buffer), self._length
            )
        if self._kept and self._buffer:
            await self._put(bytes(self._buffer))
        return OnceAnswer(
            head.status,
            head.headers,
            length_bytes=self._length,
            chunk_count=self._chunk_count,
            kept=self._kept,
        )

    async def _put(self, data: bytes) -> None:
        if self._chunk_count >= CHUNKS_MAX:
            self._give_up("the answer is too large")
            return
        name = chunk_name(self._key, self._write_id, self._chunk_count)
        put = await self._objects.put(name, data)
        if put.is_error():
            self._give_up(put.error.reason)
        else:
            self._chunk_count += 1

    def _give_up(self, reason: str) -> None:
        self._kept = False
        self._buffer.clear()
        self._counters.counts[Count.ANSWERS_NOT_KEPT] += 1
        log_event(ANSWER_NOT_KEPT, reason=reason)


class AttemptSink(ResponseSink):
    """Receives the answer of one attempt and passes it on.

    Parameters
    ----------
    caller : CallerSink
    recorder : AnswerRecorder, optional
    """

    def __init__(
        self,
        caller: CallerSink,
        recorder: AnswerRecorder | None = None,
    ):
        self._caller = caller
        self._recorder = recorder
        self._held = bytearray()
        self.head: ResponseHead | None = None
        self.forwarding_started = False
        self.size_bytes = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has said that it is leaving."""
        return self.head is not None and any(
            name.lower() == LEAVING_HEADER for name, _ in self.head.headers
        )

    @property
    def is_server_error(self) -> bool:
        """Whether the upstream has failed the request."""
        return self.head is not None and self.head.status in RETRYABLE_STATUSES

    async def start(self, head: ResponseHead) -> None:
        """Receive status and headers."""
        self.head = head

    async def write(self, data: bytes) -> None:
        """Receive part of the body."""
        self.size_bytes += len(data)
        if self._recorder is not None:
            await self._recorder.write(data)
        if self.forwarding_started:
            await self._caller.write(data)
            return
        self._held += data
        if len(self._held) > HOLD_BYTES_MAX:
            await self._pass_on()

    async def complete(self) -> None:
        """Pass on what is left of a whole answer."""
        if not self.forwarding_started:
            await self._pass_on()

    async def record(self) -> OnceAnswer | None:
        """Return what is to be recorded of a whole answer, if anything is."""
        if self._recorder is None or self.head is None:
            return None
        return await self._recorder.end(self.head)

    async def _pass_on(self) -> None:
        self.forwarding_started = True
        self._caller.set_outcome(Outcome.RAN, replayed=False)
        await self._caller.start(self.head)
        if self._held:
            await self._caller.write(bytes(self._held))
            self._held.clear()
