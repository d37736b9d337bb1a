"""Decides which task runs on which worker. Performs no I/O."""

from basilhold.placement.first_fit import FirstFitPlanner
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
    "Eviction",
    "EvictionAction",
    "Explanation",
    "FirstFitPlanner",
    "Placement",
    "Plan",
    "Planner",
    "RandomFitPlanner",
    "TargetPlanner",
]
