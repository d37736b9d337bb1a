"""Decoders of submitted jobs and of the operator's configuration document."""

import math

import msgspec
from expression import Error, Ok, Result

from basilhold.core import (
    Count,
    JobId,
    JsonDecoder,
    Resources,
    ServiceName,
)
from basilhold.tenants import NO_TENANT, Tenant, TenantName, TenantRegistry, digest_key
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

BYTES_PER_MIB = 1 << 20
MILLI_GPUS_PER_GPU = 1_000
PAYLOAD_BYTES_MAX = 4_000
STEPS_MAX = 100
TASKS_MAX = 10_000
"""Limits of one submission. The platform's jobs have up to 5 steps of 84 tasks."""


class _StepBody(msgspec.Struct):
    """A step of a submitted job; absent fields are 0, false or empty.

    `cpu` is in thousandths of a core, `mem_mb` in MiB and `gpu` in whole GPUs.
    `fill_count` is a flag despite its name: the cores of the step do not count against
    the capacity of a worker. `target_ms` is the upper bound of a tail latency, and
    `may_miss` the number of tasks that may be interrupted at a time.
    """

    count: Count
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    locality_sensitive: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: Count = 0
    speculative: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: float = 0.0
    fill_count: bool | int = False
    may_miss: Count = 0


class _JobBody(msgspec.Struct):
    """A submitted job; `spec` is the payload of its tasks."""

    steps: tuple[_StepBody, ...]
    spec: str = ""
    first_ms: float = 0.0
    interval_ms: float = 0.0
    repeat_count: Count = 0


class _AdviceBody(msgspec.Struct):
    """Response time of the advice service and lifetime of its tickets."""

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _RouteBody(msgspec.Struct):
    """A queue: host and path prefix of its jobs, and its policy."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: _AdviceBody | None = None
    public: bool = False


class _QuotaBody(msgspec.Struct):
    """Resources that a tenant may use; 0 means no limit. Units as in `_StepBody`."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class _TenantBody(msgspec.Struct):
    """A tenant with its API keys; `max_count` is its quota.

    A weight that is not a number and a missing quota do not invalidate the document.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    weight: object = 1.0
    max_count: _QuotaBody | None = None


class _ServiceBody(msgspec.Struct):
    name: str


class _LimitsBody(msgspec.Struct):
    max_body_bytes: int = 1 << 18


class _ConfigurationBody(msgspec.Struct):
    version: int
    routes: tuple[_RouteBody, ...]
    services: tuple[_ServiceBody, ...]
    limits: _LimitsBody = msgspec.field(default_factory=_LimitsBody)
    tenants: tuple[_TenantBody, ...] | None = None


_JOB_DECODER = JsonDecoder(_JobBody)
_CONFIGURATION_DECODER = JsonDecoder(_ConfigurationBody)


def decode_configuration(value: bytes) -> QueueTable:
    """Decode the operator's configuration document.

    Parameters
    ----------
    value : bytes
        The document, as JSON.

    Returns
    -------
    QueueTable

    Raises
    ------
    msgspec.DecodeError
        If the document is not valid JSON, or a field is missing or of a wrong type.
    """
    body = _CONFIGURATION_DECODER.decode(value)
    routes = tuple(
        QueueRoute(
            route.host, route.path_prefix, _make_queue_policy(route), route.public
        )
        for route in body.routes
    )
    services = tuple(ServiceName(service.name) for service in body.services)
    tenants = None
    if body.tenants is not None:
        with_keys = (
            (_make_tenant(tenant), map(digest_key, tenant.api_keys))
            for tenant in body.tenants
        )
        tenants = TenantRegistry(with_keys, body.version)
    return QueueTable(
        body.version, routes, body.limits.max_body_bytes, services, tenants
    )


def _make_tenant(body: _TenantBody) -> Tenant:
    quota = body.max_count or _QuotaBody()
    return Tenant(
        TenantName(body.name),
        _make_weight(body.weight),
        _make_size(quota.cpu, quota.mem_mb, quota.gpu),
    )


def _make_weight(weight: object) -> float:
    """Return a weight; NaN for what is not a number."""
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return math.nan
    try:
        return float(weight)
    except OverflowError:
        return math.inf


def _make_size(cpu: int, mem_mb: int, gpu: int) -> Resources:
    return Resources(cpu, mem_mb * BYTES_PER_MIB, gpu * MILLI_GPUS_PER_GPU)


def _make_queue_policy(route: _RouteBody) -> QueuePolicy:
    advice = None
    if route.advice is not None:
        advice_body = route.advice
        advice = AdvicePolicy(
            advice_body.decide_ms, advice_body.each_ms, advice_body.valid_ms
        )
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
    tenant: TenantName = NO_TENANT,
) -> Result[WorkflowSpec, str]:
    """Decode and validate a submitted job.

    Parameters
    ----------
    job_id : JobId
    policy : QueuePolicy
        Policy of the queue to which the job was submitted.
    body : bytes
        Body of the caller's request, as JSON.
    submitted_ms : float
        Time of the submission on the store's clock, in milliseconds; 0 if unknown.
    row_bytes_max : int
        Largest value of a row in the store, in bytes. The encoded workflow is stored
        in one row and has to fit.
    tenant : TenantName
        Tenant of the caller; empty if it has none.

    Returns
    -------
    Result of (WorkflowSpec, str)
        The workflow, or the reason why the job is rejected.
    """
    try:
        job = _JOB_DECODER.decode(body)
    except msgspec.DecodeError as error:
        return Error(f"the body cannot be read: {error}")
    problem = _find_problem(job)
    if problem:
        return Error(problem)
    spec = WorkflowSpec(
        job_id,
        policy,
        job.spec,
        tuple(_make_step_spec(step) for step in job.steps),
        submitted_ms,
        job.first_ms,
        job.interval_ms,
        job.repeat_count,
        tenant,
    )
    if len(msgspec.json.encode(spec)) > row_bytes_max:
        return Error(f"a job has at most {row_bytes_max} bytes when it is stored")
    return Ok(spec)


def _find_problem(job: _JobBody) -> str:
    """Return why a job is invalid, or an empty string if it is valid."""
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


def _make_step_spec(step: _StepBody) -> StepSpec:
    return StepSpec(
        step.count,
        _make_size(step.cpu, step.mem_mb, step.gpu),
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
