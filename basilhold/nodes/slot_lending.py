"""Lends the slots of the zones whose shards a scheduler owns."""

from expression import Error, Ok, Result

from basilhold.core import Clock, ServiceName, ZoneName
from basilhold.nodes.directory import CellDirectory
from basilhold.ports import VmState
from basilhold.requests import (
    SlotAllocator,
    SlotGrant,
    SlotReport,
    SlotReportHandler,
    Takeover,
)
from basilhold.sharding import ShardOwner, ShardScheduler

__all__ = ["SlotLending"]


class SlotLending:
    """Keeps one handler per owned shard.

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
        self._handlers: dict[ZoneName, SlotReportHandler] = {}

    async def exchange(
        self, zone: ZoneName, report: SlotReport
    ) -> Result[SlotGrant, str]:
        """Answer a gateway's report; an error if this process is not the owner."""
        handler = self._current_handler(zone)
        if handler is None:
            return Error(f"this process does not own zone {zone}")
        return Ok(await handler.exchange(report))

    def _current_handler(self, zone: ZoneName) -> SlotReportHandler | None:
        """Return the handler of the epoch that this process owns now.

        A refresh reads the whole VM list, so a report causes one only after a change
        of ownership; other changes arrive by the timer and with each relay update.
        """
        owner = self._scheduler.owner(zone)
        handler = self._handlers.get(zone)
        owned_epoch = owner.epoch if owner else None
        known_epoch = handler.allocator.epoch if handler else None
        if owned_epoch != known_epoch:
            self.refresh()
        return self._handlers.get(zone)

    def refresh(self) -> None:
        """Follow changes of ownership, upstreams and entry VMs."""
        owned = {
            zone: self._scheduler.owner(zone) for zone in self._scheduler.owned_zones()
        }
        for zone in [zone for zone in self._handlers if zone not in owned]:
            del self._handlers[zone]
        for zone, owner in owned.items():
            handler = self._handlers.get(zone)
            if handler is None or handler.allocator.epoch != owner.epoch:
                self._handlers[zone] = self._make_handler(zone, owner)
            self._update(zone, owner)

    def frozen_count(self) -> int:
        """Return the number of tokens that nobody may use."""
        return sum(
            handler.allocator.frozen_count() for handler in self._handlers.values()
        )

    def frozen_by_service(self) -> dict[ServiceName, int]:
        """Return the number of tokens that nobody may use, by service.

        Services of the owned zones without such tokens are included.
        """
        frozen = {
            record.service: 0
            for record in self._directory.upstreams()
            if record.zone in self._handlers and record.service
        }
        for handler in self._handlers.values():
            for service, count in handler.allocator.frozen_by_service().items():
                frozen[service] = frozen.get(service, 0) + count
        return frozen

    def _make_handler(self, zone: ZoneName, owner: ShardOwner) -> SlotReportHandler:
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
            vm_absence_ms=0,
        )
        return SlotReportHandler(allocator, self._clock)

    def _update(self, zone: ZoneName, owner: ShardOwner) -> None:
        handler = self._handlers[zone]
        allocator = handler.allocator
        allocator.set_horizon(owner.horizon_unix_ms)
        allocator.update_upstreams(
            record
            for record in self._directory.upstreams()
            if record.zone == zone and record.state is VmState.LIVE
        )
        allocator.update_entry_vms(
            self._directory.remaining_entry_vms(), self._clock.unix_ms()
        )
        handler.notify()
