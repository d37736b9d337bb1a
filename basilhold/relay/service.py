"""Service through which a relay is watched."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from basilhold.core import Clock, OfficeName, RegionName
from basilhold.relay.acknowledgements import AckBoard
from basilhold.relay.receiver import take_document
from basilhold.relay.sender import Subscriber
from basilhold.relay.state import RelayState
from basilhold.rpc.messages_grpc import RelayBase
from basilhold.rpc.messages_pb2 import (
    ChangeMessage,
    ChangeReply,
    Document,
    InForceReply,
    PushReply,
    WatchRequest,
)

__all__ = ["UpperRegion", "RelayService"]

SUBSCRIBERS_MAX = 500
"""Streams that one relay serves."""


class UpperRegion(ABC):
    """Answers what only the store's region knows or does."""

    @abstractmethod
    async def ask_in_force(self, office: OfficeName, version: int) -> InForceReply:
        """Return whether a version is in force everywhere, and who lacks it."""

    @abstractmethod
    async def submit_change(self, message: ChangeMessage) -> ChangeReply:
        """Apply a change in the store's region."""


class RelayService(RelayBase):
    """Sends what a relay knows to everybody who watches it.

    Parameters
    ----------
    region : RegionName
        Region of the relay.
    state : RelayState
    board : AckBoard
    clock : Clock
    upper : UpperRegion
    on_change : callable
        Called after a watcher pushed a document or acknowledged one.
    """

    def __init__(
        self,
        region: RegionName,
        state: RelayState,
        board: AckBoard,
        clock: Clock,
        upper: UpperRegion,
        on_change,
    ):
        self._region = region
        self._state = state
        self._board = board
        self._clock = clock
        self._upper = upper
        self._on_change = on_change
        # A dict keeps the order, so that runs on a virtual clock repeat.
        self._wakers: dict[asyncio.Event, None] = {}

    @property
    def subscriber_count(self) -> int:
        """Number of open streams."""
        return len(self._wakers)

    def notify(self) -> None:
        """Look at every stream whether something is to be sent."""
        for waker in self._wakers:
            waker.set()

    async def Watch(self, stream: Any) -> None:  # noqa: N802
        """Serve one stream."""
        if len(self._wakers) >= SUBSCRIBERS_MAX:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many streams")
        first = await stream.recv_message()
        if first is None:
            return
        subscriber = Subscriber(first, first.region == self._region)
        waker = asyncio.Event()
        self._wakers[waker] = None
        self._take_request(first, subscriber, stream)
        tasks = [
            asyncio.ensure_future(self._read(stream, subscriber)),
            asyncio.ensure_future(self._write(stream, subscriber, waker)),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            self._wakers.pop(waker, None)
            self._board.end_stream(first.process_id, stream, self._clock.monotonic_ms())
            await _stop(tasks)

    async def PushDocument(self, stream: Any) -> None:  # noqa: N802
        """Take over a document that was accepted by a gateway."""
        message: Document | None = await stream.recv_message()
        if message is None:
            return
        if not take_document(self._state, message):
            raise GRPCError(Status.FAILED_PRECONDITION, "document cannot be read")
        self._on_change()
        await stream.send_message(PushReply())

    async def AskInForce(self, stream: Any) -> None:  # noqa: N802
        """Tell where a version is in force."""
        request = await stream.recv_message()
        if request is None:
            return
        office = OfficeName(request.office)
        await stream.send_message(
            await self._upper.ask_in_force(office, request.version)
        )

    async def SubmitChange(self, stream: Any) -> None:  # noqa: N802
        """Pass a change on to the store's region."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await self._upper.submit_change(message))

    async def _read(self, stream: Any, subscriber: Subscriber) -> None:
        while (request := await stream.recv_message()) is not None:
            self._take_request(request, subscriber, stream)

    def _take_request(
        self, request: WatchRequest, subscriber: Subscriber, stream: Any
    ) -> None:
        self._board.record(request, stream, self._clock.monotonic_ms())
        subscriber.note_request(request)
        for document in request.pushed:
            # A document that cannot be read is fetched from the store instead.
            take_document(self._state, document)
        self._on_change()

    async def _write(
        self, stream: Any, subscriber: Subscriber, waker: asyncio.Event
    ) -> None:
        while True:
            now_ms = self._clock.monotonic_ms()
            update = subscriber.next_update(self._state, now_ms, self._clock.unix_ms())
            if update is not None:
                await stream.send_message(update)
                continue
            wait_s = max(0.01, (subscriber.next_due_ms(now_ms) - now_ms) / 1000)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await waker.wait()
            waker.clear()


async def _stop(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
