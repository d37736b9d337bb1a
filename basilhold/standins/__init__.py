"""Stand-ins for the platform, for tests and for trying the system out."""

from basilhold.standins.faults import StoreFaults
from basilhold.standins.network import MemoryNetwork, MemoryTransport
from basilhold.standins.objects import MemoryObjectStore
from basilhold.standins.table import MemoryTable
from basilhold.standins.upstreams import (
    MemoryUpstream,
    MemoryUpstreamClient,
    MemoryUpstreams,
    UpstreamBehaviour,
    UpstreamServer,
)
from basilhold.standins.vms import MemoryVmList
from basilhold.standins.workers import MemoryWorker, MemoryWorkers, TaskBehaviour

__all__ = [
    "MemoryNetwork",
    "MemoryObjectStore",
    "MemoryTable",
    "MemoryUpstream",
    "MemoryUpstreamClient",
    "MemoryUpstreams",
    "MemoryTransport",
    "MemoryVmList",
    "MemoryWorker",
    "MemoryWorkers",
    "StoreFaults",
    "TaskBehaviour",
    "UpstreamBehaviour",
    "UpstreamServer",
]
