"""Requests of callers: submissions, states, cancellations and queue lengths.

The same object serves the calls of peers.
"""

import asyncio
import itertools
from enum import Enum
from typing import Any

import msgspec
from expression import Result

from basilhold.core import (
    Clock,
    JobId,
    JsonDecoder,
    ServiceName,
    WorkerId,
)
from basilhold.observability import Metrics, log_event
from basilhold.ports import (
    Row,
    StoreError,
    StoreErrorKind,
    Transaction,
    Write,
)
from basilhold.ports.runners import Admission, AdviceService
from basilhold.tenants import NO_TENANT, TenantName
from basilhold.workflows import events
from basilhold.workflows.background_tasks import BackgroundTasks
from basilhold.workflows.configuration_watch import ConfigurationWatch
from basilhold.workflows.job_locations import JobLocator, make_submission
from basilhold.workflows.model import QueueName, QueuePolicy, WorkflowSpec
from basilhold.workflows.ownership_manager import OwnershipManager
from basilhold.workflows.peers import (
    ConfigurationReply,
    ConfigurationRequest,
    PeerClient,
    PeerService,
    StateReply,
    StoreCall,
    StoreOutcome,
    SubmitAnswer,
    SubmitReply,
    SubmitRequest,
)
from basilhold.workflows.progress import WorkflowState, decode_state
from basilhold.workflows.queue_lengths import QueueLengths
from basilhold.workflows.quota_exchange import QuotaReply, QuotaRequest
from basilhold.workflows.relayed_table import RelayedTable
from basilhold.workflows.rows import cancel_key, progress_key, spec_key
from basilhold.workflows.shared_time import SharedTime
from basilhold.workflows.submission_collector import SubmissionCollector
from basilhold.workflows.task_limit import TaskLimit, task_units

__all__ = ["Existence", "WorkflowFrontend"]

NOT_STORED_RETRY_MS = 250.0
UNKNOWN_RETRY_MS = 700.0
"""How long a submission is retried if it is certainly not stored, and if it may be. A
caller that learns of a failure after more than a quarter of its objective could have
tried elsewhere sooner."""

OUTAGE_POLLS = 2.6
"""Polls of the owners without any reply of the store, also to other calls, after which
it is considered down."""

OUTAGE_LATENCIES = 2.0
OUTAGE_LATENCY_MAX_MS = 600.0
"""Number of calls to a slow store that may delay a poll of the owners, and the maximum
of that delay. The delay extends the time without a reply after which the store is
considered down and callers are rejected. With a store that is slower still, submissions
end with an unknown outcome, after which callers cannot retry at once."""

RETRY_AFTER_MAX_S = 4
"""Maximum delay that callers are asked to wait. Callers make only a few attempts, which
a longer outage should not exhaust."""

CALLER_ATTEMPTS = 3
"""Attempts that should fit into the time after which a caller gives up."""

RETRY_DELAY_MS = 50.0

SLOW_RETRY_DELAY_MS = 1_000.0
"""Delay of a retry in a slow store. A partition rejects transactions while others wait
in it for more than 1 s, and one without a reply may still wait for as long."""

SLOW_RETRY_GROWTH = 1.5
"""Factor between the delays of successive retries in a slow store."""

ASK_OWNER_PAUSE_MS = 3_000.0
"""How long an owner is not asked to store submissions after it has not answered, or
does not know the call."""

OWNER_REPLY_MS = 100.0
"""Time reserved for the reply of the owner: the round trip between regions is 60 ms."""

NOTIFY_ATTEMPTS = 2
FINAL_STATES_MAX = 20_000
"""Maximum number of cached final states, of about 100 bytes each."""

STATE_ATTEMPTS = 3

SLOW_OWNER_MS = 400.0
SLOW_OWNER_PAUSE_MS = 2_000.0
"""An owner that took more than `SLOW_OWNER_MS` to reply, or did not reply, is skipped
for `SLOW_OWNER_PAUSE_MS`. The store has the states too, one commit later."""


