"""The worker sessions of one shard."""

import asyncio
import random

from basilhold.core import Clock, WorkerId, WorkerRecord
from basilhold.observability import log_event
from basilhold.ports import WorkerAgent
from basilhold.sharding.events import WORKER_ATTESTED_LOST
from basilhold.sharding.leases import WorkerLease, inherit
from basilhold.sharding.peers import WorkerGrant
from basilhold.sharding.session import CallLimiters, WorkerSession
from basilhold.sharding.session_owner import SessionOwner
from basilhold.sharding.settings import ShardingSettings

__all__ = ["SessionSet"]

_EARLY_CONTACTS_MAX = 2
"""Early contacts a second and shard. 220 workers are contacted 22 times a second."""

_EARLY_CONTACT_GAP_MS = 2_000
"""Least time between the last contact with a worker and an early one."""


class SessionSet:
    """Opens and closes the sessions with a shard's workers.

    Parameters
    ----------
    owner : SessionOwner
    agents : WorkerAgent
    clock : Clock
    settings : ShardingSettings
    rng : random.Random
    horizon_unix_ms : int
        Latest expiry that an earlier owner may have granted.
    grants : tuple of WorkerGrant
        Leases that a predecessor that handed over has granted.
    """

    def __init__(
        self,
        owner: SessionOwner,
        agents: WorkerAgent,
        clock: Clock,
        settings: ShardingSettings,
        rng: random.Random,
        horizon_unix_ms: int,
        grants: tuple[WorkerGrant, ...],
    ):
        self._owner = owner
        self._agents = agents
        self._clock = clock
        self._settings = settings
        self._rng = rng
        self._horizon_ms = horizon_unix_ms
        self._grants = {grant.worker_id: grant.expires_unix_ms for grant in grants}
        self._limiters = CallLimiters(settings.calls_in_flight_max)
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._tasks: dict[WorkerId, asyncio.Task] = {}

    def __contains__(self, worker_id: WorkerId) -> bool:
        return worker_id in self._sessions

    def __getitem__(self, worker_id: WorkerId) -> WorkerSession:
        return self._sessions[worker_id]

    def get(self, worker_id: WorkerId) -> WorkerSession | None:
        """Return the session with a worker."""
        return self._sessions.get(worker_id)

    def values(self) -> tuple[WorkerSession, ...]:
        """Return all sessions."""
        return tuple(self._sessions.values())

    def open(self, record: WorkerRecord, fresh: bool, group: asyncio.TaskGroup) -> None:
        """Start a session.

        Parameters
        ----------
        record : WorkerRecord
        fresh : bool
            This owner created the worker's row, so no lease was ever granted.
        group : asyncio.TaskGroup
        """
        worker_id = record.worker_id
        lease = WorkerLease()
        if not fresh:
            until_ms = self._grants.get(worker_id, self._horizon_ms)
            lease = inherit(min(until_ms, self._horizon_ms))
        session = WorkerSession(
            worker_id,
            lease,
            self._owner,
            self._agents,
            self._clock,
            self._settings,
            self._limiters,
            random.Random(self._rng.getrandbits(64)),
        )
        for assignment in record.assignments:
            session.hold(assignment, fresh=False)
        self._sessions[worker_id] = session
        self._tasks[worker_id] = group.create_task(session.run())

    def close(self, worker_id: WorkerId) -> None:
        """End a session."""
        self._sessions.pop(worker_id, None)
        task = self._tasks.pop(worker_id, None)
        if task is not None:
            task.cancel()

    def contact_early(self) -> None:
        """Ask a few workers for ends of tasks, those with overdue ends first.

        Called once a second while urgent work waits. The bounds keep the extra
        messages below a tenth of the renewals of 220 workers.
        """
        now_ms = self._clock.monotonic_ms()
        candidates = [
            session
            for session in self._sessions.values()
            if session.schedulable
            and session.running()
            and now_ms - session.contacted_at_ms >= _EARLY_CONTACT_GAP_MS
        ]
        candidates.sort(key=lambda s: (not s.has_overdue_end(), s.contacted_at_ms))
        for session in candidates[:_EARLY_CONTACTS_MAX]:
            session.contact_early()

    def cancel(self) -> None:
        """End all sessions; no message is sent afterwards."""
        for task in self._tasks.values():
            task.cancel()

    def grants(self) -> tuple[WorkerGrant, ...]:
        """Return the latest expiry of each worker's lease that may be in force."""
        return tuple(
            WorkerGrant(
                worker_id,
                max(
                    session.lease.inherited_until_unix_ms,
                    session.lease.granted_until_unix_ms,
                ),
            )
            for worker_id, session in self._sessions.items()
        )

    def attest_lost(self, worker_ids: tuple[WorkerId, ...]) -> tuple[WorkerId, ...]:
        """Treat workers as destroyed, on an operator's word; return those known."""
        known = tuple(w for w in worker_ids if w in self._sessions)
        for worker_id in known:
            log_event(WORKER_ATTESTED_LOST, worker_id=worker_id)
            self._sessions[worker_id].attest_lost()
        return known
