"""Stream from a relay or a process to the relay above it."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from basilhold.core import Clock
from basilhold.relay.receiver import Reception, UpdateReceiver
from basilhold.relay.reports import Reporter
from basilhold.relay.state import RelayState
from basilhold.rpc import (
    CALL_ERRORS,
    Address,
    RpcError,
    RpcErrorKind,
    Transport,
    rpc_error_from,
)
from basilhold.rpc.messages_grpc import RelayStub

__all__ = ["WatchLink"]

CONNECT_TIMEOUT_S = 1.0
"""Bound of one attempt; a cut link swallows packets instead of refusing them."""

SILENCE_S = 2.5
"""Silence after which a relay of the same region is taken for dead.

Heartbeats come every second, so this is two missed ones and a half.
"""

PAID_SILENCE_S = 3.2
"""Silence after which the stream to another region is opened anew.

Heartbeats come at most 2.5 s apart. A longer wait would not leave time to find the
next reader and get a change within 4 s of its acceptance.
"""


class WatchLink:
    """Runs one stream at a time and applies what arrives.

    Parameters
    ----------
    transport : Transport
    state : RelayState
    clock : Clock
    on_update : callable
        Called after each applied update.
    """

    def __init__(
        self,
        transport: Transport,
        state: RelayState,
        clock: Clock,
        on_update: Callable[[], None],
    ):
        self._transport = transport
        self._state = state
        self._clock = clock
        self._on_update = on_update
        self._news = asyncio.Event()
        self.address: Address | None = None
        self.update_count = 0

    def notify(self) -> None:
        """Look again whether there is something to report."""
        self._news.set()

    async def run(
        self,
        address: Address,
        reporter: Reporter,
        same_region: bool,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> RpcError | None:
        """Follow a relay until the stream ends or is no longer wanted.

        Parameters
        ----------
        address : Address
        reporter : Reporter
            Made for this stream.
        same_region : bool
        is_wanted : callable
            Asked after each update.

        Returns
        -------
        RpcError or None
            Why the stream ended; None if it was no longer wanted.
        """
        self.update_count = 0
        stub = RelayStub(self._transport.channel(address))
        try:
            async with stub.Watch.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                    first = reporter.first_request(self._clock.monotonic_ms())
                    await stream.send_message(first)
                self.address = address
                return await self._exchange(stream, reporter, same_region, is_wanted)
        except CALL_ERRORS as error:
            if isinstance(error, TimeoutError):
                self._transport.close_channel(address)
            return rpc_error_from(error)
        finally:
            self.address = None

    async def _exchange(
        self, stream: Any, reporter: Reporter, same_region: bool, is_wanted
    ) -> RpcError | None:
        report = asyncio.ensure_future(self._report(stream, reporter))
        silence_s = SILENCE_S if same_region else PAID_SILENCE_S
        receiver = UpdateReceiver(self._state, self._clock)
        try:
            while is_wanted():
                async with asyncio.timeout(silence_s):
                    update = await stream.recv_message()
                if update is None:
                    return RpcError(RpcErrorKind.BROKEN, "relay ended the stream")
                reception = receiver.receive(update)
                if reception is Reception.BROKEN:
                    return RpcError(RpcErrorKind.BROKEN, "update cannot be applied")
                if reception is Reception.APPLIED:
                    self.update_count += 1
                    reporter.note_update(update)
                    self._on_update()
                    self._news.set()
            return None
        finally:
            report.cancel()
            # Unlike awaiting the task itself, this does not swallow a cancellation of
            # the link that arrives meanwhile.
            await asyncio.gather(report, return_exceptions=True)

    async def _report(self, stream: Any, reporter: Reporter) -> None:
        while True:
            now_ms = self._clock.monotonic_ms()
            request = reporter.next_request(now_ms)
            if request is not None:
                await stream.send_message(request)
                continue
            # Waits at least a little, so that a due time that has just passed does
            # not make this loop spin.
            wait_s = max(0.01, (reporter.next_due_ms() - now_ms) / 1000)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._news.wait()
            self._news.clear()
