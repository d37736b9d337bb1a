"""Claims services without an owner, and runs the owners of claimed services."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

import xxhash

from basilhold.core import ServiceName
from basilhold.observability import log_event
from basilhold.ports import ABSENT, Row
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks, restart_on_error
from basilhold.workflows.members import MemberList
from basilhold.workflows.owner import LeaseLostError, OwnerPorts, ServiceOwner
from basilhold.workflows.owner_lease import (
    Lease,
    OwnerView,
    SuspendAwareClock,
    claim_delay_ms,
    try_claim,
)
from basilhold.workflows.peers import Member, OwnershipReply, PeerClient
from basilhold.workflows.recovery import scan_with_retries
from basilhold.workflows.rows import OWNERS_PREFIX, Incarnation
from basilhold.workflows.worker_link import OwnerLimits

__all__ = ["OwnershipManager"]

POLL_INTERVAL_MS = 350
"""Interval at which the owner records are polled; a released service may wait this long
for its next owner."""

SLOW_POLL_INTERVAL_MS = 1_000
"""Interval of processes that are not among the fast pollers."""

FAST_POLLERS_MAX = 64
"""Number of processes that poll at the short interval in a larger deployment, and that
therefore take over. Each poll is a read of the store, which all processes share."""

SCAN_TIMEOUT_MS = 1_000.0
SCAN_TIMEOUT_MAX_MS = 4_000.0
"""How long a poll of all owner records may take; doubled after each one that takes
longer. A scan is three reads in sequence, of 350 ms each in a slow store."""

MEMBERS_WAIT_MS = 100.0
"""How long a poll waits for the membership rows. They usually arrive sooner, so that
processes which start together know each other; a slow store must not delay the next
poll."""

PROBE_ATTEMPTS = 2
"""A holder that does not answer is probed twice, as one reply may be lost or late."""

PROBE_INTERVAL_MS = 100
"""Time between the first probe and the second one, which does not wait for its end: a
lost machine answers neither, and each one takes 300 ms to time out."""

CANDIDATE_DELAY_MAX_MS = 250.0
"""Delay of claims up to which a process probes holders early: machines near the store,
with a core and a wide link."""

RELEASE_TIMEOUT_MS = 1_500
"""How long a process that stops waits for the release of its services."""

ERROR_BACKOFF_MS = 300
"""Delay before polling is restarted after an unexpected error."""

RELEASE_NOTICES_MAX = 64
"""Most processes that are notified of a release."""


class OwnershipManager:
    """Polls the owner records of all services and claims services without an owner.

    Parameters
    ----------
    ports : OwnerPorts
    suspend_clock : SuspendAwareClock
        Measures the validity of leases.
    member : Member
        This process.
    incarnation : Incarnation
        This lifetime of the process.
    limits : OwnerLimits
    services : callable
        Returns the services of the newest configuration.
    rng : random.Random
        Source of the jitter of claims.
    peers : PeerClient
    claim_penalty_ms : float
        Additional delay of this process's claims.

    Attributes
    ----------
    last_store_reply_ms : float
        Time of the monotonic clock at which the store last answered a poll.
    """

    def __init__(
        self,
        ports: OwnerPorts,
        suspend_clock: SuspendAwareClock,
        member: Member,
        incarnation: Incarnation,
        limits: OwnerLimits,
        services: Callable[[], tuple[ServiceName, ...]],
        rng: random.Random,
        peers: PeerClient,
        claim_penalty_ms: float = 0.0,
    ):
        self._ports = ports
        self._suspend_clock = suspend_clock
        self._member = member
        self._incarnation = incarnation
        self._limits = limits
        self._services = services
        self._rng = rng
        self._peers = peers
        self._claim_penalty_ms = claim_penalty_ms
        self._views: dict[ServiceName, OwnerView] = {}
        self._claim_at_ms: dict[ServiceName, float] = {}
        self._owned_when_scheduled: dict[ServiceName, int] = {}
        self._owners: dict[ServiceName, ServiceOwner] = {}
        self._probing: set[ServiceName] = set()
        self._leases: dict[ServiceName, Lease] = {}
        self._members = MemberList(ports.table, ports.clock, member, ports.time)
        self._version = -1
        self._refreshing: asyncio.Task[None] | None = None
        self._scan_timeout_ms = SCAN_TIMEOUT_MS
        self._round_trip_ms = math.inf
        self._tasks = BackgroundTasks()
        self._stopping = False
        self._store_failed_ms: float | None = None
        self._wake_event = asyncio.Event()
        self.last_store_reply_ms = -1e9

    # Queries.

    @property
    def is_stopping(self) -> bool:
        """Whether the process releases its services before it shuts down."""
        return self._stopping

    def local_owner(self, service: ServiceName) -> ServiceOwner | None:
        """Return the owner of a service if this process runs it and it is loaded."""
        owner = self._owners.get(service)
        return owner if owner is not None and owner.loaded else None

    def remote_owner_endpoint(self, service: ServiceName) -> str:
        """Return the endpoint of a service's owner in another process.

        It is empty if the owner is unknown or is this process.
        """
        view = self._views.get(service)
        if view is None or view.record is None or view.record.released:
            return ""
        if view.record.holder == self._member.process_id:
            return ""
        return view.record.endpoint

    def task_units(self, service: ServiceName) -> int:
        """Return what the active workflows of a service count against its limit.

        It is the number that the owner has stored last; 0 if there is no owner.
        """
        owner = self.local_owner(service)
        if owner is not None:
            return owner.task_units
        view = self._views.get(service)
        return view.record.task_units if view and view.record else 0

    def is_unowned(self, service: ServiceName) -> bool:
        """Return whether no process had claimed a service at the last poll."""
        view = self._views.get(service)
        return view is None or view.version == ABSENT

    def owns(self, service: ServiceName) -> bool:
        """Return whether this process holds a service's lease or may still renew it.

        A lease that has expired during an outage of the store is renewed with the
        owner's next commit, unless another process has claimed the service by then.
        """
        lease = self._leases.get(service)
        return lease is not None and not lease.is_lost

    def known_services(self) -> tuple[ServiceName, ...]:
        """Return the services of the newest configuration, and those with an owner.

        A service that a version of the configuration has dropped may still have
        workflows. Returns nothing before a configuration is known.
        """
        configured = self._services()
        if not configured:
            return ()
        owned = (name for name, view in self._views.items() if view.record is not None)
        return tuple(dict.fromkeys((*configured, *owned)))

    def members(self) -> list[Member]:
        """Return the processes that are believed to be alive, this one first."""
        return self._members.alive()

    def describe(self) -> dict[str, Any]:
        """Return the owners of all services and the members, for the state dump."""
        owners = {
            service: view.record.holder
            for service, view in self._views.items()
            if view.record is not None
        }
        owned = {name: owner.describe() for name, owner in self._owners.items()}
        members = [member.endpoint for member in self.members()]
        return {"owners": owners, "owned": owned, "members": members}

    def poll_interval_ms(self) -> int:
        """Return the interval at which this process polls the owner records.

        Processes that own a service, and about `FAST_POLLERS_MAX` others that a hash of
        their ids selects, poll at the short interval.
        """
        count = self._members.count
        if self._owners or count <= FAST_POLLERS_MAX:
            return POLL_INTERVAL_MS
        rank = xxhash.xxh32_intdigest(self._member.process_id.encode()) % count
        return POLL_INTERVAL_MS if rank < FAST_POLLERS_MAX else SLOW_POLL_INTERVAL_MS

    # Polling and claims.

    async def run(self) -> None:
        """Poll the owner records and claim services until cancelled."""
        try:
            while True:
                if not self._stopping:
                    await restart_on_error(
                        "polling of the owner records", self._poll, ERROR_BACKOFF_MS
                    )
                await self._wait_for_next_poll()
        finally:
            await self._tasks.cancel()

    def poll_now(self) -> None:
        """Poll the owner records at once, after an owner has released its service."""
        self._wake_event.set()

    async def _wait_for_next_poll(self) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        wait_ms = float(self.poll_interval_ms())
        for claim_at_ms in self._claim_at_ms.values():
            wait_ms = min(wait_ms, max(claim_at_ms - now_ms, 1.0))
        for service, view in self._views.items():
            claimable_in_ms = view.claimable_at_ms() - now_ms
            if service not in self._owners and claimable_in_ms > 0.0:
                wait_ms = min(wait_ms, max(claimable_in_ms, 1.0))
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._wake_event.wait()
        except TimeoutError:
            pass
        self._wake_event.clear()

    async def stop(self) -> None:
        """Release all services, and notify the other processes, before shutdown."""
        self._stopping = True
        owners = list(self._owners.values())
        releases = [asyncio.create_task(owner.release()) for owner in owners]
        if releases:
            await asyncio.wait(releases, timeout=RELEASE_TIMEOUT_MS / 1000)
        for task in releases:
            task.cancel()
        await asyncio.gather(*releases, return_exceptions=True)
        if releases:
            others = self.members()[1 : RELEASE_NOTICES_MAX + 1]
            await asyncio.gather(
                *(self._peers.notify_released(m.endpoint) for m in others)
            )

    async def _poll(self) -> None:
        try:
            await self._poll_owner_records()
        except Exception:
            # Rows may have been read but not applied; read all of them again.
            self._version = -1
            raise

    async def _poll_owner_records(self) -> None:
        sent_ms = self._ports.clock.monotonic_ms()
        rows = await self._read_rows()
        now_ms = self._ports.clock.monotonic_ms()
        if rows is None:
            self._note_store_failure(sent_ms)
            self._restart_observation(now_ms)
            return
        self._note_store_recovery(now_ms)
        self.last_store_reply_ms = now_ms
        round_trip_ms = now_ms - sent_ms
        # The minimum measures the distance to the store; a slow store slows down all
        # processes alike.
        self._round_trip_ms = min(self._round_trip_ms, round_trip_ms)
        for row in rows:
            self._apply_owner_row(row, now_ms)
        for service in self.known_services():
            view = self._views.setdefault(service, OwnerView(unchanged_since_ms=now_ms))
            self._check_own_lease(service, view)
            self._probe_suspect(service, view, now_ms)
            await self._claim_if_due(service, view, now_ms)
        await self._refresh_members()
        for lease in self._leases.values():
            lease.member_count = self._members.count

    async def _refresh_members(self) -> None:
        """Renew the membership row and read others, and wait a little for the end."""
        is_new = self._refreshing is None
        if is_new:
            refresh = self._members.refresh(bool(self._owners))
            self._refreshing = self._tasks.start(refresh)
        timeout_s = MEMBERS_WAIT_MS / 1000 if is_new else 0.0
        await asyncio.wait({self._refreshing}, timeout=timeout_s)
        if self._refreshing.done():
            refreshed, self._refreshing = self._refreshing, None
            refreshed.result()

    def _restart_observation(self, now_ms: float) -> None:
        """Let the time for which records were unchanged start anew.

        Without an answer of the store, nothing is known about renewals.
        """
        for view in self._views.values():
            view.unchanged_since_ms = now_ms
            view.is_holder_gone = False
            view.is_holder_confirmed = False
        self._claim_at_ms.clear()

    def _note_store_failure(self, sent_ms: float) -> None:
        if self._store_failed_ms is None:
            self._store_failed_ms = sent_ms
            log_event(events.DEPENDENCY_LOST, dependency="store")

    def _note_store_recovery(self, now_ms: float) -> None:
        if self._store_failed_ms is not None:
            after_ms = round(now_ms - self._store_failed_ms)
            log_event(events.DEPENDENCY_BACK, dependency="store", after_ms=after_ms)
            self._store_failed_ms = None

    async def _read_rows(self) -> list[Row] | None:
        """Return the owner records that changed since the last poll.

        Returns all rows on the first poll and after a gap in the feed, and ``None`` if
        the store does not answer.
        """
        if self._version < 0:
            return await self._scan_rows()
        result = await self._ports.feed.changes(OWNERS_PREFIX, self._version, 0)
        if result.is_error():
            return None
        if not result.ok.complete:
            self._version = -1
            return await self._read_rows()
        self._version = result.ok.version
        return list(result.ok.rows)

    async def _scan_rows(self) -> list[Row] | None:
        """Return all owner records, or ``None`` if that takes too long."""
        begin_ms = self._ports.clock.monotonic_ms()
        try:
            async with asyncio.timeout(self._scan_timeout_ms / 1000):
                rows, self._version = await scan_with_retries(
                    self._ports.table, OWNERS_PREFIX
                )
        except TimeoutError:
            longer_ms = 2 * self._scan_timeout_ms
            self._scan_timeout_ms = min(longer_ms, SCAN_TIMEOUT_MAX_MS)
            return None
        self._scan_timeout_ms = SCAN_TIMEOUT_MS
        now_ms = self._ports.clock.monotonic_ms()
        if now_ms - begin_ms > SCAN_TIMEOUT_MS:
            self._restart_observation(now_ms)
        return rows

    def _apply_owner_row(self, row: Row, now_ms: float) -> None:
        service = ServiceName(row.key.split("/")[1])
        view = self._views.setdefault(service, OwnerView())
        if row.version > view.version:
            view.update(row, now_ms)
            if view.record is not None:
                self._members.published_count = view.record.member_count

    def _check_own_lease(self, service: ServiceName, view: OwnerView) -> None:
        lease = self._leases.get(service)
        if lease is None or view.record is None:
            return
        if view.record.epoch > lease.epoch:
            lease.invalidate()

    def _probe_suspect(
        self, service: ServiceName, view: OwnerView, now_ms: float
    ) -> None:
        """Probe the holder of a lease that is not being renewed."""
        if service in self._owners or service in self._probing:
            return
        if view.should_probe(now_ms, self._is_candidate()):
            self._probing.add(service)
            self._tasks.start(self._probe_holder(service, view, view.record.endpoint))

    def _is_candidate(self) -> bool:
        """Return whether this process would be among the first to claim a service."""
        delay_ms = claim_delay_ms(
            self._round_trip_ms, len(self._owners), self._claim_penalty_ms, False, 0.0
        )
        return delay_ms <= CANDIDATE_DELAY_MAX_MS

    async def _probe_holder(
        self, service: ServiceName, view: OwnerView, endpoint: str
    ) -> None:
        version = view.version
        try:
            presence = await self._query_holder(service, endpoint)
        finally:
            self._probing.discard(service)
        if view.version != version:
            return
        if presence is OwnershipReply.OWNER:
            view.is_holder_confirmed = True
            return
        view.is_holder_gone = True
        unchanged_ms = self._ports.clock.monotonic_ms() - view.unchanged_since_ms
        log_event(
            events.HOLDER_GONE,
            service=service,
            epoch=view.record.epoch,
            endpoint=endpoint,
            presence=presence.value,
            unchanged_ms=round(unchanged_ms),
        )
        self._wake_event.set()

    async def _query_holder(
        self, service: ServiceName, endpoint: str
    ) -> OwnershipReply:
        """Return the first reply to overlapping probes, or that there was none."""
        probes = [
            asyncio.create_task(
                self._query_after(attempt * PROBE_INTERVAL_MS, service, endpoint)
            )
            for attempt in range(PROBE_ATTEMPTS)
        ]
        try:
            for probe in asyncio.as_completed(probes):
                presence = await probe
                if presence is not OwnershipReply.NO_REPLY:
                    return presence
            return OwnershipReply.NO_REPLY
        finally:
            for probe in probes:
                probe.cancel()

    async def _query_after(
        self, delay_ms: float, service: ServiceName, endpoint: str
    ) -> OwnershipReply:
        await asyncio.sleep(delay_ms / 1000)
        return await self._peers.query_ownership(endpoint, service)

    async def _claim_if_due(
        self, service: ServiceName, view: OwnerView, now_ms: float
    ) -> None:
        if service in self._owners or not view.is_claimable(
            self._member.process_id, now_ms
        ):
            self._claim_at_ms.pop(service, None)
            return
        if service not in self._claim_at_ms:
            is_own_record = (
                view.record and view.record.holder == self._member.process_id
            )
            delay_ms = claim_delay_ms(
                self._round_trip_ms,
                len(self._owners),
                self._claim_penalty_ms,
                view.record is None,
                self._rng.random(),
            )
            self._claim_at_ms[service] = now_ms + (0.0 if is_own_record else delay_ms)
            self._owned_when_scheduled[service] = len(self._owners)
        if now_ms < self._claim_at_ms[service]:
            return
        del self._claim_at_ms[service]
        if len(self._owners) > self._owned_when_scheduled.get(service, 0):
            # Another service was claimed since the delay was chosen; the next poll
            # chooses a longer one.
            return
        await self._claim(service, view)

    async def _claim(self, service: ServiceName, view: OwnerView) -> None:
        reason = "no earlier owner"
        if view.record is not None:
            reason = (
                "released by the previous owner"
                if view.record.released
                else "lease of the previous owner not renewed"
            )
        result = await try_claim(
            self._ports.table,
            self._suspend_clock,
            service,
            view,
            self._member.process_id,
            self._member.endpoint,
            self._incarnation,
        )
        if result.is_error():
            return
        lease = result.ok
        owner = ServiceOwner(self._ports, lease, self._limits)
        self._leases[service] = lease
        self._owners[service] = owner
        self._tasks.start(self._run_owner(service, owner, lease, reason))

    async def _run_owner(
        self, service: ServiceName, owner: ServiceOwner, lease: Lease, reason: str
    ) -> None:
        try:
            await owner.run(reason)
        except LeaseLostError as error:
            log_event(
                events.OWNER_LOST, service=service, epoch=lease.epoch, reason=error
            )
        except Exception as error:
            log_event(events.OWNER_FAILED, service=service, error=repr(error))
        finally:
            self._owners.pop(service, None)
            self._leases.pop(service, None)
