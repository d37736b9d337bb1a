"""Steps of the explored system, over the rules of the running code."""

from collections.abc import Iterator

import msgspec

from basilhold.core import (
    Assignment,
    Attempt,
    Resources,
    RestartPolicy,
    TaskId,
    TaskState,
    WorkerId,
)
from basilhold.ports import Condition
from basilhold.sharding.commit_rules import (
    SentCommit,
    Verdict,
    commit_conditions,
    judge,
)
from basilhold.sharding.explorer_model import (
    LEASE_MS,
    TICK_MS,
    ZONE,
    Commit,
    Message,
    Scenario,
    Scheduler,
    State,
    Worker,
    apply_commit,
    put,
    store_rows,
)
from basilhold.sharding.leases import (
    fence,
    grant,
    inherit,
    is_free,
    next_expiry,
)
from basilhold.sharding.task_rules import (
    AttemptPhase,
    MissingAction,
    after_lease_expiry,
    after_stop,
    when_missing,
)

__all__ = ["Rules", "Steps"]

_replace = msgspec.structs.replace


class Rules:
    """The decisions that the exploration drives."""

    is_free = staticmethod(is_free)
    fence = staticmethod(fence)
    when_missing = staticmethod(when_missing)
    policies = (RestartPolicy.ALLOWED, RestartPolicy.FORBIDDEN)
    workers_check_epoch = True
    starts_need_commit = True
    unknown_is_not_applied = False

    @staticmethod
    def conditions(shard_version: int, commit_version: int) -> tuple[Condition, ...]:
        """Return the conditions of each commit besides those on worker rows."""
        return commit_conditions(ZONE, shard_version, commit_version)


