"""Planning state of one shard: workers, live tasks and waiting jobs."""

from basilhold.core import (
    Assignment,
    InvariantError,
    JobId,
    JobRecord,
    Resources,
    TaskId,
    WorkerId,
    WorkerRecord,
    make_task_id,
    split_task_id,
)
from basilhold.placement.estimates import ClassEstimates
from basilhold.placement.gpu_guard import GpuGuard
from basilhold.placement.newest_tasks import NewestReclaimableTasks
from basilhold.placement.plan import Placement
from basilhold.placement.quotas import TeamQuotas
from basilhold.placement.shapes import WorkerShapes, count_fitting
from basilhold.placement.waiting import JobState, WaitingQueue
from basilhold.placement.worker_index import WorkerIndex
from basilhold.placement.workers import LiveTask, WorkerState

__all__ = ["ShardState"]


class ShardState:
    """Keeps workers, jobs, live tasks and indexes consistent while they change.

    A live task is one that is held on a worker (planned but not committed) or committed
    to it. Methods raise `InvariantError` if the free resources of a worker become
    negative, or if a task would become live twice.

    Attributes
    ----------
    workers : dict of WorkerId to WorkerState
    tasks : dict of TaskId to LiveTask
        The live tasks.
    queue : WaitingQueue
    teams : TeamQuotas
    estimates : ClassEstimates
    gpu_guard : GpuGuard
    free_index : WorkerIndex
        Free resources of the workers that take any work.
    reclaim_index : WorkerIndex
        Free and reclaimable resources of the workers that are schedulable and not
        quarantined.
    quarantined : dict of WorkerId to None
        Quarantined workers, in a repeatable order.
    newest : NewestReclaimableTasks
    shapes : WorkerShapes
    release_count : int
        Increased whenever waiting tasks may fit that did not fit before.
    backfill_version : int
        Increased whenever a reserved worker may have room for tasks that it had none
        for.
    probe_is_due : bool
        Whether a quarantined worker is due for a probe; see `update_probe_is_due`.
    starving_credit : float
        Credit of starving work above quota, of which each start costs 1; see
        `PlanningPass`.
    now_unix_ms : int
        Time of the latest plan or report.
    """

    def __init__(self):
        self.workers: dict[WorkerId, WorkerState] = {}
        self.tasks: dict[TaskId, LiveTask] = {}
        self.queue = WaitingQueue(self._can_avoid)
        self.teams = TeamQuotas()
        self.estimates = ClassEstimates()
        self.gpu_guard = GpuGuard()
        self.free_index = WorkerIndex()
        self.reclaim_index = WorkerIndex()
        self.quarantined: dict[WorkerId, None] = {}
        self.newest = NewestReclaimableTasks()
        self.shapes = WorkerShapes()
        self.release_count = 0
        self.backfill_version = 0
        self.probe_is_due = False
        self.starving_credit = 1.0
        self.now_unix_ms = 0
        self._orphans: dict[JobId, dict[int, LiveTask]] = {}
        self._workers_with_freed_room: set[WorkerId] = set()
        self._holds_on_unknown_workers: dict[WorkerId, list[LiveTask]] = {}

    def upsert_worker(self, record: WorkerRecord, schedulable: bool) -> None:
        """Add a worker, or replace its record and the tasks committed to it.

        Parameters
        ----------
        record : WorkerRecord
        schedulable : bool
            Whether the worker may be given tasks.

        Raises
        ------
        InvariantError
            If a task is also live on another worker, or the committed and held tasks
            exceed the worker's capacity.
        """
        worker = self.workers.get(record.worker_id)
        if worker is None:
            worker = self.workers[record.worker_id] = WorkerState(record)
            self.shapes.add(record.capacity)
            self.queue.mark_jobs_with_failures()
            for live in self._holds_on_unknown_workers.pop(record.worker_id, []):
                if self.tasks.get(live.task_id) is live:
                    self._attach(live, worker)
        old_free = worker.free() if worker.is_open() else None
        worker.rack = record.rack
        worker.schedulable = schedulable
        if worker.capacity != record.capacity:
            worker.allocate(worker.capacity)
            worker.deallocate(record.capacity)
            self.shapes.remove(worker.capacity)
            self.shapes.add(record.capacity)
            worker.capacity = record.capacity
            self.queue.mark_jobs_with_failures()
        self._set_quarantine(worker, record.quarantined_until_unix_ms)
        assigned = {assignment.task_id for assignment in record.assignments}
        unassigned = [
            live
            for live in worker.tasks.values()
            if not live.held and live.task_id not in assigned
        ]
        for live in unassigned:
            self.release(live, requeued=True)
        for assignment in record.assignments:
            live = worker.tasks.get(assignment.task_id)
            if live is None or live.held or not live.matches(assignment):
                self._commit_assignment(worker, assignment)
        if old_free is None or not worker.free().fits_in(old_free):
            self.mark_room_freed(worker)
        self.reindex(worker)

    def remove_worker(self, worker_id: WorkerId) -> None:
        """Remove a worker and the tasks committed to it.

        Held tasks stay live, and use the worker again if it is added again.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self.shapes.remove(worker.capacity)
        self.queue.mark_jobs_with_failures()
        self.quarantined.pop(worker_id, None)
        self.free_index.discard(worker_id)
        self.reclaim_index.discard(worker_id)
        for live in worker.tasks.values():
            if live.held:
                self._holds_on_unknown_workers.setdefault(worker_id, []).append(live)
            else:
                self._remove_live(live, requeued=True)
        self.release_count += 1

    def upsert_job(self, record: JobRecord) -> None:
        """Add a job or replace its record, and assign its live tasks to it."""
        job_id = record.spec.job_id
        job = self.queue.jobs.get(job_id)
        if job is None:
            job = self.queue.jobs[job_id] = JobState(record)
            self.gpu_guard.record_task_size(record.spec.task_resources)
            for live in self._orphans.pop(job_id, {}).values():
                self._link(live, job)
            self.queue.build_entries(job)
            return
        job.record = record
        job.spec = record.spec
        job.cancelled = record.cancel_requested
        self.queue.mark_changed(job_id)

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job.

        Its live tasks stay until the records of their workers no longer list them.
        """
        job = self.queue.remove(job_id)
        if job is not None and job.live:
            self._orphans[job_id] = dict(job.live)
            for live in job.live.values():
                self._update_reclaimable(live)
                self._reindex_worker_of(live)

    def hold(self, job: JobState, index: int, worker: WorkerState) -> Placement:
        """Allocate a worker's resources to a task that is about to be committed."""
        size = job.spec.task_resources
        task_id = make_task_id(job.spec.job_id, index)
        if task_id in self.tasks:
            raise InvariantError(f"task {task_id} is planned twice")
        attempt = job.record.tasks[index].attempt + 1
        live = LiveTask(
            task_id, index, attempt, worker.worker_id, size, self.now_unix_ms
        )
        live.held = True
        self._attach(live, worker)
        self._link(live, job)
        if worker.quarantined_until_unix_ms:
            worker.probe_task_id = task_id
        if size.gpus_milli:
            # With fewer free GPUs, the worker keeps fewer cores and less memory for GPU
            # work, so other work may fit now.
            self.mark_room_freed(worker)
        self.reindex(worker)
        return Placement(task_id, attempt, worker.worker_id, size)

    def confirm(self, placement: Placement) -> None:
        """Mark a held task as committed."""
        live = self.tasks.get(placement.task_id)
        if live is None or live.attempt != placement.attempt:
            # A record of the worker that is newer than this commit has already removed
            # the task.
            return
        if live.worker_id != placement.worker_id:
            raise InvariantError(f"task {live.task_id} is confirmed on another worker")
        live.held = False
        self._update_reclaimable(live)
        self._reindex_worker_of(live)

    def abandon(self, placement: Placement) -> None:
        """Release a held task that was not committed."""
        live = self.tasks.get(placement.task_id)
        if live is None or not live.held or live.attempt != placement.attempt:
            return
        self.release(live, requeued=False)
        self._reindex_worker_of(live)

    def release(self, live: LiveTask, requeued: bool) -> None:
        """Remove a live task and free its resources on its worker.

        Parameters
        ----------
        live : LiveTask
        requeued : bool
            Whether the task's wait starts now if it waits again. Otherwise, it keeps
            its place in the queue.
        """
        worker = self.workers.get(live.worker_id)
        live.finished = True
        self._update_reclaimable(live)
        self._remove_live(live, requeued)
        if worker is None:
            return
        del worker.tasks[live.task_id]
        worker.deallocate(live.size)
        if worker.probe_task_id == live.task_id:
            worker.probe_task_id = None
        self.mark_room_freed(worker)

    def mark_evicted(self, live: LiveTask, freeing: Resources) -> None:
        """Record the eviction of a task and the resources that it will free."""
        live.evicted_unix_ms = max(1, self.now_unix_ms)
        live.freeing = freeing
        self._update_reclaimable(live)
        self._reindex_worker_of(live)

    def clear_evicted(self, live: LiveTask) -> None:
        """Record that an evicted task still runs, so it no longer counts as evicted."""
        live.evicted_unix_ms = 0
        self._update_reclaimable(live)
        self._reindex_worker_of(live)

    def record_checkpoint(self, live: LiveTask, checkpoint_unix_ms: int) -> None:
        """Record that a task has saved its progress, at a time in Unix milliseconds."""
        self.newest.remove(live)
        live.checkpoint_unix_ms = checkpoint_unix_ms
        self._update_reclaimable(live)

    def mark_finished(self, live: LiveTask) -> None:
        """Record that a task has ended, although its worker's record still lists it."""
        live.finished = True
        self._update_reclaimable(live)
        self._reindex_worker_of(live)

    def reindex(self, worker: WorkerState) -> None:
        """Update both indexes for a worker.

        Raises
        ------
        InvariantError
            If more is committed to the worker than its capacity.
        """
        if worker.is_overcommitted():
            raise InvariantError(
                f"worker {worker.worker_id} is committed beyond its capacity: "
                f"free {worker.free()}"
            )
        if not worker.schedulable or worker.quarantined_until_unix_ms:
            self.free_index.discard(worker.worker_id)
            self.reclaim_index.discard(worker.worker_id)
            return
        cores, memory = worker.free_cores_milli, worker.free_memory_bytes
        gpus = worker.free_gpus_milli
        if worker.is_open():
            self.free_index.put(worker, cores, memory, gpus)
        else:
            self.free_index.discard(worker.worker_id)
        self.reclaim_index.put(
            worker,
            cores + worker.reclaimable_cores_milli,
            memory + worker.reclaimable_memory_bytes,
            gpus + worker.reclaimable_gpus_milli,
        )

    def mark_room_freed(self, worker: WorkerState) -> None:
        """Record that tasks may fit on a worker on which they did not fit before."""
        self.release_count += 1
        self._workers_with_freed_room.add(worker.worker_id)
        if worker.reserved:
            self.backfill_version += 1

    def unblock_sizes(self) -> None:
        """Unblock the task sizes that fit on a worker whose room was recorded as freed.

        See `mark_room_freed`. A blocked size is one that fits on no worker.
        """
        if not self._workers_with_freed_room:
            return
        free_resources = [
            worker.free()
            for worker_id in self._workers_with_freed_room
            if (worker := self.workers.get(worker_id)) is not None and worker.is_open()
        ]
        self._workers_with_freed_room.clear()
        if not free_resources:
            return
        max_free = Resources(
            max(free.cores_milli for free in free_resources),
            max(free.memory_bytes for free in free_resources),
            max(free.gpus_milli for free in free_resources),
        )
        for size, fit in self.queue.lanes.fits.items():
            if (
                fit.fits_nowhere
                and size.fits_in(max_free)
                and any(size.fits_in(free) for free in free_resources)
            ):
                fit.unblock()

    def _can_avoid(
        self, size: Resources, count: int, avoid: frozenset[WorkerId]
    ) -> bool:
        """Return whether tasks would fit on the other workers if those were empty.

        Quarantined workers do not count. If the tasks do not fit, they must not avoid
        the workers on which they failed, or they would wait for ever. Examples are a
        gang whose tasks failed on different workers, and work whose other workers are
        gone or quarantined, since a gang is never placed on a quarantined worker.

        Parameters
        ----------
        size : Resources
            Resources that each task needs.
        count : int
            Number of tasks.
        avoid : frozenset of WorkerId
            Workers to avoid.
        """
        for worker in self.workers.values():
            if worker.worker_id not in avoid and not worker.quarantined_until_unix_ms:
                count -= count_fitting(worker.capacity, size)
                if count <= 0:
                    return True
        return False

    def update_probe_is_due(self) -> None:
        """Update `probe_is_due`.

        A worker is due if the time of its probe has come and no probe runs on it.
        """
        self.probe_is_due = False
        for worker_id in self.quarantined:
            worker = self.workers[worker_id]
            due = worker.quarantined_until_unix_ms <= self.now_unix_ms
            if due and worker.schedulable and worker.probe_task_id is None:
                self.probe_is_due = True
                return

    def update_gpu_work_waits(self) -> None:
        """Update whether GPU work waits that some worker could run.

        A change unblocks the work that needs no GPUs.
        """
        waits = any(self.shapes.could_run(size) for size in self.queue.gpu_sizes())
        if waits != self.gpu_guard.gpu_work_waits:
            self.gpu_guard.gpu_work_waits = waits
            self.release_count += 1
            for size, fit in self.queue.lanes.fits.items():
                if size.gpus_milli == 0:
                    fit.unblock()

    def _set_quarantine(self, worker: WorkerState, until_unix_ms: int) -> None:
        if bool(worker.quarantined_until_unix_ms) != bool(until_unix_ms):
            self.queue.mark_jobs_with_failures()
        worker.quarantined_until_unix_ms = until_unix_ms
        if until_unix_ms:
            self.quarantined[worker.worker_id] = None
        else:
            self.quarantined.pop(worker.worker_id, None)
            worker.probe_task_id = None

    def _commit_assignment(self, worker: WorkerState, assignment: Assignment) -> None:
        """Make a live task match an assignment in its worker's record."""
        live = self.tasks.get(assignment.task_id)
        if live is not None and live.worker_id != worker.worker_id:
            raise InvariantError(
                f"task {live.task_id} is on {live.worker_id} and {worker.worker_id}"
            )
        if live is not None and (
            live.attempt != assignment.attempt or live.size != assignment.resources
        ):
            self._update_assignment(live, worker, assignment)
        elif live is not None:
            live.held = False
        else:
            live = self._add_assignment(worker, assignment)
        self._update_reclaimable(live)

    def _update_assignment(
        self, live: LiveTask, worker: WorkerState, assignment: Assignment
    ) -> None:
        """Apply a new attempt or a new size, after a throttle, to a live task."""
        team = live.job.spec.team if live.job is not None else None
        live.held = True
        self._update_reclaimable(live)
        worker.deallocate(live.size)
        worker.allocate(assignment.resources)
        if team is not None:
            self.teams.subtract(team, live.size)
            self.teams.add(team, assignment.resources)
        if live.attempt != assignment.attempt:
            live.started_unix_ms = self.now_unix_ms
            live.checkpoint_unix_ms = 0
            live.finished = False
        live.evicted_unix_ms = 0
        live.throttled = False
        live.attempt = assignment.attempt
        live.size = assignment.resources
        live.held = False

    def _add_assignment(self, worker: WorkerState, assignment: Assignment) -> LiveTask:
        """Add a committed task that was not live, as after a takeover."""
        job_id, index = split_task_id(assignment.task_id)
        live = LiveTask(
            assignment.task_id,
            index,
            assignment.attempt,
            worker.worker_id,
            assignment.resources,
            self.now_unix_ms,
        )
        self._attach(live, worker)
        job = self.queue.jobs.get(job_id)
        if job is None:
            self._orphans.setdefault(job_id, {})[index] = live
        else:
            self._link(live, job)
            self.queue.mark_changed(job_id)
        return live

    def _attach(self, live: LiveTask, worker: WorkerState) -> None:
        """Add a live task to a worker and allocate its resources there."""
        self.tasks[live.task_id] = live
        worker.tasks[live.task_id] = live
        live.rack = worker.rack
        worker.allocate(live.size)

    def _link(self, live: LiveTask, job: JobState) -> None:
        """Assign a live task to its job and count its resources for the team."""
        if live.job is not None:
            self.teams.subtract(live.job.spec.team, live.size)
        live.job = job
        job.live[live.index] = live
        self.teams.add(job.spec.team, live.size)
        if job.is_service:
            job.count_rack(live.rack, 1)
        self._update_reclaimable(live)

    def _remove_live(self, live: LiveTask, requeued: bool) -> None:
        """Remove a live task from everything except its worker."""
        del self.tasks[live.task_id]
        self.newest.remove(live)
        job = live.job
        if job is None or job.removed:
            self._remove_orphan(live)
        if job is None:
            return
        job.live.pop(live.index, None)
        self.teams.subtract(job.spec.team, live.size)
        if job.is_service:
            job.count_rack(live.rack, -1)
        live.job = None
        if not job.removed:
            if requeued:
                job.record_requeued(live.index, self.now_unix_ms)
            self.queue.mark_changed(job.spec.job_id)

    def _remove_orphan(self, live: LiveTask) -> None:
        """Remove a task from the live tasks whose job is unknown, if it is one."""
        job_id, index = split_task_id(live.task_id)
        orphans = self._orphans.get(job_id)
        if orphans is not None and orphans.get(index) is live:
            del orphans[index]
            if not orphans:
                del self._orphans[job_id]

    def _reindex_worker_of(self, live: LiveTask) -> None:
        worker = self.workers.get(live.worker_id)
        if worker is not None:
            self.reindex(worker)

    def _update_reclaimable(self, live: LiveTask) -> None:
        """Update the reclaimable resources and tasks after a change of a live task."""
        worker = self.workers.get(live.worker_id)
        if worker is not None:
            worker.update_reclaimable(live)
        self.newest.update(live)
