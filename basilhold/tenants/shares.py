"""What each tenant uses of the capacity, and what it is due while there is too little.

`TenantShares` keeps the use of each tenant, decayed over the last seconds. `due_level`
divides capacity among the tenants by weighted max-min fairness of dominant shares.
"""

import math
from collections import Counter
from collections.abc import Hashable, Iterable

import msgspec

from basilhold.core import Resources, ServiceName
from basilhold.tenants.registry import NO_TENANT, TenantName, TenantRegistry
from basilhold.tenants.usage import TenantUsage

__all__ = [
    "DEFAULT_WEIGHT",
    "Amounts",
    "ShareStanding",
    "Starvation",
    "TenantDemand",
    "TenantShares",
    "UseReport",
    "amounts_of",
    "dominant_share",
    "due_level",
    "is_valid_weight",
    "share_weights",
]

DEFAULT_WEIGHT = 1.0
"""Weight of a tenant whose configured weight cannot be used."""

WEIGHT_MIN, WEIGHT_MAX = 1e-6, 1e6
"""Bounds of a weight in the division, which keep quotients finite."""

USE_DECAY_MS = 4_000.0
"""Time in which the recorded use of a tenant decays to 1/e. It spans several quick
jobs, and a tenant that has ended a burst is charged for it for some seconds only."""

NEGLIGIBLE = 0.01
"""Recent use below this is forgotten: thousandths of cores or GPUs, or bytes."""

STARVATION_MS = 2_000.0
"""Time for which work may wait behind that of others before it is reported."""

REPORT_INTERVAL_MS = 10_000.0
"""Shortest time between two reports about one tenant."""

REPORT_VALID_MS = 2_000.0
"""Age up to which a report of another service is used as it is. Reports are exchanged
once a second."""

REPORTED_MAX = 500
"""Most tenants in a report; those with the largest shares are named."""

FORGOTTEN_RATIO = 0.01
"""A service whose last report has decayed to this part no longer counts."""

Amounts = tuple[float, float, float]
"""Thousandths of cores, bytes of memory, and thousandths of GPUs."""

NO_AMOUNTS: Amounts = (0.0, 0.0, 0.0)


def amounts_of(size: Resources) -> Amounts:
    """Return the components of a size."""
    return (
        float(size.cores_milli),
        float(size.memory_bytes),
        float(size.gpus_milli),
    )


def dominant_share(amounts: Amounts, capacity: Amounts) -> float:
    """Return the largest share of any resource that there is any of.

    Examples
    --------
    >>> dominant_share((500.0, 10.0, 0.0), (1_000.0, 100.0, 0.0))
    0.5
    """
    return max(
        (a / c for a, c in zip(amounts, capacity, strict=True) if c > 0), default=0.0
    )


def is_valid_weight(weight: float) -> bool:
    """Return whether a configured weight can be used."""
    return math.isfinite(weight) and weight > 0


def share_weights(registry: TenantRegistry | None) -> dict[TenantName, float]:
    """Return the weight of each tenant, with a default for those that are not valid.

    The default is `DEFAULT_WEIGHT`, and at most the lowest valid weight, so that a
    mistake in the configuration takes nothing from the other tenants.

    Examples
    --------
    >>> from basilhold.tenants.registry import Tenant
    >>> tenants = [Tenant(TenantName("a"), 0.5), Tenant(TenantName("b"), -1.0)]
    >>> share_weights(TenantRegistry((tenant, ()) for tenant in tenants))
    {'a': 0.5, 'b': 0.5}
    """
    weights = {tenant.name: tenant.weight for tenant in registry or ()}
    valid = {
        name: min(max(weight, WEIGHT_MIN), WEIGHT_MAX)
        for name, weight in weights.items()
        if is_valid_weight(weight)
    }
    default = min(DEFAULT_WEIGHT, *valid.values()) if valid else DEFAULT_WEIGHT
    return {name: valid.get(name, default) for name in weights}


class TenantDemand(msgspec.Struct, frozen=True):
    """What a tenant could use of the capacity now.

    Parameters
    ----------
    weight : float
    amounts : tuple of float
        Resources of its runs and of its waiting tasks.
    share : float
        Dominant share of `amounts`.
    elsewhere : float
        Share that it uses in other services.
    """

    weight: float
    amounts: Amounts
    share: float
    elsewhere: float = 0.0


