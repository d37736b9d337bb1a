"""What became of a transaction whose outcome is unknown. Pure.

Every transaction of a shard's owner, renewals included, writes the ``commit/`` row
and is conditional on its version, so that row tells whether it was applied.
"""

from collections.abc import Mapping
from enum import Enum

import msgspec

from basilhold.core import ZoneName
from basilhold.ports import ABSENT, Condition, Row
from basilhold.sharding.rows import CommitRecord, commit_key, decode, shard_key

__all__ = ["SentCommit", "Verdict", "commit_conditions", "judge"]


class Verdict(Enum):
    """Outcome of a transaction, and what its sender does next.

    ``RESEND`` sends the identical transaction again. ``REBUILD`` is certain that it
    was not and never will be applied, as a row it depends on has changed.
    """

    APPLIED = "applied"
    RESEND = "resend"
    REBUILD = "rebuild"
    LOST = "lost"


class SentCommit(msgspec.Struct, frozen=True):
    """What is needed to find out what became of a transaction."""

    zone: ZoneName
    transaction_id: str
    conditions: tuple[Condition, ...]


def commit_conditions(
    zone: ZoneName, shard_version: int, commit_version: int
) -> tuple[Condition, ...]:
    """Return the conditions that every transaction of an owner carries."""
    return (
        Condition(shard_key(zone), shard_version),
        Condition(commit_key(zone), commit_version),
    )


def judge(sent: SentCommit, rows: Mapping[str, Row]) -> Verdict:
    """Return what became of a transaction.

    Parameters
    ----------
    sent : SentCommit
    rows : mapping of str to Row
        All rows named in the transaction's conditions, read at one time after the
        transaction was sent.
    """
    commit_row = rows.get(commit_key(sent.zone))
    if commit_row is not None:
        record = decode(commit_row.value, CommitRecord)
        if record.transaction_id == sent.transaction_id:
            return Verdict.APPLIED
    changed = {
        condition.key
        for condition in sent.conditions
        if _version(rows, condition.key) != condition.version
    }
    if shard_key(sent.zone) in changed or commit_key(sent.zone) in changed:
        return Verdict.LOST
    return Verdict.REBUILD if changed else Verdict.RESEND


def _version(rows: Mapping[str, Row], key: str) -> int:
    row = rows.get(key)
    return row.version if row is not None else ABSENT
