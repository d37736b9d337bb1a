"""The order in which steps get capacity when there is more work than capacity.

The module performs no I/O.
"""

from abc import ABC, abstractmethod
from collections.abc import Hashable

import msgspec

from basilhold.core import Resources
from basilhold.tenants import (
    NO_TENANT,
    Amounts,
    QuotaBook,
    ShareStanding,
    TenantDemand,
    TenantName,
    amounts_of,
    dominant_share,
    due_level,
)
from basilhold.workflows.pool import Pool
from basilhold.workflows.preemption import count_fitting
from basilhold.workflows.ready_steps import (
    SURPLUS_RANK,
    WORTHLESS_RANK,
    ReadyStep,
    is_in_time,
    late_after_ms,
    rank,
)

__all__ = ["DeadlineOrder", "DominantShareOrder", "StepOrder", "TenantShareOrder"]


class StepOrder(ABC):
    """Orders the ready steps of a planning pass.

    Attributes
    ----------
    divides_capacity : bool
        Whether the order divides capacity that is short by the weights of the tenants.
    """

    divides_capacity = False

    @abstractmethod
    def sort(
        self,
        steps: list[ReadyStep],
        store_ms: float,
        pool: Pool,
        quotas: QuotaBook | None,
    ) -> list[ReadyStep]:
        """Return the steps in the order in which they are placed.

        Parameters
        ----------
        steps : list of ReadyStep
        store_ms : float
            Time of the store's clock, in milliseconds.
        pool : Pool
            Workers of the service.
        quotas : QuotaBook, optional
            ``None`` if there are no tenants.
        """


class DeadlineOrder(StepOrder):
    """By rank, and by the latest start within a rank.

    What a tenant submits beyond its rate has a higher rank, so the work of one tenant
    does not delay that of others beyond what its weight allows.
    """

    def sort(
        self,
        steps: list[ReadyStep],
        store_ms: float,
        pool: Pool,
        quotas: QuotaBook | None,
    ) -> list[ReadyStep]:
        """Return the steps in the order in which they are placed."""
        return sorted(steps, key=lambda s: (rank(s, store_ms), s.start_by_ms))


class DominantShareOrder(StepOrder):
    """By rank, and by the dominant share of the tenant within a rank.

    The dominant share is the largest share of any resource of the pool that a tenant
    uses, divided by its weight.
    """

    def sort(
        self,
        steps: list[ReadyStep],
        store_ms: float,
        pool: Pool,
        quotas: QuotaBook | None,
    ) -> list[ReadyStep]:
        """Return the steps in the order in which they are placed."""
        shares: dict[TenantName, float] = {}
        total = pool.capacity()
        for step in steps:
            if step.tenant not in shares:
                shares[step.tenant] = _dominant_share(step.tenant, total, quotas)
        return sorted(
            steps,
            key=lambda s: (rank(s, store_ms), shares[s.tenant], s.start_by_ms),
        )


def _dominant_share(
    name: TenantName, total: Resources, quotas: QuotaBook | None
) -> float:
    if quotas is None or name == NO_TENANT:
        return 0.0
    used = quotas.used(name)
    tenant = quotas.registry.get(name) if quotas.registry is not None else None
    weight = tenant.weight if tenant is not None else 1.0
    share = max(
        used.cores_milli / max(1, total.cores_milli),
        used.memory_bytes / max(1, total.memory_bytes),
        used.gpus_milli / max(1, total.gpus_milli),
    )
    return share / weight


DUE_SHARE_MIN = 1e-6
"""Least due share, as a part of the capacity, which keeps quotients finite."""

SHARE_QUANTUM = 0.0
"""Part of the capacity that a tenant may use above its due share. One wide step or gang
is a multiple of the due share of a small tenant."""

SHARE_TOLERANCE = 0.05
"""Part by which a tenant has to exceed its due share to count as above it."""

DUE_SHARES_MAX = 1_000
"""Bound of the due shares that are told apart."""


class _Candidate(msgspec.Struct):
    """A step with its place in the order.

    Parameters
    ----------
    step : ReadyStep
    rank : float
    count : int
        Number of its waiting tasks that the quota of its tenant allows now.
    due_shares : int
        How many times the due share its tenant has without the step, rounded down; 0
        if it is below its share.
    is_behind : bool
        Whether capacity is expected only when the step is late.
    """

    step: ReadyStep
    rank: float
    count: int
    due_shares: int = 0
    is_behind: bool = False


class TenantShareOrder(StepOrder):
    """By rank, and by what the tenants are due within a rank, if capacity is short.

    While all steps are expected to start in time, the order is that of `DeadlineOrder`.
    Otherwise the steps of one rank are ordered as follows, and each group by its latest
    start: steps of tenants below their due share that are expected to start in time;
    such steps of other tenants, those with fewer due shares first; steps that are
    expected to be late. A step that is late already has a higher rank.
    """

    divides_capacity = True

    def sort(
        self,
        steps: list[ReadyStep],
        store_ms: float,
        pool: Pool,
        quotas: QuotaBook | None,
    ) -> list[ReadyStep]:
        """Return the steps in the order in which they are placed."""
        candidates = _make_candidates(steps, store_ms, quotas)
        if quotas is None or quotas.registry is None:
            return [candidate.step for candidate in candidates]
        total = amounts_of(pool.capacity())
        free = _free_amounts(pool)
        quotas.shares.standing = ShareStanding()
        if _mark_behind(candidates, free, total, store_ms):
            standing = _count_due_shares(candidates, total, quotas)
            candidates.sort(key=lambda c: (c.rank, c.due_shares, c.step.start_by_ms))
            _mark_behind(candidates, free, total, store_ms)
            candidates.sort(
                key=lambda c: (c.rank, c.is_behind, c.due_shares, c.step.start_by_ms)
            )
            standing.behind = _find_behind_others(candidates, store_ms)
            quotas.shares.standing = standing
        return [candidate.step for candidate in candidates]


