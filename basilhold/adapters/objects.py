"""HTTP adapter of the object store."""

from urllib.parse import quote

from expression import Result

from basilhold.adapters.http import HttpAddress, HttpCall, HttpPool, HttpReply
from basilhold.adapters.store import run_store_call
from basilhold.adapters.wire import AbsentReply
from basilhold.core import decode_json
from basilhold.ports import ObjectStore, StoreError

__all__ = ["HttpObjectStore"]


def _body_if_found(reply: HttpReply) -> bytes | None:
    """Read a reply; a 404 that the service did not write is malformed.

    A wrong URL must not look like a missing object.
    """
    if reply.status == 200:
        return reply.body
    decode_json(reply.body, AbsentReply)
    return None


def _nothing(_reply: HttpReply) -> None:
    return None


class HttpObjectStore(ObjectStore):
    """Object store over HTTP.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
    timeout_ms : int
        Bound of one operation, in milliseconds.
    """

    def __init__(self, pool: HttpPool, address: HttpAddress, timeout_ms: int = 2_000):
        self._pool = pool
        self._address = address
        self._timeout_ms = timeout_ms

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Create or replace an object."""
        return await run_store_call(self._pool, self._call("PUT", name, data), _nothing)

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object's data."""
        return await run_store_call(
            self._pool, self._call("GET", name), _body_if_found, (200, 404)
        )

    async def delete(self, name: str) -> Result[None, StoreError]:
        """Delete an object."""
        return await run_store_call(self._pool, self._call("DELETE", name), _nothing)

    def _call(self, method: str, name: str, data: bytes = b"") -> HttpCall:
        # All three methods are repeatable: objects are immutable, so a repeated
        # put writes the same data.
        return HttpCall(
            self._address,
            method,
            f"/v1/objects/{quote(name, safe='')}",
            data,
            self._timeout_ms,
            repeatable=True,
            content_type="application/octet-stream",
        )
