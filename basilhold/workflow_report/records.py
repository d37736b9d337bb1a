"""Workflows as log lines tell of them. Pure."""

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime

import msgspec

from basilhold.workflows import events

__all__ = ["STAGES", "WorkflowRecord", "read_lines"]

_LINE = re.compile(
    r"\s*(?:(?P<seconds>-?\d+\.\d+) .*?)?"
    r"(?P<time>\d{4}-\d\d-\d\dT\S+)? ?.*?\bBH(?P<event>60\d\d) (?P<text>.*)"
)
_ACCEPTED = events.WORKFLOW_ACCEPTED.number
_WORKFLOW_ENDED = events.WORKFLOW_ENDED.number
_STARTED = events.RUN_ASSIGNED.number
_RUN_ENDED = events.RUN_ENDED.number
_STOPPED = events.RUN_PREEMPTED.number
_NOT_STARTED = events.RUN_NOT_STARTED.number
_ANSWERED = events.ADVICE_RECEIVED.number

_JOB = re.compile(r"\bjob=(\w+)")
_TASK = re.compile(r"\btask=(\w+)\.\d+\.\d+\.\d+ run=\d+")
_STOPPED_FOR = re.compile(r"stopped for (\w+)")
_QUEUE = re.compile(r"\bqueue=(\S+)")
_OUTCOME = re.compile(r" start (\S+)$")
_ENDED = re.compile(r"\bended (?:state=)?(\w+)")


STAGES = (
    "to the first answer",
    "to the first start",
    "to the last start",
    "to the end",
)
"""Stages of a workflow; those without advice have their first answer at once."""

SOON_S = 2.0
"""A workflow for which others were stopped should start within this time."""


class WorkflowRecord(msgspec.Struct):
    """What the log tells about one workflow; times in seconds.

    Parameters
    ----------
    queue : str
    accepted_s : float
    answers_s, starts_s : list of float
        Answers of the advice service, and starts of runs.
    run_ends : Counter of str
        Runs by how they ended.
    not_started : Counter of str
        Starts that workers did not carry out, by outcome.
    stops_s : list of float
        Stops of others' runs so that this one could start.
    ended_s : float, optional
    state : str
        Final state; empty if the workflow has not ended.
    """

    queue: str
    accepted_s: float
    answers_s: list[float] = []
    starts_s: list[float] = []
    run_ends: Counter = msgspec.field(default_factory=Counter)
    not_started: Counter = msgspec.field(default_factory=Counter)
    stops_s: list[float] = []
    ended_s: float | None = None
    state: str = ""

    def stages_s(self) -> tuple[float, float, float, float] | None:
        """Return the durations of the stages named in `STAGES`.

        Returns
        -------
        tuple of float, or None
            ``None`` for a workflow that has not completed.
        """
        if self.state != "completed" or not self.starts_s or self.ended_s is None:
            return None
        first_s, last_s = min(self.starts_s), max(self.starts_s)
        answered_s = min(self.answers_s, default=self.accepted_s)
        answered_s = min(max(answered_s, self.accepted_s), first_s)
        return (
            answered_s - self.accepted_s,
            first_s - answered_s,
            last_s - first_s,
            self.ended_s - last_s,
        )

    def useless_stops(self) -> int:
        """Return after how many stops of others no run of this one started soon."""
        return sum(
            not any(0.0 <= start_s - stop_s <= SOON_S for start_s in self.starts_s)
            for stop_s in self.stops_s
        )


def read_lines(lines: Iterable[str]) -> dict[str, WorkflowRecord]:
    """Return the workflows that log lines tell of, by id.

    A line has the time of its machine, or begins with seconds that whoever collected
    the lines has put there; these go first. The lines of different machines may follow
    each other.
    """
    records: dict[str, WorkflowRecord] = {}
    later: list[tuple[int, str, float]] = []
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        time_s = _time_s(match)
        if time_s is None:
            continue
        event, text = int(match["event"]), match["text"]
        if event == _ACCEPTED:
            _take_accepted(records, text, time_s)
        else:
            later.append((event, text, time_s))
    for event, text, time_s in later:
        _take(records, event, text, time_s)
    return records


def _time_s(match: re.Match[str]) -> float | None:
    if match["seconds"]:
        return float(match["seconds"])
    if match["time"]:
        return datetime.fromisoformat(match["time"]).timestamp()
    return None


def _take_accepted(
    records: dict[str, WorkflowRecord], text: str, time_s: float
) -> None:
    job, queue = _JOB.search(text), _QUEUE.search(text)
    if not job or not queue:
        return
    known = records.setdefault(job[1], WorkflowRecord(queue[1], time_s))
    # A caller's second try is accepted too.
    known.accepted_s = min(known.accepted_s, time_s)


def _take(
    records: dict[str, WorkflowRecord], event: int, text: str, time_s: float
) -> None:
    name = _JOB.search(text) or _TASK.search(text)
    record = records.get(name[1]) if name else None
    if event == _STOPPED:
        stopped_for = _STOPPED_FOR.search(text)
        record = records.get(stopped_for[1]) if stopped_for else None
    if record is None:
        return
    if event == _WORKFLOW_ENDED:
        ended = _ENDED.search(text)
        record.ended_s, record.state = time_s, ended[1] if ended else ""
    elif event == _STARTED:
        record.starts_s.append(time_s)
    elif event == _RUN_ENDED:
        ended = _ENDED.search(text)
        record.run_ends[ended[1] if ended else ""] += 1
    elif event == _STOPPED:
        record.stops_s.append(time_s)
    elif event == _NOT_STARTED:
        outcome = _OUTCOME.search(text)
        record.not_started[outcome[1] if outcome else ""] += 1
    elif event == _ANSWERED:
        record.answers_s.append(time_s)
