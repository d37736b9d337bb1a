"""Choice of the long-running tasks to move off workers that are being decommissioned.

The loss of a task that stays until its worker is shut down is noticed only when the
worker's lease has lapsed, several seconds later. The module performs no I/O.
"""

import msgspec

from basilhold.core import Resources, WorkerId
from basilhold.workflows.admissions import AdmissionRecords, StepKey
from basilhold.workflows.pool import Pool, Run, RunStage, Worker

__all__ = ["Evacuation", "find_evacuations"]

TICKET_WAIT_MS = 1_500.0
"""Time after which a task on a draining worker is stopped even if it has no ticket for
another worker. Workers may shut down 2 s after they are marked as draining."""


class Evacuation(msgspec.Struct):
    """A run that should be moved off its worker.

    Parameters
    ----------
    worker : Worker
    run : Run
    targets : list of Worker
        Workers that have capacity for the task and have not been refused for it.
    may_stop : bool
        Whether the run may be stopped now: its task has a ticket for one of the targets
        or has waited `TICKET_WAIT_MS` for one.
    """

    worker: Worker
    run: Run
    targets: list[Worker]
    may_stop: bool


def find_evacuations(
    pool: Pool, admissions: AdmissionRecords, now_ms: float
) -> list[Evacuation]:
    """Return the long-running tasks on draining workers that fit on other workers.

    Parameters
    ----------
    pool : Pool
        The time at which a worker was first seen draining is updated.
    admissions : AdmissionRecords
    now_ms : float
        Time of the event loop's clock, in milliseconds.
    """
    evacuations: list[Evacuation] = []
    claimed: dict[WorkerId, Resources] = {}
    accepting = pool.accepting_workers(now_ms)
    for worker in pool.workers.values():
        if not worker.info.draining or worker.unregistered:
            continue
        if not worker.draining_since_ms:
            worker.draining_since_ms = now_ms
        wait_expired = now_ms - worker.draining_since_ms > TICKET_WAIT_MS
        for run in worker.runs.values():
            if not _must_move(run):
                continue
            key = run.key.task
            admission = admissions.step(
                StepKey(run.key.job_id, key.occurrence, key.step)
            )
            targets = [
                other
                for other in accepting
                if other.is_admissible(run.step)
                and other.worker_id not in admission.refused
                and run.reserved.fits_in(
                    other.free - claimed.get(other.worker_id, Resources())
                )
            ]
            if not targets:
                continue
            ticketed = [t for t in targets if admission.ticket(t.worker_id, now_ms)]
            target_id = (ticketed or targets)[0].worker_id
            claimed[target_id] = claimed.get(target_id, Resources()) + run.reserved
            evacuations.append(
                Evacuation(worker, run, targets, bool(ticketed) or wait_expired)
            )
    return evacuations


def _must_move(run: Run) -> bool:
    return (
        run.step is not None
        and run.step.long_running
        and run.stage is RunStage.RUNNING
        and not run.stop_wanted
    )
