"""Choice of the active relay of a region by compare-and-set on its row.

The row is written only when the reader changes. Its liveness shows on the streams of
the other relays of the region, so an idle region costs no store operations.
"""

import msgspec

from basilhold.core import ProcessId, RegionName
from basilhold.ports import ABSENT, Condition, Row, Transaction, Write

__all__ = ["ReaderLocation", "claim_reader", "decode_reader", "reader_key"]


class ReaderLocation(msgspec.Struct, frozen=True):
    """Value of a ``reader/<region>`` row.

    Parameters
    ----------
    region : RegionName
    process_id : ProcessId
    host : str
    port : int
    term : int
        Increases with each change of the reader.
    write_id : str
        Random id of the write, by which a relay recognises its claim after a lost
        reply.
    """

    region: RegionName
    process_id: ProcessId
    host: str
    port: int
    term: int
    write_id: str = ""


def reader_key(region: RegionName) -> str:
    """Return the key of a region's reader row."""
    return f"reader/{region}"


def decode_reader(row: Row | None) -> ReaderLocation | None:
    """Return the value of a reader row; None if there is none or it is unreadable."""
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=ReaderLocation)
    except msgspec.MsgspecError:
        return None


def claim_reader(claim: ReaderLocation, row: Row | None) -> Transaction:
    """Return the transaction that makes a relay the reader of its region.

    Parameters
    ----------
    claim : ReaderLocation
        Its term is replaced by the one after the row's term.
    row : Row or None
        The row as last read; the claim fails if it changed since.
    """
    known = decode_reader(row)
    version = row.version if row else ABSENT
    term = max(known.term if known else 0, version) + 1
    value = msgspec.json.encode(msgspec.structs.replace(claim, term=term))
    key = reader_key(claim.region)
    return Transaction((Condition(key, version),), (Write(key, value),))
