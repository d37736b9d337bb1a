"""HTTP gateway that forwards requests of callers to upstreams."""

from basilhold.gateway.answers import CallerSink
from basilhold.gateway.counters import Count, RequestCounters
from basilhold.gateway.drain import Drain, DrainEnd, DrainReport
from basilhold.gateway.front import FrontEnd, StaticCallers
from basilhold.gateway.handlers import make_application, request_routes
from basilhold.gateway.once import OnceRegistry
from basilhold.gateway.once_results import OnceLimits
from basilhold.gateway.once_sweeper import OnceSweeper
from basilhold.gateway.server import GatewayServer
from basilhold.gateway.service import RequestService, ServiceParts
from basilhold.gateway.slots import SlotReporter
from basilhold.gateway.status import RequestMetrics, RequestState

__all__ = [
    "CallerSink",
    "Count",
    "Drain",
    "DrainEnd",
    "DrainReport",
    "FrontEnd",
    "GatewayServer",
    "OnceRegistry",
    "OnceLimits",
    "OnceSweeper",
    "RequestCounters",
    "RequestMetrics",
    "RequestService",
    "RequestState",
    "ServiceParts",
    "SlotReporter",
    "StaticCallers",
    "make_application",
    "request_routes",
]
