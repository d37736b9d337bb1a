"""Baseline planner: random choice among the workers with room."""

import random

from basilhold.core import Resources, WorkerId
from basilhold.placement.first_fit import FirstFitPlanner

__all__ = ["RandomFitPlanner"]


class RandomFitPlanner(FirstFitPlanner):
    """Places tasks in arrival order on a random worker with room.

    Parameters
    ----------
    seed : int
        Seed of the random choice.
    """

    def __init__(self, seed: int):
        super().__init__()
        self._random = random.Random(seed)

    def _choose_worker(self, size: Resources) -> WorkerId | None:
        feasible = [
            worker_id
            for worker_id, free in self._free.items()
            if self._schedulable[worker_id] and size.fits_in(free)
        ]
        return self._random.choice(feasible) if feasible else None
