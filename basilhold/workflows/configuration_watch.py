"""Follows the configuration document in the store, or a peer that does.

A version that was applied is never replaced by an older one. Each reply of the store
reflects the store's state after the request was sent, whichever peer relayed it, so the
time of the last answered request bounds the age of the configuration in force. A peer
that is followed passes this time on with its version. Callers are answered by a version
only while its age is within a bound: a process that hears nothing cannot know whether a
key has been withdrawn.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from expression import Ok, Result

from basilhold.observability import Metrics, MetricSource, log_event, metric
from basilhold.ports import ChangeFeed, Row, ScanPage, StoreError, TableService
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.configuration_copy import decode_copy, encode_copy
from basilhold.workflows.configuration_relay import SKIP_STALLED_MS, RelayChooser
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.peers import (
    ConfigurationReply,
    ConfigurationRequest,
    PeerClient,
)
from basilhold.workflows.routes import QueueTable

__all__ = ["ConfigurationSource", "ConfigurationWatch"]

POLL_WAIT_RATIO = 0.15
PEER_WAIT_RATIO = 0.3
LATE_RATIO = 0.7
"""Durations of a long poll of the store and of a peer, and the age from which on the
store is asked besides them, relative to the time for which the configuration is used.
While nothing changes, the age reaches the duration of two polls of the store. A peer
replies when its own poll ends, which takes longer if it receives a large document."""

STORE_READERS = 3
READ_PEERS = 3
READ_WAIT_MS = 100
READ_TIMEOUT_MS = 200.0
READ_DELAY_RATIO = 0.3
"""A late process asks `READ_PEERS` peers every `READ_WAIT_MS`, and the store too: after
the first replies if it ranks among the first `STORE_READERS`, and otherwise after a
share of the time for which the configuration is used. The first ones receive a new
document sooner if they alone read it, and hand it on."""

PEER_WAIT_MAX_MS = 5_000
"""Longest wait that a peer is granted."""

RETRY_DELAY_MS = 200
CHECK_INTERVAL_MS = 250

READ_WAIT_MAX_MS = 1_000.0
"""How long a caller waits for the configuration to be confirmed."""


class ConfigurationSource(ABC):
    """Gives the version of the configuration by which to answer a caller."""

    @abstractmethod
    async def current(self) -> QueueTable | None:
        """Return the version in force, or ``None`` if it cannot be confirmed."""

    @abstractmethod
    def age_ms(self) -> float:
        """Return the time since the version was confirmed, in milliseconds."""


class ConfigurationWatch(ConfigurationSource, MetricSource):
    """Reads the configuration document and each of its changes.

    Parameters
    ----------
    table : TableService
    feed : ChangeFeed
    clock : SuspendAwareClock
        Measures the age of the configuration.
    prefix, key : str
        Prefix of the rows to watch, and key of the row that holds the document.
    decode : callable
        Decodes the document; raises `msgspec.DecodeError` if it is invalid.
    usable_ms : float
        Time since its last confirmation for which the configuration is used, in
        milliseconds.
    peers : PeerClient, optional
    chooser : RelayChooser, optional
        Chooses among the peers; without it, only the store is followed.
    """

    def __init__(
        self,
        table: TableService,
        feed: ChangeFeed,
        clock: SuspendAwareClock,
        prefix: str,
        key: str,
        decode: Callable[[bytes], QueueTable],
        usable_ms: float,
        peers: PeerClient | None = None,
        chooser: RelayChooser | None = None,
    ):
        self._table = table
        self._feed = feed
        self._clock = clock
        self._prefix = prefix
        self._key = key
        self._decode = decode
        self._usable_ms = usable_ms
        self._peers = peers
        self._chooser = chooser
        self._source = ""
        self._newest: QueueTable | None = None
        self._started_ms = -1e9
        self._confirmed_ms = -1e9
        self._store_version = -1
        self._confirmed_event = asyncio.Event()
        self._copy: tuple[int, bytes] = (0, b"")
        self._reading: asyncio.Task[bool] | None = None
        self._polling: asyncio.Task[bool] | None = None
        self._read_failed = False
        self._rejecting = False
        self._confirmed_version = 0
        self._tasks = BackgroundTasks()

    @property
    def newest(self) -> QueueTable | None:
        """The newest valid version, or ``None`` before the first one is read."""
        return self._newest

    def collect(self, metrics: Metrics) -> None:
        """Set the age of the configuration."""
        age_s = self.age_ms() / 1000
        metrics.set(metric("basilhold_configuration_age_seconds"), age_s)

    def age_ms(self) -> float:
        """Return the time since the last answered poll was sent, in milliseconds."""
        return self._clock.now_ms() - self._confirmed_ms

    def is_confirmed(self) -> bool:
        """Return whether callers may be answered by the newest version."""
        return self.age_ms() <= self._usable_ms

    async def current(self) -> QueueTable | None:
        """Return the version in force, or ``None`` if it cannot be confirmed.

        A caller waits for a read after a pause of the process, but not during an outage
        in which reads have failed already.
        """
        if self._newest is None or self.is_confirmed():
            return self._newest
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_WAIT_MAX_MS / 1000):
                while not (self.is_confirmed() or self._read_failed):
                    await asyncio.wait({self._start_read()})
        if self.is_confirmed():
            return self._newest
        if not self._rejecting:
            self._rejecting = True
            log_event(events.CONFIGURATION_UNCONFIRMED, age_ms=round(self.age_ms()))
        return None

    async def run(self) -> None:
        """Apply each new version until cancelled."""
        if self._started_ms < 0:
            self._started_ms = self._clock.now_ms()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll_loop())
                group.create_task(self._check_loop())
        finally:
            await self._tasks.cancel()

    async def serve(self, request: ConfigurationRequest) -> ConfigurationReply:
        """Return the newest version to a peer that follows this process.

        Waits until there is a version that the peer does not have, or until the newest
        one is confirmed again.
        """
        arrived_ms = self._clock.now_ms()
        wait_ms = min(request.wait_ms, PEER_WAIT_MAX_MS)
        if self._newest is None or self._newest.version <= request.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self._confirmed_event.wait()
        newest = self._newest
        if newest is None:
            return ConfigurationReply()
        return ConfigurationReply(
            newest.version,
            self._store_version,
            self._confirmed_ms - arrived_ms,
            self._encode_copy(newest) if newest.version > request.version else b"",
        )

    def _encode_copy(self, table: QueueTable) -> bytes:
        if self._copy[0] != table.version:
            self._copy = (table.version, encode_copy(table))
        return self._copy[1]

    async def _check_loop(self) -> None:
        """Ask the store whenever the poll is late, or the process was paused."""
        while True:
            if self._late_in_ms() < 0:
                self._start_read()
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)

    def _late_in_ms(self) -> float:
        """Return the time until a confirmation is late; negative if it is late."""
        since_ms = max(self._confirmed_ms, self._started_ms)
        return LATE_RATIO * self._usable_ms - (self._clock.now_ms() - since_ms)

    def _start_read(self) -> asyncio.Task[bool]:
        """Return the read in progress; start one if there is none."""
        if self._reading is None or self._reading.done():
            self._reading = self._tasks.start(self._read())
        return self._reading

    def _end_reads(self) -> None:
        """End what reads the store, as the reply may be large and is not needed."""
        for task in (self._reading, self._polling):
            if task is not None and task is not asyncio.current_task():
                task.cancel()

    async def _read(self) -> bool:
        """Ask the peers repeatedly and, in its turn, the store.

        Ends as soon as the version is confirmed.

        Returns
        -------
        bool
            Whether the store replied.
        """
        if self._chooser is None:
            self._read_failed = not await self._poll_store(0)
            return not self._read_failed
        async with asyncio.TaskGroup() as group:
            asking = group.create_task(self._ask_peers(self._chooser))
            await self._wait_for_turn(self._chooser)
            self._read_failed = not await self._poll_store(0)
            asking.cancel()
        if self._read_failed:
            # The link of this machine has failed, and not that of a peer.
            self._chooser.reset()
        return not self._read_failed

    async def _ask_peers(self, chooser: RelayChooser) -> None:
        """Ask all peers in turn, those left out too: this link may have failed."""
        while True:
            endpoints = chooser.peers()
            for first in range(0, max(len(endpoints), 1), READ_PEERS):
                await asyncio.gather(
                    asyncio.sleep(READ_WAIT_MS / 1000),
                    *(
                        self._ask_briefly(endpoint, chooser)
                        for endpoint in endpoints[first : first + READ_PEERS]
                    ),
                )

    async def _ask_briefly(self, endpoint: str, chooser: RelayChooser) -> None:
        """Ask a peer for its version; leave it out if it does not reply soon."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                await self._poll_peer(endpoint, READ_WAIT_MS)
        except TimeoutError:
            chooser.skip(endpoint)

    async def _wait_for_turn(self, chooser: RelayChooser) -> None:
        """Wait until this process should ask the store."""
        end_ms = self._clock.now_ms() + READ_DELAY_RATIO * self._usable_ms
        while chooser.peers() and self._clock.now_ms() < end_ms:
            await asyncio.sleep(READ_WAIT_MS / 1000)
            if chooser.rank() < STORE_READERS:
                return

    async def _poll_loop(self) -> None:
        """Follow the store or a peer."""
        while True:
            endpoint = self._chooser.choose() if self._chooser else ""
            if endpoint != self._source:
                log_event(events.CONFIGURATION_FOLLOWED, source=endpoint or "the store")
                self._source = endpoint
            if endpoint:
                await self._follow_peer(endpoint)
            else:
                await self._follow_store()

    async def _follow_peer(self, endpoint: str) -> None:
        """Wait for news of a peer; leave it out if there are none for too long."""
        wait_ms = round(PEER_WAIT_RATIO * self._usable_ms)
        is_recent = await self._poll_peer(endpoint, wait_ms)
        # A peer without news may be receiving a new document.
        if not is_recent and self._late_in_ms() < 0:
            self._chooser.skip(endpoint, SKIP_STALLED_MS)

    async def _follow_store(self) -> None:
        """Wait for a change in the store, or read what was missed."""
        late_in_ms = self._late_in_ms()
        if late_in_ms <= 0:
            task = self._start_read()
        else:
            wait_ms = min(POLL_WAIT_RATIO * self._usable_ms, late_in_ms)
            task = self._polling = self._tasks.start(self._poll_store(round(wait_ms)))
        await asyncio.wait({task})
        if not task.cancelled() and not task.result():
            await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def _poll_peer(self, endpoint: str, wait_ms: int) -> bool:
        """Ask a peer for its version; return whether that was confirmed recently.

        A peer that does not reply, or follows nothing itself, is left out.
        """
        sent_ms = self._clock.now_ms()
        version = self._newest.version if self._newest else 0
        request = ConfigurationRequest(version, wait_ms)
        reply = await self._peers.request_configuration(endpoint, request)
        if reply is None or reply.store_version < 0:
            self._chooser.skip(endpoint)
            return False
        # The request arrived after it was sent, so this is not too late.
        confirmed_ms = sent_ms + reply.confirmed_ms
        if confirmed_ms <= self._confirmed_ms and reply.version <= version:
            return False
        if reply.version > version and not self._apply_copy(reply):
            self._chooser.skip(endpoint)
            return False
        self._confirm(confirmed_ms, reply.store_version)
        return self._late_in_ms() > 0

    async def _poll_store(self, wait_ms: int) -> bool:
        """Read the document, or its changes since the last reply.

        Parameters
        ----------
        wait_ms : int
            How long the store waits for a change, in milliseconds.

        Returns
        -------
        bool
            Whether the store replied.
        """
        has_history = self._store_version >= 0
        sent_ms = self._clock.now_ms()
        if has_history:
            result = await self._feed.changes(
                self._prefix, self._store_version, wait_ms
            )
            has_history = result.is_error() or result.ok.complete
        if not has_history:
            sent_ms = self._clock.now_ms()
            result = await self._scan_document()
        if result.is_error():
            return False
        for row in result.ok.rows:
            if row.key == self._key:
                self._decode_row(row)
        self._confirm(sent_ms, result.ok.version)
        return True

    async def _scan_document(self) -> Result[ScanPage, StoreError]:
        """Read as many pages of the prefix as it takes to reach the document.

        The version is that of the first page, so that the feed continues from there.
        """
        version = -1
        after = ""
        while True:
            result = await self._table.scan(self._prefix, after)
            if result.is_error():
                return result
            page = result.ok
            if version < 0:
                version = page.version
            after = page.next_after
            if not after or any(row.key == self._key for row in page.rows):
                return Ok(ScanPage(page.rows, "", version))

    def _confirm(self, confirmed_ms: float, store_version: int) -> None:
        """Record that the newest version was that of the store at a moment."""
        age_ms = self.age_ms()
        was_confirmed = self.is_confirmed()
        previous = self._confirmed_version
        self._read_failed = False
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        self._store_version = max(self._store_version, store_version)
        self._confirmed_event.set()
        self._confirmed_event = asyncio.Event()
        if self._late_in_ms() > 0:
            self._end_reads()
        # The reply may be to a call that was sent before a pause of the process.
        if self._newest is None or not self.is_confirmed():
            return
        self._confirmed_version = self._newest.version
        if was_confirmed:
            return
        self._rejecting = False
        if previous:
            log_event(
                events.CONFIGURATION_CONFIRMED,
                version=self._newest.version,
                age_ms=round(age_ms),
                previous=previous,
            )

    def _decode_row(self, row: Row) -> None:
        try:
            self._apply(self._decode(row.value))
        except msgspec.DecodeError as error:
            log_event(events.CONFIGURATION_INVALID, reason=error)

    def _apply_copy(self, reply: ConfigurationReply) -> bool:
        """Apply the version in a reply of a peer; return whether it could be read."""
        try:
            table = decode_copy(reply.copy)
        except msgspec.DecodeError as error:
            log_event(events.CONFIGURATION_INVALID, reason=error)
            return False
        self._apply(table)
        return table.version == reply.version

    def _apply(self, table: QueueTable) -> None:
        """Apply a version if it is newer than the one in force."""
        if self._newest is None or table.version > self._newest.version:
            self._newest = table
            tenants = table.tenants
            log_event(
                events.CONFIGURATION_CHANGED,
                version=table.version,
                tenants=len(tenants) if tenants is not None else 0,
            )
