"""Exports the counters of a process as metrics."""

from basilhold.accounting import OperationCounter, StoreBudget, TrafficCounter
from basilhold.observability import Metrics, MetricSource, metric

__all__ = ["NodeMetrics"]


class NodeMetrics(MetricSource):
    """Bytes sent, store operations and the store budget.

    Parameters
    ----------
    traffic : TrafficCounter
    operations : OperationCounter
    budget : StoreBudget
    """

    def __init__(
        self, traffic: TrafficCounter, operations: OperationCounter, budget: StoreBudget
    ):
        self._traffic = traffic
        self._operations = operations
        self._budget = budget
        self._exported: dict[tuple[str, ...], int] = {}

    def collect(self, metrics: Metrics) -> None:
        """Bring the metrics up to date."""
        sent = metric("basilhold_sent_bytes_total")
        for entry in self._traffic.snapshot():
            total = entry.payload_bytes + entry.overhead_bytes
            purpose, distance = entry.purpose.value, entry.distance.value
            grown = self._grown(("sent", purpose, distance), total)
            metrics.add(sent, grown, purpose=purpose, distance=distance)
        operations = metric("basilhold_store_operations_total")
        for entry in self._operations.snapshot():
            outcomes = {
                "ok": entry.count - entry.failed_count,
                "failed": entry.failed_count,
            }
            for outcome, total in outcomes.items():
                labels = {"purpose": entry.purpose, "kind": entry.kind.value}
                key = ("operations", entry.purpose, entry.kind.value, outcome)
                metrics.add(
                    operations, self._grown(key, total), outcome=outcome, **labels
                )
        durations = self._operations.durations
        while durations:
            entry = durations.popleft()
            declared = metric("basilhold_store_seconds")
            metrics.observe(declared, entry.duration_s, kind=entry.kind.value)
        budget = metric("basilhold_store_budget_per_second")
        metrics.set(budget, self._budget.rate_per_s)

    def _grown(self, key: tuple[str, ...], total: int) -> int:
        grown = total - self._exported.get(key, 0)
        self._exported[key] = total
        return grown
