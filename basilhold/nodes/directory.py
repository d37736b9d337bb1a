"""What a process knows about the cell: settings, VM list, shards and classes."""

from collections.abc import Sequence

import msgspec

from basilhold.config import ConfigInForce
from basilhold.core import (
    ClassName,
    ProcessId,
    RegionName,
    Team,
    VmId,
    WorkClass,
    WorkerId,
    ZoneName,
)
from basilhold.membership import Liveness, Membership
from basilhold.ports import VmKind, VmRecord, VmState
from basilhold.relay import RelayState
from basilhold.requests import ClassDirectory
from basilhold.rpc import Address
from basilhold.sharding import CellView, ProcessInfo, ShardInfo

__all__ = ["CellDirectory", "ConfiguredClasses", "EntryPorts", "make_process_id"]


class EntryPorts(msgspec.Struct, frozen=True):
    """Ports between processes, by which the programs on an entry VM are reached.

    Parameters
    ----------
    vm_id : VmId
    zone : ZoneName
    region : RegionName
    host : str
    gateway_port, scheduler_port, relay_port : int
    """

    vm_id: VmId
    zone: ZoneName
    region: RegionName
    host: str
    gateway_port: int
    scheduler_port: int
    relay_port: int


def make_process_id(program: str, vm_id: VmId) -> ProcessId:
    """Return the id of a program on an entry VM.

    Examples
    --------
    >>> make_process_id("scheduler", VmId("entry-1"))
    'scheduler@entry-1'
    """
    return ProcessId(f"{program}@{vm_id}")


def vm_of_process(process_id: ProcessId) -> VmId:
    """Return the VM of a process; ids of one start carry a suffix after ``+``.

    Examples
    --------
    >>> vm_of_process(ProcessId("gateway@entry-1+4f21"))
    'entry-1'
    """
    _, _, rest = process_id.partition("@")
    return VmId(rest.partition("+")[0])


class ConfiguredClasses(ClassDirectory):
    """Classes of work from the configuration in force."""

    def __init__(self, in_force: ConfigInForce):
        self._in_force = in_force

    def find(self, name: ClassName) -> WorkClass | None:
        """Return a class by its name."""
        return self._in_force.work_class(name)


