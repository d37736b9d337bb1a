"""What is known of the runs on a worker when it crashes.

A crash is noticed some time after it happened. A broken connection suggests when that
was, and so the ages of the runs and whether they had begun. But a worker that is cut
off works on, and may crash at any time up to the first reply of its successor. A run
that may have ended in the meantime is a less certain cause. The module performs no I/O.
"""

import math

from basilhold.workflows.crash_blame import CrashEvidence, RunAge
from basilhold.workflows.pool import Pool, Run, RunKey, RunStage, Worker

__all__ = ["collect_crash_evidence", "record_silence"]

DISTANT_ROUND_TRIP_MS = 10.0
ROUND_TRIP_MARGIN_MS = 5.0
"""Round trip from which a worker is distant, and allowance for its variation."""

UNANSWERED_START_MS = 50.0
"""Least time after which a start without a reply shows that its worker was silent."""

LEAST_RUN_TIME_RATIO = 0.25
"""Share of its estimate up to which a run is taken not to have ended. Estimates are
rough."""


def collect_crash_evidence(
    worker: Worker, pool: Pool, now_ms: float, trusts_restored: bool = True
) -> dict[RunKey, CrashEvidence]:
    """Return the runs that may be to blame for the crash of a worker.

    If any of its runs were suspects, and nothing else has started there since, only
    they are.

    Parameters
    ----------
    worker : Worker
    pool : Pool
    now_ms : float
        Time of the event loop's clock, in milliseconds.
    trusts_restored : bool
        Whether an only suspect has certainly begun if a previous owner has started it.
        The worker may have been down already.
    """
    crashed_by_ms = worker.silent_since_ms or now_ms
    begun = [
        run
        for run in _present_runs(worker)
        if run.may_have_begun or _may_have_arrived(run, worker, crashed_by_ms)
    ]
    suspects = [run for run in begun if run.is_suspect]
    if _has_started_since(begun, suspects):
        suspects = []
    is_one_workflow = len({run.key.job_id for run in suspects}) == 1
    evidence: dict[RunKey, CrashEvidence] = {}
    for run in suspects or begun:
        # The time of a crash before a takeover is not known.
        is_correlated = worker.heard_ms > 0 and pool.crash_log.is_correlated(
            worker.worker_id, crashed_by_ms, run.key.job_id, len(pool.workers)
        )
        age = _age_at_crash(run, worker, crashed_by_ms)
        # Nothing else would have crashed the worker of an only suspect.
        has_begun = _has_certainly_begun(run, worker, age) or (
            is_one_workflow
            and _has_broken_connection(run, worker)
            and run.may_have_begun
            and (trusts_restored or not run.is_restored)
        )
        may_have_ended = _may_have_ended(run, now_ms)
        is_confirmed = has_begun and (worker.disconnected or not may_have_ended)
        evidence[run.key] = CrashEvidence(
            age, is_one_workflow, is_correlated, is_confirmed, may_have_ended
        )
    return evidence


def _present_runs(worker: Worker) -> list[Run]:
    """Return the runs that may be at work; others cannot have crashed the worker."""
    return [run for run in worker.runs.values() if not run.is_absent]


def _has_started_since(begun: list[Run], suspects: list[Run]) -> bool:
    """Return whether other runs have started on a worker after its suspects."""
    since_ms = min((run.started_ms for run in suspects), default=math.inf)
    return any(run.started_ms > since_ms and not run.is_suspect for run in begun)


def _may_have_arrived(run: Run, worker: Worker, crashed_by_ms: float) -> bool:
    """Return whether a start without a reply may have arrived before the crash.

    The crash is noticed one way later than it happens, and the start takes the other
    way.
    """
    if run.stage is not RunStage.UNCERTAIN or run.crash is not None:
        return False
    passed_ms = crashed_by_ms - run.sent_ms
    return passed_ms + ROUND_TRIP_MARGIN_MS >= worker.round_trip_ms


def _has_certainly_begun(run: Run, worker: Worker, age: RunAge | None) -> bool:
    """Return whether a run had begun when its worker crashed.

    A reply that was on its way is lost with the connection, so the start of a run on a
    distant worker has certainly arrived if more than a round trip has passed since.
    """
    if run.confirmed_ms or run.listed:
        return True
    if age is None or worker.round_trip_ms < DISTANT_ROUND_TRIP_MS:
        return False
    if not run.may_have_begun:
        return False
    passed_ms = age.least_ms
    if run.disconnected_ms:
        passed_ms = min(passed_ms, run.disconnected_ms - run.sent_ms)
    return passed_ms > worker.round_trip_ms + ROUND_TRIP_MARGIN_MS


def _may_have_ended(run: Run, crashed_by_ms: float) -> bool:
    """Return whether a run may have ended before its worker crashed.

    Parameters
    ----------
    run : Run
    crashed_by_ms : float
        Time of the event loop's clock by which the worker has certainly crashed, in
        milliseconds. The worker's own clocks do not tell it, as they may jump.
    """
    if run.step is None or not run.sent_ms:
        return True
    if run.step.long_running:
        return False
    least_ms = LEAST_RUN_TIME_RATIO * run.step.estimate_ms
    return crashed_by_ms - run.sent_ms > least_ms


def _has_broken_connection(run: Run, worker: Worker) -> bool:
    """Return whether the connection to a worker broke as a start arrived there.

    A worker that had crashed unnoticed before does not receive the start. Its
    connections may be silent until it is back, and break then.
    """
    if not worker.disconnected or worker.alive_until_ms < run.sent_ms:
        return False
    if run.is_restored:
        return True
    reply_max_ms = max(UNANSWERED_START_MS, 2 * worker.round_trip_ms)
    return worker.silent_since_ms - run.sent_ms <= reply_max_ms


def record_silence(worker: Worker, pool: Pool) -> None:
    """Record the time of a possible crash, if the owner has observed it."""
    if not worker.disconnected or not worker.heard_ms:
        return
    early_jobs = set()
    for run in _present_runs(worker):
        age = _age_at_crash(run, worker, worker.silent_since_ms)
        if run.may_have_begun and age is not None and age.is_early:
            early_jobs.add(run.key.job_id)
    pool.crash_log.record(
        worker.worker_id, worker.silent_since_ms, frozenset(early_jobs)
    )


def _age_at_crash(run: Run, worker: Worker, crashed_by_ms: float) -> RunAge | None:
    if not run.sent_ms:
        return None
    least_ms = max(0.0, min(worker.alive_until_ms, crashed_by_ms) - run.sent_ms)
    return RunAge(least_ms, max(least_ms, crashed_by_ms - run.sent_ms))
