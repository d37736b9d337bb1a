"""Compares ways to divide quotas and to order the work of tenants.

Two services share the tenants: a few large ones and many small ones, one of which sends
many times its usual load for a while.

Run ``python -m basilhold.workflow_trials.tenant_trial`` for a table.
"""

import asyncio
import random
import statistics

import click
import msgspec

from basilhold.core import JobId, Resources, ServiceName, WorkerId
from basilhold.standins.runners import MemoryAdvice, MemoryRunners
from basilhold.tenants import (
    AllotmentPolicy,
    DemandPolicy,
    EqualPartsPolicy,
    LedgerPolicy,
    Tenant,
    TenantName,
    TenantRegistry,
)
from basilhold.testing import run_virtual
from basilhold.testing.workflow_cell import SERVICE, WorkflowCell
from basilhold.workflow_trials.variants import VARIANTS
from basilhold.workflows.model import (
    AdvicePolicy,
    QueueName,
    QueuePolicy,
    StepSpec,
    TaskKey,
    WorkflowSpec,
    objective_ms,
)
from basilhold.workflows.pool import RunKey, WorkerInfo

__all__ = ["POLICIES", "TenantTrialResult", "run_tenant_trial"]

POLICIES: dict[str, AllotmentPolicy] = {
    "demand": DemandPolicy(),
    "ledger": LedgerPolicy(),
    "equal": EqualPartsPolicy(),
}

INSPECT = ServiceName("inspect")
WORKER_SIZE = Resources(16_000, 32 << 30, 0)
WORKERS = 64
LARGE_TENANTS, SMALL_TENANTS = 3, 13
LARGE_FACTOR = 6.0
"""Load of a large tenant as a multiple of that of a small one."""

QUOTA_FACTOR = 1.9
"""Quota as a multiple of what a tenant uses on average."""

HOT_FACTOR = 7.5
HOT_SPAN_S = (4.0, 10.0)
BEGIN_S, LOAD_S, FINISH_S = 3.0, 16.0, 30.0
LATE_FACTOR, LATE_WORTH = 3.0, 0.2


class _QueueLoad(msgspec.Struct, frozen=True):
    """Load of a queue; `share` is its part of the cores in use."""

    policy: QueuePolicy
    share: float
    width: int
    cores_milli: int
    work_ms: float
    gang: bool = False


_ADVICE = AdvicePolicy(20.0, 0.2, 2_000.0)
_QUEUES = (
    _QueueLoad(
        QueuePolicy(QueueName("quick"), SERVICE, 0, 3, 1.5, 600.0, _ADVICE),
        0.3,
        8,
        2_700,
        700.0,
    ),
    _QueueLoad(
        QueuePolicy(QueueName("batch"), SERVICE, 2, 3, 4.0, 3_000.0, _ADVICE),
        0.3,
        20,
        4_500,
        3_600.0,
    ),
    _QueueLoad(
        QueuePolicy(QueueName("gangs"), INSPECT, 1, 3, 2.2, 1_200.0, _ADVICE),
        0.4,
        4,
        8_000,
        3_600.0,
        gang=True,
    ),
)


class TenantTrialResult(msgspec.Struct):
    """Outcome of one run.

    Parameters
    ----------
    worth : float
        Share of the work within its tenant's rate that earned its worth.
    worst_tenants : float
        The same of the worst tenth of the tenants.
    wait_s : float
        Time to the first start that 95 of 100 workflows do not exceed.
    exchanges : int
        Requests for quota between services.
    writes, written_bytes : int
        Calls and bytes to the store.
    violations : list of str
        Broken guarantees.
    """

    worth: float
    worst_tenants: float
    wait_s: float
    exchanges: int
    writes: int
    written_bytes: int
    violations: list[str]


class _Arrival(msgspec.Struct):
    at_s: float
    spec: WorkflowSpec
    is_owed: bool


def run_tenant_trial(
    policy: str,
    seed: int,
    load: float = 0.8,
    variant: str = "as-built",
    hot_factor: float = HOT_FACTOR,
) -> TenantTrialResult:
    """Play one load with one way to divide quotas.

    Parameters
    ----------
    policy : str
        Key of `POLICIES`.
    seed : int
    load : float
        Mean share of the workers' cores that is in use.
    variant : str
        Key of `VARIANTS`.
    hot_factor : float
        Load of one tenant in `HOT_SPAN_S` as a multiple of its usual load.
    """
    with VARIANTS[variant]():
        return run_virtual(_play(POLICIES[policy], seed, load, hot_factor))


