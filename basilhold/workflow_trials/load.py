"""Random load of three unlike queues on one pool of workers.

Wide gangs with slow advice, work that fills the pool, and small urgent work compete
for workers of 64 cores that are eight tenths full.
"""

import math
import random

import msgspec

from basilhold.core import JobId, Resources, ServiceName
from basilhold.workflows.model import (
    AdvicePolicy,
    QueueName,
    QueuePolicy,
    StepSpec,
    WorkflowSpec,
)

__all__ = ["QUEUES", "WORKER_SIZE", "Arrival", "QueueLoad", "draw_arrivals"]

WORKER_SIZE = Resources(64_000, 128 << 30, 0)


class QueueLoad(msgspec.Struct, frozen=True):
    """Load of one queue.

    Parameters
    ----------
    policy : QueuePolicy
    per_worker_s : float
        Workflows a second for each worker of the pool.
    steps_mean, width_mean : float
        Steps of a workflow, and tasks of a step.
    width_max : int
    cores_milli, memory_bytes : float
        Mean size of a task.
    work_ms : float
        Mean run time of a task.
    estimate_error : float
        By which share of the run time a declared estimate may be off.
    gang_share, saving_share : float
        Share of the steps that are gangs or have checkpoints.
    admitted_share : float
        Share of the workers that may run a step.
    """

    policy: QueuePolicy
    per_worker_s: float
    steps_mean: float
    width_mean: float
    width_max: int
    cores_milli: float
    memory_bytes: float
    work_ms: float
    estimate_error: float
    gang_share: float
    saving_share: float
    admitted_share: float


def _policy(
    name: str,
    priority: int,
    stretch: float,
    target_latency_ms: float,
    advice: AdvicePolicy,
) -> QueuePolicy:
    service = ServiceName("desk")
    return QueuePolicy(
        QueueName(name), service, priority, 3, stretch, target_latency_ms, advice
    )


QUEUES = (
    QueueLoad(
        _policy("wide", 1, 2.2, 1_200, AdvicePolicy(340.0, 4.9, 2_000.0)),
        per_worker_s=0.0154,
        steps_mean=1.2,
        width_mean=20,
        width_max=60,
        cores_milli=18_000,
        memory_bytes=26 << 30,
        work_ms=4_000,
        estimate_error=0.9,
        gang_share=1.0,
        saving_share=0.5,
        admitted_share=0.3,
    ),
    QueueLoad(
        _policy("fill", 2, 4.0, 3_000, AdvicePolicy(100.0, 1.4, 2_000.0)),
        per_worker_s=0.0255,
        steps_mean=1.5,
        width_mean=25,
        width_max=60,
        cores_milli=6_900,
        memory_bytes=10 << 30,
        work_ms=2_700,
        estimate_error=0.5,
        gang_share=0.0,
        saving_share=0.8,
        admitted_share=0.45,
    ),
    QueueLoad(
        _policy("quick", 0, 1.5, 600, AdvicePolicy(11.0, 0.16, 2_000.0)),
        per_worker_s=0.228,
        steps_mean=1.0,
        width_mean=3,
        width_max=10,
        cores_milli=9_900,
        memory_bytes=10 << 30,
        work_ms=1_000,
        estimate_error=0.5,
        gang_share=0.3,
        saving_share=0.0,
        admitted_share=0.7,
    ),
)


class Arrival(msgspec.Struct):
    """A workflow that is submitted.

    Parameters
    ----------
    at_s : float
        Time from the begin of the run.
    queue : QueueLoad
    spec : WorkflowSpec
        With declared estimates.
    actual : WorkflowSpec
        With run times instead of estimates.
    """

    at_s: float
    queue: QueueLoad
    spec: WorkflowSpec
    actual: WorkflowSpec


def draw_arrivals(
    rng: random.Random, worker_count: int, duration_s: float, load: float = 1.0
) -> list[Arrival]:
    """Return the workflows of one run, in the order of their submission.

    Parameters
    ----------
    rng : random.Random
    worker_count : int
    duration_s : float
    load : float
        Multiplies the number of workflows.
    """
    arrivals = []
    for queue in QUEUES:
        rate = queue.per_worker_s * worker_count * load
        at_s = rng.expovariate(rate)
        while at_s < duration_s:
            actual = _draw_workflow(rng, queue)
            spec = _declare(rng, queue, actual)
            arrivals.append(Arrival(at_s, queue, spec, actual))
            at_s += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_workflow(rng: random.Random, queue: QueueLoad) -> WorkflowSpec:
    job_id = JobId(f"{rng.getrandbits(64):016x}")
    whole = int(queue.steps_mean)
    count = whole + (rng.random() < queue.steps_mean - whole)
    steps = tuple(_draw_step(rng, queue, number) for number in range(count))
    return WorkflowSpec(job_id, queue.policy, "", steps)


def _declare(
    rng: random.Random, queue: QueueLoad, actual: WorkflowSpec
) -> WorkflowSpec:
    """Return a workflow with estimates that are off."""
    error = queue.estimate_error
    steps = tuple(
        msgspec.structs.replace(
            step, estimate_ms=step.estimate_ms * rng.uniform(1 - error, 1 + error)
        )
        for step in actual.steps
    )
    return msgspec.structs.replace(actual, steps=steps)


def _draw_step(rng: random.Random, queue: QueueLoad, number: int) -> StepSpec:
    width = round(_spread(rng, queue.width_mean, 0.8))
    cores = _spread(rng, queue.cores_milli, 0.4)
    memory = _spread(rng, queue.memory_bytes, 0.5)
    return StepSpec(
        min(max(width, 1), queue.width_max),
        Resources(int(min(cores, 30_000)), int(min(memory, 51 << 30)), 0),
        max(100.0, _spread(rng, queue.work_ms, 0.5)),
        (number - 1,) if number else (),
        gang=rng.random() < queue.gang_share,
        checkpointing=rng.random() < queue.saving_share,
    )


def _spread(rng: random.Random, mean: float, spread: float) -> float:
    """Return a log-normal figure with a mean and a relative standard deviation."""
    sigma = math.sqrt(math.log(1 + spread**2))
    return rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
