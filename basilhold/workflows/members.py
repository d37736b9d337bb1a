"""The processes of a deployment, as their rows in the store show them.

Owners know all processes, to spread questions over their machines. The others know a
few, to reach the store through them; if all knew all, the bytes read would grow with
the square of their number.
"""

import msgspec

from basilhold.core import Clock, ProcessId
from basilhold.observability import log_event
from basilhold.ports import Row, TableService, Transaction, Write
from basilhold.workflows import events
from basilhold.workflows.peers import Member
from basilhold.workflows.recovery import scan_once
from basilhold.workflows.shared_time import SharedTime

__all__ = ["MemberList"]

RENEW_MS = 8_000.0
RENEW_MS_EACH = 10.0
"""A row is renewed each 8 s, or less often where there are many: at most 100 rows are
written a second."""

LAPSE_RENEWALS = 3.1
"""A member that did not renew its row for three intervals is taken as gone."""

SAMPLE = 16
"""Members that a process knows that owns nothing."""

READ_ALL_MS = 3_000.0
READ_SAMPLE_MS = 15_000.0
_PREFIX = "members/all/"


class MemberList:
    """Reads the rows of other processes and renews the own one.

    Parameters
    ----------
    table : TableService
    clock : Clock
    member : Member
        This process.
    time : SharedTime
        Learns the differences of Unix time that the processes see.
    """

    def __init__(
        self, table: TableService, clock: Clock, member: Member, time: SharedTime
    ):
        self._table = table
        self._time = time
        self._clock = clock
        self._member = member
        self._seen: dict[ProcessId, tuple[Member, float]] = {}
        self._renewed_ms = -1e9
        self._read_ms = -1e9
        self._has_all = False
        self.published_count = 0

    @property
    def count(self) -> int:
        """How many processes there are, as far as this one knows."""
        known = len(self.alive())
        return known if self._has_all else max(known, self.published_count)

    def alive(self) -> list[Member]:
        """Return the processes that are known to be alive, this one first."""
        now_ms = self._clock.monotonic_ms()
        lapse_ms = LAPSE_RENEWALS * self._renew_interval_ms(len(self._seen))
        others = [
            member
            for member, seen_ms in self._seen.values()
            if now_ms - seen_ms < lapse_ms
            and member.process_id != self._member.process_id
        ]
        return [self._member, *others]

    async def refresh(self, everybody: bool) -> None:
        """Renew the own row and read the others', each when it is due.

        Parameters
        ----------
        everybody : bool
            Whether this process needs to know all others.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._renewed_ms >= self._renew_interval_ms(self.count):
            await self._renew(now_ms)
        # Machines that start together do not find each other's rows at once.
        few = len(self._seen) < SAMPLE
        interval_ms = READ_ALL_MS if everybody or few else READ_SAMPLE_MS
        due = now_ms - self._read_ms >= interval_ms
        if due or (everybody and not self._has_all):
            await (self._read_all() if everybody else self._read_sample())

    def _renew_interval_ms(self, count: int) -> float:
        return max(RENEW_MS, RENEW_MS_EACH * count)

    async def _renew(self, now_ms: float) -> None:
        offset_ms = self._time.own_unix_offset_ms() if self._time.is_known else None
        member = msgspec.structs.replace(
            self._member, beat=int(now_ms), unix_offset_ms=offset_ms
        )
        key = f"{_PREFIX}{member.process_id}"
        write = Write(key, msgspec.json.encode(member))
        if (await self._table.transact(Transaction((), (write,)))).is_ok():
            self._renewed_ms = now_ms

    async def _read_all(self) -> None:
        scanned = await scan_once(self._table, _PREFIX)
        if scanned.is_error():
            # The next look at the owners reads again.
            return
        self._take(scanned.ok[0])
        self._has_all = True

    async def _read_sample(self) -> None:
        """Read the rows that follow the own one, in a circle."""
        own_key = f"{_PREFIX}{self._member.process_id}"
        page = await self._table.scan(_PREFIX, own_key, SAMPLE)
        if page.is_error():
            return
        rows = list(page.ok.rows)
        if len(rows) < SAMPLE:
            page = await self._table.scan(_PREFIX, "", SAMPLE - len(rows))
            if page.is_error():
                return
            rows.extend(page.ok.rows)
        self._take(rows)
        self._has_all = False

    def _take(self, rows: list[Row]) -> None:
        now_ms = self._clock.monotonic_ms()
        self._read_ms = now_ms
        seen: dict[ProcessId, tuple[Member, float]] = {}
        for row in rows:
            try:
                member = msgspec.json.decode(row.value, type=Member)
            except msgspec.DecodeError as error:
                log_event(events.BAD_ROW, key=row.key, reason=error)
                continue
            known, seen_ms = self._seen.get(member.process_id, (None, now_ms))
            unchanged = known is not None and known.beat == member.beat
            seen[member.process_id] = (member, seen_ms if unchanged else now_ms)
        self._seen = seen
        self._compare_clocks()

    def _compare_clocks(self) -> None:
        offsets = [
            member.unix_offset_ms
            for member in self.alive()[1:]
            if member.unix_offset_ms is not None
        ]
        self._time.set_unix_offsets([self._time.own_unix_offset_ms(), *offsets])
