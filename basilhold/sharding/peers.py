"""What sharding needs from other processes and from the cell's configuration."""

from abc import ABC, abstractmethod

import msgspec

from basilhold.core import (
    Epoch,
    JobId,
    ProcessId,
    Resources,
    Team,
    TeamName,
    WorkerId,
    ZoneName,
)
from basilhold.ports import VmRecord
from basilhold.sharding.ownership import ProcessInfo, ShardInfo

__all__ = [
    "CellView",
    "HandOverState",
    "ProbeAnswer",
    "SchedulerPeers",
    "ShardSummary",
    "TeamUsage",
    "WorkerGrant",
]


class TeamUsage(msgspec.Struct, frozen=True):
    """What a team uses in one shard, and how many of its tasks wait there."""

    team: TeamName
    used: Resources
    waiting_tasks: int = 0


class ShardSummary(msgspec.Struct, frozen=True):
    """What an owner publishes about its shard.

    Parameters
    ----------
    zone : ZoneName
    epoch : Epoch
    free : Resources
        Sum over all workers that take tasks.
    waiting_tasks : int
    team_usage : tuple of TeamUsage
    largest_free : tuple of Resources
        Free resources of the workers with most cores, memory and GPUs free. A task
        may fit in the sum without fitting on any one worker.
    """

    zone: ZoneName
    epoch: Epoch
    free: Resources
    waiting_tasks: int
    team_usage: tuple[TeamUsage, ...] = ()
    largest_free: tuple[Resources, ...] = ()


class ProbeAnswer(msgspec.Struct, frozen=True):
    """Answer of a live scheduler process."""

    process_id: ProcessId
    shards: tuple[ShardSummary, ...] = ()


class WorkerGrant(msgspec.Struct, frozen=True):
    """Latest lease expiry that an owner knows of for a worker."""

    worker_id: WorkerId
    expires_unix_ms: int


class HandOverState(msgspec.Struct, frozen=True):
    """What an owner that stops passes to its successor.

    Its sender has sent its last message to the workers, so the grants replace the
    horizon. `slots` is the state of slot tokens, opaque here.
    """

    zone: ZoneName
    epoch: Epoch
    from_process_id: ProcessId
    grants: tuple[WorkerGrant, ...] = ()
    slots: bytes = b""


class SchedulerPeers(ABC):
    """The other scheduler processes, as membership and rpc provide them."""

    @abstractmethod
    def processes(self) -> tuple[ProcessInfo, ...]:
        """Return the live scheduler processes, this one included."""

    @abstractmethod
    async def probe(self, process_id: ProcessId) -> ProbeAnswer | None:
        """Return a process's answer, or ``None`` if none came within a second."""

    @abstractmethod
    async def hand_over(self, to: ProcessId, state: HandOverState) -> bool:
        """Send a shard's state to its successor; return whether it accepted."""

    @abstractmethod
    async def notify_jobs(self, to: ProcessId, job_ids: tuple[JobId, ...]) -> None:
        """Hint the owner of a shard at new jobs; may be lost."""


class CellView(ABC):
    """The cell as the configuration and the VM list describe it."""

    @abstractmethod
    def shards(self) -> tuple[ShardInfo, ...]:
        """Return the availability zones that have workers."""

    @abstractmethod
    def workers(self, zone: ZoneName) -> tuple[VmRecord, ...]:
        """Return the workers of a zone; the list lags."""

    @abstractmethod
    def teams(self) -> tuple[Team, ...]:
        """Return the teams of all offices with their quotas."""
