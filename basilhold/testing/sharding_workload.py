"""Jobs of all kinds, and a check of the owner's calls, for runs of a cell."""

import random
from collections import Counter

import msgspec

from basilhold.core import (
    ClassKind,
    InvariantError,
    JobSpec,
    Resources,
    Team,
    TeamName,
)
from basilhold.placement import Placement, Plan, TargetPlanner
from basilhold.standins import TaskBehaviour
from basilhold.testing.cell import TASK_SIZE

__all__ = ["TEAMS", "CheckedPlanner", "add_overuse", "make_mixed_spec"]

_URGENT_TARGET_MS = 5_000
TEAMS = (
    Team(TeamName("track"), Resources(8_000, 16 << 30, 0)),
    Team(TeamName("depot"), Resources(1_000, 1 << 30, 0)),
)
"""The second quota holds one task, so that a team is above it in every run."""


class CheckedPlanner(TargetPlanner):
    """Checks the owner's calls, and counts evictions by what they are for."""

    def __init__(self, counts: Counter[str]):
        super().__init__()
        self._counts = counts
        self._open: set[Placement] = set()

    def plan(self, now_unix_ms: int, limit: int) -> Plan:
        """Plan, if the placements of the last plan were settled."""
        if self._open:
            raise InvariantError(f"{len(self._open)} placements were not settled")
        plan = super().plan(now_unix_ms, limit)
        self._open.update(plan.placements)
        for eviction in plan.evictions:
            cause = "urgent work" if eviction.for_task_id else "overuse"
            self._counts[f"{eviction.action.value} for {cause}"] += 1
        return plan

    def confirm(self, placements: tuple[Placement, ...]) -> None:
        """Confirm placements of the last plan."""
        self._settle(placements)
        super().confirm(placements)

    def abandon(self, placements: tuple[Placement, ...]) -> None:
        """Abandon placements of the last plan."""
        self._settle(placements)
        super().abandon(placements)

    def _settle(self, placements: tuple[Placement, ...]) -> None:
        for placement in placements:
            if placement not in self._open:
                raise InvariantError(f"{placement.task_id} was settled twice")
            self._open.discard(placement)


def add_overuse(behaviours: dict[str, TaskBehaviour]) -> None:
    """Add commands that use twice what they declare of one resource."""
    cores, memory = TASK_SIZE.cores_milli, TASK_SIZE.memory_bytes
    behaviours["memory-hungry"] = TaskBehaviour(
        25_000, False, Resources(cores, 2 * memory, 0)
    )
    behaviours["cores-hungry"] = TaskBehaviour(
        25_000, False, Resources(2 * cores, memory, 0)
    )


def make_mixed_spec(rng: random.Random, spec: JobSpec, now_unix_ms: int) -> JobSpec:
    """Return a service, a batch or a gang; some urgent, some with wrong sizes."""
    kind = rng.choice((ClassKind.SERVICE, ClassKind.BATCH, ClassKind.GANG))
    command = spec.command
    if command == "medium" and rng.random() < 0.3:
        command = rng.choice(("memory-hungry", "cores-hungry"))
    return msgspec.structs.replace(
        spec,
        kind=kind,
        command=command,
        task_count=rng.randint(1, 4),
        task_resources=TASK_SIZE.scaled(
            rng.choice((1, 1, 2)) if kind is ClassKind.BATCH else 1
        ),
        wait_target_ms=(
            _URGENT_TARGET_MS if rng.random() < 0.3 else spec.wait_target_ms
        ),
        team=rng.choice(TEAMS).name,
        checkpoint=rng.random() < 0.3,
        submitted_unix_ms=now_unix_ms,
        run_time_ms=rng.choice((0, 3_000, 25_000)),
    )
