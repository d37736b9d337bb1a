"""HTTP endpoints for health, metrics and state, which every daemon serves."""

from collections.abc import Iterable

import msgspec
from tornado.web import Application, RequestHandler

from basilhold.observability.health import Health, HealthReport
from basilhold.observability.metric_catalogue import METRICS, metric
from basilhold.observability.metrics import Metrics, ProcessMetrics
from basilhold.observability.state import StateDump

__all__ = [
    "StatusPages",
    "make_status_pages",
    "status_application",
    "status_routes",
]


class StatusPages(msgspec.Struct):
    """Data that the status endpoints of a process serve.

    Parameters
    ----------
    health : Health
    metrics : Metrics
    state : StateDump
    dump_running : bool
        Whether a state dump is being created. Only one runs at a time, so that
        requests for dumps cannot accumulate.
    """

    health: Health
    metrics: Metrics
    state: StateDump
    dump_running: bool = False


def make_status_pages(
    process_id: str, dump_bytes_max: int, secrets: Iterable[str]
) -> StatusPages:
    """Create status pages with all declared metrics.

    The metrics of the process itself are collected as well.

    Parameters
    ----------
    process_id : str
    dump_bytes_max : int
        Size limit of a state dump, in bytes.
    secrets : iterable of str
        Strings that are hidden in state dumps.
    """
    metrics = Metrics(METRICS)
    metrics.add_source(
        ProcessMetrics(
            metric("basilhold_resident_bytes"),
            metric("basilhold_processor_seconds_total"),
            metric("basilhold_events_total"),
        )
    )
    return StatusPages(Health(process_id), metrics, StateDump(dump_bytes_max, secrets))


class _StatusHandler(RequestHandler):
    def initialize(self, pages: StatusPages) -> None:
        self.pages = pages

    def set_default_headers(self) -> None:
        self.set_header("Cache-Control", "no-store")

    def write_report(self, report: HealthReport) -> None:
        self.set_status(200 if report.ok else 503)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))


class _HealthHandler(_StatusHandler):
    def get(self) -> None:
        self.write_report(self.pages.health.liveness())


class _ReadinessHandler(_StatusHandler):
    def get(self) -> None:
        self.write_report(self.pages.health.readiness())


class _MetricsHandler(_StatusHandler):
    def get(self) -> None:
        ready = self.pages.health.readiness().ok
        self.pages.metrics.set(metric("basilhold_ready"), int(ready))
        accept = self.request.headers.get("Accept", "")
        content, headers = self.pages.metrics.render(accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class _StateHandler(_StatusHandler):
    async def get(self) -> None:
        if self.pages.dump_running:
            self.set_status(503)
            self.set_header("Retry-After", "1")
            self.finish(b"another state dump is running; repeat in a second\n")
            return
        self.pages.dump_running = True
        try:
            content = await self.pages.state.dump()
        finally:
            self.pages.dump_running = False
        self.set_header("Content-Type", "application/json")
        self.finish(content)


def status_routes(pages: StatusPages) -> list[tuple]:
    """Return the tornado routes of the status endpoints."""
    handlers = {
        "/healthz": _HealthHandler,
        "/readyz": _ReadinessHandler,
        "/metrics": _MetricsHandler,
        "/state": _StateHandler,
    }
    return [(path, handler, {"pages": pages}) for path, handler in handlers.items()]


def status_application(pages: StatusPages) -> Application:
    """Return a tornado application that serves only the status endpoints."""
    return Application(status_routes(pages), log_function=lambda handler: None)
