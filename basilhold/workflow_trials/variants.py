"""Variants of the decisions that a trial can compare, each with one mechanism off."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

__all__ = ["VARIANTS"]

Variant = Callable[[], object]


@contextmanager
def as_built() -> Iterator[None]:
    """Change nothing."""
    yield


@contextmanager
def one_question_at_a_time() -> Iterator[None]:
    """Ask about as many workers as a gang needs, in one question after the other."""
    module = "basilhold.workflows.questions"
    with (
        patch(f"{module}.QUESTIONS_MAX", 1),
        patch(f"{module}.GANG_CHOICE", 1),
    ):
        yield


@contextmanager
def no_stops() -> Iterator[None]:
    """Stop no run for another."""
    with patch("basilhold.workflows.preemption._may_stop", lambda run, step: False):
        yield


VARIANTS: dict[str, Variant] = {
    "as-built": as_built,
    "one-question": one_question_at_a_time,
    "no-stops": no_stops,
}
