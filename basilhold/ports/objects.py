"""Port to the platform's object store."""

from abc import ABC, abstractmethod

from expression import Result

from basilhold.ports.table import StoreError

__all__ = ["ObjectStore"]


class ObjectStore(ABC):
    """Stores objects, which are sequences of bytes, under names.

    All methods return errors of the store as `StoreError`.
    """

    @abstractmethod
    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Create or replace an object."""

    @abstractmethod
    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's data, or ``None`` if it does not exist."""

    @abstractmethod
    async def delete(self, name: str) -> Result[None, StoreError]:
        """Delete an object. Deleting an object that does not exist succeeds."""
