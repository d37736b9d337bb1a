"""Chooses jobs that wait too long and another zone for each. Pure."""

from collections.abc import Mapping

from basilhold.core import JobId, Resources, ZoneName
from basilhold.sharding.changes import MoveJob
from basilhold.sharding.peers import ShardSummary
from basilhold.sharding.tables import ShardTables

__all__ = ["pick_moves"]

_MOVES_MAX = 50
"""Moves in one round; each takes several operations of a transaction."""


def pick_moves(
    tables: ShardTables,
    waiting_since_ms: Mapping[JobId, float],
    others: Mapping[ZoneName, ShardSummary],
    now_ms: float,
) -> tuple[MoveJob, ...]:
    """Return moves of jobs that have waited half their target without a start.

    The wait counts from the job's arrival in this shard. A zone must have room for the
    whole job, and one worker with room for one task: a job that fitted only in the sum
    over workers moved between two full zones every 20 s. The zone's room is used up by
    the moves of one round.
    """
    free = {zone: summary.free for zone, summary in others.items()}
    moves: list[MoveJob] = []
    for job_id, since_ms in waiting_since_ms.items():
        job = tables.jobs.get(job_id)
        if len(moves) == _MOVES_MAX:
            break
        if job is None:
            continue
        spec = job.record.spec
        if now_ms - since_ms < spec.wait_target_ms / 2:
            continue
        if len(tables.pending_indexes(job_id)) < spec.task_count:
            continue
        needed = spec.task_resources.scaled(spec.task_count)
        zone = next(
            (
                zone
                for zone, summary in others.items()
                if needed.fits_in(free[zone]) and _takes(summary, spec.task_resources)
            ),
            None,
        )
        if zone is not None:
            free[zone] = free[zone] - needed
            moves.append(MoveJob(job_id, zone))
    return tuple(moves)


def _takes(summary: ShardSummary, size: Resources) -> bool:
    return any(size.fits_in(room) for room in summary.largest_free)
