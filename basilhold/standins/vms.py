"""In-memory VM list."""

from collections import deque

import msgspec
from expression import Error, Ok, Result

from basilhold.core import Clock, VmId
from basilhold.ports import (
    StoreError,
    StoreErrorKind,
    VmList,
    VmRecord,
    VmSnapshot,
    VmState,
)

__all__ = ["MemoryVmList"]


class MemoryVmList(VmList):
    """VM list that shows each change only after a lag.

    Parameters
    ----------
    clock : Clock
    lag_ms : int
    """

    def __init__(self, clock: Clock, lag_ms: int = 0):
        self._clock = clock
        self.lag_ms = lag_ms
        self.down = False
        self.read_count = 0
        self._current: dict[VmId, VmRecord] = {}
        self._shown = VmSnapshot(0, ())
        self._pending: deque[tuple[float, VmSnapshot]] = deque()
        self._version = 0

    def put(self, *records: VmRecord) -> None:
        """Add or replace VMs."""
        for record in records:
            self._current[record.vm_id] = record
        self._publish()

    def mark_leaving(self, vm_id: VmId) -> None:
        """Show a VM as leaving."""
        record = self._current[vm_id]
        self.put(msgspec.structs.replace(record, state=VmState.LEAVING))

    def remove(self, *vm_ids: VmId) -> None:
        """Remove VMs."""
        for vm_id in vm_ids:
            self._current.pop(vm_id, None)
        self._publish()

    def records(self) -> tuple[VmRecord, ...]:
        """Return the VMs as they are now, without the lag."""
        return tuple(self._current.values())

    async def read(self) -> Result[VmSnapshot, StoreError]:
        """Return the list as it was `lag_ms` ago."""
        self.read_count += 1
        if self.down:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "service unavailable"))
        return Ok(self.shown())

    def shown(self) -> VmSnapshot:
        """Return the list that readers get now."""
        self._show_due()
        return self._shown

    def _publish(self) -> None:
        self._version += 1
        snapshot = VmSnapshot(self._version, tuple(self._current.values()))
        self._pending.append((self._clock.monotonic_ms() + self.lag_ms, snapshot))
        self._show_due()

    def _show_due(self) -> None:
        now_ms = self._clock.monotonic_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            self._shown = self._pending.popleft()[1]
