"""Placement: the decision which task of a shard runs on which worker.

The package performs no I/O. The owner of a shard passes the records of workers and jobs
to a `Planner`, and commits the plans that it returns.
"""

from basilhold.placement.admission import (
    GANG_TASKS_MAX,
    Rejection,
    RejectionKind,
    WorkerShape,
    check_admission,
    split_over_zones,
)
from basilhold.placement.estimates import ClassEstimates, DecayingQuantile
from basilhold.placement.first_fit import FirstFitPlanner
from basilhold.placement.health import AttemptOutcome, HealthVerdict, WorkerHealth
from basilhold.placement.lanes import URGENT_TARGET_MS
from basilhold.placement.plan import (
    Eviction,
    EvictionAction,
    Explanation,
    Placement,
    Plan,
)
from basilhold.placement.planner import Planner
from basilhold.placement.random_fit import RandomFitPlanner
from basilhold.placement.target_planner import TargetPlanner

__all__ = [
    "URGENT_TARGET_MS",
    "GANG_TASKS_MAX",
    "AttemptOutcome",
    "ClassEstimates",
    "DecayingQuantile",
    "Eviction",
    "EvictionAction",
    "Explanation",
    "FirstFitPlanner",
    "HealthVerdict",
    "Placement",
    "Plan",
    "Planner",
    "RandomFitPlanner",
    "Rejection",
    "RejectionKind",
    "TargetPlanner",
    "WorkerHealth",
    "WorkerShape",
    "check_admission",
    "split_over_zones",
]
