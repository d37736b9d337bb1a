"""Port of the platform's VM list."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import RegionName, Resources, ServiceName, VmId, ZoneName
from basilhold.ports.table import StoreError

__all__ = ["VmKind", "VmList", "VmRecord", "VmSnapshot", "VmState"]


class VmKind(Enum):
    """What a VM does for the cell."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class VmState(Enum):
    """State that the platform reports for a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One VM of the platform's list.

    Parameters
    ----------
    vm_id : VmId
    kind : VmKind
    state : VmState
    region, zone, rack : str
    host : str
        IP number.
    port : int
        Port of the worker agent or of the upstream's HTTP server.
    capacity : Resources
        Size of a worker.
    service : ServiceName, optional
        Service that an upstream belongs to.
    slots, connections : int
        Requests that an upstream handles at a time, and its connection limit.
    """

    vm_id: VmId
    kind: VmKind
    state: VmState
    region: RegionName
    zone: ZoneName
    rack: str
    host: str
    port: int
    capacity: Resources = Resources()
    service: ServiceName | None = None
    slots: int = 0
    connections: int = 0


class VmSnapshot(msgspec.Struct, frozen=True):
    """The whole list at one version."""

    version: int
    records: tuple[VmRecord, ...]


class VmList(ABC):
    """The platform's lagging list of VMs that are live or leaving."""

    @abstractmethod
    async def read(self) -> Result[VmSnapshot, StoreError]:
        """Return the list as the platform sees it now."""
