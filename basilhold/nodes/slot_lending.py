"""Lends the slots of the zones whose shards a scheduler owns."""

from expression import Error, Ok, Result

from basilhold.core import Clock, ServiceName, ZoneName
from basilhold.nodes.directory import CellDirectory
from basilhold.ports import VmState
from basilhold.requests import (
    SlotAllocator,
    SlotGrant,
    SlotLender,
    SlotReport,
    Takeover,
)
from basilhold.sharding import ShardOwner, ShardScheduler

__all__ = ["SlotLending"]


class SlotLending:
    """Keeps one lender per owned shard.

    Parameters
    ----------
    scheduler : ShardScheduler
    directory : CellDirectory
    clock : Clock
    longest_deadline_ms : int
        Longest timeout of any class, in milliseconds.
    """

    def __init__(
        self,
        scheduler: ShardScheduler,
        directory: CellDirectory,
        clock: Clock,
        longest_deadline_ms: int,
    ):
        self._scheduler = scheduler
        self._directory = directory
        self._clock = clock
        self._longest_deadline_ms = longest_deadline_ms
        self._lenders: dict[ZoneName, SlotLender] = {}

    async def exchange(
        self, zone: ZoneName, report: SlotReport
    ) -> Result[SlotGrant, str]:
        """Answer a gateway's report; an error if this process is not the owner."""
        lender = self._current_lender(zone)
        if lender is None:
            return Error(f"this process does not own zone {zone}")
        return Ok(await lender.exchange(report))

    def _current_lender(self, zone: ZoneName) -> SlotLender | None:
        """Return the lender of the epoch that this process owns now.

        A refresh reads the whole VM list, so a report causes one only after a change
        of ownership; other changes arrive by the timer and with each relay update.
        """
        owner = self._scheduler.owner(zone)
        lender = self._lenders.get(zone)
        owned_epoch = owner.epoch if owner else None
        known_epoch = lender.allocator.epoch if lender else None
        if owned_epoch != known_epoch:
            self.refresh()
        return self._lenders.get(zone)

    def refresh(self) -> None:
        """Follow changes of ownership, upstreams and entry VMs."""
        owned = {
            zone: self._scheduler.owner(zone) for zone in self._scheduler.owned_zones()
        }
        for zone in [zone for zone in self._lenders if zone not in owned]:
            del self._lenders[zone]
        for zone, owner in owned.items():
            lender = self._lenders.get(zone)
            if lender is None or lender.allocator.epoch != owner.epoch:
                self._lenders[zone] = self._make_lender(zone, owner)
            self._update(zone, owner)

    def frozen_count(self) -> int:
        """Return the number of tokens that nobody may use."""
        return sum(lender.allocator.frozen_count() for lender in self._lenders.values())

    def frozen_by_service(self) -> dict[ServiceName, int]:
        """Return the number of tokens that nobody may use, by service.

        Services of the owned zones without such tokens are included.
        """
        frozen = {
            record.service: 0
            for record in self._directory.upstreams()
            if record.zone in self._lenders and record.service
        }
        for lender in self._lenders.values():
            for service, count in lender.allocator.frozen_by_service().items():
                frozen[service] = frozen.get(service, 0) + count
        return frozen

    def _make_lender(self, zone: ZoneName, owner: ShardOwner) -> SlotLender:
        inherited = owner.inherited
        takeover = None
        if inherited is not None:
            takeover = Takeover(
                self._clock.unix_ms(),
                inherited.horizon_unix_ms,
                self._directory.remaining_entry_vms(),
            )
        allocator = SlotAllocator(
            zone,
            owner.shard.region,
            owner.epoch,
            takeover,
            self._longest_deadline_ms,
            gone_ms=0,
        )
        return SlotLender(allocator, self._clock)

    def _update(self, zone: ZoneName, owner: ShardOwner) -> None:
        lender = self._lenders[zone]
        allocator = lender.allocator
        allocator.set_horizon(owner.horizon_unix_ms)
        allocator.update_upstreams(
            record
            for record in self._directory.upstreams()
            if record.zone == zone and record.state is VmState.LIVE
        )
        allocator.update_entry_vms(
            self._directory.remaining_entry_vms(), self._clock.unix_ms()
        )
        lender.notify()