def due_level(demands: Iterable[TenantDemand], capacity: Amounts) -> float:
    """Return the dominant share for each unit of weight up to which tenants are served.

    A tenant whose demand is below its weight times this level gets its demand. What it
    leaves is divided among the others. The level is infinite if all get their demand.

    Examples
    --------
    >>> small = TenantDemand(1.0, (100.0, 0.0, 0.0), 0.1)
    >>> large = TenantDemand(1.0, (5_000.0, 0.0, 0.0), 5.0)
    >>> round(due_level([small, large], (1_000.0, 0.0, 0.0)), 6)
    0.9
    >>> due_level([small], (1_000.0, 0.0, 0.0))
    inf
    """
    events: list[tuple[float, Amounts]] = []
    for demand in demands:
        if demand.share <= 0:
            continue
        cores, memory, gpus = demand.amounts
        rate = demand.weight / demand.share
        slope = (cores * rate, memory * rate, gpus * rate)
        begin = demand.elsewhere / demand.weight
        events.append((begin, slope))
        end = begin + demand.share / demand.weight
        events.append((end, (-slope[0], -slope[1], -slope[2])))
    events.sort()
    level, used, slopes = 0.0, [0.0] * 3, [0.0] * 3
    for at, change in events:
        full = min(
            (
                level + max(0.0, capacity[i] - used[i]) / slopes[i]
                for i in range(3)
                if capacity[i] > 0 and slopes[i] > 1e-9 * capacity[i]
            ),
            default=math.inf,
        )
        if full < at:
            return full
        for i in range(3):
            used[i] += slopes[i] * (at - level)
            slopes[i] += change[i]
        level = at
    return math.inf


class UseReport(msgspec.Struct, frozen=True):
    """Use of the tenants in one service, for the owners of other services.

    Parameters
    ----------
    at_ms : float
        Time of the store's clock at which it was measured, in milliseconds.
    capacity : tuple of float
        Capacity of the service.
    charged : dict of TenantName to tuple of float
        As returned by `TenantShares.charged`, at most `REPORTED_MAX` tenants.
    """

    at_ms: float
    capacity: Amounts
    charged: dict[TenantName, Amounts]


class ShareStanding(msgspec.Struct):
    """What the last planning pass found about the shares of the tenants.

    Parameters
    ----------
    level : float
        As returned by `due_level`; infinite while there is enough capacity.
    behind : dict of Hashable to TenantName
        Work that has a value and was placed after that of other tenants, because
        capacity is short, by its key.
    above : set of TenantName
        Tenants that are charged more than their due share.
    """

    level: float = math.inf
    behind: dict[Hashable, TenantName] = {}
    above: set[TenantName] = set()


class Starvation(msgspec.Struct, frozen=True):
    """Work of a tenant that has waited behind that of others for long.

    Parameters
    ----------
    tenant : TenantName
    waited_ms : float
    count : int
        Number of its steps that wait behind others, whenever they began to.
    """

    tenant: TenantName
    waited_ms: float
    count: int


