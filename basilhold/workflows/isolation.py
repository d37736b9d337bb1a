"""Workers kept for waiting tasks that are suspected of having crashed others.

A suspect starts on a worker without other suspects and with little other work, so that
a further crash costs little and shows its cause. While suspects wait, a few workers are
kept free of new work for them. A suspect does not wait for long: most suspects are
innocent, and their workflows are late already. The module performs no I/O.
"""

from basilhold.core import JobId, WorkerId
from basilhold.workflows.crash_blame import restart_delay_ms
from basilhold.workflows.model import TaskKey
from basilhold.workflows.pool import RunKey, Worker
from basilhold.workflows.progress import Workflow

__all__ = ["Isolation", "used_cores_ratio"]

ISOLATION_WAIT_MAX_MS = 2_500.0
"""Time after which a suspect starts like any other task."""

DRAIN_WAIT_MS = 700.0
"""Time for which a suspect waits until a worker that is kept for it has little other
work."""

LITTLE_WORK_RATIO = 0.25
"""Share of its cores up to which a worker counts as one with little work."""

KEPT_SHARE_MAX = 0.15
"""Share of the workers that may be kept for suspects at a time."""


class Isolation:
    """Suspects that wait, long-running tasks that are held back, and kept workers."""

    def __init__(self):
        self._waiting_since_ms: dict[RunKey, float] = {}
        self._held_until_ms: dict[RunKey, float] = {}
        self._kept: list[WorkerId] = []
        self._unstable: set[RunKey] = set()

    def choose_workers(
        self, accepting: list[Worker], now_ms: float
    ) -> frozenset[WorkerId]:
        """Choose the workers to keep for the waiting suspects of each workflow.

        Those kept before are kept on, and then those with the least work are chosen.

        Parameters
        ----------
        accepting : list of Worker
            Workers that accept new runs.
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        """
        jobs = {
            key.job_id
            for key, since_ms in self._waiting_since_ms.items()
            if 0.0 <= now_ms - since_ms < ISOLATION_WAIT_MAX_MS
        }
        if not jobs or not accepting:
            self._kept = []
            return frozenset()
        count = min(len(jobs), max(1, int(KEPT_SHARE_MAX * len(accepting))))
        known = {worker.worker_id for worker in accepting}
        kept = [worker_id for worker_id in self._kept if worker_id in known][:count]
        if len(kept) < count:
            others = (w for w in accepting if w.worker_id not in kept)
            by_work = sorted(others, key=used_cores_ratio)
            kept += [w.worker_id for w in by_work[: count - len(kept)]]
        self._kept = kept
        return frozenset(kept)

    def must_isolate(self, workflow: Workflow, key: TaskKey, now_ms: float) -> bool:
        """Return whether a waiting task has to start apart from other suspects.

        Parameters
        ----------
        workflow : Workflow
        key : TaskKey
        now_ms : float
            Time of the event loop's clock, in milliseconds.
        """
        if not workflow.is_suspect(key):
            return False
        run_key = RunKey(workflow.job_id, key)
        since_ms = self._waiting_since_ms.setdefault(run_key, now_ms)
        return now_ms - since_ms < ISOLATION_WAIT_MAX_MS

    def may_use(self, worker: Worker, key: RunKey, now_ms: float) -> bool:
        """Return whether a suspect may start on a worker without suspects.

        At first, only on a kept worker with little work.
        """
        if worker.has_started_recently(now_ms):
            return False
        if now_ms - self._waiting_since_ms.get(key, now_ms) >= DRAIN_WAIT_MS:
            return True
        is_kept = worker.worker_id in self._kept
        return is_kept and used_cores_ratio(worker) <= LITTLE_WORK_RATIO

    def is_held(self, workflow: Workflow, key: TaskKey, now_ms: float) -> bool:
        """Return whether a waiting task may not start yet."""
        if not self._held_until_ms:
            return False
        return now_ms < self._held_until_ms.get(RunKey(workflow.job_id, key), 0.0)

    def note_crash(self, workflow: Workflow, key: TaskKey, now_ms: float) -> None:
        """Record that a task may have crashed its worker.

        A long-running one that has done so repeatedly is held back.
        """
        history = workflow.task(key).crash
        if history is None or workflow.state.is_final:
            return
        run_key = RunKey(workflow.job_id, key)
        delay_ms = 0.0
        if workflow.spec.steps[key.step].long_running:
            self._unstable.add(run_key)
            delay_ms = restart_delay_ms(history)
        if delay_ms:
            self._held_until_ms[run_key] = now_ms + delay_ms
        if history.is_suspect:
            self._waiting_since_ms[run_key] = now_ms + delay_ms

    def restore(self, workflow: Workflow) -> None:
        """Note the long-running tasks of a loaded workflow that may crash workers."""
        for key, task in workflow.assigned():
            if task.crash is not None and workflow.spec.steps[key.step].long_running:
                self._unstable.add(RunKey(workflow.job_id, key))

    def unstable_tasks(self) -> list[RunKey]:
        """Return the long-running tasks under which workers have crashed."""
        return list(self._unstable)

    def note_stable(self, key: RunKey) -> None:
        """Record that a long-running task does not crash its workers."""
        self._unstable.discard(key)

    def note_start(self, key: RunKey) -> None:
        """Record that a task no longer waits."""
        self._waiting_since_ms.pop(key, None)
        self._held_until_ms.pop(key, None)

    def remove_job(self, job_id: JobId) -> None:
        """Discard the records of a workflow that has ended."""
        for times in (self._waiting_since_ms, self._held_until_ms):
            for key in [key for key in times if key.job_id == job_id]:
                del times[key]
        self._unstable = {key for key in self._unstable if key.job_id != job_id}


def used_cores_ratio(worker: Worker) -> float:
    """Return the share of a worker's cores that runs occupy."""
    capacity = worker.info.capacity.cores_milli
    return (capacity - worker.free.cores_milli) / max(1, capacity)
