"""Conversation of a shard's owner with one worker."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from expression import Result

from basilhold.core import (
    Clock,
    WorkerId,
    WorkerRecord,
)
from basilhold.ports import (
    AgentError,
    AgentErrorKind,
    RefusalReason,
    RenewRequest,
    WorkerAgent,
    WorkerReport,
)
from basilhold.sharding.attempts import AttemptKeeper
from basilhold.sharding.leases import (
    WorkerLease,
    fence,
    grant,
    is_free,
    mark_lost,
    next_expiry,
)
from basilhold.sharding.session_owner import SessionOwner
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.state import WorkerState
from basilhold.sharding.task_hash import hash_tasks

__all__ = ["CallLimiters", "WorkerSession"]


class CallLimiters:
    """Bounds the calls in flight of all sessions of a shard.

    Calls to workers that do not answer have a bound of their own, so that their
    timeouts do not delay the renewal of other workers' leases.
    """

    def __init__(self, calls_max: int):
        self.answering = asyncio.Semaphore(calls_max)
        self.silent = asyncio.Semaphore(max(1, calls_max // 4))


class WorkerSession(AttemptKeeper):
    """Renews one worker's lease and starts, stops and follows its tasks.

    One coroutine per worker sends its messages. Starts and stops go out together,
    bounded by `limiters`, which all sessions of a shard share.

    Parameters
    ----------
    worker_id : WorkerId
    lease : WorkerLease
    owner : SessionOwner
    agents : WorkerAgent
    clock : Clock
    settings : ShardingSettings
    limiters : CallLimiters
    rng : random.Random

    Attributes
    ----------
    reachable : bool
        Whether the last call was answered at this owner's epoch.
    lease : WorkerLease
    """

    def __init__(
        self,
        worker_id: WorkerId,
        lease: WorkerLease,
        owner: SessionOwner,
        agents: WorkerAgent,
        clock: Clock,
        settings: ShardingSettings,
        limiters: CallLimiters,
        rng: random.Random,
    ):
        super().__init__(worker_id, lease, owner, agents, clock, settings)
        self.contacted = asyncio.Event()
        self._limiters = limiters
        self._rng = rng
        self._usage_due_ms = 0.0
        self._contacted_at_ms = 0.0

    def attest_lost(self) -> None:
        """Treat the worker's leases as expired, as its VM is destroyed."""
        self.lease = mark_lost(self.lease)
        self.reachable = False
        self._needs_report = True
        self._owner.reachability_changed(self.worker_id)
        self._wake.set()

    @property
    def schedulable(self) -> bool:
        """Whether new tasks may be placed on the worker."""
        return self.reachable and self.lease.fenced

    def state(self, record: WorkerRecord) -> WorkerState:
        """Return what is known about the worker; `record` is its committed row."""
        lease = self.lease
        return WorkerState(
            self.worker_id,
            self.reachable,
            lease.fenced,
            max(lease.inherited_until_unix_ms, lease.granted_until_unix_ms),
            record.committed(),
            record.capacity,
            len(record.assignments),
            len(self.running()),
            record.quarantined_until_unix_ms,
        )

    def is_gone(self) -> bool:
        """Return whether the worker is unreachable and its lease has expired."""
        return not self.reachable and is_free(self.lease, self._clock.unix_ms())

    @property
    def contacted_at_ms(self) -> float:
        """Loop time of the last lease renewal or report."""
        return self._contacted_at_ms

    def contact_early(self) -> None:
        """Renew the lease now, which also tells about ends of tasks.

        It takes the place of the next regular renewal.
        """
        self._contact_due_ms = self._clock.monotonic_ms()
        self._wake.set()

    # The conversation.

    async def run(self) -> None:
        """Talk to the worker until cancelled."""
        while True:
            self._wake.clear()
            if self._contact_is_due():
                await self._contact()
            if self.reachable:
                await self._send_starts()
                await self._send_stops()
            if not self.reachable:
                self._release_unreachable()
            await self._wait()

    def _contact_is_due(self) -> bool:
        return self._clock.monotonic_ms() >= self._contact_due_ms - 1

    async def _wait(self) -> None:
        wait_ms = self._contact_due_ms - self._clock.monotonic_ms()
        if wait_ms < 1 or self._wake.is_set():
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _contact(self) -> None:
        """Renew the lease, after a report if the task lists may differ."""
        now_ms = self._clock.monotonic_ms()
        self._contacted_at_ms = now_ms
        interval_ms = self._settings.renew_worker_ms
        self._contact_due_ms = now_ms + interval_ms * self._rng.uniform(0.95, 1.0)
        if now_ms >= self._usage_due_ms:
            self._needs_report = True
        if self._needs_report and not await self._report():
            return
        await self._renew()
        if self.reachable and self._needs_report:
            await self._report()

    async def _call(
        self, call: Callable[[], Awaitable[Result]]
    ) -> Result[object, AgentError]:
        silent = self.contacted.is_set() and not self.reachable
        async with self._limiters.silent if silent else self._limiters.answering:
            result = await call()
        if result.is_ok():
            return result
        error = result.error
        if error.kind is AgentErrorKind.UNREACHABLE:
            self._set_unreachable()
        elif error.reason is RefusalReason.STALE_EPOCH:
            self._owner.fenced_out(error.epoch)
        return result

    def _set_unreachable(self) -> None:
        retry_ms = self._settings.retry_ms
        if self._released:
            retry_ms = self._settings.renew_worker_ms
        retry_ms *= self._rng.uniform(0.5, 1.0)
        self._contact_due_ms = self._clock.monotonic_ms() + retry_ms
        self._needs_report = True
        self.contacted.set()
        if self.reachable:
            self.reachable = False
            self._owner.reachability_changed(self.worker_id)

    async def _renew(self) -> None:
        now_ms = self._clock.unix_ms()
        expires_ms = next_expiry(
            now_ms, self._settings.lease_ms, self._owner.horizon_unix_ms
        )
        if expires_ms <= now_ms:
            return
        self.lease = grant(self.lease, expires_ms)
        request = RenewRequest(
            self._owner.epoch, expires_ms, hash_tasks(self.running())
        )
        result = await self._call(lambda: self._agents.renew(self.worker_id, request))
        if result.is_ok() and not result.ok.hash_matches:
            self._needs_report = True

    async def _report(self) -> bool:
        """Compare the task lists; return whether the worker answered."""
        before = {
            task_id: held.assignment.attempt for task_id, held in self._held.items()
        }
        epoch = self._owner.epoch
        result = await self._call(lambda: self._agents.report(self.worker_id, epoch))
        if result.is_error():
            return False
        report: WorkerReport = result.ok
        self.lease = fence(self.lease, report.lease_expires_unix_ms)
        self._needs_report = False
        self._released = False
        self._usage_due_ms = (
            self._clock.monotonic_ms() + self._settings.usage_interval_ms
        )
        if not self.reachable:
            self.reachable = True
            self._owner.reachability_changed(self.worker_id)
        self.contacted.set()
        await self._reconcile(report, before)
        self._owner.usage_reported(report)
        return True
