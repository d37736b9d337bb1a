"""What callers ask for: submissions, states, cancellations and queue lengths."""

import asyncio
from enum import Enum
from typing import Any

import msgspec
from expression import Result

from basilhold.core import Clock, JobId, ServiceName, WorkerId
from basilhold.observability import log_event
from basilhold.ports import (
    ABSENT,
    Condition,
    StoreError,
    StoreErrorKind,
    Transaction,
    Write,
)
from basilhold.ports.runners import Admission, AdviceService
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.model import QueueName, QueuePolicy, WorkflowSpec
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peers import (
    PeerCalls,
    PeerService,
    StateAnswer,
    StoreCall,
    StoreOutcome,
)
from basilhold.workflows.progress import WorkflowState, decode_state
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.rows import cancel_key, progress_key, spec_key
from basilhold.workflows.shared_time import SharedTime

__all__ = ["Existence", "WorkflowFront"]

STORE_TRIES_MS = 250.0
UNKNOWN_TRIES_MS = 700.0
"""How long a submission is tried again that is certainly not stored, and one that may
be. A caller that is told later than a quarter of its objective could have tried
elsewhere sooner."""

OUTAGE_POLLS = 2.6
"""A store that has not answered for this many looks at the owners is down."""

SLOW_CALLS = 2.0
SLOW_MAX_MS = 600.0
"""Calls that a look at the owners may wait for in a slow store, and how long that may
put off the refusal of callers. In a store that answers more slowly still, submissions
end with an unknown outcome, after which callers cannot ask again at once."""

RETRY_AFTER_MAX_S = 4
"""Callers try a few times; in a long outage they should not use up their tries."""

TRIES_IN_TIME = 3
"""Tries that a caller shall have before it gives up."""

RETRY_MS = 50.0
NOTIFY_TRIES = 2
FINAL_STATES_MAX = 20_000
"""Final states that a process remembers, about 100 bytes each."""

STATE_TRIES = 3

SLOW_OWNER_MS = 400.0
SILENT_OWNER_MS = 2_000.0
"""An owner that took this long to answer, or did not, is not asked for a while: the
store has the states too, a commit later."""