def _rates(load: float) -> dict[TenantName, dict[QueueName, float]]:
    """Return workflows per second by tenant and queue."""
    sizes = [LARGE_FACTOR] * LARGE_TENANTS + [1.0] * SMALL_TENANTS
    cores = WORKERS * WORKER_SIZE.cores_milli * load
    rates: dict[TenantName, dict[QueueName, float]] = {}
    for number, size in enumerate(sizes):
        share = size / sum(sizes)
        rates[TenantName(f"t{number}")] = {
            queue.policy.name: cores * queue.share * share / _work(queue)
            for queue in _QUEUES
        }
    return rates


def _work(queue: _QueueLoad) -> float:
    """Return the work of a workflow, in thousandths of a core times seconds."""
    return queue.width * queue.cores_milli * queue.work_ms / 1000


def _draw(
    rng: random.Random,
    rates: dict[TenantName, dict[QueueName, float]],
    hot_factor: float,
) -> list[_Arrival]:
    hot = rng.choice(list(rates))
    arrivals: list[_Arrival] = []
    for tenant, by_queue in rates.items():
        sent: list[float] = []
        for queue in _QUEUES:
            rate = by_queue[queue.policy.name]
            at_s = rng.expovariate(rate * hot_factor)
            while at_s < LOAD_S:
                is_hot = tenant == hot and HOT_SPAN_S[0] < at_s < HOT_SPAN_S[1]
                if is_hot or rng.random() < 1 / hot_factor:
                    spec = _make_workflow(rng, queue, tenant)
                    arrivals.append(_Arrival(at_s, spec, True))
                    sent.append(at_s)
                at_s += rng.expovariate(rate * hot_factor)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    _mark_surplus(arrivals, {t: _weight(by_queue) for t, by_queue in rates.items()})
    return arrivals


def _weight(by_queue: dict[QueueName, float]) -> float:
    return max(1.0, 2.0 * sum(by_queue.values()))


def _mark_surplus(arrivals: list[_Arrival], weights: dict[TenantName, float]) -> None:
    recent: dict[TenantName, list[float]] = {}
    for arrival in arrivals:
        times = recent.setdefault(arrival.spec.tenant, [])
        times[:] = [t for t in times if t > arrival.at_s - 1.0]
        arrival.is_owed = len(times) < weights[arrival.spec.tenant]
        times.append(arrival.at_s)


def _make_workflow(
    rng: random.Random, queue: _QueueLoad, tenant: TenantName
) -> WorkflowSpec:
    step = StepSpec(
        max(1, round(queue.width * rng.uniform(0.3, 1.7))),
        Resources(queue.cores_milli, 1 << 30, 0),
        queue.work_ms * rng.uniform(0.6, 1.4),
        gang=queue.gang,
        checkpointing=not queue.gang,
    )
    job_id = JobId(f"{rng.getrandbits(64):016x}")
    return WorkflowSpec(job_id, queue.policy, "", (step,), tenant=tenant)


