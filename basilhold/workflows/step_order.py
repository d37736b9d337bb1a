"""The order in which steps get capacity when there is more work than capacity.

The module performs no I/O.
"""

from abc import ABC, abstractmethod

from basilhold.core import Resources
from basilhold.tenants import NO_TENANT, QuotaBook, TenantName
from basilhold.workflows.pool import Pool
from basilhold.workflows.ready_steps import ReadyStep, rank

__all__ = ["DeadlineOrder", "DominantShareOrder", "StepOrder"]


class StepOrder(ABC):
    """Orders the ready steps of a planning pass."""

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
