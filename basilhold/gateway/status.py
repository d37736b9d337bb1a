"""Metrics and state dump of a gateway's request processing."""

from collections import Counter
from typing import Any

import msgspec

from basilhold.core import ServiceName, ZoneName
from basilhold.gateway.counters import Count
from basilhold.gateway.once import OnceRegistry
from basilhold.gateway.service import RequestService
from basilhold.observability import Metrics, MetricSource, StateSource, metric
from basilhold.requests import Router, SlotHolder

__all__ = ["RequestMetrics", "RequestState"]


class RequestMetrics(MetricSource):
    """Exports metrics of a gateway's requests, circuit breakers and slots.

    Parameters
    ----------
    service : RequestService
    router : Router
    holder : SlotHolder
    once : OnceRegistry
    """

    def __init__(
        self,
        service: RequestService,
        router: Router,
        holder: SlotHolder,
        once: OnceRegistry,
    ):
        self._service = service
        self._router = router
        self._holder = holder
        self._once = once
        self._classes: set[str] = set()

    def collect(self, metrics: Metrics) -> None:
        """Set all metrics to the current values."""
        self._collect_counts(metrics)
        service = self._service
        queued = service.dispatcher.queued_counts()
        self._classes |= queued.keys()
        for name in self._classes:
            metrics.set(
                metric("basilhold_requests_queued"), queued[name], class_name=name
            )
        metrics.set(metric("basilhold_requests_in_flight"), service.in_flight_count)
        metrics.set(metric("basilhold_once_records"), self._once.record_count_estimate)
        for name in self._router.services():
            metrics.set(
                metric("basilhold_circuits_open"),
                self._router.open_breaker_count(name),
                service=name,
            )
            self._collect_slots(metrics, name)

    def _collect_counts(self, metrics: Metrics) -> None:
        counters = self._service.counters
        for name, outcomes in counters.class_outcomes.items():
            for outcome, count in outcomes.items():
                metrics.set(
                    metric("basilhold_requests_total"),
                    count,
                    class_name=name,
                    outcome=outcome.value,
                )
        for kind, count in counters.problems.items():
            is_client_error = kind.status < 500
            name = "bad_input" if is_client_error else "requests_rejected"
            counter = metric(f"basilhold_{name}_total")
            if is_client_error or kind.status == 503:
                metrics.set(counter, count, reason=kind.value)
        retries = counters.counts[Count.RETRIES]
        metrics.set(metric("basilhold_retries_total"), retries)
        while counters.wait_ratios:
            wait = counters.wait_ratios.popleft()
            metrics.observe(
                metric("basilhold_request_wait_ratio"),
                wait.ratio,
                class_name=wait.class_name,
            )

    def _collect_slots(self, metrics: Metrics, service: ServiceName) -> None:
        upstream_ids = self._router.upstreams_of_service(service)
        idle = sum(self._holder.idle_count(u) for u in upstream_ids)
        held = sum(self._holder.held_count(u) for u in upstream_ids)
        for state, count in (("idle", idle), ("busy", held - idle)):
            metrics.set(
                metric("basilhold_slot_tokens"), count, service=service, state=state
            )


class ZoneSlotsState(msgspec.Struct, frozen=True):
    """Entry of the state dump for the slots that a gateway holds in one zone.

    Parameters
    ----------
    zone : ZoneName
    epoch : int
        Highest ownership epoch of the zone that is known to the gateway.
    held : int
        Number of slots.
    """

    zone: ZoneName
    epoch: int
    held: int


class RequestState(StateSource):
    """Adds the state of a gateway's requests and slots to the state dump.

    Parameters
    ----------
    service : RequestService
    router : Router
    holder : SlotHolder
    """

    def __init__(self, service: RequestService, router: Router, holder: SlotHolder):
        self._service = service
        self._router = router
        self._holder = holder

    @property
    def name(self) -> str:
        """Key in the state dump."""
        return "requests"

    def state(self) -> Any:
        """Return the counters, queued requests, requests in progress and held slots."""
        queued: Counter = self._service.dispatcher.queued_counts()
        zones = sorted(self._router.zones())
        return {
            "stopping": self._service.stopping,
            "counts": self._service.counters.snapshot(),
            "queued": dict(queued),
            "in_flight": self._service.in_flight_names(),
            "slots": [
                ZoneSlotsState(z, self._holder.epoch(z), len(self._holder.held(z)))
                for z in zones
            ],
        }
