"""Explores all interleavings of the exchange of quota between two services.

Each service has a live owner and may have a replaced one, which is paused and continues
at any later moment. Owners grant, commit, reply, start and end runs, and are replaced;
messages are lost, repeated and arrive in any order. In no state may the runs of both
services together exceed the quota.

Run ``python -m basilhold.testing.quota_explorer`` for the number of states.
"""

import copy
from collections.abc import Iterator
from enum import Enum

import click
import msgspec

from basilhold.core import ServiceName
from basilhold.tenants import AllotmentLedger, LedgerChanges, Parts, TenantName

__all__ = ["Exploration", "Variant", "explore"]

TENANT = TenantName("north")
HOME, OTHER = ServiceName("home"), ServiceName("other")
UNIT = Parts(500_000, 0, 0)
"""Quota of one run."""

RUNS_MAX = 2
"""Number of runs that use the whole quota."""

GRANTS_MAX = 1
TAKEOVERS_MAX = 1
"""Bounds of the exploration for each service."""


class Variant(Enum):
    """The protocol, or one with a fault that the exploration has to find."""

    AS_BUILT = "as built"
    NO_FENCE = "commits of a replaced owner are applied"
    REPLY_BEFORE_COMMIT = "replies name what is not stored"
    FORGETS_AT_TAKEOVER = "a successor does not read what was given"
    ADDS_REPEATED_MESSAGES = "each message adds to the allotment"


class _Owner(msgspec.Struct):
    """An owner's memory: its ledger, and a commit that is under way."""

    ledger: AllotmentLedger
    commit: LedgerChanges | None = None
    commit_runs: int = 0

    def key(self) -> tuple:
        records = sorted(
            (name, sorted(r.sent.items()), sorted(r.received.items()))
            for name, r in self.ledger._records.items()
        )
        stored = sorted(self.ledger._stored_sent.items())
        rows = sorted(self.commit.rows.items()) if self.commit else None
        return repr(
            (records, stored, rows, self.commit_runs)
        ), self.ledger.has_changes()


class _Service(msgspec.Struct):
    """A service: what the store and the workers hold, and its owners."""

    live: _Owner
    replaced: _Owner | None = None
    rows: dict[int, bytes] = {}
    runs: int = 0
    grants: int = 0
    takeovers: int = 0


class _World(msgspec.Struct):
    services: dict[ServiceName, _Service]
    messages: set[tuple[ServiceName, Parts]]

    def key(self) -> tuple:
        parts = [
            (
                s.live.key(),
                s.replaced.key() if s.replaced else None,
                tuple(sorted(s.rows.items())),
                s.runs,
                s.grants,
                s.takeovers,
            )
            for s in self.services.values()
        ]
        messages = sorted((name, repr(total)) for name, total in self.messages)
        return tuple(parts), tuple(messages)


class Exploration(msgspec.Struct):
    """Result of an exploration.

    Parameters
    ----------
    state_count : int
    violation : list of str
        Steps that lead to a broken guarantee; empty if there is none.
    """

    state_count: int
    violation: list[str]


def _make_ledger(service: ServiceName, rows: dict[int, bytes]) -> AllotmentLedger:
    return AllotmentLedger(service, service == HOME, rows)


def explore(variant: Variant = Variant.AS_BUILT) -> Exploration:
    """Visit all states; stop at the first one in which the quota is exceeded."""
    world = _World(
        {name: _Service(_Owner(_make_ledger(name, {}))) for name in (HOME, OTHER)},
        set(),
    )
    seen = {world.key()}
    waiting: list[tuple[_World, tuple[str, ...]]] = [(world, ())]
    while waiting:
        world, path = waiting.pop()
        for label, successor in _successors(world, variant):
            key = successor.key()
            if key in seen:
                continue
            seen.add(key)
            steps = (*path, label)
            if sum(service.runs for service in successor.services.values()) > RUNS_MAX:
                return Exploration(len(seen), list(steps))
            waiting.append((successor, steps))
    return Exploration(len(seen), [])


def _successors(world: _World, variant: Variant) -> Iterator[tuple[str, _World]]:
    for name in (HOME, OTHER):
        for action in (_grant, _begin_commit, _finish_commit, _reply, _end_run):
            yield from _apply(world, name, action, variant)
        yield from _apply(world, name, _take_over, variant)
        yield from _apply(world, name, _continue_replaced, variant)
        for index in range(len(world.messages)):
            successor = copy.deepcopy(world)
            if _deliver(successor, name, index, variant):
                yield f"{name} hears message {index}", successor


