"""Counters of a gateway's request processing."""

from collections import Counter, deque
from enum import Enum

import msgspec

from basilhold.core import ClassName
from basilhold.requests import Outcome, ProblemKind

__all__ = ["Count", "RequestCounters", "WaitRatio"]

WAIT_RATIOS_MAX = 10_000
"""Wait ratios kept between two metric scrapes; the oldest are dropped first."""


class Count(Enum):
    """Counted occurrences other than outcomes and problems."""

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


class WaitRatio(msgspec.Struct, frozen=True):
    """Queueing time of a request relative to the target of its class.

    Parameters
    ----------
    class_name : ClassName
    ratio : float
        Time until the first attempt, divided by the target; above 1 the target was
        missed.
    """

    class_name: ClassName
    ratio: float


class RequestCounters:
    """Counters of one gateway, exported by the metrics and the state dump.

    Attributes
    ----------
    counts : Counter of Count
    outcomes : Counter of Outcome
        Finished requests by outcome.
    problems : Counter of ProblemKind
        Requests that ended with a problem, by its kind.
    arrived : Counter of ClassName
        Valid requests by class.
    on_target : Counter of ClassName
        Requests whose first attempt started within the wait target, by class.
    class_outcomes : dict of ClassName to Counter of Outcome
        Finished requests by class and outcome.
    wait_ratios : deque of WaitRatio
        Ratios since the last metric scrape, at most `WAIT_RATIOS_MAX`.
    """

    def __init__(self):
        self.counts: Counter[Count] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.problems: Counter[ProblemKind] = Counter()
        self.arrived: Counter[ClassName] = Counter()
        self.on_target: Counter[ClassName] = Counter()
        self.class_outcomes: dict[ClassName, Counter[Outcome]] = {}
        self.wait_ratios: deque[WaitRatio] = deque(maxlen=WAIT_RATIOS_MAX)

    def record_outcome(self, class_name: ClassName, outcome: Outcome) -> None:
        """Count a finished request by class and outcome."""
        self.outcomes[outcome] += 1
        self.class_outcomes.setdefault(class_name, Counter())[outcome] += 1

    def snapshot(self) -> dict[str, int]:
        """Return all counts by name, with underscores instead of hyphens."""
        values = {f"request_{key.value}": n for key, n in self.counts.items()}
        values |= {f"outcome_{key.value}": n for key, n in self.outcomes.items()}
        values |= {f"problem_{key.value}": n for key, n in self.problems.items()}
        values |= {f"arrived_{name}": n for name, n in self.arrived.items()}
        values |= {f"on_target_{name}": n for name, n in self.on_target.items()}
        return {name.replace("-", "_"): n for name, n in sorted(values.items())}
