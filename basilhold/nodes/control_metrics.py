"""Metrics of configuration, VM list and relay."""

from basilhold.config import CURRENT_AGE_MAX_MS
from basilhold.core import Clock, OfficeName
from basilhold.nodes.base import NodeContext
from basilhold.observability import Metrics, MetricSource, metric
from basilhold.relay import Relay

__all__ = ["ConfigMetrics", "RelayMetrics", "SpreadWatch"]


class ConfigMetrics(MetricSource):
    """Sets what a gateway or scheduler knows about configuration and VM list.

    Parameters
    ----------
    context : NodeContext
    """

    def __init__(self, context: NodeContext):
        self._context = context

    def collect(self, metrics: Metrics) -> None:
        """Set the current values."""
        context = self._context
        now_ms = context.clock.monotonic_ms()
        _set_versions(metrics, context.in_force.versions())
        is_current = context.in_force.is_current(now_ms)
        metrics.set(metric("basilhold_config_current"), int(is_current))
        suspect = context.directory.is_vm_list_doubted
        metrics.set(metric("basilhold_vm_list_suspect"), int(suspect))


class SpreadWatch:
    """Measures how long versions take until they are in force everywhere.

    Only the active relay of the store's region knows this. Versions that the relay
    has from its start are not measured, as their age is unknown.

    Parameters
    ----------
    relay : Relay
    clock : Clock
    """

    def __init__(self, relay: Relay, clock: Clock):
        self._relay = relay
        self._clock = clock
        self._known: dict[OfficeName, int] = {}
        self._pending: dict[tuple[OfficeName, int], float] = {}
        self._durations_s: list[float] = []

    def update(self) -> None:
        """Note new versions and those that are now in force everywhere."""
        now_ms = self._clock.monotonic_ms()
        state = self._relay.state
        for office, version in state.versions().items():
            known = self._known.get(office)
            if known is not None and version > known:
                self._pending[office, version] = now_ms
            self._known[office] = version
        if not self._relay.reads_store:
            self._pending.clear()
            return
        for key, since_ms in list(self._pending.items()):
            office, version = key
            if state.everywhere.get(office, 0) >= version:
                del self._pending[key]
                self._durations_s.append((now_ms - since_ms) / 1000)

    def take_durations_s(self) -> list[float]:
        """Return the durations since the last call, in seconds."""
        taken, self._durations_s = self._durations_s, []
        return taken


class RelayMetrics(MetricSource):
    """Sets the metrics of a relay.

    Parameters
    ----------
    relay : Relay
    spread : SpreadWatch
    clock : Clock
    """

    def __init__(self, relay: Relay, spread: SpreadWatch, clock: Clock):
        self._relay = relay
        self._spread = spread
        self._clock = clock

    def collect(self, metrics: Metrics) -> None:
        """Set the current values."""
        state = self._relay.state
        confirmed_ms = state.confirmed_at_ms
        age_ms = self._clock.monotonic_ms() - (confirmed_ms or 0)
        is_current = confirmed_ms is not None and age_ms <= CURRENT_AGE_MAX_MS
        _set_versions(metrics, state.versions())
        metrics.set(metric("basilhold_config_current"), int(is_current))
        is_active = self._relay.is_reader
        metrics.set(metric("basilhold_relay_active"), int(is_active))
        for duration_s in self._spread.take_durations_s():
            metrics.observe(metric("basilhold_config_spread_seconds"), duration_s)


def _set_versions(metrics: Metrics, versions: dict[OfficeName, int]) -> None:
    for office, version in versions.items():
        metrics.set(metric("basilhold_config_version"), version, office=office)