def _make_candidates(
    steps: list[ReadyStep], store_ms: float, quotas: QuotaBook | None
) -> list[_Candidate]:
    """Return the steps by rank and latest start, within the quotas of their tenants."""
    ordered = sorted(
        (rank(step, store_ms), step.start_by_ms, number)
        for number, step in enumerate(steps)
    )
    rooms: dict[TenantName, Resources | None] = {}
    candidates: list[_Candidate] = []
    for step_rank, _, number in ordered:
        step = steps[number]
        count = len(step.keys)
        if quotas is not None:
            if step.tenant not in rooms:
                rooms[step.tenant] = quotas.room(step.tenant)
            room = rooms[step.tenant]
            if room is not None:
                count = count_fitting(room, step.spec.size, count)
                if step.spec.gang and count < len(step.keys):
                    count = 0
                rooms[step.tenant] = room - step.spec.size.scaled(count)
        candidates.append(_Candidate(step, step_rank, count))
    return candidates


def _free_amounts(pool: Pool) -> Amounts:
    free = Resources()
    for worker in pool.workers.values():
        if not worker.info.draining and not worker.free.is_negative():
            free = free + worker.free
    return amounts_of(free)


def _mark_behind(
    candidates: list[_Candidate], free: Amounts, total: Amounts, store_ms: float
) -> bool:
    """Mark the steps that would start late if they are placed in this order.

    What does not fit into the free capacity starts as fast as a full pool works it off.
    A step that is expected to be late delays no other one.

    Returns
    -------
    bool
        Whether capacity is short: a step is expected to be late, or is late already.
    """
    taken = [0.0, 0.0, 0.0]
    work_ms = [0.0, 0.0, 0.0]
    is_short = False
    for candidate in candidates:
        step, count = candidate.step, candidate.count
        candidate.is_behind = False
        if not count or candidate.rank >= SURPLUS_RANK:
            continue
        size = amounts_of(step.spec.reserved())
        needed = [amount * count for amount in size]
        delay_ms = 0.0
        delays: list[float] = []
        for i in range(3):
            excess = min(needed[i], max(0.0, taken[i] + needed[i] - free[i]))
            delays.append(excess * step.spec.estimate_ms)
            if excess and total[i] > 0:
                # The last task starts when the first ones of a full pool have ended.
                delay_ms = max(delay_ms, (work_ms[i] + delays[i]) / total[i])
        if store_ms + delay_ms > late_after_ms(step):
            is_short = True
            if is_in_time(step, store_ms):
                candidate.is_behind = True
                continue
        for i in range(3):
            taken[i] += needed[i]
            work_ms[i] += delays[i]
    return is_short


def _count_due_shares(
    candidates: list[_Candidate], total: Amounts, quotas: QuotaBook
) -> ShareStanding:
    """Count the due shares that the tenant of each step has without it."""
    shares = quotas.shares
    demands: dict[TenantName, Amounts] = {}
    for candidate in candidates:
        if candidate.count and candidate.rank < SURPLUS_RANK:
            name = candidate.step.tenant
            known = demands.get(name) or amounts_of(quotas.used(name))
            demands[name] = _sum(known, _size_of(candidate))
    for name in shares.tenants() - demands.keys():
        demands[name] = amounts_of(quotas.used(name))
    everywhere = shares.total_capacity(total)
    level = due_level(
        (
            TenantDemand(
                quotas.weight(name),
                amounts,
                dominant_share(amounts, everywhere),
                dominant_share(shares.elsewhere(name), everywhere),
            )
            for name, amounts in demands.items()
        ),
        total,
    )
    projected: dict[TenantName, Amounts] = {}
    for candidate in candidates:
        name = candidate.step.tenant
        amounts = projected.get(name) or shares.charged_everywhere(name)
        due_share = max(level * quotas.weight(name), DUE_SHARE_MIN)
        share = dominant_share(amounts, everywhere) - SHARE_QUANTUM
        due_shares = max(0.0, share) / due_share
        candidate.due_shares = int(min(due_shares, DUE_SHARES_MAX))
        projected[name] = _sum(amounts, _size_of(candidate))
    above = {
        name
        for name in shares.tenants()
        if dominant_share(shares.charged_everywhere(name), everywhere)
        > (1 + SHARE_TOLERANCE) * level * quotas.weight(name)
    }
    return ShareStanding(level, above=above)


def _find_behind_others(
    candidates: list[_Candidate], store_ms: float
) -> dict[Hashable, TenantName]:
    """Return the tenants of the steps that shares put behind those of others."""
    before: set[TenantName] = set()
    behind: dict[Hashable, TenantName] = {}
    for candidate in candidates:
        step, name = candidate.step, candidate.step.tenant
        if not candidate.count or candidate.rank >= WORTHLESS_RANK:
            continue
        is_put_back = (
            candidate.is_behind
            or candidate.due_shares > 0
            or not is_in_time(step, store_ms)
        )
        if is_put_back and before - {name}:
            behind[step.key] = name
        before.add(name)
    return behind


def _size_of(candidate: _Candidate) -> Amounts:
    """Return the capacity that the allowed tasks of a step take."""
    cores, memory, gpus = amounts_of(candidate.step.spec.reserved())
    count = candidate.count
    return (cores * count, memory * count, gpus * count)


def _sum(first: Amounts, second: Amounts) -> Amounts:
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])
