"""Variants of the decisions that a trial can compare, each with one mechanism off."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

from basilhold.workflows.step_order import (
    DeadlineOrder,
    DominantShareOrder,
    TenantShareOrder,
)

__all__ = ["VARIANTS"]

Variant = Callable[[], object]


@contextmanager
def as_built() -> Iterator[None]:
    """Change nothing."""
    yield


@contextmanager
def one_question_at_a_time() -> Iterator[None]:
    """Ask about as many workers as a gang needs, in one question after the other."""
    module = "basilhold.workflows.advice_queries"
    with (
        patch(f"{module}.OPEN_QUERIES_MAX", 1),
        patch(f"{module}.GANG_CANDIDATES_FACTOR", 1),
    ):
        yield


@contextmanager
def no_stops() -> Iterator[None]:
    """Stop no run for another."""
    with patch("basilhold.workflows.preemption._may_stop", lambda run, step: False):
        yield


@contextmanager
def no_reservations() -> Iterator[None]:
    """Keep no room for steps from one pass to the next."""
    name = "basilhold.workflows.preemption.Reservations.replace"
    with patch(name, lambda reservations, step, counts: None):
        yield


@contextmanager
def urgent_work_takes_kept_room() -> Iterator[None]:
    """Let urgent work take room that is kept for less urgent steps like any other."""
    with patch("basilhold.workflows.planner.RESERVED_PENALTY", 0.0):
        yield


@contextmanager
def no_drain() -> Iterator[None]:
    """Keep new work on the workers that a gang waits for."""
    with patch(
        "basilhold.workflows.planner._PlanningPass._withhold_workers", lambda *_: None
    ):
        yield


@contextmanager
def no_promises() -> Iterator[None]:
    """Renew no ticket before a worker has room."""
    with patch(
        "basilhold.workflows.planner._PlanningPass._claim_ending_capacity",
        lambda *_: [],
    ):
        yield


@contextmanager
def no_spares() -> Iterator[None]:
    """Name no more workers in a question than the step wants to use."""
    with patch("basilhold.workflows.advice_queries._spare_worker_ids", lambda *_: []):
        yield


@contextmanager
def late_work_keeps_its_rank() -> Iterator[None]:
    """Order steps by priority and deadline alone."""
    with (
        patch("basilhold.workflows.ready_steps.LATE_RANK", 0.0),
        patch("basilhold.workflows.ready_steps.WORTHLESS_RANK", 0.0),
    ):
        yield


@contextmanager
def speed_does_not_count() -> Iterator[None]:
    """Place tasks by how tightly they fit alone."""
    with (
        patch("basilhold.workflows.planner.SPEED_WEIGHT", 0.0),
        patch("basilhold.workflows.planner.URGENT_SPEED_WEIGHT", 0.0),
    ):
        yield


@contextmanager
def half_the_choice() -> Iterator[None]:
    """Ask about half as many workers for a gang."""
    with patch("basilhold.workflows.advice_queries.GANG_CANDIDATES_FACTOR", 4):
        yield


@contextmanager
def double_the_choice() -> Iterator[None]:
    """Ask about twice as many workers for a gang."""
    with patch("basilhold.workflows.advice_queries.GANG_CANDIDATES_FACTOR", 16):
        yield


@contextmanager
def dominant_share() -> Iterator[None]:
    """Order steps of one rank by their tenants' dominant shares."""
    with patch.object(DeadlineOrder, "sort", DominantShareOrder.sort):
        yield


@contextmanager
def tenant_share_apart() -> Iterator[None]:
    """Order steps by due shares, with the use of each service counted by itself."""
    with patch.object(
        DeadlineOrder, "sort", lambda order, *args: TenantShareOrder().sort(*args)
    ):
        yield


@contextmanager
def tenant_share() -> Iterator[None]:
    """Order steps by what the tenants are due while capacity is short."""
    with tenant_share_apart(), patch.object(DeadlineOrder, "divides_capacity", True):
        yield


@contextmanager
def no_surplus() -> Iterator[None]:
    """Let submissions beyond a tenant's rate keep their rank."""
    with patch("basilhold.workflows.ready_steps.SURPLUS_RANK", 0.0):
        yield


@contextmanager
def dominant_share_alone() -> Iterator[None]:
    """Combine the two variants above."""
    with dominant_share(), no_surplus():
        yield


@contextmanager
def tenant_share_alone() -> Iterator[None]:
    """Order by due shares, without the mark of submissions beyond the rate."""
    with tenant_share(), no_surplus():
        yield


VARIANTS: dict[str, Variant] = {
    "dominant-share": dominant_share,
    "no-surplus": no_surplus,
    "dominant-alone": dominant_share_alone,
    "tenant-share": tenant_share,
    "tenant-share-apart": tenant_share_apart,
    "tenant-share-alone": tenant_share_alone,
    "as-built": as_built,
    "one-question": one_question_at_a_time,
    "half-choice": half_the_choice,
    "double-choice": double_the_choice,
    "no-stops": no_stops,
    "no-reservations": no_reservations,
    "kept-room-taken": urgent_work_takes_kept_room,
    "no-drain": no_drain,
    "no-promises": no_promises,
    "no-spares": no_spares,
    "no-late-rank": late_work_keeps_its_rank,
    "no-speed": speed_does_not_count,
}
