"""Election of the reader of a region by compare-and-set on a row of the store.

The reader is the active relay of the region. The row is written only when the reader
changes; the other relays of the region detect its failure on their streams from it, so
that an idle region needs no store operations.
"""

import msgspec

from basilhold.core import (
    ProcessId,
    RegionName,
    decode_json,
)
from basilhold.ports import ABSENT, Condition, Row, Transaction, Write

__all__ = ["ReaderLocation", "decode_reader", "make_reader_claim", "reader_key"]


class ReaderLocation(msgspec.Struct, frozen=True):
    """Value of a ``reader/<region>`` row: the address of the reader.

    Parameters
    ----------
    region : RegionName
    process_id : ProcessId
    host : str
    port : int
    term : int
        Number that increases with each change of the reader.
    write_id : str
        Random id of the write, by which a relay recognises its own claim if the
        reply to the write was lost.
    """

    region: RegionName
    process_id: ProcessId
    host: str
    port: int
    term: int
    write_id: str = ""


def reader_key(region: RegionName) -> str:
    """Return the key of the row that names the reader of a region."""
    return f"reader/{region}"


def decode_reader(row: Row | None) -> ReaderLocation | None:
    """Return the decoded row, or None if it is missing or cannot be decoded."""
    if row is None:
        return None
    try:
        return decode_json(row.value, ReaderLocation)
    except msgspec.MsgspecError:
        return None


def make_reader_claim(claim: ReaderLocation, row: Row | None) -> Transaction:
    """Return the transaction that makes a relay the reader of its region.

    Parameters
    ----------
    claim : ReaderLocation
        Location of the relay. Its term is ignored; the new term follows that of the
        row.
    row : Row or None
        The row as last read. The transaction fails if it has changed since.
    """
    known = decode_reader(row)
    version = row.version if row else ABSENT
    term = max(known.term if known else 0, version) + 1
    value = msgspec.json.encode(msgspec.structs.replace(claim, term=term))
    key = reader_key(claim.region)
    return Transaction((Condition(key, version),), (Write(key, value),))
