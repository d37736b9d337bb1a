"""State of the explorer: two schedulers, two workers, a store and messages."""

from functools import cache

import msgspec

from basilhold.core import (
    ZoneName,
)
from basilhold.ports import Condition, Row
from basilhold.sharding.leases import (
    WorkerLease,
)
from basilhold.sharding.rows import CommitRecord, commit_key, encode, shard_key
from basilhold.sharding.task_rules import (
    AttemptPhase,
)

__all__ = [
    "AT_MOST_ONCE_EXPIRY",
    "COMMIT_RACES",
    "EXPIRY",
    "FENCING",
    "LEASE_MS",
    "START_RACES",
    "TICK_MS",
    "ZONE",
    "Commit",
    "Exploration",
    "Message",
    "Scenario",
    "Scheduler",
    "State",
    "Store",
    "Worker",
    "apply_commit",
    "find_violation",
    "initial_state",
    "put",
    "store_rows",
]

ZONE = ZoneName("z")
TICK_MS = 10_000
LEASE_MS = TICK_MS
SHARD, COMMIT = shard_key(ZONE), commit_key(ZONE)


class Scenario(msgspec.Struct, frozen=True):
    """Bounds of an exploration.

    Parameters
    ----------
    ticks : int
        Time that passes, in units of a worker lease.
    commits : int
        Placements begin only until so many transactions were made.
    placed_task : int or None
        A task that the first scheduler has committed to the first worker; the other
        task is left out.
    pending : tuple of int
        The tasks that wait, if none is placed.
    talk : bool
        Whether schedulers talk to workers.
    horizon_ticks : int
        Lease horizon of each owner, from its takeover.
    """

    ticks: int
    commits: int
    placed_task: int | None = None
    pending: tuple[int, ...] = (0, 1)
    talk: bool = True
    horizon_ticks: int = 1

    @property
    def horizon_ms(self) -> int:
        """How far ahead an owner may grant leases."""
        return self.horizon_ticks * TICK_MS


COMMIT_RACES = Scenario(ticks=0, commits=5, talk=False)
"""Both schedulers commit both tasks; nothing is started."""

START_RACES = Scenario(ticks=0, commits=4, pending=(0,))
"""Both schedulers commit and start one task; no lease expires."""

EXPIRY = Scenario(ticks=2, commits=2, placed_task=0)
"""A task moves to the other worker once the first owner's horizon has passed."""

AT_MOST_ONCE_EXPIRY = Scenario(ticks=2, commits=2, placed_task=1)
"""The same for an at-most-once task."""

FENCING = Scenario(ticks=1, commits=2, placed_task=0, horizon_ticks=2)
"""The first owner may still grant leases after the second has fenced a worker."""


class Commit(msgspec.Struct, frozen=True):
    """A transaction that changes one task's assignment on one worker."""

    number: int
    by: int
    worker: int
    task: int
    attempt: int
    adds: bool
    final: bool
    conditions: tuple[Condition, ...]


class Store(msgspec.Struct, frozen=True):
    """The shard's rows; worker and task rows carry a version each."""

    epoch: int
    shard_version: int
    commit_number: int
    commit_version: int
    assigned: tuple[tuple[tuple[int, int], ...], ...]
    versions: tuple[int, ...]
    attempts: tuple[int, ...]
    final: tuple[bool, ...]


class Scheduler(msgspec.Struct, frozen=True):
    """What one scheduler knows; epoch 0 if it owns nothing."""

    epoch: int = 0
    horizon_ms: int = 0
    store: Store | None = None
    leases: tuple[WorkerLease, ...] = ()
    phases: tuple[tuple[int, AttemptPhase], ...] = ()
    pending: Commit | None = None


class Message(msgspec.Struct, frozen=True):
    """A start or a renewal on its way; `attempt` is 0 for a renewal."""

    epoch: int
    worker: int
    until_ms: int
    task: int = -1
    attempt: int = 0


