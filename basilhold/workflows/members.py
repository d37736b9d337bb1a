"""Membership of a deployment, read from the rows that its processes keep in the store.

A process that owns a service reads all members, because it spreads advice queries
over their machines. The other processes read a small sample, through which they can
reach the store: if every process read every row, the bytes read would grow with the
square of the number of processes.
"""

import msgspec

from basilhold.core import (
    Clock,
    ProcessId,
    decode_json,
)
from basilhold.observability import log_event
from basilhold.ports import Row, TableService, Transaction, Write
from basilhold.workflows import events
from basilhold.workflows.peers import Member
from basilhold.workflows.recovery import scan_once
from basilhold.workflows.shared_time import SharedTime

__all__ = ["MemberList"]

RENEW_INTERVAL_MIN_MS = 8_000.0
RENEW_INTERVAL_PER_MEMBER_MS = 10.0
"""Each process renews its row every 8 s, or every 10 ms times the number of members if
that is longer, so that all of them together write at most 100 rows per second."""

RENEWAL_TIMEOUT_MS = 2_500
"""How long a slow store may take for a renewal: 1 s in the queue of the partition, and
0.7 s for the call."""

BUSY_PAUSE_MS = 1_000.0
"""Pause after a renewal that a full queue has rejected."""

EXPIRY_RENEWALS = 3.1
"""Renewal intervals after which a member whose row has not changed is considered dead;
it has then missed three renewals."""

SAMPLE_SIZE = 16
"""Number of other members that a process without a service reads."""

READ_ALL_INTERVAL_MS = 3_000.0
READ_SAMPLE_INTERVAL_MS = 15_000.0
_PREFIX = "members/all/"


class MemberList:
    """Renews this process's membership row and reads those of other processes.

    Parameters
    ----------
    table : TableService
        Store that holds the membership rows.
    clock : Clock
        Clock of this process.
    member : Member
        This process.
    time : SharedTime
        Receives the Unix time offsets that the members report.

    Attributes
    ----------
    published_count : int
        Number of members that the owners have published; used while this process
        has read only a sample of them.
    """

    def __init__(
        self, table: TableService, clock: Clock, member: Member, time: SharedTime
    ):
        self._table = table
        self._time = time
        self._clock = clock
        self._member = member
        self._seen: dict[ProcessId, tuple[Member, float]] = {}
        self._last_renewed_ms = -1e9
        self._renew_from_ms = -1e9
        self._last_read_ms = -1e9
        self._knows_all = False
        self.published_count = 0

    @property
    def count(self) -> int:
        """Estimated number of live processes, including this one."""
        known = len(self.alive())
        return known if self._knows_all else max(known, self.published_count)

    def alive(self) -> list[Member]:
        """Return the members whose rows have not expired, this process first."""
        now_ms = self._clock.monotonic_ms()
        expiry_ms = EXPIRY_RENEWALS * self._renew_interval_ms(len(self._seen))
        others = [
            member
            for member, seen_ms in self._seen.values()
            if now_ms - seen_ms < expiry_ms
            and member.process_id != self._member.process_id
        ]
        return [self._member, *others]

    async def refresh(self, all_members: bool) -> None:
        """Renew the own row and read other rows, each if its interval has passed.

        A failure of the store is ignored; the next call tries again.

        Parameters
        ----------
        all_members : bool
            Whether to read the rows of all members instead of a sample.
        """
        now_ms = self._clock.monotonic_ms()
        is_due = now_ms - self._last_renewed_ms >= self._renew_interval_ms(self.count)
        if is_due and now_ms >= self._renew_from_ms:
            await self._renew(now_ms)
        # Processes that start together have not all written their rows at the first
        # read, so the short interval applies until enough rows have been found.
        knows_few = len(self._seen) < SAMPLE_SIZE
        interval_ms = (
            READ_ALL_INTERVAL_MS
            if all_members or knows_few
            else READ_SAMPLE_INTERVAL_MS
        )
        is_due = now_ms - self._last_read_ms >= interval_ms
        if is_due or (all_members and not self._knows_all):
            await (self._read_all() if all_members else self._read_sample())

    def _renew_interval_ms(self, count: int) -> float:
        return max(RENEW_INTERVAL_MIN_MS, RENEW_INTERVAL_PER_MEMBER_MS * count)

    async def _renew(self, now_ms: float) -> None:
        offset_ms = self._time.own_unix_offset_ms() if self._time.is_known else None
        member = msgspec.structs.replace(
            self._member, beat=int(now_ms), unix_offset_ms=offset_ms
        )
        key = f"{_PREFIX}{member.process_id}"
        write = Write(key, msgspec.json.encode(member))
        transaction = Transaction((), (write,))
        result = await self._table.transact_within(transaction, RENEWAL_TIMEOUT_MS)
        if result.is_ok():
            self._last_renewed_ms = now_ms
        elif result.error.busy:
            self._renew_from_ms = self._clock.monotonic_ms() + BUSY_PAUSE_MS

    async def _read_all(self) -> None:
        scanned = await scan_once(self._table, _PREFIX)
        if scanned.is_error():
            # The next refresh reads again.
            return
        self._update_seen(scanned.ok[0])
        self._knows_all = True

    async def _read_sample(self) -> None:
        """Read the rows that follow the own key, wrapping around at the last key."""
        own_key = f"{_PREFIX}{self._member.process_id}"
        page = await self._table.scan(_PREFIX, own_key, SAMPLE_SIZE)
        if page.is_error():
            return
        rows = list(page.ok.rows)
        if len(rows) < SAMPLE_SIZE:
            page = await self._table.scan(_PREFIX, "", SAMPLE_SIZE - len(rows))
            if page.is_error():
                return
            rows.extend(page.ok.rows)
        self._update_seen(rows)
        self._knows_all = False

    def _update_seen(self, rows: list[Row]) -> None:
        now_ms = self._clock.monotonic_ms()
        self._last_read_ms = now_ms
        seen: dict[ProcessId, tuple[Member, float]] = {}
        for row in rows:
            try:
                member = decode_json(row.value, Member)
            except msgspec.DecodeError as error:
                log_event(events.BAD_ROW, key=row.key, reason=error)
                continue
            known, seen_ms = self._seen.get(member.process_id, (None, now_ms))
            unchanged = known is not None and known.beat == member.beat
            seen[member.process_id] = (member, seen_ms if unchanged else now_ms)
        self._seen = seen
        self._update_unix_offsets()

    def _update_unix_offsets(self) -> None:
        offsets = [
            member.unix_offset_ms
            for member in self.alive()[1:]
            if member.unix_offset_ms is not None
        ]
        self._time.set_unix_offsets([self._time.own_unix_offset_ms(), *offsets])
