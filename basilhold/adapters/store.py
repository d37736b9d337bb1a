"""What the adapters of the table service, objects and VM list have in common."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from basilhold.adapters.http import HttpCall, HttpFailure, HttpPool, HttpReply
from basilhold.core import decode_json
from basilhold.ports import StoreError, StoreErrorKind

__all__ = ["STATUS_BY_KIND", "run_store_call"]

T = TypeVar("T")

STATUS_BY_KIND = {
    StoreErrorKind.INVALID: 400,
    StoreErrorKind.CONFLICT: 409,
    StoreErrorKind.NOT_APPLIED: 503,
}
"""Status of each error that the service itself reports."""


async def run_store_call(
    pool: HttpPool,
    call: HttpCall,
    decode: Callable[[HttpReply], T],
    accepted: tuple[int, ...] = (200, 204),
) -> Result[T, StoreError]:
    """Run a call and map every way in which it can fail to a `StoreError`.

    Parameters
    ----------
    pool : HttpPool
    call : HttpCall
    decode : callable
        Reads a reply; raises ``msgspec.DecodeError`` if the reply is malformed.
    accepted : tuple of int
        Statuses of the replies that `decode` reads; others are errors.
    """
    result = await pool.run(call)
    if result.is_error():
        return Error(_failure(result.error))
    reply = result.ok
    if reply.status not in accepted:
        return Error(_refusal(reply))
    try:
        return Ok(decode(reply))
    except msgspec.DecodeError as error:
        return Error(StoreError(StoreErrorKind.UNKNOWN, f"malformed reply: {error}"))


def _failure(failure: HttpFailure) -> StoreError:
    kind = StoreErrorKind.UNKNOWN if failure.sent else StoreErrorKind.NOT_APPLIED
    return StoreError(kind, failure.reason)


def _refusal(reply: HttpReply) -> StoreError:
    """Read an error reply.

    Only a body that the service itself wrote is certain. A proxy in front of it may
    answer 503 after it has forwarded the request, so that outcome is unknown.
    """
    try:
        error = decode_json(reply.body, StoreError)
    except msgspec.DecodeError:
        error = None
    if error is None or STATUS_BY_KIND.get(error.kind) != reply.status:
        return StoreError(StoreErrorKind.UNKNOWN, f"status {reply.status}")
    return error
