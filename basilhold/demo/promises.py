"""The guarantees of the design and whether they held."""

from collections import Counter
from enum import Enum

__all__ = ["Promise", "Promises"]


class Promise(Enum):
    """A guarantee; the text is what a report shows."""

    CAPACITY = "G1 no VM is committed beyond its size"
    ONE_PLACE = "G2 no task runs in two places"
    WHOLE_ANSWERS = "G3 every answer is whole and its caller's own"
    NOT_RUN_IS_TRUE = "G4 what is said not to have run did not run"
    AT_MOST_ONCE = "G5 non-idempotent work runs at most once"
    LEAVING = "G6 a leaving upstream gets no new work after 3 s"
    GRACEFUL_STOP = "G7 a planned stop cuts no request in flight"
    CONFIGURATION = "G8 an accepted configuration is in force within 4 s"


class Promises:
    """Counts checks and keeps what broke a guarantee."""

    def __init__(self):
        self.checks: Counter[Promise] = Counter()
        self.broken: list[tuple[Promise, str]] = []

    def check(self, promise: Promise, holds: bool, subject: str) -> None:
        """Note one check.

        Parameters
        ----------
        promise : Promise
        holds : bool
        subject : str
            What was checked, for the report of a failure.
        """
        self.checks[promise] += 1
        if not holds:
            self.broken.append((promise, subject))

    @property
    def all_held(self) -> bool:
        """Whether every guarantee was checked and none was broken."""
        return not self.broken and all(self.checks[promise] for promise in Promise)