def _apply(world, name, action, variant) -> Iterator[tuple[str, _World]]:
    successor = copy.deepcopy(world)
    if action(successor, name, variant):
        yield f"{name} {action.__name__.strip('_')}", successor


def _free(service: _Service, ledger: AllotmentLedger) -> int:
    """Return the number of runs that the allotment still allows."""
    planned = service.live.commit_runs
    held = ledger.held(TENANT).cores_ppm // UNIT.cores_ppm
    return held - service.runs - planned


def _grant(world: _World, name: ServiceName, variant: Variant) -> bool:
    service = world.services[name]
    if service.grants == GRANTS_MAX or _free(service, service.live.ledger) < 1:
        return False
    service.grants += 1
    service.live.ledger.send(TENANT, HOME if name == OTHER else OTHER, UNIT)
    return True


def _begin_commit(world: _World, name: ServiceName, variant: Variant) -> bool:
    """Begin a commit of the ledger's changes, and of a start if one is allowed."""
    service = world.services[name]
    owner = service.live
    starts = _free(service, owner.ledger) > 0
    if owner.commit is not None or not (starts or owner.ledger.has_changes()):
        return False
    owner.commit = owner.ledger.take_changes()
    owner.commit_runs = int(starts)
    return True


def _finish_commit(world: _World, name: ServiceName, variant: Variant) -> bool:
    service = world.services[name]
    return _store(service, service.live)


def _store(service: _Service, owner: _Owner) -> bool:
    if owner.commit is None:
        return False
    service.rows.update(owner.commit.rows)
    service.runs += owner.commit_runs
    owner.ledger.mark_stored(owner.commit)
    owner.commit, owner.commit_runs = None, 0
    return True


def _reply(world: _World, name: ServiceName, variant: Variant) -> bool:
    service = world.services[name]
    receiver = HOME if name == OTHER else OTHER
    if variant is Variant.REPLY_BEFORE_COMMIT:
        record = service.live.ledger._records.get(TENANT)
        total = record.sent.get(receiver) if record else None
    else:
        total = service.live.ledger.stored_sent(receiver).get(TENANT)
    if total is None or (name, total) in world.messages:
        return False
    world.messages.add((name, total))
    return True


def _deliver(world: _World, name: ServiceName, index: int, variant: Variant) -> bool:
    """Let a service hear a message, which may be heard again later."""
    sender, total = sorted(world.messages, key=repr)[index]
    if sender == name:
        return False
    ledger = world.services[name].live.ledger
    if variant is Variant.ADDS_REPEATED_MESSAGES:
        total = ledger._record(TENANT).received.get(sender, Parts()) + total
        if total.cores_ppm > 3 * UNIT.cores_ppm:
            return False
    return ledger.receive(TENANT, sender, total)


def _end_run(world: _World, name: ServiceName, variant: Variant) -> bool:
    service = world.services[name]
    service.runs -= 1
    return service.runs >= 0


def _take_over(world: _World, name: ServiceName, variant: Variant) -> bool:
    """Replace the live owner, which goes on with its commit later or never."""
    service = world.services[name]
    if service.takeovers == TAKEOVERS_MAX:
        return False
    service.takeovers += 1
    service.replaced = service.live
    rows = {} if variant is Variant.FORGETS_AT_TAKEOVER else dict(service.rows)
    service.live = _Owner(_make_ledger(name, rows))
    return True


def _continue_replaced(world: _World, name: ServiceName, variant: Variant) -> bool:
    """Let a replaced owner send its commit; the store refuses it."""
    service = world.services[name]
    if service.replaced is None:
        return False
    replaced, service.replaced = service.replaced, None
    if variant is Variant.NO_FENCE:
        return _store(service, replaced)
    return True


@click.command()
def main() -> None:
    """Explore the protocol and its faulty variants."""
    for variant in Variant:
        result = explore(variant)
        outcome = "; ".join(result.violation) or "no violation"
        click.echo(f"{variant.value}: {result.state_count} states, {outcome}")


if __name__ == "__main__":
    main()
