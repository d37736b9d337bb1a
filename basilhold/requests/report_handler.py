"""Long polling of slot reports: replies wait until there is something to tell."""

import asyncio

from basilhold.core import Clock, ProcessId
from basilhold.requests.allocator import SlotAllocator
from basilhold.requests.tokens import SlotGrant, SlotReport

__all__ = ["SlotReportHandler"]


class SlotReportHandler:
    """Answers the slot reports of all gateways for one shard.

    A report waits until its reply would grant or recall tokens, or until its wait time
    is over. Thus a recall reaches a gateway with idle slots without delay.

    Parameters
    ----------
    allocator : SlotAllocator
        Decides about the tokens of the shard.
    clock : Clock
    """

    def __init__(self, allocator: SlotAllocator, clock: Clock):
        self.allocator = allocator
        self._clock = clock
        self._waiting: dict[ProcessId, asyncio.Event] = {}

    async def exchange(self, report: SlotReport) -> SlotGrant:
        """Apply a report and return its reply.

        Parameters
        ----------
        report : SlotReport
            The reply comes after at most its `wait_ms`.

        Returns
        -------
        SlotGrant
            Without tokens if `SlotAllocator.apply_report` returned False or if a newer
            report of the same gateway has arrived in the meantime.
        """
        allocator = self.allocator
        gateway_id = report.gateway_id
        if not allocator.apply_report(report, self._clock.unix_ms()):
            self.notify()
            return allocator.rejection_reply(report)
        self.notify()
        deadline = asyncio.get_running_loop().time() + report.wait_ms / 1000
        changed = self._waiting[gateway_id] = asyncio.Event()
        while not allocator.has_pending_changes(gateway_id):
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
            changed.clear()
            if allocator.last_report_number(gateway_id) != report.number:
                break
        if self._waiting.get(gateway_id) is changed:
            del self._waiting[gateway_id]
        if allocator.last_report_number(gateway_id) != report.number:
            return SlotGrant(report.number, allocator.epoch)
        return allocator.reply(gateway_id, self._clock.unix_ms())

    def notify(self) -> None:
        """Check all waiting reports again.

        Must be called after each change of the allocator made from outside.
        """
        for changed in self._waiting.values():
            changed.set()