class TenantShares:
    """Use of the tenants in one service, now and in the last seconds.

    Parameters
    ----------
    usage : TenantUsage
        What the runs of the service use.

    Attributes
    ----------
    standing : ShareStanding
        Set by the order of steps in each planning pass.
    """

    def __init__(self, usage: TenantUsage):
        self._usage = usage
        self.standing = ShareStanding()
        self._elsewhere: dict[ServiceName, UseReport] = {}
        self._behind_since_ms: dict[Hashable, float] = {}
        self._reported_ms: dict[TenantName, float] = {}
        self._recent: dict[TenantName, Amounts] = {}
        self._held: dict[TenantName, Amounts] = {}
        self._updated_ms: float | None = None

    def observe(self, now_ms: float) -> None:
        """Update the recent use; called regularly and before each planning pass.

        Parameters
        ----------
        now_ms : float
            Time of the store's clock, in milliseconds. Nothing decays while it stands
            or is set back.
        """
        if self._updated_ms is not None:
            kept = math.exp(-max(0.0, now_ms - self._updated_ms) / USE_DECAY_MS)
            for name in {*self._recent, *self._held}:
                recent = self._recent.get(name, NO_AMOUNTS)
                held = self._held.get(name, NO_AMOUNTS)
                self._set_recent(name, _mixed(recent, held, kept))
        self._updated_ms = now_ms
        self._held = {
            name: amounts_of(self._usage.used(name)) for name in self._usage.tenants()
        }

    def _set_recent(self, name: TenantName, amounts: Amounts) -> None:
        if max(amounts) < NEGLIGIBLE:
            self._recent.pop(name, None)
        else:
            self._recent[name] = amounts

    def restore(self, name: TenantName, recent: Amounts, at_ms: float) -> None:
        """Restore the recent use that a previous owner has stored at a time."""
        kept = math.exp(-max(0.0, (self._updated_ms or at_ms) - at_ms) / USE_DECAY_MS)
        self._set_recent(name, _mixed(recent, NO_AMOUNTS, kept))

    def recent(self) -> dict[TenantName, Amounts]:
        """Return the recent use of each tenant, to be stored for the next owner."""
        return dict(self._recent)

    def report(self, capacity: Amounts) -> UseReport:
        """Return the use of this service for the owners of other services."""
        charged = {name: self.charged(name) for name in self.tenants()}
        largest = sorted(charged, key=lambda n: dominant_share(charged[n], capacity))
        names = largest[-REPORTED_MAX:]
        return UseReport(
            self._updated_ms or 0.0, capacity, {name: charged[name] for name in names}
        )

    def receive(self, service: ServiceName, report: UseReport) -> None:
        """Accept a report, unless a newer one of that service is known."""
        now_ms = self._updated_ms
        known = self._elsewhere.get(service)
        if now_ms is None or (known is not None and report.at_ms <= known.at_ms):
            return
        # A time in the future would keep all later reports from being accepted.
        at_ms = min(report.at_ms, now_ms)
        self._elsewhere[service] = msgspec.structs.replace(report, at_ms=at_ms)

    def _kept_of(self, report: UseReport) -> float:
        age_ms = (self._updated_ms or report.at_ms) - report.at_ms
        return math.exp(-max(0.0, age_ms - REPORT_VALID_MS) / USE_DECAY_MS)

    def elsewhere(self, name: TenantName) -> Amounts:
        """Return what a tenant is charged in other services.

        Without new reports, the last ones decay.
        """
        total = NO_AMOUNTS
        for report in self._elsewhere.values():
            charged = report.charged.get(name)
            if charged is not None:
                kept = _mixed(charged, NO_AMOUNTS, self._kept_of(report))
                total = _sum(total, kept)
        return total

    def total_capacity(self, capacity: Amounts) -> Amounts:
        """Return the capacity of this service and of those that have reported."""
        for report in self._elsewhere.values():
            if self._kept_of(report) > FORGOTTEN_RATIO:
                capacity = _sum(capacity, report.capacity)
        return capacity

    def charged_everywhere(self, name: TenantName) -> Amounts:
        """Return what a tenant is charged in all services."""
        return _sum(self.charged(name), self.elsewhere(name))

    def tenants(self) -> set[TenantName]:
        """Return the tenants that use anything here or did so in the last seconds."""
        return {*self._recent, *self._usage.tenants()}

    def tenants_everywhere(self) -> set[TenantName]:
        """Return the tenants that are charged here or in other services."""
        names = self.tenants()
        for report in self._elsewhere.values():
            if self._kept_of(report) > FORGOTTEN_RATIO:
                names.update(report.charged)
        return names

    def charged(self, name: TenantName) -> Amounts:
        """Return what a tenant is charged in this service.

        That is its use now, or its recent use if it is higher.
        """
        if name == NO_TENANT:
            return NO_AMOUNTS
        cores, memory, gpus = amounts_of(self._usage.used(name))
        recent = self._recent.get(name, NO_AMOUNTS)
        return (max(cores, recent[0]), max(memory, recent[1]), max(gpus, recent[2]))

    def due_share(self, weight: float) -> float:
        """Return the share of the capacity that is due for a weight now."""
        return min(1.0, self.standing.level * weight)

    def behind_counts(self) -> Counter[TenantName]:
        """Return the number of steps that wait behind those of others, by tenant."""
        return Counter(self.standing.behind.values())

    def note_waiting(self, waiting: set[Hashable], now_ms: float) -> list[Starvation]:
        """Record what still waits after a planning pass.

        Parameters
        ----------
        waiting : set of Hashable
            Keys of the work that the pass did not start.
        now_ms : float
            Time of the monotonic clock, in milliseconds.

        Returns
        -------
        list of Starvation
            Tenants to report: those with work that has waited behind that of others for
            more than `STARVATION_MS`, each at most once in `REPORT_INTERVAL_MS`.
        """
        behind = self.standing.behind
        self.standing.behind = {k: name for k, name in behind.items() if k in waiting}
        since_ms = self._behind_since_ms
        self._behind_since_ms = {
            key: since_ms.get(key, now_ms) for key in self.standing.behind
        }
        longest_ms: dict[TenantName, float] = {}
        for key, name in self.standing.behind.items():
            waited_ms = now_ms - self._behind_since_ms[key]
            longest_ms[name] = max(longest_ms.get(name, 0.0), waited_ms)
        due = [
            name
            for name, waited_ms in longest_ms.items()
            if waited_ms > STARVATION_MS
            and now_ms - self._reported_ms.get(name, -math.inf) > REPORT_INTERVAL_MS
        ]
        self._reported_ms.update((name, now_ms) for name in due)
        counts = self.behind_counts() if due else Counter()
        return [Starvation(name, longest_ms[name], counts[name]) for name in due]


def _sum(first: Amounts, second: Amounts) -> Amounts:
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])


def _mixed(first: Amounts, second: Amounts, weight: float) -> Amounts:
    """Return the mean of two amounts with a weight of the first one."""
    other = 1.0 - weight
    return (
        first[0] * weight + second[0] * other,
        first[1] * weight + second[1] * other,
        first[2] * weight + second[2] * other,
    )
