"""Blame for crashes of workers: which of the tasks that ran there may be the cause.

A task may crash each worker that starts it. When a worker crashes, all tasks that had
begun there may be to blame, and most of them are innocent. The next run of a task that
is suspected takes place on a worker without other suspects, where nothing else starts
meanwhile: if that worker crashes too, the task is the cause; if it does not, the task
is cleared. The time from the start of a run to the crash tells which tasks are likely
causes, since a task that crashes its workers tends to do so at the same point of its
work. The module performs no I/O.
"""

from collections import deque

import msgspec

from basilhold.core import JobId, WorkerId

__all__ = [
    "EARLY_CRASH_MS",
    "CrashEvidence",
    "CrashHistory",
    "CrashLog",
    "Judgement",
    "RunAge",
    "clearance_ms",
    "judge",
    "restart_delay_ms",
]

EARLY_CRASH_MS = 250.0
"""Age up to which a run is a likely cause of its worker's crash. It includes the time
of the start request and of the owner to notice the crash."""

AGE_TOLERANCE_MS = 250.0
AGE_TOLERANCE_RATIO = 0.25
"""Difference up to which the ages of two runs at the crashes of their workers agree."""

CRASHES_TO_CONVICT = 2
CRASHES_TO_BLAME = 3
CRASHES_MAX = 5
"""Number of crashes after which a task is given up: if it was the only suspect, if it
was one of several or its runs may have ended before and the ages agree, and in any
case."""

CORRELATION_MS = 60.0
CORRELATED_WORKERS_MIN = 2
CORRELATED_RATIO = 0.08
"""A crash has a cause outside its tasks if at least so many other workers, and this
share of all, crashed within this time of it."""

CRASH_LOG_SIZE = 256

CLEARANCE_MIN_MS = 500.0
CLEARANCE_FACTOR = 2.0
"""Time at work after which a suspect is cleared: at least the first, and the second
times its age at the crash."""

RESTART_DELAY_MS = 2_000.0
RESTART_DELAY_MAX_MS = 30_000.0
"""Delay before a long-running task restarts that would otherwise be given up. It
doubles with each further crash."""

UNKNOWN_AGE_MS = -1


class RunAge(msgspec.Struct, frozen=True):
    """Bounds of the time from the start of a run to the crash of its worker.

    In milliseconds. The bounds differ if the worker was not observed when it crashed.
    """

    least_ms: float
    most_ms: float

    @property
    def is_early(self) -> bool:
        """Whether the worker may have crashed within `EARLY_CRASH_MS`."""
        return self.least_ms <= EARLY_CRASH_MS

    def agrees_with(self, other_ms: float) -> bool:
        """Return whether a run of another age may have ended at the same point."""
        tolerance_ms = AGE_TOLERANCE_MS + AGE_TOLERANCE_RATIO * other_ms
        return self.least_ms - tolerance_ms <= other_ms <= self.most_ms + tolerance_ms


class CrashEvidence(msgspec.Struct, frozen=True):
    """What the crash of a worker says about one of the runs to blame.

    Parameters
    ----------
    age : RunAge, optional
        ``None`` if the time of the start is not known, as after a takeover.
    is_only_suspect : bool
        Whether the run was suspected before, and no run of another workflow was.
    is_correlated : bool
        Whether other workers crashed at the same time, as `CrashLog` tells.
    is_confirmed : bool
        Whether the run had certainly begun, and was at work when the connection broke
        or when the worker crashed. A worker may crash while a start is on its way to
        it, or unnoticed.
    may_have_ended : bool
        Whether the run may have ended before the crash. The connection to a worker
        also breaks when it is cut off, and it may crash later.
    """

    age: RunAge | None = None
    is_only_suspect: bool = False
    is_correlated: bool = False
    is_confirmed: bool = True
    may_have_ended: bool = False