class Worker(msgspec.Struct, frozen=True):
    """A worker that follows the platform's contract; it has room for one task."""

    epoch: int = 0
    lease_ms: int = 0
    running: tuple[tuple[int, int], ...] = ()
    last: tuple[int, ...] = (0, 0)
    started: tuple[int, ...] = (0, 0)


class State(msgspec.Struct, frozen=True):
    """One state of the whole system."""

    tick: int
    store: Store
    schedulers: tuple[Scheduler, ...]
    workers: tuple[Worker, ...]
    messages: frozenset[Message]
    commits: frozenset[Commit]
    starts: tuple[int, ...]
    next_number: int


class Exploration(msgspec.Struct, frozen=True):
    """Result: the number of states, and the way to a broken guarantee, if any."""

    states: int
    complete: bool = False
    violation: str = ""
    trace: tuple[str, ...] = ()


_replace = msgspec.structs.replace


def put(items: tuple, index: int, item) -> tuple:
    """Return a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def initial_state(scenario: Scenario) -> State:
    """Return the state from which a scenario starts."""
    store = Store(1, 1, 0, 0, ((), ()), (1, 1), (0, 0), (False, False))
    final = tuple(task not in scenario.pending for task in range(2))
    store = _replace(store, final=final)
    phases: tuple[tuple[int, AttemptPhase], ...] = ()
    if scenario.placed_task is not None:
        task = scenario.placed_task
        store = _replace(
            store,
            assigned=(((task, 1),), ()),
            attempts=put((0, 0), task, 1),
            final=put((True, True), task, False),
        )
        phases = ((task, AttemptPhase.FRESH),)
    lease = WorkerLease(fenced=True)
    first = Scheduler(1, scenario.horizon_ms, store, (lease, lease), phases)
    worker = Worker(epoch=1)
    empty: frozenset = frozenset()
    return State(
        0, store, (first, Scheduler()), (worker, worker), empty, empty, (0, 0), 1
    )


@cache
def _commit_row(number: int, version: int) -> Row:
    return Row(COMMIT, encode(CommitRecord(str(number), version)), version)


def store_rows(store: Store) -> dict[str, Row]:
    """Return the rows that conditions name."""
    rows = {SHARD: Row(SHARD, b"", store.shard_version)}
    if store.commit_version:
        rows[COMMIT] = _commit_row(store.commit_number, store.commit_version)
    for worker, version in enumerate(store.versions):
        rows[f"w{worker}"] = Row(f"w{worker}", b"", version)
    return rows


def apply_commit(store: Store, commit: Commit) -> Store:
    """Return the store after a transaction; unchanged if a condition fails."""
    rows = store_rows(store)
    for condition in commit.conditions:
        row = rows.get(condition.key)
        if (row.version if row else 0) != condition.version:
            return store
    held = store.assigned[commit.worker]
    if commit.adds:
        held = (*held, (commit.task, commit.attempt))
    else:
        held = tuple(a for a in held if a != (commit.task, commit.attempt))
    versions = put(store.versions, commit.worker, store.versions[commit.worker] + 1)
    final = store.final[commit.task] or commit.final
    return _replace(
        store,
        commit_number=commit.number,
        commit_version=store.commit_version + 1,
        assigned=put(store.assigned, commit.worker, held),
        versions=versions,
        attempts=put(store.attempts, commit.task, commit.attempt),
        final=put(store.final, commit.task, final),
    )


def find_violation(state: State) -> str:
    """Return which guarantee a state breaks, or an empty string."""
    first, second = state.workers
    for task in range(2):
        if any(t == task for t, _ in first.running) and any(
            t == task for t, _ in second.running
        ):
            return f"t{task} runs on both workers"
        holders = [held for held in state.store.assigned if task in dict(held)]
        if len(holders) > 1:
            return f"t{task} is committed twice"
    if state.starts[1] > 1:
        return "the at-most-once task started twice"
    if any(len(held) > 1 for held in state.store.assigned):
        return "a worker is committed beyond its size"
    return ""
