"""Counts of the request path."""

from collections import Counter
from enum import Enum

from basilhold.core import ClassName
from basilhold.requests import Outcome, ProblemKind

__all__ = ["Count", "RequestCounters"]


class Count(Enum):
    """What is counted, beside outcomes and problems."""

    REQUESTS = "requests"
    ATTEMPTS = "attempts"
    RETRIES = "retries"
    OTHER_REGION_ATTEMPTS = "other-region-attempts"
    OTHER_REGION_BYTES = "other-region-bytes"
    TRUNCATED_ANSWERS = "truncated-answers"
    CALLERS_GONE = "callers-gone"
    REPLAYS = "replays"
    RECORD_OPERATIONS = "record-operations"
    RECORD_TRANSACTIONS = "record-transactions"
    RESULTS_NOT_RECORDED = "results-not-recorded"
    ANSWERS_NOT_KEPT = "answers-not-kept"


class RequestCounters:
    """Counters of one gateway, read by metrics and the state dump."""

    def __init__(self):
        self.counts: Counter[Count] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.problems: Counter[ProblemKind] = Counter()
        self.arrived: Counter[ClassName] = Counter()
        self.on_target: Counter[ClassName] = Counter()

    def snapshot(self) -> dict[str, int]:
        """Return all counts by name."""
        values = {f"request_{key.value}": n for key, n in self.counts.items()}
        values |= {f"outcome_{key.value}": n for key, n in self.outcomes.items()}
        values |= {f"problem_{key.value}": n for key, n in self.problems.items()}
        values |= {f"arrived_{name}": n for name, n in self.arrived.items()}
        values |= {f"on_target_{name}": n for name, n in self.on_target.items()}
        return {name.replace("-", "_"): n for name, n in sorted(values.items())}
