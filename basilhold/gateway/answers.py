"""Forwarding of answers from upstreams to callers, and storage of keyed answers."""

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
"""Header of an answer with which an upstream announces that it will stop."""

BUFFERED_ANSWER_BYTES_MAX = 64 << 10
"""Size up to which an answer is forwarded only once it is complete, in bytes.

If such an answer is truncated, it can still be replaced by the answer to a retry or by
a problem document.
"""

CHUNK_BYTES = 128 << 10
"""Size of the objects that store an answer, in bytes.

If one gateway uses all 160 slots of 20 upstreams, buffers of this size take 20 MB,
which is the memory budget of a daemon for its state.
"""

CHUNKS_MAX = 2048
"""Maximum number of objects of an answer; larger answers are not stored."""

RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class CallerSink(ResponseSink):
    """Receives the answer to one request on behalf of its caller."""

    @abstractmethod
    def set_outcome(self, outcome: Outcome, replayed: bool) -> None:
        """Set the outcome that the answer reports.

        Called before `start`.

        Parameters
        ----------
        outcome : Outcome
        replayed : bool
            Whether the answer is the stored one of an earlier submission.
        """


class AnswerRecorder:
    """Stores the answer of a keyed request for its repeats.

    Small answers are returned by `end` for the request's record; larger ones are
    written to the object store in chunks.

    Parameters
    ----------
    objects : ObjectStore
    key : RequestKey
    write_id : str
        Identifies the submission; part of the names of the objects.
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
        """Add a part of the body; writes full chunks to the object store."""
        self._length += len(data)
        if not self._kept:
            return
        self._buffer += data
        while self._kept and len(self._buffer) >= CHUNK_BYTES:
            await self._put(bytes(self._buffer[:CHUNK_BYTES]))
            del self._buffer[:CHUNK_BYTES]

    async def end(self, head: ResponseHead) -> OnceAnswer:
        """Return the answer for the record, after the last part of the body.

        Its `kept` is false if the body could not be stored.
        """
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
            self._discard("the answer exceeds the size limit for stored answers")
            return
        name = chunk_name(self._key, self._write_id, self._chunk_count)
        put = await self._objects.put(name, data)
        if put.is_error():
            self._discard(put.error.reason)
        else:
            self._chunk_count += 1

    def _discard(self, reason: str) -> None:
        self._kept = False
        self._buffer.clear()
        self._counters.counts[Count.ANSWERS_NOT_KEPT] += 1
        log_event(ANSWER_NOT_KEPT, reason=reason)


class AttemptSink(ResponseSink):
    """Receives the answer of one attempt and forwards it to the caller.

    Parameters
    ----------
    caller : CallerSink
    recorder : AnswerRecorder, optional
        Stores the answer as well; absent for requests without a key.

    Attributes
    ----------
    head : ResponseHead or None
        Status and headers, once they have arrived.
    forwarding_started : bool
        Whether the caller may have received part of the answer, so that it can no
        longer be replaced.
    size_bytes : int
        Size of the body received so far.
    """

    def __init__(
        self,
        caller: CallerSink,
        recorder: AnswerRecorder | None = None,
    ):
        self._caller = caller
        self._recorder = recorder
        self._buffer = bytearray()
        self.head: ResponseHead | None = None
        self.forwarding_started = False
        self.size_bytes = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has announced in this answer that it will stop."""
        return self.head is not None and any(
            name.lower() == LEAVING_HEADER for name, _ in self.head.headers
        )

    @property
    def is_server_error(self) -> bool:
        """Whether the status is a server error after which a retry may succeed."""
        return self.head is not None and self.head.status in RETRYABLE_STATUSES

    async def start(self, head: ResponseHead) -> None:
        """Receive the status and headers."""
        self.head = head

    async def write(self, data: bytes) -> None:
        """Receive a part of the body."""
        self.size_bytes += len(data)
        if self._recorder is not None:
            await self._recorder.write(data)
        if self.forwarding_started:
            await self._caller.write(data)
            return
        self._buffer += data
        if len(self._buffer) > BUFFERED_ANSWER_BYTES_MAX:
            await self._start_forwarding()

    async def complete(self) -> None:
        """Forward the rest of an answer that has arrived completely."""
        if not self.forwarding_started:
            await self._start_forwarding()

    async def record(self) -> OnceAnswer | None:
        """Return the record of a complete answer; ``None`` without a recorder."""
        if self._recorder is None or self.head is None:
            return None
        return await self._recorder.end(self.head)

    async def _start_forwarding(self) -> None:
        self.forwarding_started = True
        self._caller.set_outcome(Outcome.RAN, replayed=False)
        await self._caller.start(self.head)
        if self._buffer:
            await self._caller.write(bytes(self._buffer))
            self._buffer.clear()
