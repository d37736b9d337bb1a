"""Effects of workers' listings, restarts and losses on the runs that an owner tracks.

The module performs no I/O.
"""

import math
from collections.abc import Iterable

import msgspec

from basilhold.workflows.crash_blame import CrashEvidence
from basilhold.workflows.pool import ListedRun, Listing, Run, RunKey, RunStage, Worker
from basilhold.workflows.progress import RunEnd

__all__ = [
    "EndedRun",
    "Reconciled",
    "reconcile",
    "remove_lost_runs",
    "transfer_runs",
]


class EndedRun(msgspec.Struct):
    """End of a run; `run` is ``None`` if the owner no longer tracked that run."""

    key: RunKey
    end: RunEnd
    run: Run | None = None


class Reconciled(msgspec.Struct):
    """Changes found in a listing.

    Parameters
    ----------
    ends : list of EndedRun
        Ends to apply to the workflows, in this order.
    unknown : list of ListedRun
        Runs that the owner does not track; the caller has to stop or adopt them.
    begun : list of RunKey
        Tasks with a run that has begun, as the listing shows for the first time.
    """

    ends: list[EndedRun]
    unknown: list[ListedRun]
    begun: list[RunKey]


def reconcile(worker: Worker, listing: Listing, poll: int, now_ms: float) -> Reconciled:
    """Update a worker's runs from its own listing.

    Parameters
    ----------
    worker : Worker
        Updated.
    listing : Listing
    poll : int
        Number of the poll with which the listing was requested.
    now_ms : float
        Time of the event loop's clock at which the listing arrived, in milliseconds.

    Returns
    -------
    Reconciled
    """
    result = Reconciled([], [], [])
    worker.listed = True
    worker.listed_ms = now_ms
    worker.clock_ms = listing.clock_ms
    listed_keys = set()
    for listed in listing.running:
        listed_keys.add(listed.key)
        _apply_listed_run(worker, listed, now_ms, result)
    for ended in listing.ended:
        if ended.sequence <= worker.processed_sequence:
            continue
        worker.processed_sequence = ended.sequence
        run = worker.runs.get(ended.key)
        if run is not None and run.number <= ended.end.run:
            worker.remove(ended.key)
            listed_keys.discard(ended.key)
        same = run is not None and run.number == ended.end.run
        result.ends.append(EndedRun(ended.key, ended.end, run if same else None))
    for key, run in list(worker.runs.items()):
        if key in listed_keys or not _is_absent(run, listing, poll):
            continue
        if listing.is_complete:
            worker.remove(key)
            result.ends.append(EndedRun(key, run.lost_end()))
        else:
            # Its end may be among those that are listed later.
            run.is_absent = True
    return result


def _apply_listed_run(
    worker: Worker, listed: ListedRun, now_ms: float, result: Reconciled
) -> None:
    run = worker.runs.get(listed.key)
    if run is None or run.number != listed.number:
        result.unknown.append(listed)
        result.begun.append(listed.key)
        return
    if not run.listed:
        result.begun.append(listed.key)
    run.crash = None
    run.is_absent = False
    run.held_until_ms = 0.0
    is_unconfirmed = run.stage in (RunStage.STARTING, RunStage.UNCERTAIN)
    if is_unconfirmed or not run.confirmed_ms:
        run.stage = RunStage.RUNNING
        run.confirmed_ms = now_ms
        run.polls_before = worker.poll_count
    if listed.checkpoint and listed.checkpoint != run.checkpoint:
        run.checkpoint = listed.checkpoint
        run.checkpoint_ms = now_ms
    run.listed = True
    run.percent = listed.percent
    run.usage = listed.usage


def _is_absent(run: Run, listing: Listing, poll: int) -> bool:
    """Return whether a run that is missing from a listing can no longer run."""
    if run.stage is RunStage.COMMITTING or run.stage is RunStage.STARTING:
        return False
    if run.stage is RunStage.UNCERTAIN:
        return listing.clock_ms > run.until_clock_ms
    # The worker had carried out the call before it replied. Times cannot tell whether
    # the poll was sent after that reply, as the loop's clock counts whole milliseconds.
    return poll > run.polls_before


def transfer_runs(
    old: Worker, new: Worker, evidence: dict[RunKey, CrashEvidence]
) -> None:
    """Transfer runs that may exist on a new incarnation of a worker to it.

    A new incarnation has the address of the previous one, so a start call in transit
    may have reached either of the two. The transferred runs are marked to be stopped;
    once the new incarnation has confirmed the stop, they can no longer start there.

    Parameters
    ----------
    old, new : Worker
    evidence : dict of RunKey to CrashEvidence
        Runs that may be to blame for the crash of the previous incarnation. They count
        as crashed unless the new one turns out to have them.
    """
    for key, run in list(old.runs.items()):
        if run.listed or run.stage is RunStage.COMMITTING:
            continue
        old.remove(key)
        run.stage = RunStage.UNCERTAIN
        run.until_clock_ms = math.inf
        run.stop_wanted = True
        run.stop_confirmed = False
        run.is_absent = False
        run.polls_before = 0
        run.crash = evidence.get(key, run.crash)
        new.add(run)


def remove_lost_runs(
    worker: Worker, runs: Iterable[Run], evidence: dict[RunKey, CrashEvidence]
) -> Iterable[EndedRun]:
    """Remove and yield runs of a worker that lost its lease or has restarted.

    Runs whose assignment is not stored yet remain.

    Parameters
    ----------
    worker : Worker
    runs : iterable of Run
        Runs that cannot be at work any more.
    evidence : dict of RunKey to CrashEvidence
        Runs that may be to blame for the loss; empty if the worker has not crashed.
    """
    for run in list(runs):
        if run.stage is RunStage.COMMITTING:
            continue
        worker.remove(run.key)
        yield EndedRun(run.key, run.lost_end(evidence.get(run.key)))
