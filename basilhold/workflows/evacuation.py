"""Which long-running tasks leave a worker that is about to go. Pure.

Answers workers that are emptied and taken away: a task that stays until the worker has
gone is missed only when its lease has lapsed, several seconds later.
"""

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import AdmissionRecords, StepKey
from basilhold.workflows.pool import Pool, Run, RunStage, Worker

__all__ = ["Evacuation", "find_evacuations"]

TICKET_WAIT_MS = 1_500.0
"""How long a task waits for tickets elsewhere before it is stopped without; workers go
as soon as 2 s after their notice."""


class Evacuation(msgspec.Struct):
    """A run that should leave its worker.

    Parameters
    ----------
    worker : Worker
    run : Run
    targets : list of Worker
        Where its task may run next, as far as is known.
    may_stop : bool
        Whether the task could start elsewhere at once, or the worker may go too soon
        to wait for that.
    """

    worker: Worker
    run: Run
    targets: list[Worker]
    may_stop: bool


def find_evacuations(
    pool: Pool, book: AdmissionRecords, now_ms: float
) -> list[Evacuation]:
    """Return the long-running tasks on draining workers for which others have room.

    Parameters
    ----------
    pool : Pool
    book : AdmissionRecords
    now_ms : float
        Time of the loop's clock, in milliseconds.
    """
    found: list[Evacuation] = []
    taken: dict[WorkerId, Resources] = {}
    usable = pool.accepting_workers(now_ms)
    for worker in pool.workers.values():
        if not worker.info.draining or worker.unregistered:
            continue
        if not worker.draining_since_ms:
            worker.draining_since_ms = now_ms
        waited = now_ms - worker.draining_since_ms > TICKET_WAIT_MS
        for run in worker.runs.values():
            if not _is_leaving(run):
                continue
            key = run.key.task
            known = book.step(StepKey(run.key.job_id, key.occurrence, key.step))
            targets = [
                other
                for other in usable
                if other.is_admissible(run.step)
                and other.worker_id not in known.refused
                and run.reserved.fits_in(
                    other.free - taken.get(other.worker_id, Resources())
                )
            ]
            if not targets:
                continue
            ticketed = [t for t in targets if known.ticket(t.worker_id, now_ms)]
            first = (ticketed or targets)[0].worker_id
            taken[first] = taken.get(first, Resources()) + run.reserved
            found.append(Evacuation(worker, run, targets, bool(ticketed) or waited))
    return found


def _is_leaving(run: Run) -> bool:
    return (
        run.step is not None
        and run.step.long_running
        and run.stage is RunStage.RUNNING
        and not run.stop_wanted
    )
