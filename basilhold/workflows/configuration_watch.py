"""Follows the configuration document in the store.

A version that was applied is never replaced by an older one. Each reply of the store
reflects the store's state after the request was sent, whichever peer relayed it, so the
time of the last answered request bounds the age of the configuration in force. Callers
are answered by it only while that age is within a bound: a process that hears nothing
cannot know whether a key has been withdrawn.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from basilhold.observability import Metrics, MetricSource, log_event, metric
from basilhold.ports import ChangeFeed, Row, TableService
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.routes import QueueTable

__all__ = ["ConfigurationSource", "ConfigurationWatch"]

POLL_WAIT_RATIO = 0.3
LATE_RATIO = 0.7
"""Duration of a long poll, and the age from which on the document is read besides it,
relative to the time for which the configuration is used. While nothing changes, the age
reaches the duration of two polls and a round trip."""

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
    ):
        self._table = table
        self._feed = feed
        self._clock = clock
        self._prefix = prefix
        self._key = key
        self._decode = decode
        self._usable_ms = usable_ms
        self._newest: QueueTable | None = None
        self._confirmed_ms = -1e9
        self._reading: asyncio.Task[int] | None = None
        self._read_failed = False
        self._rejecting = False
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
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll_loop())
                group.create_task(self._check_loop())
        finally:
            await self._tasks.cancel()

    async def _check_loop(self) -> None:
        """Read the document whenever the poll is late, or the process was paused."""
        late_ms = LATE_RATIO * self._usable_ms
        while True:
            if self._newest is not None and self.age_ms() > late_ms:
                self._start_read()
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)

    def _start_read(self) -> asyncio.Task[int]:
        """Return the read in progress; start one if there is none."""
        if self._reading is None or self._reading.done():
            self._reading = self._tasks.start(self._read())
        return self._reading

    async def _poll_loop(self) -> None:
        """Poll for changes; read the document again if history was dropped."""
        version = -1
        wait_ms = round(POLL_WAIT_RATIO * self._usable_ms)
        while True:
            if version < 0:
                version = await self._read()
                if version < 0:
                    await asyncio.sleep(RETRY_DELAY_MS / 1000)
                continue
            sent_ms = self._clock.now_ms()
            result = await self._feed.changes(self._prefix, version, wait_ms)
            if result.is_error():
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
                continue
            if not result.ok.complete:
                version = -1
                continue
            self._confirm(sent_ms, result.ok.rows)
            version = result.ok.version

    async def _read(self) -> int:
        """Read and apply the document.

        Returns
        -------
        int
            Version of the store from which to watch for changes; -1 on failure.
        """
        sent_ms = self._clock.now_ms()
        result = await self._table.scan(self._prefix)
        if result.is_error():
            self._read_failed = True
            return -1
        self._confirm(sent_ms, result.ok.rows)
        return result.ok.version

    def _confirm(self, sent_ms: float, rows: tuple[Row, ...]) -> None:
        """Apply the rows of a reply to a call that was sent at `sent_ms`."""
        age_ms = self.age_ms()
        was_confirmed = self.is_confirmed()
        previous = self._newest.version if self._newest else 0
        for row in rows:
            if row.key == self._key:
                self._apply(row.value)
        self._read_failed = False
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        # The reply may be to a call that was sent before a pause of the process.
        if was_confirmed or not self.is_confirmed():
            return
        self._rejecting = False
        if previous:
            log_event(
                events.CONFIGURATION_CONFIRMED,
                version=self._newest.version,
                age_ms=round(age_ms),
                previous=previous,
            )

    def _apply(self, value: bytes) -> None:
        """Apply a document if it is valid and newer than the one in force."""
        try:
            queue_table = self._decode(value)
        except msgspec.DecodeError as error:
            log_event(events.CONFIGURATION_INVALID, reason=error)
            return
        if self._newest is None or queue_table.version > self._newest.version:
            self._newest = queue_table
            tenants = queue_table.tenants
            log_event(
                events.CONFIGURATION_CHANGED,
                version=queue_table.version,
                tenants=len(tenants) if tenants is not None else 0,
            )
