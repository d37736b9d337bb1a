"""Metrics of a process, rendered with aioprometheus."""

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
        Starts with ``basilhold_`` and ends with the unit, or ``_total`` for counters.
    kind : MetricKind
    help : str
        Description that is exported with the metric.
    labels : tuple of str
        Names of the labels.
    buckets : tuple of float
        Upper bounds of the buckets of a histogram, without infinity.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


class MetricSource(ABC):
    """Sets metrics when they are read, to keep the cost out of hot paths."""

    @abstractmethod
    def collect(self, metrics: "Metrics") -> None:
        """Set the current values."""


class Metrics:
    """The metrics of one process.

    The number of time series per metric is limited, because values of labels may come
    from callers. Values of further series are dropped and counted.

    Parameters
    ----------
    declared : iterable of Metric
        All metrics that can be set.
    series_max : int
        Largest number of time series per metric.
    """

    def __init__(
        self, declared: Iterable[Metric], series_max: int = SERIES_PER_METRIC_MAX
    ):
        self._registry = Registry()
        self._series_max = series_max
        self._sources: list[MetricSource] = []
        self._collectors = {
            metric.name: self._create_collector(metric) for metric in declared
        }
        self._seen: dict[str, set[tuple[str, ...]]] = {}
        self._dropped = Counter(
            "basilhold_metric_series_dropped_total",
            "Values dropped because a metric has too many label sets",
            registry=self._registry,
        )

    def _create_collector(self, metric: Metric) -> Counter | Gauge | Histogram:
        if metric.kind is MetricKind.COUNTER:
            return Counter(metric.name, metric.help, registry=self._registry)
        if metric.kind is MetricKind.GAUGE:
            return Gauge(metric.name, metric.help, registry=self._registry)
        buckets = (*metric.buckets, math.inf)
        return Histogram(
            metric.name, metric.help, registry=self._registry, buckets=buckets
        )

    def add_source(self, source: MetricSource) -> None:
        """Add a source whose values are collected before each rendering."""
        self._sources.append(source)

    def add(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter.

        Raises
        ------
        ValueError
            If the names of the labels are not those of the metric.
        """
        if self._accept_series(metric, labels):
            self._collectors[metric.name].add(labels, amount)

    def set(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge, or a counter whose total is maintained elsewhere.

        Raises
        ------
        ValueError
            If the names of the labels are not those of the metric.
        """
        if self._accept_series(metric, labels):
            self._collectors[metric.name].set(labels, value)

    def observe(self, metric: Metric, value: float, **labels: str) -> None:
        """Add a value to a histogram.

        Raises
        ------
        ValueError
            If the names of the labels are not those of the metric.
        """
        if self._accept_series(metric, labels):
            self._collectors[metric.name].observe(labels, float(value))

    def _accept_series(self, metric: Metric, labels: dict[str, str]) -> bool:
        if labels.keys() != set(metric.labels):
            raise ValueError(f"{metric.name} requires the labels {metric.labels}")
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
        """Collect and render all metrics.

        Parameters
        ----------
        accept : str
            Value of the ``Accept`` header of the request, by which the format is
            selected.

        Returns
        -------
        content : bytes
        headers : dict of str to str
            HTTP headers that describe the content.
        """
        for source in self._sources:
            source.collect(self)
        return render(self._registry, [accept] if accept else [])


class ProcessMetrics(MetricSource):
    """Sets the metrics that each process reports about itself.

    Parameters
    ----------
    resident : Metric
        Resident memory, in bytes.
    processor : Metric
        Processor time, in seconds.
    events : Metric
        Number of logged events.
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
