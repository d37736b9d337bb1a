"""Ownership of shards, commits, worker leases and recovery."""

from basilhold.sharding.intake import (
    Accepted,
    CancelAnswer,
    IntakeError,
    IntakeErrorKind,
    JobIntake,
    JobStatus,
    Submission,
    make_job_id,
)
from basilhold.sharding.owner import ShardOwner
from basilhold.sharding.ownership import ProcessInfo, ShardInfo, rank_owners
from basilhold.sharding.peers import (
    CellView,
    HandOverState,
    ProbeAnswer,
    SchedulerPeers,
    ShardSummary,
    TeamUsage,
    WorkerGrant,
)
from basilhold.sharding.rows import ShardRecord, shard_key
from basilhold.sharding.scheduler import ShardScheduler
from basilhold.sharding.settings import ShardingSettings
from basilhold.sharding.state import ShardState, WorkerState

__all__ = [
    "Accepted",
    "CancelAnswer",
    "CellView",
    "HandOverState",
    "IntakeError",
    "IntakeErrorKind",
    "JobIntake",
    "JobStatus",
    "ProbeAnswer",
    "ProcessInfo",
    "SchedulerPeers",
    "ShardInfo",
    "ShardOwner",
    "ShardRecord",
    "ShardScheduler",
    "ShardState",
    "ShardSummary",
    "ShardingSettings",
    "Submission",
    "TeamUsage",
    "WorkerGrant",
    "WorkerState",
    "make_job_id",
    "rank_owners",
    "shard_key",
]
