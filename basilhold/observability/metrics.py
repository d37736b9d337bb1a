"""Metrics of a process, rendered by aioprometheus."""

import math
import os
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum
from pathlib import Path

import msgspec
from aioprometheus import Counter, Gauge, Histogram, Registry, render

from basilhold.observability.events import event_counts

__all__ = ["Metric", "MetricKind", "MetricSource", "Metrics", "ProcessMetrics"]

SERIES_PER_METRIC_MAX = 1_000
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(msgspec.Struct, frozen=True):
    """Declaration of a metric.

    Parameters
    ----------
    name : str
        Starts with ``basilhold_``; ends with the unit, or ``_total`` for counters.
    kind : MetricKind
    help : str
    labels : tuple of str
    buckets : tuple of float
        Upper bounds of a histogram, without infinity.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


class MetricSource(ABC):
    """Sets metrics when they are read, so that hot paths need not."""

    @abstractmethod
    def collect(self, metrics: "Metrics") -> None:
        """Set the current values."""


class Metrics:
    """The metrics of one process.

    The number of label sets per metric is bounded: values of labels may come from
    callers. Values beyond the bound are dropped and counted.

    Parameters
    ----------
    declared : iterable of Metric
        All metrics that may be set.
    series_max : int
    """

    def __init__(
        self, declared: Iterable[Metric], series_max: int = SERIES_PER_METRIC_MAX
    ):
        self._registry = Registry()
        self._series_max = series_max
        self._sources: list[MetricSource] = []
        self._collectors = {metric.name: self._make(metric) for metric in declared}
        self._seen: dict[str, set[tuple[str, ...]]] = {}
        self._dropped = Counter(
            "basilhold_metric_series_dropped_total",
            "Values dropped because a metric has too many label sets",
            registry=self._registry,
        )

    def _make(self, metric: Metric) -> Counter | Gauge | Histogram:
        if metric.kind is MetricKind.COUNTER:
            return Counter(metric.name, metric.help, registry=self._registry)
        if metric.kind is MetricKind.GAUGE:
            return Gauge(metric.name, metric.help, registry=self._registry)
        buckets = (*metric.buckets, math.inf)
        return Histogram(
            metric.name, metric.help, registry=self._registry, buckets=buckets
        )

    def add_source(self, source: MetricSource) -> None:
        """Ask a source for its values before each rendering."""
        self._sources.append(source)

    def add(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        if self._admit(metric, labels):
            self._collectors[metric.name].add(labels, amount)

    def set(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge, or the total of a counter that is kept elsewhere."""
        if self._admit(metric, labels):
            self._collectors[metric.name].set(labels, value)

    def observe(self, metric: Metric, value: float, **labels: str) -> None:
        """Add a value to a histogram."""
        if self._admit(metric, labels):
            self._collectors[metric.name].observe(labels, float(value))

    def _admit(self, metric: Metric, labels: dict[str, str]) -> bool:
        if labels.keys() != set(metric.labels):
            raise ValueError(f"{metric.name} has the labels {metric.labels}")
        seen = self._seen.setdefault(metric.name, set())
        key = tuple(labels[label] for label in metric.labels)
        if key in seen:
            return True
        if len(seen) >= self._series_max:
            self._dropped.inc({"metric": metric.name})
            return False
        seen.add(key)
        return True

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that `accept` allows, and its headers."""
        for source in self._sources:
            source.collect(self)
        return render(self._registry, [accept] if accept else [])


class ProcessMetrics(MetricSource):
    """Sets what every process reports about itself.

    Parameters
    ----------
    resident, processor, events : Metric
        Resident memory in bytes, processor time in seconds, logged events.
    """

    def __init__(self, resident: Metric, processor: Metric, events: Metric):
        self._resident = resident
        self._processor = processor
        self._events = events

    def collect(self, metrics: Metrics) -> None:
        """Set the current values."""
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        metrics.set(self._resident, pages * _PAGE_BYTES)
        metrics.set(self._processor, time.process_time())
        for event, count in event_counts().items():
            number, level = f"{event.number:04d}", event.level.name
            metrics.set(self._events, count, number=number, level=level)
