"""The status pages that every daemon serves."""

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
    """What the pages show.

    Parameters
    ----------
    health : Health
    metrics : Metrics
    state : StateDump
    dump_running : bool
        One dump runs at a time, so that requests for it cannot pile up.
    """

    health: Health
    metrics: Metrics
    state: StateDump
    dump_running: bool = False


def make_status_pages(
    process_id: str, dump_bytes_max: int, secrets: Iterable[str]
) -> StatusPages:
    """Return pages with all declared metrics and those of the process itself.

    Parameters
    ----------
    process_id : str
    dump_bytes_max : int
        Bound of a state dump, in bytes.
    secrets : iterable of str
        Texts that a dump must not show.
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


class _Page(RequestHandler):
    def initialize(self, pages: StatusPages) -> None:
        self.pages = pages

    def set_default_headers(self) -> None:
        self.set_header("Cache-Control", "no-store")

    def write_report(self, report: HealthReport) -> None:
        self.set_status(200 if report.ok else 503)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(report))


class _HealthPage(_Page):
    def get(self) -> None:
        self.write_report(self.pages.health.liveness())


class _ReadyPage(_Page):
    def get(self) -> None:
        self.write_report(self.pages.health.readiness())


class _MetricsPage(_Page):
    def get(self) -> None:
        ready = self.pages.health.readiness().ok
        self.pages.metrics.set(metric("basilhold_ready"), int(ready))
        accept = self.request.headers.get("Accept", "")
        content, headers = self.pages.metrics.render(accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


class _StatePage(_Page):
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
    """Return the routes of the pages."""
    handlers = {
        "/healthz": _HealthPage,
        "/readyz": _ReadyPage,
        "/metrics": _MetricsPage,
        "/state": _StatePage,
    }
    return [(path, handler, {"pages": pages}) for path, handler in handlers.items()]


def status_application(pages: StatusPages) -> Application:
    """Return an application that serves only the pages."""
    return Application(status_routes(pages), log_function=lambda handler: None)
