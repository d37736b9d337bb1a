"""State of a shard for operators and for state dumps."""

import msgspec

from basilhold.core import Epoch, Resources, WorkerId, ZoneName

__all__ = ["ShardState", "WorkerState"]


class WorkerState(msgspec.Struct, frozen=True):
    """What an owner knows about one worker.

    Parameters
    ----------
    worker_id : WorkerId
    reachable, fenced : bool
    held_until_unix_ms : int
        Latest lease expiry that may be in force, in milliseconds.
    committed, capacity : Resources
    tasks : int
        Committed tasks.
    running : int
        Tasks that the worker is known to run.
    quarantined_until_unix_ms : int
    """

    worker_id: WorkerId
    reachable: bool
    fenced: bool
    held_until_unix_ms: int
    committed: Resources
    capacity: Resources
    tasks: int
    running: int
    quarantined_until_unix_ms: int


class ShardState(msgspec.Struct, frozen=True):
    """What an owner knows about its shard.

    Parameters
    ----------
    zone : ZoneName
    epoch : Epoch
    recovered : bool
    horizon_unix_ms : int
        Latest expiry that the owner may grant, in milliseconds.
    store_answers : bool
    commits, placements : int
        Transactions applied by this owner and the placements in them.
    waiting_changes, waiting_tasks : int
        Changes to be committed, and tasks without a worker.
    workers : tuple of WorkerState
    """

    zone: ZoneName
    epoch: Epoch
    recovered: bool
    horizon_unix_ms: int = 0
    store_answers: bool = False
    commits: int = 0
    placements: int = 0
    waiting_changes: int = 0
    waiting_tasks: int = 0
    workers: tuple[WorkerState, ...] = ()
