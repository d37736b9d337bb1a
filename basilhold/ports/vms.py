"""Port to the platform's VM list."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec
from expression import Result

from basilhold.core import RegionName, Resources, ServiceName, VmId, ZoneName
from basilhold.ports.table import StoreError

__all__ = ["VmKind", "VmList", "VmRecord", "VmSnapshot", "VmState"]


class VmKind(Enum):
    """Role of a VM in the cell.

    Basilhold's processes run on ``ENTRY`` VMs, tasks on ``WORKER`` VMs, and servers
    that answer requests on ``UPSTREAM`` VMs.
    """

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class VmState(Enum):
    """State of a VM as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A VM in the platform's list.

    Parameters
    ----------
    vm_id : VmId
    kind : VmKind
    state : VmState
    region : RegionName
    zone : ZoneName
    rack : str
    host : str
        IP address.
    port : int
        Port of the worker agent or of the upstream's HTTP server.
    capacity : Resources
        Capacity of a worker.
    service : ServiceName, optional
        Service to which an upstream belongs.
    slots : int
        Number of requests that an upstream processes concurrently.
    connections : int
        Largest number of connections to an upstream.
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
    """Complete VM list with its version."""

    version: int
    records: tuple[VmRecord, ...]


class VmList(ABC):
    """Access to the platform's list of live and leaving VMs.

    The list is eventually consistent and may lag behind the state of the VMs.
    """

    @abstractmethod
    async def read(self) -> Result[VmSnapshot, StoreError]:
        """Return the current list of the platform."""
