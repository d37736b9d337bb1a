"""HTTP adapter of the VM list."""

from expression import Result

from basilhold.adapters.http import HttpAddress, HttpCall, HttpPool, HttpReply
from basilhold.adapters.store import run_store_call
from basilhold.core import decode_json
from basilhold.ports import StoreError, VmList, VmSnapshot

__all__ = ["HttpVmList"]


def _decode(reply: HttpReply) -> VmSnapshot:
    return decode_json(reply.body, VmSnapshot)


class HttpVmList(VmList):
    """VM list over HTTP.

    Parameters
    ----------
    pool : HttpPool
    address : HttpAddress
    timeout_ms : int
        Bound of one read, in milliseconds.
    """

    def __init__(self, pool: HttpPool, address: HttpAddress, timeout_ms: int = 2_000):
        self._pool = pool
        self._address = address
        self._timeout_ms = timeout_ms

    async def read(self) -> Result[VmSnapshot, StoreError]:
        """Return the list as the platform sees it now."""
        call = HttpCall(
            self._address,
            "GET",
            "/v1/vms",
            timeout_ms=self._timeout_ms,
            repeatable=True,
        )
        return await run_store_call(self._pool, call, _decode)
