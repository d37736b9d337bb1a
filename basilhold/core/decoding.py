"""JSON decoding that raises one exception for all input that cannot be read.

`msgspec` raises `RecursionError` for deeply nested input, also within fields that the
decoded type does not have. A handler of `msgspec.DecodeError` would let it pass.
"""

from typing import Annotated, Any, Generic, TypeVar

import msgspec

__all__ = ["Count", "JsonDecoder", "decode_json"]

T = TypeVar("T")

EXACT_INTEGER_MAX = 1 << 53
"""Integers up to this value are exact as floats, and fit into an encoded row."""

Count = Annotated[int, msgspec.Meta(ge=0, le=EXACT_INTEGER_MAX)]
"""Type of a non-negative integer in a message of another program."""


class JsonDecoder(Generic[T]):
    """Decoder of JSON messages of one type.

    Parameters
    ----------
    message_type : type
    """

    def __init__(self, message_type: Any):
        self._decoder = msgspec.json.Decoder(message_type)

    def decode(self, data: bytes | str | msgspec.Raw) -> T:
        """Decode a message.

        Raises
        ------
        msgspec.DecodeError
            If the message is not valid JSON, nested too deeply or not of the type.

        Examples
        --------
        >>> JsonDecoder(list[int]).decode(b"[1]")
        [1]
        >>> JsonDecoder(Any).decode(b"[" * 100_000)
        Traceback (most recent call last):
        msgspec.DecodeError: JSON is nested too deeply
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as error:
            raise msgspec.DecodeError("JSON is nested too deeply") from error


def decode_json(data: bytes | str | msgspec.Raw, message_type: Any = Any) -> Any:
    """Decode a JSON message of a type.

    Parameters
    ----------
    data : bytes, str or msgspec.Raw
    message_type : type

    Raises
    ------
    msgspec.DecodeError
        As `JsonDecoder.decode`.

    Examples
    --------
    >>> decode_json(b'{"a": 1}', dict[str, int])
    {'a': 1}
    """
    return JsonDecoder(message_type).decode(data)
