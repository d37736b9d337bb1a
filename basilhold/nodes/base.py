"""What all nodes have in common."""

from abc import ABC, abstractmethod
from typing import Any, Self

import msgspec

from basilhold.config import ConfigInForce
from basilhold.core import Clock, ProcessId, RegionName, VmId, ZoneName
from basilhold.nodes.directory import CellDirectory
from basilhold.relay import RegionSubscription
from basilhold.rpc import Transport

__all__ = ["NodeContext", "NodePart"]


class NodeContext(msgspec.Struct):
    """Identity of a process and what it knows about the cell.

    Parameters
    ----------
    process_id : ProcessId
    vm_id : VmId
    zone, region : str
    clock : Clock
    transport : Transport
    in_force : ConfigInForce
    subscription : RegionSubscription
    directory : CellDirectory
    """

    process_id: ProcessId
    vm_id: VmId
    zone: ZoneName
    region: RegionName
    clock: Clock
    transport: Transport
    in_force: ConfigInForce
    subscription: RegionSubscription
    directory: CellDirectory


class NodePart(ABC):
    """The working part of a daemon; an asynchronous context manager."""

    @abstractmethod
    async def __aenter__(self) -> Self:
        """Open ports and start tasks."""

    @abstractmethod
    async def __aexit__(self, exc_type, exc, traceback) -> None:
        """Close ports and end tasks."""

    @abstractmethod
    async def run(self) -> None:
        """Run until an invariant is broken."""

    @abstractmethod
    def state(self) -> dict[str, Any]:
        """Return what a state dump shows."""
