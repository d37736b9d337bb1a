"""What a soak run has done and seen."""

import asyncio
import hashlib
from collections import Counter, defaultdict

import msgspec

from basilhold.core import ClassName

__all__ = ["Sample", "SoakRecord", "Wait"]


class Wait(msgspec.Struct, frozen=True):
    """How long one request or task has waited before it started.

    Parameters
    ----------
    at_s : float
        Virtual time of the start, in seconds.
    waited_ms, target_ms : float
    """

    at_s: float
    waited_ms: float
    target_ms: float


class Sample(msgspec.Struct, frozen=True):
    """State of the cell at one time.

    Parameters
    ----------
    at_s : float
    packing : float
        Share of the cores of the reachable workers that running tasks hold.
    bytes_by_distance : dict of str to int
        Control bytes since the start.
    """

    at_s: float
    packing: float
    bytes_by_distance: dict[str, int]


class SoakRecord:
    """Event log and counts of a run.

    Attributes
    ----------
    events : list of str
        One line per fault, outcome and change of a job's state; equal for equal
        seeds.
    faults : collections.Counter of str
        How often each fault took effect.
    outcomes : collections.Counter of str
        Ends of requests by class and outcome.
    waits : dict of ClassName to list of Wait
    samples : list of Sample
    """

    def __init__(self):
        self.events: list[str] = []
        self.faults: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.submissions: Counter[str] = Counter()
        self.changes: Counter[str] = Counter()
        self.waits: defaultdict[ClassName, list[Wait]] = defaultdict(list)
        self.samples: list[Sample] = []

    def note(self, text: str) -> None:
        """Add an event at the present virtual time."""
        self.events.append(f"{asyncio.get_running_loop().time():.3f} {text}")

    def wait(self, class_name: ClassName, waited_ms: float, target_ms: float) -> None:
        """Add the waiting time of work that starts now."""
        now_s = asyncio.get_running_loop().time()
        self.waits[class_name].append(Wait(now_s, waited_ms, target_ms))

    def digest(self) -> str:
        """Return a hash of the event log."""
        lines = "\n".join(self.events).encode()
        return hashlib.sha256(lines).hexdigest()[:16]
