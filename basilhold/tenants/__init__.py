"""Tenants: who may call, how much each tenant may run, and in which order.

The package performs no I/O.
"""

from basilhold.tenants.allotment_policy import (
    AllotmentPolicy,
    DemandPolicy,
    EqualPartsPolicy,
    LedgerPolicy,
)
from basilhold.tenants.allotments import AllotmentLedger, LedgerChanges, Parts
from basilhold.tenants.quota_book import BlockedDemand, QuotaBook, TenantRequest
from basilhold.tenants.registry import (
    NO_TENANT,
    KeyDigest,
    Tenant,
    TenantName,
    TenantRegistry,
    digest_key,
)
from basilhold.tenants.shares import (
    DEFAULT_WEIGHT,
    Amounts,
    ShareStanding,
    Starvation,
    TenantDemand,
    TenantShares,
    UseReport,
    amounts_of,
    dominant_share,
    due_level,
    is_valid_weight,
    share_weights,
)
from basilhold.tenants.submission_rate import SubmissionRates
from basilhold.tenants.usage import TenantUsage

__all__ = [
    "DEFAULT_WEIGHT",
    "Amounts",
    "ShareStanding",
    "Starvation",
    "TenantDemand",
    "TenantShares",
    "UseReport",
    "amounts_of",
    "dominant_share",
    "due_level",
    "is_valid_weight",
    "share_weights",
    "NO_TENANT",
    "KeyDigest",
    "AllotmentLedger",
    "AllotmentPolicy",
    "BlockedDemand",
    "DemandPolicy",
    "EqualPartsPolicy",
    "LedgerChanges",
    "LedgerPolicy",
    "Parts",
    "QuotaBook",
    "SubmissionRates",
    "Tenant",
    "TenantName",
    "TenantRegistry",
    "TenantRequest",
    "TenantUsage",
    "digest_key",
]
