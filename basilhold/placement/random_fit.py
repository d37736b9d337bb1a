"""Baseline planner that places tasks on random workers with room."""

import random

from basilhold.core import Resources, WorkerId
from basilhold.placement.first_fit import FirstFitPlanner

__all__ = ["RandomFitPlanner"]


class RandomFitPlanner(FirstFitPlanner):
    """Places tasks in the order of their jobs' arrival on a random worker with room.

    In contrast to its base class it ignores quarantines.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
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
