"""Finds the silent workers about whose leases an owner tells its successor.

The module performs no I/O.
"""

import math

from basilhold.core import WorkerId
from basilhold.workflows.pool import Pool, RunStage, Worker

__all__ = ["SILENT_WORKERS_MAX", "find_silent_workers", "longest_lease_ms"]

SILENT_AFTER_MS = 500.0
"""Silence after which the lease of a worker is stored. Once that is done, a renewal
waits for one more commit, which a worker that missed a single poll is spared."""

SILENT_WORKERS_MAX = 50
"""Most silent workers in an owner record, which all processes read after each commit.
An entry takes some 20 bytes and lasts until the lease has expired. A successor waits
for the longest possible lease of the other workers."""


def find_silent_workers(pool: Pool, now_ms: float) -> dict[WorkerId, int]:
    """Return the silent workers with runs, and for how long their leases may last.

    Parameters
    ----------
    pool : Pool
    now_ms : float
        Time of the event loop's clock, in milliseconds.

    Returns
    -------
    dict of WorkerId to int
        Milliseconds from `now_ms` on.
    """
    unheard = [w for w in pool.workers.values() if w.silent_since_ms]
    silent = [w for w in unheard if _is_silent(w, now_ms)]
    silent.sort(key=lambda worker: worker.silent_since_ms)
    return {w.worker_id: _lease_left_ms(w, now_ms) for w in silent[:SILENT_WORKERS_MAX]}


def longest_lease_ms(pool: Pool, now_ms: float) -> int:
    """Return for how long the lease of any worker with runs may last.

    In milliseconds, from `now_ms` on.

    Parameters
    ----------
    pool : Pool
    now_ms : float
        Time of the event loop's clock, in milliseconds.
    """
    left_ms = (_lease_left_ms(w, now_ms) for w in pool.workers.values() if w.runs)
    return max(left_ms, default=0)


def _is_silent(worker: Worker, now_ms: float) -> bool:
    if not worker.runs or not worker.silent_since_ms:
        return False
    if any(run.stage is RunStage.COMMITTING for run in worker.runs.values()):
        # Their starts, which extend the lease, follow the commit of the assignments.
        return False
    # This process has not extended the lease of a worker that it has never heard.
    after_ms = SILENT_AFTER_MS if worker.heard_ms else 0.0
    return now_ms - worker.silent_since_ms >= after_ms


def _lease_left_ms(worker: Worker, now_ms: float) -> int:
    return max(0, math.ceil(worker.lease_expires_ms - now_ms))
