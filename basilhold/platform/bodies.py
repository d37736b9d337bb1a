"""Bodies of callers' requests and of the operator's configuration."""

import msgspec
from expression import Error, Ok, Result

from basilhold.core import JobId, Resources, ServiceName
from basilhold.workflows.model import (
    AdvicePolicy,
    QueueName,
    QueuePolicy,
    StepSpec,
    WorkflowSpec,
)
from basilhold.workflows.progress import ROW_BYTES_MAX
from basilhold.workflows.routes import QueueRoute, QueueTable

__all__ = ["decode_configuration", "decode_workflow"]

MIB = 1 << 20
GPU_MILLI = 1_000
PAYLOAD_BYTES_MAX = 4_000
STEPS_MAX = 100
TASKS_MAX = 10_000
"""Bounds of one submission; the platform's jobs have up to 5 steps of 84 tasks."""


class _StepBody(msgspec.Struct):
    """A step as callers write it; absent fields are 0, false or empty.

    `fill_count` is a flag: the step's cores do not count. `target_ms` bounds a tail
    latency, and `may_miss` counts tasks.
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    locality_sensitive: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: float = 0.0
    fill_count: bool | int = False
    may_miss: int = 0


class _JobBody(msgspec.Struct):
    steps: tuple[_StepBody, ...]
    spec: str = ""
    first_ms: float = 0.0
    interval_ms: float = 0.0
    repeat_count: int = 0


class _AdviceBody(msgspec.Struct):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _RouteBody(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: _AdviceBody | None = None


class _ServiceBody(msgspec.Struct):
    name: str


class _LimitsBody(msgspec.Struct):
    max_body_bytes: int = 1 << 18


class _ConfigurationBody(msgspec.Struct):
    version: int
    routes: tuple[_RouteBody, ...]
    services: tuple[_ServiceBody, ...]
    limits: _LimitsBody = msgspec.field(default_factory=_LimitsBody)


_JOB = msgspec.json.Decoder(_JobBody)
_CONFIGURATION = msgspec.json.Decoder(_ConfigurationBody)


def decode_configuration(value: bytes) -> QueueTable:
    """Return the queues of the operator's document.

    Raises
    ------
    msgspec.DecodeError
        If the document cannot be read.
    """
    body = _CONFIGURATION.decode(value)
    routes = tuple(
        QueueRoute(route.host, route.path_prefix, _policy(route))
        for route in body.routes
    )
    services = tuple(ServiceName(service.name) for service in body.services)
    return QueueTable(body.version, routes, body.limits.max_body_bytes, services)


def _policy(route: _RouteBody) -> QueuePolicy:
    advice = None
    if route.advice is not None:
        asked = route.advice
        advice = AdvicePolicy(asked.decide_ms, asked.each_ms, asked.valid_ms)
    return QueuePolicy(
        QueueName(route.name),
        ServiceName(route.service),
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms,
        advice,
    )


def decode_workflow(
    job_id: JobId,
    policy: QueuePolicy,
    body: bytes,
    submitted_ms: float,
    row_bytes_max: int = ROW_BYTES_MAX,
) -> Result[WorkflowSpec, str]:
    """Return the submitted workflow, or why it cannot be accepted.

    Parameters
    ----------
    job_id : JobId
    policy : QueuePolicy
    body : bytes
    submitted_ms : float
        Time of the store's clock; 0 if it is not known.
    row_bytes_max : int
        Largest value of a row in the store, which has to hold the workflow.
    """
    try:
        job = _JOB.decode(body)
    except msgspec.DecodeError as error:
        return Error(f"the body cannot be read: {error}")
    problem = _problem(job)
    if problem:
        return Error(problem)
    spec = WorkflowSpec(
        job_id,
        policy,
        job.spec,
        tuple(_step(step) for step in job.steps),
        submitted_ms,
        job.first_ms,
        job.interval_ms,
        job.repeat_count,
    )
    if len(msgspec.json.encode(spec)) > row_bytes_max:
        return Error(f"a job has at most {row_bytes_max} bytes when it is stored")
    return Ok(spec)


def _problem(job: _JobBody) -> str:
    if not 0 < len(job.steps) <= STEPS_MAX:
        return f"a job has 1 to {STEPS_MAX} steps"
    if len(job.spec.encode()) > PAYLOAD_BYTES_MAX:
        return f"spec is longer than {PAYLOAD_BYTES_MAX} bytes"
    occurrences = max(1, job.repeat_count)
    if sum(step.count for step in job.steps) * occurrences > TASKS_MAX:
        return f"a job has at most {TASKS_MAX} tasks"
    for number, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            return f"step {number} has no tasks, or a negative size"
        if any(not 0 <= before < number for before in step.after):
            return f"step {number} comes after a step that is not an earlier one"
    return ""


def _step(step: _StepBody) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cpu, step.mem_mb * MIB, step.gpu * GPU_MILLI),
        step.estimate_ms,
        step.after,
        step.gang,
        step.locality_sensitive,
        step.requires,
        step.affinity,
        step.anti_affinity,
        step.speculative,
        step.long_running,
        step.checkpointing,
        step.image,
        step.target_ms,
        bool(step.fill_count),
        step.may_miss,
    )