class Existence(Enum):
    """Whether a workflow exists."""

    EXISTS = "exists"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class WorkflowFront(PeerService):
    """Serves callers and peers from one process.

    Parameters
    ----------
    table : RelayedTable
    ownership_manager : OwnershipManager
        Knows the owners, and holds those of this process.
    peers : PeerCalls
    advice : AdviceService
        Asks from this machine.
    clock : Clock
    time : SharedTime
    """

    def __init__(
        self,
        table: RelayedTable,
        ownership_manager: OwnershipManager,
        peers: PeerCalls,
        advice: AdviceService,
        clock: Clock,
        time: SharedTime,
    ):
        self._table = table
        self._ownership_manager = ownership_manager
        self._peers = peers
        self._advice = advice
        self._clock = clock
        self._time = time
        self._final: dict[JobId, WorkflowState] = {}
        self._silent_until_ms: dict[str, float] = {}
        self._tasks = BackgroundTasks()

    async def close(self) -> None:
        """Cancel notices that are under way."""
        await self._tasks.cancel()

    # Callers.

    async def submit(self, spec: WorkflowSpec, deadline_ms: float) -> StoreOutcome:
        """Store a workflow and tell the owner of its service.

        Parameters
        ----------
        spec : WorkflowSpec
        deadline_ms : float
            Time of the loop's clock until which the outcome is awaited.
        """
        outcome = await self._store(spec, deadline_ms)
        if outcome is StoreOutcome.STORED:
            log_event(
                events.WORKFLOW_ACCEPTED,
                job=spec.job_id,
                queue=spec.policy.name,
                service=spec.policy.service,
            )
            self._notify(spec)
        return outcome

    async def _store(self, spec: WorkflowSpec, deadline_ms: float) -> StoreOutcome:
        key = spec_key(spec.policy.service, spec.job_id)
        transaction = Transaction(
            (Condition(key, ABSENT),), (Write(key, msgspec.json.encode(spec)),)
        )
        begin_ms = self._clock.monotonic_ms()
        if self._outage_ms():
            return StoreOutcome.NOT_STORED
        unknown = False
        while True:
            result = await self._table.transact(transaction)
            if result.is_ok() or result.error.kind is StoreErrorKind.CONFLICT:
                return StoreOutcome.STORED
            unknown = unknown or result.error.kind is StoreErrorKind.UNKNOWN
            tries_ms = UNKNOWN_TRIES_MS if unknown else STORE_TRIES_MS
            limit_ms = min(deadline_ms, begin_ms + tries_ms)
            if self._clock.monotonic_ms() + RETRY_MS > limit_ms:
                return StoreOutcome.UNKNOWN if unknown else StoreOutcome.NOT_STORED
            await asyncio.sleep(RETRY_MS / 1000)

    def _outage_ms(self) -> float:
        """Return how long the store has been down; 0 if it answers, however slowly."""
        answered_ms = max(
            self._ownership_manager.last_store_reply_ms, self._table.answered_ms
        )
        age_ms = self._clock.monotonic_ms() - answered_ms
        limit_ms = OUTAGE_POLLS * self._ownership_manager.poll_interval_ms()
        limit_ms += min(SLOW_CALLS * self._table.usual_ms, SLOW_MAX_MS)
        return age_ms if age_ms > limit_ms else 0.0

    def retry_after_s(self, time_left_ms: float) -> int:
        """Return when a refused caller should come back, in seconds.

        The longer an outage lasts, the longer it is likely to go on. A caller that
        waits beyond its own time limit is lost, also if the outage has ended.

        Parameters
        ----------
        time_left_ms : float
            Time after which the caller gives up.
        """
        in_time_s = int(time_left_ms / TRIES_IN_TIME / 1000)
        outage_s = round(self._outage_ms() / 1000)
        return max(1, min(RETRY_AFTER_MAX_S, outage_s, in_time_s))

    def _notify(self, spec: WorkflowSpec) -> None:
        local = self._ownership_manager.local_owner(spec.policy.service)
        if local is not None:
            local.submit(spec)
            return
        self._tasks.start(self._tell_owner(spec))

    async def _tell_owner(self, spec: WorkflowSpec) -> None:
        # The owner also reads the feed, so a lost notice only costs time.
        for _ in range(NOTIFY_TRIES):
            endpoint = self._ownership_manager.remote_owner_endpoint(
                spec.policy.service
            )
            if endpoint and await self._peers.submitted(endpoint, spec):
                return
            await asyncio.sleep(RETRY_MS / 1000)

    async def state(
        self, policy: QueuePolicy, job_id: JobId
    ) -> tuple[Existence, WorkflowState | None]:
        """Return whether a workflow exists, and its state."""
        if job_id in self._final:
            return Existence.EXISTS, self._final[job_id]
        for _ in range(STATE_TRIES):
            answer = await self._ask_owner(policy.service, job_id)
            if answer.current and answer.state is not None:
                self._remember(job_id, answer.state)
                return Existence.EXISTS, answer.state
            existence, state = await self._read_state(policy.service, job_id)
            if existence is not Existence.UNKNOWN:
                return existence, state
            await asyncio.sleep(RETRY_MS / 1000)
        return Existence.UNKNOWN, None

    async def _ask_owner(self, service: ServiceName, job_id: JobId) -> StateAnswer:
        local = self._ownership_manager.local_owner(service)
        if local is not None:
            return self.state_here(service, job_id)
        endpoint = self._ownership_manager.remote_owner_endpoint(service)
        now_ms = self._clock.monotonic_ms()
        if not endpoint or now_ms < self._silent_until_ms.get(endpoint, 0.0):
            return StateAnswer(False)
        answer = await self._peers.state(endpoint, service, job_id)
        if self._clock.monotonic_ms() - now_ms > SLOW_OWNER_MS:
            until_ms = self._clock.monotonic_ms() + SILENT_OWNER_MS
            self._silent_until_ms = {endpoint: until_ms}
        return answer

    async def _read_state(
        self, service: ServiceName, job_id: JobId
    ) -> tuple[Existence, WorkflowState | None]:
        spec, progress = spec_key(service, job_id), progress_key(service, job_id)
        result = await self._table.read((spec, progress))
        if result.is_error():
            return Existence.UNKNOWN, None
        if spec not in result.ok:
            return Existence.ABSENT, None
        if progress not in result.ok:
            return Existence.EXISTS, WorkflowState.QUEUED
        try:
            state = decode_state(result.ok[progress].value)
        except msgspec.DecodeError as error:
            log_event(events.BAD_ROW, key=progress, reason=error)
            return Existence.UNKNOWN, None
        self._remember(job_id, state)
        return Existence.EXISTS, state

    def _remember(self, job_id: JobId, state: WorkflowState) -> None:
        if not state.is_final:
            return
        while len(self._final) >= FINAL_STATES_MAX:
            del self._final[next(iter(self._final))]
        self._final[job_id] = state

    async def cancel(
        self, policy: QueuePolicy, job_id: JobId, deadline_ms: float
    ) -> Existence:
        """Store a cancellation; return whether the workflow exists."""
        service = policy.service
        key = cancel_key(service, job_id)
        write = Transaction((), (Write(key, b"{}"),))
        while True:
            read = await self._table.read((spec_key(service, job_id),))
            if read.is_ok():
                if not read.ok:
                    return Existence.ABSENT
                if (await self._table.transact(write)).is_ok():
                    break
            if self._clock.monotonic_ms() + RETRY_MS > deadline_ms:
                return Existence.UNKNOWN
            await asyncio.sleep(RETRY_MS / 1000)
        self._tasks.start(self._tell_cancelled(service, job_id))
        return Existence.EXISTS

    async def _tell_cancelled(self, service: ServiceName, job_id: JobId) -> None:
        local = self._ownership_manager.local_owner(service)
        if local is not None:
            local.cancel(job_id)
            return
        for _ in range(NOTIFY_TRIES):
            endpoint = self._ownership_manager.remote_owner_endpoint(service)
            if endpoint and await self._peers.cancelled(endpoint, service, job_id):
                return
            await asyncio.sleep(RETRY_MS / 1000)

    async def queue_length(self, policy: QueuePolicy) -> int | None:
        """Return how many workflows of a queue wait, or ``None`` if unknown."""
        local = self.waiting(policy.service, policy.name)
        if local is not None:
            return local
        endpoint = self._ownership_manager.remote_owner_endpoint(policy.service)
        if not endpoint:
            return None
        return await self._peers.waiting(endpoint, policy.service, policy.name)

    # Peers.

    def submitted(self, spec: WorkflowSpec) -> None:
        """Take note of a stored workflow."""
        local = self._ownership_manager.local_owner(spec.policy.service)
        if local is not None:
            local.submit(spec)

    def cancelled(self, service: ServiceName, job_id: JobId) -> None:
        """Take note of a stored cancellation."""
        local = self._ownership_manager.local_owner(service)
        if local is not None:
            local.cancel(job_id)

    def released(self) -> None:
        """Look for a released service at once."""
        self._ownership_manager.poll_now()

    def owns(self, service: ServiceName) -> bool:
        """Return whether this process holds the lease of a service."""
        return self._ownership_manager.owns(service)

    def state_here(self, service: ServiceName, job_id: JobId) -> StateAnswer:
        """Return the state of a workflow if this process owns its service."""
        local = self._ownership_manager.local_owner(service)
        if local is None or not local.is_current():
            return StateAnswer(False)
        return StateAnswer(True, local.workflow_state(job_id))

    def waiting(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return how many workflows wait if this process owns the service."""
        local = self._ownership_manager.local_owner(service)
        if local is None or not local.is_current():
            return None
        return local.unstarted_count(queue)

    def shared_ms(self) -> float | None:
        """Return the time of the store's clock, or ``None`` if it is not known."""
        return self._time.now_ms() if self._time.is_known else None

    async def run_store_call(self, call: StoreCall) -> Result[Any, StoreError]:
        """Call the store for a peer that does not reach it."""
        return await self._table.serve(call)

    async def advise(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Ask the advice service from this machine."""
        return await self._advice.ask(job_id, occurrence, step, workers, policy)
