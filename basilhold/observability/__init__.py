"""Log events, metrics, state dumps and status endpoints of a process."""

from basilhold.observability.events import (
    Event,
    EventLevel,
    log_event,
    registered_events,
)
from basilhold.observability.health import Health, HealthReport, ReadinessCheck
from basilhold.observability.log_setup import (
    BoundedOutput,
    set_log_output,
    set_up_logging,
)
from basilhold.observability.loop_lag import LoopLagSampler
from basilhold.observability.metric_catalogue import METRICS, metric
from basilhold.observability.metrics import (
    Metric,
    MetricKind,
    Metrics,
    MetricSource,
    ProcessMetrics,
)
from basilhold.observability.pages import (
    StatusPages,
    make_status_pages,
    status_application,
    status_routes,
)
from basilhold.observability.state import StateDump, StateSource

__all__ = [
    "METRICS",
    "BoundedOutput",
    "Event",
    "EventLevel",
    "Health",
    "HealthReport",
    "LoopLagSampler",
    "Metric",
    "MetricKind",
    "MetricSource",
    "Metrics",
    "ProcessMetrics",
    "ReadinessCheck",
    "StateDump",
    "StateSource",
    "StatusPages",
    "log_event",
    "make_status_pages",
    "metric",
    "registered_events",
    "set_log_output",
    "set_up_logging",
    "status_application",
    "status_routes",
]