class CellDirectory(CellView):
    """View of the cell that is kept up to date by the region's relay.

    Parameters
    ----------
    entries : tuple of EntryPorts
        Entry VMs of the settings.
    state : RelayState
        As received from the relay.
    in_force : ConfigInForce

    Attributes
    ----------
    revision : int
        Grows with each change of the VMs.
    """

    def __init__(
        self,
        entries: tuple[EntryPorts, ...],
        state: RelayState,
        in_force: ConfigInForce,
    ):
        self._entries = {entry.vm_id: entry for entry in entries}
        self._state = state
        self._in_force = in_force
        self._membership = Membership()
        self._was_doubted = False
        self._workers: dict[ZoneName, tuple[VmRecord, ...]] = {}
        self._upstreams: tuple[VmRecord, ...] = ()
        self._entry_records: tuple[VmRecord, ...] = ()
        self.revision = 0

    def apply_list(
        self, version: int, records: Sequence[VmRecord], confirmed_at_ms: float
    ) -> None:
        """Take over a VM list, or confirm the one that is known."""
        membership = self._membership
        membership.apply_list(version, records, confirmed_at_ms)
        changed = bool(membership.take_changes())
        if changed or membership.is_list_suspect != self._was_doubted:
            self._was_doubted = membership.is_list_suspect
            self._index()

    @property
    def is_vm_list_doubted(self) -> bool:
        """Whether the losses of the VM list are not believed."""
        return self._membership.is_list_suspect

    def shards(self) -> tuple[ShardInfo, ...]:
        """Return the availability zones that have workers or upstreams."""
        regions = {record.zone: record.region for record in self._upstreams}
        for zone, records in self._workers.items():
            regions[zone] = records[0].region
        return tuple(ShardInfo(zone, regions[zone]) for zone in sorted(regions))

    def workers(self, zone: ZoneName) -> tuple[VmRecord, ...]:
        """Return the workers of a zone."""
        return self._workers.get(zone, ())

    def all_workers(self) -> tuple[VmRecord, ...]:
        """Return the workers of all zones."""
        return tuple(record for zone in self._workers.values() for record in zone)

    def worker(self, worker_id: WorkerId) -> VmRecord | None:
        """Return a worker of the VM list."""
        record = self._state.vms.records.get(VmId(worker_id))
        return record if record and record.kind is VmKind.WORKER else None

    def upstreams(self) -> tuple[VmRecord, ...]:
        """Return the upstreams of all zones."""
        return self._upstreams

    def teams(self) -> tuple[Team, ...]:
        """Return the teams of all offices with their quotas."""
        return tuple(self._in_force.teams())

    def live_entries(self) -> tuple[EntryPorts, ...]:
        """Return the entry VMs that take part.

        Before the first VM list arrives, these are all of the settings.
        """
        if not self.revision:
            return tuple(self._entries.values())
        return tuple(
            self._entries[record.vm_id]
            for record in self._entry_records
            if record.state is VmState.LIVE and record.vm_id in self._entries
        )

    def remaining_entry_vms(self) -> frozenset[VmId]:
        """Return the entry VMs that are not proved gone."""
        states = (Liveness.LIVE, Liveness.LEAVING, Liveness.ABSENT)
        return frozenset(
            record.vm_id
            for liveness in states
            for record in self._membership.members(VmKind.ENTRY, liveness)
        )

    def schedulers(self) -> tuple[ProcessInfo, ...]:
        """Return the scheduler processes of the live entry VMs."""
        return tuple(
            ProcessInfo(
                make_process_id("scheduler", entry.vm_id),
                entry.zone,
                entry.region,
                entry.host,
                entry.scheduler_port,
            )
            for entry in self.live_entries()
        )

    def scheduler_address(self, process_id: ProcessId) -> Address | None:
        """Return where a scheduler answers."""
        entry = self._entries.get(vm_of_process(process_id))
        return Address(entry.host, entry.scheduler_port) if entry else None

    def gateway_address(self, process_id: ProcessId) -> Address | None:
        """Return where a gateway answers other gateways."""
        entry = self._entries.get(vm_of_process(process_id))
        return Address(entry.host, entry.gateway_port) if entry else None

    def relay_addresses(self, vm_id: VmId, region: RegionName) -> tuple[Address, ...]:
        """Return the relays of a region, the one on this VM first."""
        entries = [entry for entry in self._entries.values() if entry.region == region]
        entries.sort(key=lambda entry: entry.vm_id != vm_id)
        return tuple(Address(entry.host, entry.relay_port) for entry in entries)

    def owner_address(self, zone: ZoneName) -> Address | None:
        """Return where the owner of a shard answers, as far as is known."""
        shard = self._state.shards.get(zone)
        return shard.address if shard else None

    def _index(self) -> None:
        self.revision += 1
        workers: dict[ZoneName, list[VmRecord]] = {}
        for record in self._believed(VmKind.WORKER):
            workers.setdefault(record.zone, []).append(record)
        self._workers = {zone: tuple(records) for zone, records in workers.items()}
        self._upstreams = self._believed(VmKind.UPSTREAM)
        self._entry_records = self._believed(VmKind.ENTRY)

    def _believed(self, kind: VmKind) -> tuple[VmRecord, ...]:
        """Return the VMs that take part; the losses of a doubted list do not count."""
        membership = self._membership
        leaving = tuple(
            msgspec.structs.replace(record, state=VmState.LEAVING)
            for record in membership.members(kind, Liveness.LEAVING)
        )
        records = membership.members(kind) + leaving
        if membership.is_list_suspect:
            records += membership.members(kind, Liveness.ABSENT)
        return records