class Existence(Enum):
    """Whether a workflow exists for the tenant that asks."""

    EXISTS = "exists"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class _StoredTenant(msgspec.Struct):
    """The tenant of a stored `WorkflowSpec`, without its steps."""

    tenant: TenantName = NO_TENANT


_TENANT_DECODER = JsonDecoder(_StoredTenant)


class _FinalState(msgspec.Struct, frozen=True):
    state: WorkflowState
    tenant: TenantName


class WorkflowFrontend(PeerService):
    """Serves requests of callers and calls of peers in one process.

    Parameters
    ----------
    table : RelayedTable
        Store of the workflows.
    ownership_manager : OwnershipManager
        Locates the owners of services and runs the owners of this process.
    peers : PeerClient
        Client for calls to other processes.
    advice : AdviceService
        Client of the advice service on this machine.
    clock : Clock
        Clock of this process.
    time : SharedTime
        Estimate of the store's time.
    configuration : ConfigurationWatch, optional
        Serves peers that follow the configuration through this process.
    metrics : Metrics, optional
        Counts groups of submissions.
    task_limit : TaskLimit, optional
        Limits the tasks that the owners of services have to hold.
    """

    def __init__(
        self,
        table: RelayedTable,
        ownership_manager: OwnershipManager,
        peers: PeerClient,
        advice: AdviceService,
        clock: Clock,
        time: SharedTime,
        configuration: ConfigurationWatch | None = None,
        metrics: Metrics | None = None,
        task_limit: TaskLimit | None = None,
    ):
        self._metrics = metrics
        self._task_limit = task_limit
        self._collectors: dict[ServiceName, SubmissionCollector] = {}
        self._ask_from_ms: dict[str, float] = {}
        self._configuration = configuration
        self._table = table
        self._ownership_manager = ownership_manager
        self._peers = peers
        self._advice = advice
        self._clock = clock
        self._time = time
        self._final_states: dict[JobId, _FinalState] = {}
        self._skip_until_ms: dict[str, float] = {}
        self._tasks = BackgroundTasks()
        self._locator = JobLocator(table, ownership_manager.known_services)
        self._queue_lengths = QueueLengths(ownership_manager, peers, clock)

    async def close(self) -> None:
        """Answer submissions that wait for a group, and cancel notices to owners."""
        for collector in self._collectors.values():
            await collector.close()
        await self._tasks.cancel()

    # Requests of callers.

    async def submit(self, spec: WorkflowSpec, deadline_ms: float) -> StoreOutcome:
        """Store a workflow and notify the owner of its service.

        Parameters
        ----------
        spec : WorkflowSpec
            Workflow to store.
        deadline_ms : float
            Monotonic time in milliseconds after which the submission is not retried,
            and until which a slow store is waited for.
        """
        services = self._ownership_manager.known_services()
        transaction = make_submission(spec, services)
        begin_ms = self._clock.monotonic_ms()
        if self._outage_ms():
            return StoreOutcome.NOT_STORED
        if not self._reserve_tasks(spec):
            return await self._refuse_tasks(spec)
        unknown = False
        request = SubmitRequest(spec.policy.service, spec.job_id, spec=spec)
        for attempt in itertools.count():
            answer = await self._ask_owner(request, deadline_ms)
            unknown = unknown or answer is SubmitAnswer.UNKNOWN
            if answer is SubmitAnswer.NOT_STORED and not unknown:
                return StoreOutcome.NOT_STORED
            if answer in (SubmitAnswer.STORED, SubmitAnswer.ID_TAKEN):
                return StoreOutcome(answer.value)
            if answer is not SubmitAnswer.DIRECT and not self._has_time(deadline_ms):
                break
            result = await self._transact(transaction, deadline_ms)
            if result.is_ok():
                self._on_stored(spec)
                return StoreOutcome.STORED
            if result.error.kind is StoreErrorKind.CONFLICT:
                return await self._handle_conflict(spec, result.error)
            unknown = unknown or result.error.kind is StoreErrorKind.UNKNOWN
            retry_ms = UNKNOWN_RETRY_MS if unknown else NOT_STORED_RETRY_MS
            retry_until_ms = begin_ms + retry_ms
            if not await self._wait_to_retry(deadline_ms, attempt, retry_until_ms):
                break
        return StoreOutcome.UNKNOWN if unknown else StoreOutcome.NOT_STORED

    def _reserve_tasks(self, spec: WorkflowSpec) -> bool:
        """Count a workflow against the limit of its service; return if it is below."""
        if self._task_limit is None:
            return True
        manager, service = self._ownership_manager, spec.policy.service
        units, now_ms = task_units(spec), self._clock.monotonic_ms()
        if not self._task_limit.admits(
            service,
            units,
            manager.task_units(service),
            len(manager.members()),
            now_ms,
            len(manager.known_services()),
        ):
            return False
        self._task_limit.note_accepted(service, units, now_ms)
        return True

    async def _refuse_tasks(self, spec: WorkflowSpec) -> StoreOutcome:
        """Refuse a workflow for which there is no capacity, unless it is stored."""
        asking = spec.tenant or None
        existence, _ = await self.state(spec.policy, spec.job_id, asking)
        if existence is Existence.EXISTS:
            return StoreOutcome.STORED
        if existence is Existence.UNKNOWN:
            return StoreOutcome.UNKNOWN
        return StoreOutcome.TOO_MANY_TASKS

    def _has_time(self, deadline_ms: float) -> bool:
        """Return whether the store may reply to a transaction before the deadline."""
        now_ms = self._clock.monotonic_ms()
        return now_ms + self._table.typical_latency_ms <= deadline_ms

    async def _ask_owner(
        self, request: SubmitRequest, deadline_ms: float
    ) -> SubmitAnswer:
        """Let the owner store a write in a group, if the store is slow.

        Without an answer, the outcome is unknown. The write may then be stored
        directly, as its conditions are the same.
        """
        now_ms = self._clock.monotonic_ms()
        left_ms = deadline_ms - OWNER_REPLY_MS - now_ms
        if not self._table.is_slow or left_ms <= 0:
            return SubmitAnswer.DIRECT
        if self._ownership_manager.local_owner(request.service) is not None:
            return await self._collect(request, deadline_ms)
        endpoint = self._ownership_manager.remote_owner_endpoint(request.service)
        if not endpoint or now_ms < self._ask_from_ms.get(endpoint, 0.0):
            return SubmitAnswer.DIRECT
        request = msgspec.structs.replace(request, time_left_ms=int(left_ms))
        reply = await self._peers.submit(endpoint, request)
        if reply.is_ok():
            return reply.ok.answer
        from_ms = self._clock.monotonic_ms() + ASK_OWNER_PAUSE_MS
        self._ask_from_ms = {endpoint: from_ms}
        return SubmitAnswer.UNKNOWN if reply.error else SubmitAnswer.DIRECT

    async def _collect(
        self, request: SubmitRequest, deadline_ms: float
    ) -> SubmitAnswer:
        """Store a write in a group of a service that this process owns."""
        service, manager = request.service, self._ownership_manager
        if manager.is_stopping or manager.local_owner(service) is None:
            return SubmitAnswer.DIRECT
        collector = self._collectors.get(service)
        if collector is None:
            collector = self._collectors[service] = SubmissionCollector(
                service, self._table, self._clock, self._metrics
            )
        if not collector.is_grouping():
            return SubmitAnswer.DIRECT
        if request.spec is None:
            transaction = _make_cancellation(service, request.job_id)
        else:
            transaction = make_submission(request.spec, manager.known_services())
        has_conflict = False

        async def resolve_conflict(error: StoreError) -> StoreOutcome:
            nonlocal has_conflict
            has_conflict = True
            return await self._handle_conflict(request.spec, error)

        outcome = await collector.store(transaction, deadline_ms, resolve_conflict)
        if outcome is StoreOutcome.STORED:
            if request.spec is None:
                self._tasks.start(self._announce_cancelled(service, request.job_id))
            elif not has_conflict:
                self._on_stored(request.spec)
        return SubmitAnswer(outcome.value) if outcome else SubmitAnswer.DIRECT

    async def _transact(
        self, transaction: Transaction, deadline_ms: float
    ) -> Result[dict[str, int], StoreError]:
        """Apply a transaction; a slow store is waited for until the deadline."""
        left_ms = deadline_ms - self._clock.monotonic_ms()
        return await self._table.transact_within(transaction, max(0, int(left_ms)))

    async def _wait_to_retry(
        self, deadline_ms: float, attempt: int, retry_until_ms: float | None = None
    ) -> bool:
        """Wait before a retry; return whether there is time for one.

        A slow store may still apply a transaction whose reply is missing, so the next
        one is sent later, but no longer has to begin before `retry_until_ms`.
        """
        now_ms = self._clock.monotonic_ms()
        if self._table.is_slow:
            delay_ms = SLOW_RETRY_DELAY_MS * SLOW_RETRY_GROWTH**attempt
            # Without time for the reply, the outcome would be unknown.
            limit_ms = deadline_ms - self._table.typical_latency_ms
        else:
            delay_ms = RETRY_DELAY_MS
            limit_ms = min(deadline_ms, retry_until_ms or deadline_ms)
        if now_ms + delay_ms > limit_ms:
            return False
        await asyncio.sleep(delay_ms / 1000)
        return True

    def _on_stored(self, spec: WorkflowSpec) -> None:
        """Log a workflow that is stored under its present service; tell the owner."""
        log_event(
            events.WORKFLOW_ACCEPTED,
            job=spec.job_id,
            queue=spec.policy.name,
            service=spec.policy.service,
            tenant=spec.tenant,
        )
        self._announce(spec)

    async def _handle_conflict(
        self, spec: WorkflowSpec, error: StoreError
    ) -> StoreOutcome:
        """Return the outcome of a submission whose id is stored already."""
        key = spec_key(spec.policy.service, spec.job_id)
        # The owner of this service must not learn of a workflow of another one.
        is_stored_here = any(conflict.key == key for conflict in error.conflicts)
        if spec.tenant or not is_stored_here:
            outcome = await self._check_existing(spec)
            if outcome is not StoreOutcome.STORED:
                return outcome
        if is_stored_here:
            self._on_stored(spec)
        return StoreOutcome.STORED

    async def _check_existing(self, spec: WorkflowSpec) -> StoreOutcome:
        """Return the outcome of a submission by what is stored under its id."""
        asking = spec.tenant or None
        existence, _ = await self.state(spec.policy, spec.job_id, asking)
        if existence is Existence.EXISTS:
            return StoreOutcome.STORED
        if existence is Existence.UNKNOWN:
            return StoreOutcome.UNKNOWN
        # Only its location may be left of a workflow without a tenant.
        return StoreOutcome.ID_TAKEN if spec.tenant else StoreOutcome.NOT_STORED

    def _outage_ms(self) -> float:
        """Return how long the store has been down, in milliseconds.

        Returns 0 if the store replies, however slowly.
        """
        last_reply_ms = max(
            self._ownership_manager.last_store_reply_ms,
            self._table.last_sign_of_life_ms,
        )
        age_ms = self._clock.monotonic_ms() - last_reply_ms
        limit_ms = OUTAGE_POLLS * self._ownership_manager.poll_interval_ms()
        limit_ms += min(
            OUTAGE_LATENCIES * self._table.typical_latency_ms, OUTAGE_LATENCY_MAX_MS
        )
        return age_ms if age_ms > limit_ms else 0.0

    def retry_after_s(self, time_left_ms: float) -> int:
        """Return the delay after which a rejected caller should retry, in seconds.

        The delay grows with the duration of the outage: the longer it has lasted, the
        longer it is likely to continue. It leaves time for several attempts, because a
        caller that waits beyond its own time limit fails even if the outage has ended.

        Parameters
        ----------
        time_left_ms : float
            Time after which the caller gives up, in milliseconds.
        """
        deadline_s = int(time_left_ms / CALLER_ATTEMPTS / 1000)
        outage_s = round(self._outage_ms() / 1000)
        return max(1, min(RETRY_AFTER_MAX_S, outage_s, deadline_s))

    def _announce(self, spec: WorkflowSpec) -> None:
        local = self._ownership_manager.local_owner(spec.policy.service)
        if local is not None:
            local.submit(spec)
            return
        self._tasks.start(self._notify_owner(spec))

    async def _notify_owner(self, spec: WorkflowSpec) -> None:
        # The owner also reads the change feed, so a lost notice only delays it.
        for _ in range(NOTIFY_ATTEMPTS):
            endpoint = self._ownership_manager.remote_owner_endpoint(
                spec.policy.service
            )
            if endpoint and await self._peers.notify_submitted(endpoint, spec):
                return
            await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def state(
        self, policy: QueuePolicy, job_id: JobId, tenant: TenantName | None = None
    ) -> tuple[Existence, WorkflowState | None]:
        """Return whether a workflow exists, and its state.

        Parameters
        ----------
        policy : QueuePolicy
            Policy of the workflow's queue.
        job_id : JobId
        tenant : TenantName, optional
            Tenant that asks, for which the workflows of other tenants do not exist;
            ``None`` for access to all workflows.

        Returns
        -------
        tuple of (Existence, WorkflowState)
            The state is ``None`` unless the workflow exists.
        """
        final = self._final_states.get(job_id)
        if final is not None:
            return _visible_state(final.state, final.tenant, tenant)
        for _ in range(STATE_ATTEMPTS):
            existence, state = await self._state_at(policy.service, job_id, tenant)
            if existence is Existence.ABSENT:
                existence, state = await self._state_elsewhere(policy, job_id, tenant)
            if existence is not Existence.UNKNOWN:
                return existence, state
            await asyncio.sleep(RETRY_DELAY_MS / 1000)
        return Existence.UNKNOWN, None

    async def _state_at(
        self, service: ServiceName, job_id: JobId, asking: TenantName | None
    ) -> tuple[Existence, WorkflowState | None]:
        """Return the state of a workflow of a service, from its owner or the store."""
        reply = await self._request_state(service, job_id)
        if reply.current and reply.state is not None:
            self._cache_final_state(job_id, reply.state, reply.tenant)
            return _visible_state(reply.state, reply.tenant, asking)
        return await self._read_state(service, job_id, asking)

    async def _state_elsewhere(
        self, policy: QueuePolicy, job_id: JobId, asking: TenantName | None
    ) -> tuple[Existence, WorkflowState | None]:
        """Return the state of a workflow submitted before its queue has moved."""
        found = await self._locator.find_elsewhere(policy.service, job_id)
        if found.is_error():
            return Existence.UNKNOWN, None
        if found.ok is None:
            return Existence.ABSENT, None
        return await self._state_at(found.ok, job_id, asking)

    async def _request_state(self, service: ServiceName, job_id: JobId) -> StateReply:
        local = self._ownership_manager.local_owner(service)
        if local is not None:
            return self.local_state(service, job_id)
        endpoint = self._ownership_manager.remote_owner_endpoint(service)
        now_ms = self._clock.monotonic_ms()
        if not endpoint or now_ms < self._skip_until_ms.get(endpoint, 0.0):
            return StateReply(False)
        reply = await self._peers.state(endpoint, service, job_id)
        if self._clock.monotonic_ms() - now_ms > SLOW_OWNER_MS:
            until_ms = self._clock.monotonic_ms() + SLOW_OWNER_PAUSE_MS
            self._skip_until_ms = {endpoint: until_ms}
        return reply

    async def _read_state(
        self, service: ServiceName, job_id: JobId, asking: TenantName | None
    ) -> tuple[Existence, WorkflowState | None]:
        spec, progress = spec_key(service, job_id), progress_key(service, job_id)
        result = await self._table.read((spec, progress))
        if result.is_error():
            return Existence.UNKNOWN, None
        if spec not in result.ok:
            return Existence.ABSENT, None
        tenant = _decode_tenant(result.ok[spec])
        if tenant is None:
            return Existence.UNKNOWN, None
        state = WorkflowState.QUEUED
        if progress in result.ok:
            try:
                state = decode_state(result.ok[progress].value)
            except msgspec.DecodeError as error:
                log_event(events.BAD_ROW, key=progress, reason=error)
                return Existence.UNKNOWN, None
            self._cache_final_state(job_id, state, tenant)
        return _visible_state(state, tenant, asking)

    def _cache_final_state(
        self, job_id: JobId, state: WorkflowState, tenant: TenantName
    ) -> None:
        if not state.is_final:
            return
        while len(self._final_states) >= FINAL_STATES_MAX:
            del self._final_states[next(iter(self._final_states))]
        self._final_states[job_id] = _FinalState(state, tenant)

    async def cancel(
        self,
        policy: QueuePolicy,
        job_id: JobId,
        deadline_ms: float,
        tenant: TenantName | None = None,
    ) -> Existence:
        """Store a cancellation.

        Parameters
        ----------
        policy : QueuePolicy
            Policy of the workflow's queue.
        job_id : JobId
            Workflow to cancel.
        deadline_ms : float
            Monotonic time in milliseconds after which the store is not tried again.
        tenant : TenantName, optional
            Tenant that asks; see `state`.

        Returns
        -------
        Existence
            `EXISTS` if the cancellation is stored, `ABSENT` if there is no such
            workflow, `UNKNOWN` if the store did not confirm it in time.
        """
        for attempt in itertools.count():
            existence = await self._cancel_at(
                policy.service, job_id, tenant, deadline_ms
            )
            if existence is Existence.ABSENT:
                found = await self._locator.find_elsewhere(policy.service, job_id)
                if found.is_error():
                    existence = Existence.UNKNOWN
                elif found.ok is not None:
                    existence = await self._cancel_at(
                        found.ok, job_id, tenant, deadline_ms
                    )
            if existence is not Existence.UNKNOWN:
                return existence
            if not await self._wait_to_retry(deadline_ms, attempt):
                break
        return Existence.UNKNOWN

    async def _cancel_at(
        self,
        service: ServiceName,
        job_id: JobId,
        asking: TenantName | None,
        deadline_ms: float,
    ) -> Existence:
        """Try once to store the cancellation of a workflow of a service."""
        read = await self._table.read((spec_key(service, job_id),))
        if read.is_error():
            return Existence.UNKNOWN
        if not read.ok:
            return Existence.ABSENT
        owning = _decode_tenant(next(iter(read.ok.values())))
        if owning is None:
            return Existence.UNKNOWN
        if not _is_visible(owning, asking):
            return Existence.ABSENT
        request = SubmitRequest(service, job_id)
        answer = await self._ask_owner(request, deadline_ms)
        if answer is SubmitAnswer.STORED:
            return Existence.EXISTS
        if answer is not SubmitAnswer.DIRECT and not self._has_time(deadline_ms):
            return Existence.UNKNOWN
        transaction = _make_cancellation(service, job_id)
        if (await self._transact(transaction, deadline_ms)).is_error():
            return Existence.UNKNOWN
        self._tasks.start(self._announce_cancelled(service, job_id))
        return Existence.EXISTS

    async def _announce_cancelled(self, service: ServiceName, job_id: JobId) -> None:
        local = self._ownership_manager.local_owner(service)
        if local is not None:
            local.cancel(job_id)
            return
        for _ in range(NOTIFY_ATTEMPTS):
            endpoint = self._ownership_manager.remote_owner_endpoint(service)
            if endpoint and await self._peers.notify_cancelled(
                endpoint, service, job_id
            ):
                return
            await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def queue_length(self, policy: QueuePolicy) -> int | None:
        """Return the number of unstarted workflows, or ``None`` if it is unknown."""
        return await self._queue_lengths.total(policy.service, policy.name)

    # Calls of peers.

    def on_submitted(self, spec: WorkflowSpec) -> None:
        """Submit a stored workflow to the local owner of its service, if any."""
        local = self._ownership_manager.local_owner(spec.policy.service)
        if local is not None:
            local.submit(spec)

    def on_cancelled(self, service: ServiceName, job_id: JobId) -> None:
        """Cancel a workflow at the local owner of its service, if any."""
        local = self._ownership_manager.local_owner(service)
        if local is not None:
            local.cancel(job_id)

    def on_released(self) -> None:
        """Poll the owners at once, to find the released services."""
        self._ownership_manager.poll_now()

    def owns(self, service: ServiceName) -> bool:
        """Return whether this process holds the lease of a service."""
        return self._ownership_manager.owns(service)

    def local_state(self, service: ServiceName, job_id: JobId) -> StateReply:
        """Return the state of a workflow, if this process owns its service."""
        local = self._ownership_manager.local_owner(service)
        if local is None or not local.is_current():
            return StateReply(False)
        return StateReply(
            True, local.workflow_state(job_id), local.workflow_tenant(job_id)
        )

    def local_queue_length(self, service: ServiceName, queue: QueueName) -> int | None:
        """Return the number of unstarted workflows, or ``None`` if not the owner."""
        return self._queue_lengths.local(service, queue)

    async def on_quota_request(self, request: QuotaRequest) -> QuotaReply:
        """Give parts of quotas of a service that this process owns."""
        local = self._ownership_manager.local_owner(request.giver)
        return await local.serve_quota(request) if local else QuotaReply(False)

    async def on_configuration_request(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        """Return the version of the configuration that this process follows."""
        if self._configuration is None:
            return ConfigurationReply()
        return await self._configuration.serve(request)

    async def on_submit_request(self, request: SubmitRequest) -> SubmitReply:
        """Store a submission or a cancellation of a service that this process owns."""
        deadline_ms = self._clock.monotonic_ms() + request.time_left_ms
        return SubmitReply(await self._collect(request, deadline_ms))

    def shared_ms(self) -> float | None:
        """Return the store's time in milliseconds, or ``None`` if it is not known."""
        return self._time.now_ms() if self._time.is_known else None

    async def run_store_call(self, call: StoreCall) -> Result[Any, StoreError]:
        """Execute a store call for a peer that cannot reach the store."""
        return await self._table.serve(call)

    async def advise(
        self,
        job_id: JobId,
        occurrence: int,
        step: int,
        workers: tuple[WorkerId, ...],
        policy: QueuePolicy,
    ) -> Result[Admission, str]:
        """Query the advice service from this machine for a peer."""
        return await self._advice.ask(job_id, occurrence, step, workers, policy)


def _make_cancellation(service: ServiceName, job_id: JobId) -> Transaction:
    return Transaction((), (Write(cancel_key(service, job_id), b"{}"),))


def _is_visible(owning: TenantName, asking: TenantName | None) -> bool:
    """Return whether a tenant may see a workflow.

    Workflows without a tenant, from a public queue or an earlier version of the
    program, are visible to all.
    """
    return not owning or asking is None or asking == owning


def _visible_state(
    state: WorkflowState, owning: TenantName, asking: TenantName | None
) -> tuple[Existence, WorkflowState | None]:
    if not _is_visible(owning, asking):
        return Existence.ABSENT, None
    return Existence.EXISTS, state


def _decode_tenant(row: Row) -> TenantName | None:
    """Return the tenant of a stored workflow, or ``None`` if the row is damaged."""
    try:
        return _TENANT_DECODER.decode(row.value).tenant
    except msgspec.DecodeError as error:
        log_event(events.BAD_ROW, key=row.key, reason=error)
        return None
