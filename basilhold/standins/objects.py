"""In-memory object store."""

from expression import Error, Ok, Result

from basilhold.ports import ObjectStore, StoreError, StoreErrorKind
from basilhold.standins.faults import StoreFate, StoreFaults

__all__ = ["MemoryObjectStore"]


class MemoryObjectStore(ObjectStore):
    """Object store that holds its objects in memory.

    Parameters
    ----------
    faults : StoreFaults, optional
    """

    def __init__(self, faults: StoreFaults | None = None):
        self.faults = faults or StoreFaults()
        self.objects: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Create or replace an object."""
        return await self._run(lambda: self.objects.__setitem__(name, data))

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's data."""
        return await self._run(lambda: self.objects.get(name))

    async def delete(self, name: str) -> Result[None, StoreError]:
        """Delete an object."""

        def drop() -> None:
            self.objects.pop(name, None)

        return await self._run(drop)

    async def _run(self, operation):
        fate = self.faults.draw()
        await self.faults.travel()
        if fate is StoreFate.REFUSED:
            return Error(StoreError(StoreErrorKind.NOT_APPLIED, "service unavailable"))
        value = None if fate is StoreFate.LOST_REQUEST else operation()
        if fate is not StoreFate.DONE:
            await self.faults.wait_for_timeout()
            return Error(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        await self.faults.travel()
        return Ok(value)