class CrashHistory(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of workers for which a task may be to blame, as stored.

    Parameters
    ----------
    crashes : int
        Number of these crashes.
    confirmed : int
        Number of them that were confirmed; see `CrashEvidence`.
    age_ms : int
        Least age of the run at the last of them, in milliseconds; -1 if unknown.
    is_suspect : bool
        Whether the task has to run apart from other suspects.
    certain : int
        Number of confirmed crashes before which the run cannot have ended.
    """

    crashes: int
    confirmed: int = 0
    age_ms: int = UNKNOWN_AGE_MS
    is_suspect: bool = False
    certain: int = 0


class Judgement(msgspec.Struct, frozen=True):
    """Consequence of a crash for one task.

    Parameters
    ----------
    history : CrashHistory
    is_guilty : bool
        Whether the task must not start again.
    """

    history: CrashHistory
    is_guilty: bool


def judge(history: CrashHistory | None, evidence: CrashEvidence) -> Judgement:
    """Add a crash to the history of a task and return whether the task caused it.

    A task is not given up before `CRASHES_TO_CONVICT` workers have certainly crashed
    under it as the only suspect, or `CRASHES_TO_BLAME` have probably done so, of which
    `CRASHES_TO_CONVICT` are confirmed, or there are `CRASHES_MAX` in all.

    Parameters
    ----------
    history : CrashHistory, optional
        ``None`` before the first crash.
    evidence : CrashEvidence

    Examples
    --------
    >>> first = judge(None, CrashEvidence(RunAge(10.0, 10.0)))
    >>> first.history.is_suspect, first.is_guilty
    (True, False)
    >>> again = CrashEvidence(RunAge(30.0, 30.0), is_only_suspect=True)
    >>> judge(first.history, again).is_guilty
    True
    """
    crashes = history.crashes + 1 if history else 1
    confirmed = (history.confirmed if history else 0) + evidence.is_confirmed
    is_certain = evidence.is_confirmed and not evidence.may_have_ended
    certain = (history.certain if history else 0) + is_certain
    age = evidence.age
    known_ms = history.age_ms if history else UNKNOWN_AGE_MS
    is_comparable = age is not None and known_ms != UNKNOWN_AGE_MS
    is_repeated = is_comparable and age.agrees_with(known_ms)
    is_early = age is not None and age.is_early and not evidence.is_correlated
    is_guilty = crashes >= CRASHES_MAX
    if not evidence.is_correlated and (is_repeated or not is_comparable):
        is_shown = evidence.is_only_suspect and certain >= CRASHES_TO_CONVICT
        is_probable = crashes >= CRASHES_TO_BLAME and confirmed >= CRASHES_TO_CONVICT
        is_guilty = is_guilty or is_shown or is_probable
    was_suspect = history is not None and history.is_suspect
    age_ms = UNKNOWN_AGE_MS if age is None else round(age.least_ms)
    suspected = was_suspect or is_early or is_repeated
    result = CrashHistory(crashes, confirmed, age_ms, suspected, certain)
    return Judgement(result, is_guilty)


def clearance_ms(history: CrashHistory) -> float:
    """Return how long a suspect has to be at work to be cleared, in milliseconds."""
    return max(CLEARANCE_MIN_MS, CLEARANCE_FACTOR * history.age_ms + EARLY_CRASH_MS)


def restart_delay_ms(history: CrashHistory) -> float:
    """Return the delay before the next start of a long-running task, in milliseconds.

    Examples
    --------
    >>> [restart_delay_ms(CrashHistory(n, n, 10, True)) for n in (2, 3, 4, 9)]
    [0.0, 2000.0, 4000.0, 30000.0]
    """
    further = history.crashes - CRASHES_TO_BLAME
    if further < 0 or not history.is_suspect:
        return 0.0
    return min(RESTART_DELAY_MS * 2.0 ** min(further, 10), RESTART_DELAY_MAX_MS)


class _Crash(msgspec.Struct, frozen=True):
    """A worker's crash, and the workflows whose runs had just begun there."""

    worker_id: WorkerId
    time_ms: float
    early_jobs: frozenset[JobId]


class CrashLog:
    """Times at which connections to workers broke, to find correlated crashes."""

    def __init__(self):
        self._crashes: deque[_Crash] = deque(maxlen=CRASH_LOG_SIZE)

    def record(
        self, worker_id: WorkerId, time_ms: float, early_jobs: frozenset[JobId]
    ) -> None:
        """Record a possible crash.

        Parameters
        ----------
        worker_id : WorkerId
        time_ms : float
            Time of the event loop's clock, in milliseconds.
        early_jobs : frozenset of JobId
            Workflows whose runs there had just begun.
        """
        self._crashes.append(_Crash(worker_id, time_ms, early_jobs))

    def is_correlated(
        self, worker_id: WorkerId, time_ms: float, job_id: JobId, worker_count: int
    ) -> bool:
        """Return whether so many workers crashed at once that no task is the cause.

        Parameters
        ----------
        worker_id : WorkerId
        time_ms : float
            Time of the worker's crash, in milliseconds of the event loop's clock.
        job_id : JobId
            Workflow whose tasks may be the cause. Crashes of workers that had just
            begun its runs do not count.
        worker_count : int
            Number of workers of the pool.
        """
        others = {
            crash.worker_id
            for crash in self._crashes
            if crash.worker_id != worker_id
            and abs(crash.time_ms - time_ms) <= CORRELATION_MS
            and job_id not in crash.early_jobs
        }
        return len(others) >= max(
            CORRELATED_WORKERS_MIN, CORRELATED_RATIO * worker_count
        )
