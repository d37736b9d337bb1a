"""Queueing, routing, retries and slot allocation of callers' requests.

The package performs no I/O.
"""

from basilhold.requests.allocator import SlotAllocator
from basilhold.requests.estimates import RateWindow, ServiceTimes
from basilhold.requests.gateway_state import Takeover
from basilhold.requests.health import BreakerState, HealthLimits, UpstreamHealth
from basilhold.requests.holder import SlotHolder
from basilhold.requests.interfaces import (
    CallerDirectory,
    ClassDirectory,
    ExchangeError,
    PeerError,
    RequestPeers,
    RequestProgress,
    SlotExchange,
)
from basilhold.requests.model import (
    CallerRequest,
    GatewayIdentity,
    Outcome,
    Problem,
    ProblemKind,
    RequestEnd,
)
from basilhold.requests.once import (
    OnceAnswer,
    OnceRecord,
    OnceState,
    RepeatAction,
    choose_repeat_action,
    make_request_key,
)
from basilhold.requests.queue import QueuedRequest, QueueLimits, RequestQueue
from basilhold.requests.report_handler import SlotReportHandler
from basilhold.requests.retries import RetryBudget
from basilhold.requests.routing import LEAVING_MS, Distance, Router, Upstream
from basilhold.requests.tokens import (
    CONNECTIONS_PER_TOKEN,
    HeldToken,
    ServiceDemand,
    SlotGrant,
    SlotReport,
    SlotToken,
)

__all__ = [
    "CONNECTIONS_PER_TOKEN",
    "LEAVING_MS",
    "BreakerState",
    "CallerDirectory",
    "CallerRequest",
    "ClassDirectory",
    "Distance",
    "ExchangeError",
    "GatewayIdentity",
    "HealthLimits",
    "HeldToken",
    "OnceAnswer",
    "OnceRecord",
    "OnceState",
    "Outcome",
    "PeerError",
    "Problem",
    "ProblemKind",
    "QueueLimits",
    "QueuedRequest",
    "RateWindow",
    "RepeatAction",
    "RequestEnd",
    "RequestPeers",
    "RequestProgress",
    "RequestQueue",
    "RetryBudget",
    "Router",
    "ServiceDemand",
    "ServiceTimes",
    "SlotAllocator",
    "SlotExchange",
    "SlotGrant",
    "SlotHolder",
    "SlotReportHandler",
    "SlotReport",
    "SlotToken",
    "Takeover",
    "Upstream",
    "UpstreamHealth",
    "choose_repeat_action",
    "make_request_key",
]
