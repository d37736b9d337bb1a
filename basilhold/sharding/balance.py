"""Chooses jobs that wait too long and another zone for each. Pure."""

from collections.abc import Mapping

from basilhold.core import JobId, Resources, ZoneName
from basilhold.sharding.changes import MoveJob
from basilhold.sharding.tables import ShardTables

__all__ = ["pick_moves"]

_MOVES_MAX = 50
"""Moves in one round; each takes several operations of a transaction."""


def pick_moves(
    tables: ShardTables,
    waiting_since_ms: Mapping[JobId, float],
    free_elsewhere: Mapping[ZoneName, Resources],
    now_ms: float,
) -> tuple[MoveJob, ...]:
    """Return moves of jobs that have waited half their target without a start.

    The wait counts from the job's arrival in this shard, so a job does not move back
    and forth. The zone's room is used up by the moves of one round.
    """
    free = dict(free_elsewhere)
    moves: list[MoveJob] = []
    for job_id, since_ms in waiting_since_ms.items():
        job = tables.jobs.get(job_id)
        if job is None or len(moves) == _MOVES_MAX:
            break
        spec = job.record.spec
        if now_ms - since_ms < spec.wait_target_ms / 2:
            continue
        if len(tables.pending_indexes(job_id)) < spec.task_count:
            continue
        needed = spec.task_resources.scaled(spec.task_count)
        zone = next((z for z, room in free.items() if needed.fits_in(room)), None)
        if zone is not None:
            free[zone] = free[zone] - needed
            moves.append(MoveJob(job_id, zone))
    return tuple(moves)
