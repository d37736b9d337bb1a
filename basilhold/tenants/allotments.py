"""Allotments: the parts of the tenants' quotas that the services may use.

A tenant's quota holds for all services together, and each service has an owner of its
own. The quota is therefore divided: each service holds an allotment, and its owner
starts a run only if the tenant's runs in this service stay within it. The sum of the
allotments of a tenant never exceeds its quota:

* In the beginning, one service, the home, holds all quotas.
* A service gives part of its allotment to another one by adding it to a counter of
  everything that it has ever sent there. The counter is stored, in a commit of the
  service's owner, before the other service is told of it.
* The receiver keeps a counter of everything that it has received from each service, and
  raises it to the sender's counter.

Messages that are lost, repeated or late therefore change nothing, and each row is
written only by the owner that holds the service's lease. What is between two services
belongs to neither. Allotments are fractions of the quota, so that they follow when an
operator changes it.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from basilhold.core import (
    JsonDecoder,
    Resources,
    ServiceName,
)
from basilhold.tenants.registry import Tenant, TenantName

__all__ = [
    "BUCKET_COUNT",
    "NOTHING",
    "WHOLE",
    "AllotmentLedger",
    "LedgerChanges",
    "Parts",
    "RecordedUse",
    "Sent",
]

WHOLE_PPM = 1_000_000
"""The whole quota, in parts per million."""

BUCKET_COUNT = 64
"""Number of rows over which a service's records are spread. With 10,000 tenants and two
services, a row has 160 records of about 120 bytes."""

UNLIMITED = 1 << 62


class Parts(msgspec.Struct, frozen=True, array_like=True):
    """Parts of each component of a quota, in parts per million."""

    cores_ppm: int = 0
    memory_ppm: int = 0
    gpus_ppm: int = 0

    def __add__(self, other: "Parts") -> "Parts":
        return Parts(
            self.cores_ppm + other.cores_ppm,
            self.memory_ppm + other.memory_ppm,
            self.gpus_ppm + other.gpus_ppm,
        )

    def __sub__(self, other: "Parts") -> "Parts":
        return Parts(
            self.cores_ppm - other.cores_ppm,
            self.memory_ppm - other.memory_ppm,
            self.gpus_ppm - other.gpus_ppm,
        )

    def __bool__(self) -> bool:
        return bool(self.cores_ppm or self.memory_ppm or self.gpus_ppm)

    def scaled(self, factor: float) -> "Parts":
        """Return these parts multiplied by `factor`, rounded down."""
        return Parts(
            int(self.cores_ppm * factor),
            int(self.memory_ppm * factor),
            int(self.gpus_ppm * factor),
        )

    def at_least(self, other: "Parts") -> "Parts":
        """Return the larger of each component."""
        return Parts(
            max(self.cores_ppm, other.cores_ppm),
            max(self.memory_ppm, other.memory_ppm),
            max(self.gpus_ppm, other.gpus_ppm),
        )

    def at_most(self, other: "Parts") -> "Parts":
        """Return the smaller of each component."""
        return Parts(
            min(self.cores_ppm, other.cores_ppm),
            min(self.memory_ppm, other.memory_ppm),
            min(self.gpus_ppm, other.gpus_ppm),
        )

    @classmethod
    def needed_for(cls, size: Resources, quota: Resources) -> "Parts":
        """Return the parts of a quota that an amount takes, rounded up.

        Components without a limit take nothing.

        Examples
        --------
        >>> Parts.needed_for(Resources(1_000, 7), Resources(3_000))
        Parts(cores_ppm=333334, memory_ppm=0, gpus_ppm=0)
        """
        return cls(
            _ppm_of(size.cores_milli, quota.cores_milli),
            _ppm_of(size.memory_bytes, quota.memory_bytes),
            _ppm_of(size.gpus_milli, quota.gpus_milli),
        )

    def amount_of(self, quota: Resources) -> Resources:
        """Return the amount that these parts of a quota allow, rounded down.

        Examples
        --------
        >>> Parts(500_000, 0, 0).amount_of(Resources(3_001)).cores_milli
        1500
        """
        return Resources(
            _amount_of(self.cores_ppm, quota.cores_milli),
            _amount_of(self.memory_ppm, quota.memory_bytes),
            _amount_of(self.gpus_ppm, quota.gpus_milli),
        )


NOTHING = Parts()
WHOLE = Parts(WHOLE_PPM, WHOLE_PPM, WHOLE_PPM)


def _ppm_of(amount: int, quota: int) -> int:
    return -(-amount * WHOLE_PPM // quota) if quota else 0


def _amount_of(ppm: int, quota: int) -> int:
    return quota * ppm // WHOLE_PPM if quota else UNLIMITED


class RecordedUse(msgspec.Struct, frozen=True, array_like=True):
    """Recent use of a tenant, which the next owner continues.

    Parameters
    ----------
    cores_milli, memory_bytes, gpus_milli : int
    at_ms : int
        Time of the store's clock, in milliseconds.
    """

    cores_milli: int
    memory_bytes: int
    gpus_milli: int
    at_ms: int


class _Record(msgspec.Struct, omit_defaults=True):
    """Stored state of one tenant.

    Parameters
    ----------
    sent, received : dict of ServiceName to Parts
        Everything ever sent to and received from each other service.
    quota : Resources
        Quota in the newest configuration that contained the tenant.
    use : RecordedUse, optional
        Recent use of the tenant in this service. Earlier versions ignore it, and leave
        it out when they write the row.
    """

    sent: dict[ServiceName, Parts] = {}
    received: dict[ServiceName, Parts] = {}
    quota: Resources = Resources()
    use: RecordedUse | None = None


_ROW_DECODER = JsonDecoder(dict[TenantName, _Record])

Sent = dict[TenantName, Parts]
"""What a service has ever sent to one other service, by tenant."""


class LedgerChanges(msgspec.Struct):
    """Changes of a ledger that are being stored.

    Parameters
    ----------
    rows : dict of int to bytes
        Changed rows by bucket.
    sent : list of (ServiceName, TenantName, Parts)
        Counters in these rows, by receiver and tenant.
    """

    rows: dict[int, bytes] = {}
    sent: list[tuple[ServiceName, TenantName, Parts]] = []


class AllotmentLedger:
    """Allotments of one service.

    Parameters
    ----------
    service : ServiceName
    is_home : bool
        Whether the service holds all quotas in the beginning.
    rows : dict of int to bytes
        Stored rows of the service by bucket.

    Attributes
    ----------
    damaged : set of int
        Buckets whose row cannot be decoded. As it is not known what was sent, the
        service holds nothing of their tenants.
    """

    def __init__(self, service: ServiceName, is_home: bool, rows: dict[int, bytes]):
        self.service = service
        self.damaged: set[int] = set()
        self._initial = WHOLE if is_home else NOTHING
        self._records: dict[TenantName, _Record] = {}
        self._stored_sent: dict[ServiceName, Sent] = {}
        self._changed: set[int] = set()
        self._buckets: dict[int, set[TenantName]] = {}
        for bucket, row in rows.items():
            self._load(bucket, row)

    def _load(self, bucket: int, row: bytes) -> None:
        try:
            records = _ROW_DECODER.decode(row)
        except msgspec.DecodeError:
            self.damaged.add(bucket)
            return
        for tenant, record in records.items():
            self._add(tenant, record)
            for receiver, parts in record.sent.items():
                self._stored_sent.setdefault(receiver, {})[tenant] = parts

    def _add(self, tenant: TenantName, record: _Record) -> _Record:
        self._records[tenant] = record
        self._buckets.setdefault(_bucket_of(tenant), set()).add(tenant)
        return record

    def _record(self, tenant: TenantName) -> _Record:
        record = self._records.get(tenant)
        return record if record is not None else self._add(tenant, _Record({}, {}))

    def held(self, tenant: TenantName) -> Parts:
        """Return the allotment of a tenant."""
        if self.damaged and _bucket_of(tenant) in self.damaged:
            return NOTHING
        held = self._initial
        record = self._records.get(tenant)
        if record is not None:
            for parts in record.received.values():
                held = held + parts
            for parts in record.sent.values():
                held = held - parts
        return held

    def last_quota(self, tenant: TenantName) -> Resources:
        """Return the quota of a tenant as last noted; all 0 if it never was."""
        record = self._records.get(tenant)
        return record.quota if record else Resources()

    def note_quota(self, tenant: Tenant) -> None:
        """Keep a tenant's quota for the time after its removal."""
        if tenant.quota != self.last_quota(tenant.name):
            self._record(tenant.name).quota = tenant.quota
            self._changed.add(_bucket_of(tenant.name))

    def recorded_uses(self) -> dict[TenantName, RecordedUse]:
        """Return the recent use of each tenant as last recorded."""
        return {n: r.use for n, r in self._records.items() if r.use is not None}

    def record_use(self, tenant: TenantName, use: RecordedUse | None) -> None:
        """Record the recent use of a tenant, to be stored with its allotment."""
        self._record(tenant).use = use
        self._changed.add(_bucket_of(tenant))

    def send(self, tenant: TenantName, receiver: ServiceName, parts: Parts) -> None:
        """Give a part of an allotment to another service.

        Raises
        ------
        ValueError
            If the part is negative or not held.
        """
        if (
            parts.at_least(NOTHING) != parts
            or parts.at_most(self.held(tenant)) != parts
        ):
            raise ValueError(f"{parts} of {tenant} is not held")
        record = self._record(tenant)
        record.sent[receiver] = record.sent.get(receiver, NOTHING) + parts
        self._changed.add(_bucket_of(tenant))

    def receive(self, tenant: TenantName, sender: ServiceName, total: Parts) -> bool:
        """Accept everything that another service has ever sent.

        Parameters
        ----------
        tenant : TenantName
        sender : ServiceName
        total : Parts
            Stored counter of the sender.

        Returns
        -------
        bool
            Whether the allotment has grown.
        """
        record = self._record(tenant)
        known = record.received.get(sender, NOTHING)
        newest = known.at_least(total)
        if newest == known:
            return False
        record.received[sender] = newest
        self._changed.add(_bucket_of(tenant))
        return True

    def stored_sent(self, receiver: ServiceName) -> Sent:
        """Return the stored counters of what was sent to a service."""
        return dict(self._stored_sent.get(receiver, {}))

    def is_stored(self, receiver: ServiceName, names: Iterable[TenantName]) -> bool:
        """Return whether all that was sent to a service of some tenants is stored."""
        stored = self._stored_sent.get(receiver, {})
        return all(
            self._records[name].sent.get(receiver) == stored.get(name) for name in names
        )

    def has_changes(self) -> bool:
        """Return whether there are changes that no commit includes yet."""
        return bool(self._changed - self.damaged)

    def take_changes(self) -> LedgerChanges:
        """Return the changes since the last call, to be stored in one commit."""
        changes = LedgerChanges({}, [])
        for bucket in sorted(self._changed - self.damaged):
            records = {name: self._records[name] for name in self._buckets[bucket]}
            changes.rows[bucket] = msgspec.json.encode(records)
            changes.sent.extend(
                (receiver, name, parts)
                for name, record in records.items()
                for receiver, parts in record.sent.items()
            )
        self._changed.clear()
        return changes

    def mark_stored(self, changes: LedgerChanges) -> None:
        """Record that changes are stored, so that receivers may be told of them."""
        for receiver, tenant, parts in changes.sent:
            self._stored_sent.setdefault(receiver, {})[tenant] = parts


def _bucket_of(tenant: TenantName) -> int:
    return xxhash.xxh32_intdigest(tenant.encode()) % BUCKET_COUNT