async def _play(
    policy: AllotmentPolicy, seed: int, load: float, hot_factor: float
) -> TenantTrialResult:
    rng = random.Random(seed)
    rates = _rates(load)
    arrivals = _draw(rng, rates, hot_factor)
    quotas = {
        tenant: sum(by_queue[q.policy.name] * _work(q) for q in _QUEUES) * QUOTA_FACTOR
        for tenant, by_queue in rates.items()
    }
    tenants = TenantRegistry(
        (Tenant(name, _weight(rates[name]), Resources(int(quota))), ())
        for name, quota in quotas.items()
    )
    cell = WorkflowCell(
        seed,
        process_count=2,
        worker_count=0,
        advice=MemoryAdvice(0.7),
        services=(SERVICE, INSPECT),
        tenants=tenants,
        allotment_policy=policy,
    )
    exchanges = 0
    async with cell:
        cell.runners.saves_work = True
        for number in range(WORKERS):
            name = f"w{number}"
            cell.runners.add(
                WorkerInfo(WorkerId(name), f"{name}:80", 1, WORKER_SIZE, "r")
            )
        for process in cell.processes.values():
            process.front.on_quota_request = _CountedHandler(process.front)
        await asyncio.sleep(BEGIN_S)
        begin_s = asyncio.get_running_loop().time()
        writes, written = cell.table.write_count, cell.table.written_bytes
        for arrival in arrivals:
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, begin_s + arrival.at_s - now_s))
            await cell.submit(arrival.spec)
        await asyncio.sleep(FINISH_S)
        exchanges = sum(
            process.front.on_quota_request.count for process in cell.processes.values()
        )
        writes = cell.table.write_count - writes
        written = cell.table.written_bytes - written
    worths = _worths(cell.runners, arrivals, begin_s)
    worst = sorted(worths.values())[: max(1, len(worths) // 10)]
    waits = _waits(cell.runners, arrivals, begin_s)
    return TenantTrialResult(
        statistics.mean(worths.values()),
        statistics.mean(worst),
        waits[int(0.95 * len(waits))],
        exchanges,
        writes,
        written,
        cell.runners.violations,
    )


class _CountedHandler:
    """A call handler that counts its calls."""

    def __init__(self, front):
        self.count = 0
        self._handle = front.on_quota_request

    async def __call__(self, request):
        self.count += 1
        return await self._handle(request)


def _worths(
    runners: MemoryRunners, arrivals: list[_Arrival], begin_s: float
) -> dict[TenantName, float]:
    earned: dict[TenantName, list[float]] = {}
    for arrival in arrivals:
        if not arrival.is_owed:
            continue
        ended_s = _ended_s(runners, arrival.spec)
        worth = 0.0
        if ended_s is not None:
            took_ms = (ended_s - begin_s - arrival.at_s) * 1000
            objectives = took_ms / objective_ms(arrival.spec)
            if objectives <= LATE_FACTOR:
                worth = 1.0 if objectives <= 1.0 else LATE_WORTH
        earned.setdefault(arrival.spec.tenant, []).append(worth)
    return {tenant: statistics.mean(worths) for tenant, worths in earned.items()}


def _ended_s(runners: MemoryRunners, spec: WorkflowSpec) -> float | None:
    ends = [
        runners.done_s.get(RunKey(spec.job_id, TaskKey(0, 0, index)))
        for index in range(spec.steps[0].task_count)
    ]
    return None if None in ends else max(ends)


def _waits(
    runners: MemoryRunners, arrivals: list[_Arrival], begin_s: float
) -> list[float]:
    waits = []
    for arrival in arrivals:
        ended_s = _ended_s(runners, arrival.spec)
        if arrival.is_owed and ended_s is not None:
            ran_s = arrival.spec.steps[0].estimate_ms / 1000
            waits.append(max(0.0, ended_s - begin_s - arrival.at_s - ran_s))
    return sorted(waits)


@click.command()
@click.option("--seeds", default=4, show_default=True)
@click.option("--load", default=0.8, show_default=True)
@click.option("--hot-factor", default=HOT_FACTOR, show_default=True)
@click.option("--variants", default="as-built", show_default=True)
@click.option("--policies", default=",".join(POLICIES), show_default=True)
def main(
    seeds: int, load: float, hot_factor: float, variants: str, policies: str
) -> None:
    """Compare the policies, and variants of the order, on the same loads."""
    for variant in variants.split(","):
        for policy in policies.split(","):
            results = [
                run_tenant_trial(policy, seed, load, variant, hot_factor)
                for seed in range(1, seeds + 1)
            ]
            click.echo(f"{variant} {policy}: {_describe(results)}")


def _describe(results: list[TenantTrialResult]) -> str:
    def mean(name: str) -> float:
        return statistics.mean(getattr(result, name) for result in results)

    broken = sum(len(result.violations) for result in results)
    return (
        f"worth {mean('worth'):.3f}, worst tenants {mean('worst_tenants'):.3f}, "
        f"wait {mean('wait_s'):.2f} s, exchanges {mean('exchanges'):.0f}, "
        f"writes {mean('writes'):.0f}, {mean('written_bytes') / 1000:.0f} KB, "
        f"violations {broken}"
    )


if __name__ == "__main__":
    main()
