"""HTTP clients that implement the ports."""

from basilhold.adapters.http import (
    HttpAddress,
    HttpCall,
    HttpCounts,
    HttpFailure,
    HttpLimits,
    HttpPool,
    HttpReply,
    HttpTraffic,
    TrafficSink,
)
from basilhold.adapters.objects import HttpObjectStore
from basilhold.adapters.table import HttpTable
from basilhold.adapters.vms import HttpVmList
from basilhold.adapters.workers import HttpWorkerAgent, WorkerAddresses

__all__ = [
    "HttpAddress",
    "HttpCall",
    "HttpCounts",
    "HttpFailure",
    "HttpLimits",
    "HttpObjectStore",
    "HttpPool",
    "HttpReply",
    "HttpTable",
    "HttpTraffic",
    "HttpVmList",
    "HttpWorkerAgent",
    "TrafficSink",
    "WorkerAddresses",
]