class Steps:
    """Produces the successors of a state."""

    def __init__(self, rules: Rules, scenario: Scenario):
        self._rules = rules
        self._scenario = scenario

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield each step that is possible in a state and where it leads."""
        if state.tick < self._scenario.ticks:
            yield "tick", self._tick(state)
        for commit in state.commits:
            yield from self._deliver_commit(state, commit)
        for message in state.messages:
            yield self._deliver(state, message)
        for index, scheduler in enumerate(state.schedulers):
            if scheduler.epoch == 0:
                if index == 1 and state.store.epoch == 1:
                    yield "claim", self._claim(state, index)
                continue
            if scheduler.pending is not None:
                yield from self._resolve(state, index)
            else:
                yield from self._place(state, index)
            for worker in range(2):
                if self._scenario.talk or not scheduler.leases[worker].fenced:
                    yield from self._talk(state, index, worker)

    def without_dead_messages(self, state: State) -> State:
        """Drop messages that can have no effect any more; versions only grow."""
        rows = store_rows(state.store)
        commits = frozenset(
            commit
            for commit in state.commits
            if all(
                condition.version >= (rows[condition.key].version)
                for condition in commit.conditions
                if condition.key in rows
            )
        )
        messages = frozenset(
            message
            for message in state.messages
            if self._matters(state.workers[message.worker], message, state.tick)
        )
        if commits == state.commits and messages == state.messages:
            return state
        return _replace(state, commits=commits, messages=messages)

    def _matters(self, worker: Worker, message: Message, tick: int) -> bool:
        if not self._accepts(worker, message.epoch) or (
            message.until_ms <= tick * TICK_MS
        ):
            return False
        if message.attempt == 0:
            return message.until_ms > worker.lease_ms
        return message.attempt > worker.last[message.task]

    def _tick(self, state: State) -> State:
        now_ms = (state.tick + 1) * TICK_MS
        workers = tuple(
            worker if now_ms < worker.lease_ms else _replace(worker, running=())
            for worker in state.workers
        )
        return _replace(state, tick=state.tick + 1, workers=workers)

    def _claim(self, state: State, index: int) -> State:
        store = _replace(
            state.store,
            epoch=state.store.epoch + 1,
            shard_version=state.store.shard_version + 1,
        )
        inherited_ms = self._scenario.horizon_ms
        horizon_ms = state.tick * TICK_MS + self._scenario.horizon_ms
        phases = tuple(
            (task, AttemptPhase.SENT) for held in store.assigned for task, _ in held
        )
        lease = inherit(inherited_ms)
        owner = Scheduler(store.epoch, horizon_ms, store, (lease, lease), phases)
        schedulers = put(state.schedulers, index, owner)
        return _replace(state, store=store, schedulers=schedulers)

    # Commits.

    def _send(
        self, state: State, index: int, worker: int, task: int, attempt: int, **kind
    ) -> State:
        scheduler = state.schedulers[index]
        known = scheduler.store
        conditions = (
            *self._rules.conditions(known.shard_version, known.commit_version),
            Condition(f"w{worker}", known.versions[worker]),
        )
        commit = Commit(
            state.next_number,
            index,
            worker,
            task,
            attempt,
            kind["adds"],
            kind.get("final", False),
            conditions,
        )
        return _replace(
            state,
            schedulers=put(
                state.schedulers, index, _replace(scheduler, pending=commit)
            ),
            commits=state.commits | {commit},
            next_number=state.next_number + 1,
        )

    def _place(self, state: State, index: int) -> Iterator[tuple[str, State]]:
        known = state.schedulers[index].store
        placed = {task for held in known.assigned for task, _ in held}
        for task in range(2):
            if task in placed or known.final[task] or known.attempts[task] > 1:
                continue
            for worker in range(2):
                if state.next_number == 1 and worker == 1 and not any(known.attempts):
                    continue  # The workers are alike.
                if state.next_number > self._scenario.commits:
                    continue
                lease = state.schedulers[index].leases[worker]
                if not known.assigned[worker] and lease.fenced:
                    attempt = known.attempts[task] + 1
                    yield (
                        f"s{index} places t{task} on w{worker}",
                        self._send(state, index, worker, task, attempt, adds=True),
                    )

    def _deliver_commit(
        self, state: State, commit: Commit
    ) -> Iterator[tuple[str, State]]:
        store = apply_commit(state.store, commit)
        state = _replace(state, store=store, commits=state.commits - {commit})
        yield f"commit {commit.number} arrives", state
        scheduler = state.schedulers[commit.by]
        if scheduler.pending == commit and store.commit_number == commit.number:
            yield (
                f"commit {commit.number} is answered",
                self._settle(state, commit.by, Verdict.APPLIED),
            )

    def _resolve(self, state: State, index: int) -> Iterator[tuple[str, State]]:
        commit = state.schedulers[index].pending
        sent = SentCommit(ZONE, str(commit.number), commit.conditions)
        verdict = judge(sent, store_rows(state.store))
        if self._rules.unknown_is_not_applied:
            verdict = Verdict.REBUILD
        elif not self._rules.starts_need_commit:
            verdict = Verdict.APPLIED
        if verdict is Verdict.RESEND and commit in state.commits:
            return
        yield (
            f"s{index} finds commit {commit.number} {verdict.value}",
            self._settle(state, index, verdict),
        )

    def _settle(self, state: State, index: int, verdict: Verdict) -> State:
        scheduler = state.schedulers[index]
        commit = scheduler.pending
        if verdict is Verdict.RESEND:
            return _replace(state, commits=state.commits | {commit})
        if verdict is Verdict.LOST:
            return _replace(state, schedulers=put(state.schedulers, index, Scheduler()))
        known = scheduler.store
        phases = dict(scheduler.phases)
        if verdict is Verdict.APPLIED:
            conditions = _replace(commit, conditions=())
            known = apply_commit(known, conditions)
            phases.pop(commit.task, None)
            if commit.adds:
                phases[commit.task] = AttemptPhase.FRESH
        else:
            current = state.store
            known = _replace(
                known,
                commit_version=current.commit_version,
                versions=current.versions,
            )
            if not commit.adds:
                phases[commit.task] = AttemptPhase.SENT
        owner = _replace(
            scheduler,
            store=known,
            phases=tuple(sorted(phases.items())),
            pending=None,
        )
        return _replace(state, schedulers=put(state.schedulers, index, owner))

    # Workers.

    def _talk(
        self, state: State, index: int, worker: int
    ) -> Iterator[tuple[str, State]]:
        scheduler = state.schedulers[index]
        lease = scheduler.leases[worker]
        now_ms = state.tick * TICK_MS
        name = f"s{index}"
        if not lease.fenced:
            yield f"{name} asks w{worker}", self._report(state, index, worker)
        elif scheduler.store.assigned[worker]:
            expires_ms = next_expiry(now_ms, LEASE_MS, scheduler.horizon_ms)
            if expires_ms > max(now_ms, lease.granted_until_unix_ms):
                yield (
                    f"{name} renews w{worker}",
                    self._renew(state, index, worker, expires_ms),
                )
        for task, attempt in scheduler.store.assigned[worker]:
            phase = dict(scheduler.phases)[task]
            yield from self._advance(state, index, worker, task, attempt, phase)

    def _advance(
        self,
        state: State,
        index: int,
        worker: int,
        task: int,
        attempt: int,
        phase: AttemptPhase,
    ) -> Iterator[tuple[str, State]]:
        scheduler = state.schedulers[index]
        lease = scheduler.leases[worker]
        now_ms = state.tick * TICK_MS
        name = f"s{index} t{task}"
        if phase is AttemptPhase.RELEASING:
            return
        action = self._rules.when_missing(phase, self._rules.policies[task])
        if lease.fenced and lease.granted_until_unix_ms > now_ms:
            message = Message(
                scheduler.epoch, worker, lease.granted_until_unix_ms, task, attempt
            )
            if action is MissingAction.START and self._matters(
                state.workers[worker], message, state.tick
            ):
                sent = self._set_phase(state, index, task, AttemptPhase.SENT)
                sent = _replace(sent, messages=sent.messages | {message})
                yield f"{name} starts on w{worker}", sent
        if scheduler.pending is not None:
            return
        assignment = Assignment(TaskId(str(task)), Attempt(attempt), Resources())
        worker_id = WorkerId(str(worker))
        if self._rules.is_free(lease, now_ms):
            release = after_lease_expiry(
                assignment, worker_id, phase, self._rules.policies[task]
            )
            final = release.state is not TaskState.PENDING
            sent = self._send(
                state, index, worker, task, attempt, adds=False, final=final
            )
            sent = self._set_phase(sent, index, task, AttemptPhase.RELEASING)
            yield f"{name} is released from w{worker}", sent
        if lease.fenced and phase is AttemptPhase.SENT:
            yield from self._stop(state, index, worker, task, attempt)

    def _set_phase(
        self, state: State, index: int, task: int, phase: AttemptPhase
    ) -> State:
        scheduler = state.schedulers[index]
        phases = tuple(sorted((dict(scheduler.phases) | {task: phase}).items()))
        scheduler = _replace(scheduler, phases=phases)
        return _replace(state, schedulers=put(state.schedulers, index, scheduler))

    def _accepts(self, worker: Worker, epoch: int) -> bool:
        return epoch >= worker.epoch or not self._rules.workers_check_epoch

    def _step_down(self, state: State, index: int) -> State:
        return _replace(state, schedulers=put(state.schedulers, index, Scheduler()))

    def _report(self, state: State, index: int, number: int) -> State:
        scheduler, worker = state.schedulers[index], state.workers[number]
        if not self._accepts(worker, scheduler.epoch):
            return self._step_down(state, index)
        lease = self._rules.fence(scheduler.leases[number], worker.lease_ms)
        phases = dict(scheduler.phases)
        for run in scheduler.store.assigned[number]:
            if run in worker.running and phases[run[0]] is AttemptPhase.SENT:
                phases[run[0]] = AttemptPhase.RUNNING
        scheduler = _replace(
            scheduler,
            leases=put(scheduler.leases, number, lease),
            phases=tuple(sorted(phases.items())),
        )
        worker = _replace(worker, epoch=max(worker.epoch, scheduler.epoch))
        return _replace(
            state,
            schedulers=put(state.schedulers, index, scheduler),
            workers=put(state.workers, number, worker),
        )

    def _renew(self, state: State, index: int, worker: int, expires_ms: int) -> State:
        scheduler = state.schedulers[index]
        lease = grant(scheduler.leases[worker], expires_ms)
        leases = put(scheduler.leases, worker, lease)
        scheduler = _replace(scheduler, leases=leases)
        message = Message(scheduler.epoch, worker, expires_ms)
        return _replace(
            state,
            schedulers=put(state.schedulers, index, scheduler),
            messages=state.messages | {message},
        )

    def _stop(
        self, state: State, index: int, number: int, task: int, attempt: int
    ) -> Iterator[tuple[str, State]]:
        scheduler, worker = state.schedulers[index], state.workers[number]
        if not self._accepts(worker, scheduler.epoch):
            yield f"s{index} is fenced out", self._step_down(state, index)
            return
        never = worker.started[task] < attempt
        worker = _replace(
            worker,
            last=put(worker.last, task, max(worker.last[task], attempt)),
            running=tuple(r for r in worker.running if r != (task, attempt)),
        )
        assignment = Assignment(TaskId(str(task)), Attempt(attempt), Resources())
        release = after_stop(
            assignment, WorkerId(str(number)), self._rules.policies[task], never, "stop"
        )
        final = release.state is not TaskState.PENDING
        state = _replace(state, workers=put(state.workers, number, worker))
        state = self._send(state, index, number, task, attempt, adds=False, final=final)
        state = self._set_phase(state, index, task, AttemptPhase.RELEASING)
        yield f"s{index} stops t{task} on w{number}", state

    def _deliver(self, state: State, message: Message) -> tuple[str, State]:
        worker = state.workers[message.worker]
        state = _replace(state, messages=state.messages - {message})
        if not self._accepts(worker, message.epoch):
            return "message is refused", state
        worker = _replace(worker, epoch=max(worker.epoch, message.epoch))
        now_ms = state.tick * TICK_MS
        if message.attempt == 0:
            lease_ms = max(worker.lease_ms, message.until_ms)
            worker = _replace(worker, lease_ms=lease_ms)
            label = f"renewal reaches w{message.worker}"
        else:
            label = f"start of t{message.task} reaches w{message.worker}"
            late = now_ms >= min(message.until_ms, worker.lease_ms)
            old = message.attempt <= worker.last[message.task]
            if not (late or old or worker.running):
                run = (message.task, message.attempt)
                worker = _replace(
                    worker,
                    running=(run,),
                    last=put(worker.last, message.task, message.attempt),
                    started=put(worker.started, message.task, message.attempt),
                )
                count = state.starts[message.task] + 1
                state = _replace(state, starts=put(state.starts, message.task, count))
        return label, _replace(
            state, workers=put(state.workers, message.worker, worker)
        )
