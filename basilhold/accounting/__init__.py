"""Counters of control-plane traffic and store operations, and a store rate limit."""

from basilhold.accounting.budget import (
    BudgetedTableService,
    BudgetSettings,
    BudgetSnapshot,
    StoreBudget,
    StorePriority,
)
from basilhold.accounting.channels import CountingTransport, purpose_of_method
from basilhold.accounting.http import CountingHttpClient
from basilhold.accounting.store_traffic import TrafficCountingTableService
from basilhold.accounting.tables import (
    CountingTableService,
    OperationCounter,
    OperationEntry,
    OperationKind,
)
from basilhold.accounting.traffic import (
    ACK_BYTES,
    CALL_OVERHEAD_BYTES,
    HTTP_OVERHEAD_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    Distance,
    HostLocator,
    Place,
    Purpose,
    TrafficCounter,
    TrafficEntry,
)

__all__ = [
    "ACK_BYTES",
    "CALL_OVERHEAD_BYTES",
    "HTTP_OVERHEAD_BYTES",
    "MESSAGE_OVERHEAD_BYTES",
    "BudgetSettings",
    "BudgetSnapshot",
    "BudgetedTableService",
    "CountingHttpClient",
    "CountingTableService",
    "CountingTransport",
    "Distance",
    "HostLocator",
    "OperationCounter",
    "OperationEntry",
    "OperationKind",
    "Place",
    "Purpose",
    "StoreBudget",
    "StorePriority",
    "TrafficCounter",
    "TrafficCountingTableService",
    "TrafficEntry",
    "purpose_of_method",
]
