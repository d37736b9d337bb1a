"""Follows the configuration document in the store.

A version that was applied is never replaced by an older one. Each reply of the store
reflects the store's state after the request was sent, whichever peer relayed it, so the
time of the last answered request bounds the age of the configuration in force.
"""

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from basilhold.observability import Metrics, MetricSource, log_event, metric
from basilhold.ports import ChangeFeed, Row, TableService
from basilhold.workflows import events
from basilhold.workflows.owner_lease import SuspendAwareClock
from basilhold.workflows.routes import QueueTable

__all__ = ["ConfigurationSource", "ConfigurationWatch"]

POLL_WAIT_MS = 1_200
"""Duration of a long poll. A new version has to be applied within 3 s, also if one
connection has stopped responding."""

RETRY_DELAY_MS = 200

TICK_INTERVAL_MS = 250
PAUSE_MIN_MS = 1_500.0
"""Delay of a periodic tick from which on the process counts as having been paused."""

CATCH_UP_MAX_MS = 1_000.0
"""How long a request waits for the first poll after a pause. If the store does not
answer by then, the configuration cannot be confirmed, and is used as it is."""


LATE_CONFIRMATION_MS = 3_000.0
"""Age of the configuration from which on its next confirmation is logged."""


class ConfigurationSource(ABC):
    """Gives the version of the configuration by which to answer a caller."""

    @abstractmethod
    async def current(self) -> QueueTable | None:
        """Return the version in force, or ``None`` if it is not known."""

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
    prefix, key : str
        Prefix of the rows to watch, and key of the row that holds the document.
    decode : callable
        Decodes the document; raises `msgspec.DecodeError` if it is invalid.
    """

    def __init__(
        self,
        table: TableService,
        feed: ChangeFeed,
        clock: SuspendAwareClock,
        prefix: str,
        key: str,
        decode: Callable[[bytes], QueueTable],
    ):
        self._table = table
        self._feed = feed
        self._clock = clock
        self._prefix = prefix
        self._key = key
        self._decode = decode
        self._newest: QueueTable | None = None
        self._polled_ms = -1e9
        self._ticked_ms = math.inf
        self._caught_up = asyncio.Event()

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
        return self._clock.now_ms() - self._polled_ms

    async def current(self) -> QueueTable | None:
        """Return the newest version; after a pause, read it again first.

        While the process was paused, a version with fewer keys or routes may have come
        into force.
        """
        self._check_pause()
        if self._newest is not None and not self._caught_up.is_set():
            try:
                async with asyncio.timeout(CATCH_UP_MAX_MS / 1000):
                    await self._caught_up.wait()
            except TimeoutError:
                log_event(events.CONFIGURATION_UNCONFIRMED, age_ms=round(self.age_ms()))
        return self._newest

    def _check_pause(self) -> bool:
        """Return whether the process was paused since the last tick."""
        paused = self._clock.now_ms() - self._ticked_ms > PAUSE_MIN_MS
        if paused:
            self._caught_up.clear()
        return paused

    async def run(self) -> None:
        """Apply each new version until cancelled."""
        self._caught_up.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_loop())
            group.create_task(self._tick_loop())

    async def _tick_loop(self) -> None:
        """Read the document after each pause; the pending poll may be an old one."""
        while True:
            paused = self._check_pause()
            self._ticked_ms = self._clock.now_ms()
            if paused:
                await self._read()
                self._caught_up.set()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    async def _poll_loop(self) -> None:
        """Poll for changes; read the document again if history was dropped."""
        version = -1
        while True:
            if version < 0:
                version = await self._read()
                if version < 0:
                    await asyncio.sleep(RETRY_DELAY_MS / 1000)
                continue
            sent_ms = self._clock.now_ms()
            result = await self._feed.changes(self._prefix, version, POLL_WAIT_MS)
            if result.is_error():
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
                continue
            self._confirm(sent_ms, result.ok.rows)
            version = result.ok.version if result.ok.complete else -1

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
            return -1
        self._confirm(sent_ms, result.ok.rows)
        return result.ok.version

    def _confirm(self, sent_ms: float, rows: tuple[Row, ...]) -> None:
        """Apply the rows of a reply to a call that was sent at `sent_ms`."""
        age_ms = self.age_ms()
        previous = self._newest.version if self._newest else 0
        for row in rows:
            if row.key == self._key:
                self._apply(row.value)
        self._polled_ms = max(self._polled_ms, sent_ms)
        if previous and age_ms > LATE_CONFIRMATION_MS:
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
