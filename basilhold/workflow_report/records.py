"""Workflows as log lines tell of them. Pure."""

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime

import msgspec

from basilhold.workflows import events

__all__ = ["WorkflowRecord", "read_lines"]

_LINE = re.compile(
    r"\s*(?:(?P<seconds>-?\d+\.\d+) .*?)?"
    r"(?P<time>\d{4}-\d\d-\d\dT\S+)? ?.*?\bBH(?P<event>60\d\d) (?P<text>.*)"
)
_ACCEPTED = events.WORKFLOW_ACCEPTED.number
_WORKFLOW_ENDED = events.WORKFLOW_ENDED.number
_STARTED = events.RUN_ASSIGNED.number
_RUN_ENDED = events.RUN_ENDED.number
_STOPPED = events.RUN_PREEMPTED.number
_ANSWERED = events.ADVICE_RECEIVED.number

_JOB = re.compile(r"\bjob=(\w+)")
_TASK = re.compile(r"\btask=(\w+)\.\d+\.\d+\.\d+ run=\d+")
_STOPPED_FOR = re.compile(r"stopped for (\w+)")
_QUEUE = re.compile(r"\bqueue=(\S+)")
_ENDED = re.compile(r"\bended (?:state=)?(\w+)")


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
    stops_caused : int
        Runs of others that were stopped so that this one could start.
    ended_s : float, optional
    state : str
        Final state; empty if the workflow has not ended.
    """

    queue: str
    accepted_s: float
    answers_s: list[float] = []
    starts_s: list[float] = []
    run_ends: Counter = msgspec.field(default_factory=Counter)
    stops_caused: int = 0
    ended_s: float | None = None
    state: str = ""

    def stages_s(self) -> tuple[float, float, float] | None:
        """Return the times to the first start, to the last one, and to the end.

        Returns
        -------
        tuple of float, or None
            ``None`` for a workflow that has not completed.
        """
        if self.state != "completed" or not self.starts_s or self.ended_s is None:
            return None
        first_s, last_s = min(self.starts_s), max(self.starts_s)
        return first_s - self.accepted_s, last_s - first_s, self.ended_s - last_s


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
    known = records.setdefault(job[1], WorkflowRecord(queue[1], time_s, [], []))
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
        record.stops_caused += 1
    elif event == _ANSWERED:
        record.answers_s.append(time_s)
