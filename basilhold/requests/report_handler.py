"""Answers slot reports at once if there is news, and otherwise after a wait."""

import asyncio

from basilhold.core import Clock, ProcessId
from basilhold.requests.allocator import SlotAllocator
from basilhold.requests.tokens import SlotGrant, SlotReport

__all__ = ["SlotReportHandler"]


class SlotReportHandler:
    """Serves the slot reports of all gateways for one shard.

    A waiting report is how a recall reaches a gateway with idle slots at once.

    Parameters
    ----------
    allocator : SlotAllocator
    clock : Clock
    """

    def __init__(self, allocator: SlotAllocator, clock: Clock):
        self.allocator = allocator
        self._clock = clock
        self._waiting: dict[ProcessId, asyncio.Event] = {}

    async def exchange(self, report: SlotReport) -> SlotGrant:
        """Take a report and return its reply.

        Parameters
        ----------
        report : SlotReport

        Returns
        -------
        SlotGrant
        """
        allocator = self.allocator
        gateway_id = report.gateway_id
        if not allocator.apply_report(report, self._clock.unix_ms()):
            self.notify()
            return allocator.rejection_reply(report)
        self.notify()
        deadline = asyncio.get_running_loop().time() + report.wait_ms / 1000
        event = self._waiting[gateway_id] = asyncio.Event()
        while not allocator.has_pending_changes(gateway_id):
            try:
                async with asyncio.timeout_at(deadline):
                    await event.wait()
            except TimeoutError:
                break
            event.clear()
            if allocator.last_report_number(gateway_id) != report.number:
                break
        if self._waiting.get(gateway_id) is event:
            del self._waiting[gateway_id]
        if allocator.last_report_number(gateway_id) != report.number:
            return SlotGrant(report.number, allocator.epoch)
        return allocator.reply(gateway_id, self._clock.unix_ms())

    def notify(self) -> None:
        """Look again at all waiting reports; call it after other changes too."""
        for event in self._waiting.values():
            event.set()
