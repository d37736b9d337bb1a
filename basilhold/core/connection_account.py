"""Decisions about what the clients of a process's servers may hold.

The account covers connections, request heads, unfinished bodies, complete requests that
are being handled, and replies that have not been read. Nothing here performs I/O: the
servers report what happens with the time, and carry out what is decided.
"""

import math
from collections import OrderedDict
from enum import Enum

import msgspec

__all__ = [
    "ConnectionAccount",
    "ConnectionEnd",
    "Holding",
    "Phase",
    "ServerLimits",
    "WorkBudget",
]

CONNECTION_BYTES = 6_144
"""Memory of a connection's transport, parser and objects."""

STALL_MS = 250.0
"""A client that sends or reads nothing for this long makes no progress. The longest
round trip is 60 ms."""

SLOW_BYTES_PER_MS = 4.0
SLOW_AFTER_MS = 1_000.0
"""A body that has grown by less than this since its head counts as making no progress
while the account is full. The slowest link, 5 Mbit/s, carries 150 times as much."""

SLOW_SCAN_INTERVAL_MS = 100.0
"""Slow bodies are searched for at most this often while there are too few of them, as
all connections are visited."""

REPLACEABLE_AFTER_MS = 100.0
"""A connection is not replaced by a new one for this long, so that a request which is
under way is read, and a refusal reaches its client. The longest round trip is 60 ms."""

SURPLUS_RATIO = 0.1
"""Part of a server's connections on which no request is handled, so that requests
beyond those are answered, too."""

CLOSING_MS = 1_000.0
"""Time for a client to read the last reply and close its side."""


class Phase(Enum):
    """What a connection waits for.

    `IDLE`: the next request. `HEAD`, `BODY`: the rest of a request. `HANDLING`: the
    process. `REPLY`: the client, which has not read its reply. `CLOSING`: the client,
    which has to close after its last reply.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    REPLY = "reply"
    CLOSING = "closing"


class ConnectionEnd(Enum):
    """Why a server ends a connection, or refuses a request."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    REQUESTS = "requests"
    HEAD_TIMEOUT = "head-timeout"
    BODY_TIMEOUT = "body-timeout"
    IDLE = "idle"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    HEAD_DECISION = "head-decision"


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of one server.

    Parameters
    ----------
    connections : int
        Most open connections.
    body_bytes_max, header_bytes_max : int
        Longest body, and longest head of a request, in bytes.
    header_timeout_ms : float
        Time for a head from its first byte to its end, in milliseconds.
    body_timeout_ms : float
        Time for a body from the end of its head, in milliseconds. It also bounds the
        wait of a body in small pieces for its turn, during which nobody notices that
        its client has gone.
    idle_timeout_ms : float
        Time without any progress after which a connection is closed, in milliseconds.
    keep_alive_ms : float
        The same for connections on which a request has been answered and no other has
        begun.
    memory_ratio : float
        Part of the account's limit up to which requests to this server may fill it,
        beside what is reserved for other servers.
    small_memory_ratio : float
        The same for connections and small requests.
    reserved_ratio : float
        Part of the account's limit that only this server may fill.
    small_bytes : int
        Memory up to which a request is small, without that of its connection, in bytes.
    receive_bytes : int
        Bytes that the kernel keeps for a connection until they are read; 0 for the
        system's choice, which grows to megabytes. Each connection holds as much, as it
        may arrive at any time.
    unsent_bytes : int
        Bytes of replies that the kernel keeps for a client beyond what it has room for;
        0 for the system's choice, which may be megabytes. A busy process sends no more
        than this in a turn of its event loop, so it suits servers with short replies.
    """

    connections: int = 1_000
    body_bytes_max: int = 1 << 18
    header_bytes_max: int = 16_384
    header_timeout_ms: float = 3_000.0
    body_timeout_ms: float = 30_000.0
    idle_timeout_ms: float = 15_000.0
    keep_alive_ms: float = 60_000.0
    memory_ratio: float = 0.65
    small_memory_ratio: float = 0.8
    reserved_ratio: float = 0.0
    small_bytes: int = 64 << 10
    receive_bytes: int = 0
    unsent_bytes: int = 0

    @property
    def connection_bytes(self) -> int:
        """Memory of an open connection without a request."""
        return CONNECTION_BYTES + self.receive_bytes

    @property
    def handled_requests(self) -> int:
        """Most requests that are handled at a time."""
        return max(1, self.connections - math.ceil(SURPLUS_RATIO * self.connections))


class Holding:
    """What one connection holds.

    Attributes
    ----------
    connection : object
        The server's object, which the account does not use.
    phase : Phase
    held_bytes : int
    began_ms, progress_ms : float
        When the phase began, and when the connection last made progress.
    received_bytes : int
        Bytes of the body that have arrived.
    has_served : bool
        Whether a request has been handled.
    is_open : bool
        Whether the connection counts against the limit of its server.
    """

    __slots__ = (
        "began_ms",
        "connection",
        "has_served",
        "held_bytes",
        "is_open",
        "phase",
        "progress_ms",
        "received_bytes",
        "server",
    )

    def __init__(self, server: str, connection: object, now_ms: float):
        self.server = server
        self.connection = connection
        self.phase = Phase.IDLE
        self.held_bytes = 0
        self.began_ms = now_ms
        self.progress_ms = now_ms
        self.received_bytes = 0
        self.has_served = False
        self.is_open = True

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether the client has made no progress for a while."""
        return now_ms - self.progress_ms >= STALL_MS

    def is_slow(self, now_ms: float) -> bool:
        """Return whether the body arrives too slowly to be kept under overload."""
        age_ms = now_ms - self.began_ms
        return (
            self.phase in (Phase.HEAD, Phase.BODY)
            and age_ms >= SLOW_AFTER_MS
            and self.received_bytes < age_ms * SLOW_BYTES_PER_MS
        )


class ConnectionAccount:
    """Counts the connections of a process and the memory that they hold.

    Parameters
    ----------
    limit_bytes : int
        Most memory that all connections may hold.

    Attributes
    ----------
    limit_bytes : int
    held_bytes : int
        Memory that is held now, including that of requests whose clients are gone.

    Examples
    --------
    >>> account = ConnectionAccount(1 << 20)
    >>> account.add_server("callers", ServerLimits(connections=1))
    >>> first, victims = account.open("callers", "first", 0.0)
    >>> victims
    []
    >>> second, victims = account.open("callers", "second", 500.0)
    >>> [victim.connection for victim in victims]
    ['first']
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._limits: dict[str, ServerLimits] = {}
        # Connections that wait for their clients, the longest without progress first.
        self._waiting: dict[str, OrderedDict[Holding, None]] = {}
        self._open_count: dict[str, int] = {}
        self._server_bytes: dict[str, int] = {}
        self._slow_scan_ms = -SLOW_SCAN_INTERVAL_MS

    def add_server(self, server: str, limits: ServerLimits) -> None:
        """Add a server under its name."""
        self._limits[server] = limits
        self._waiting[server] = OrderedDict()
        self._open_count[server] = 0
        self._server_bytes[server] = 0

    def open_count(self, server: str) -> int:
        """Return the number of a server's open connections."""
        return self._open_count[server]

    def open_counts(self) -> dict[str, int]:
        """Return the number of open connections by server."""
        return dict(self._open_count)

    def open(
        self, server: str, connection: object, now_ms: float
    ) -> tuple[Holding | None, list[Holding]]:
        """Admit a new connection.

        Returns
        -------
        tuple of (Holding or None, list of Holding)
            ``None`` if the connection has to be refused; and the connections to close.
        """
        victims = []
        if self._open_count[server] >= self._limits[server].connections:
            replaced = self._find_replaced(server, now_ms)
            if replaced is None:
                return None, []
            self.close(replaced)
            victims.append(replaced)
        holding = Holding(server, connection, now_ms)
        self._open_count[server] += 1
        self._waiting[server][holding] = None
        closed = self.resize(holding, self._limits[server].connection_bytes, now_ms)
        if closed is None:
            self.close(holding)
            return None, victims
        return holding, victims + closed

    def can_open(self, server: str, now_ms: float) -> bool:
        """Return whether a new connection would be admitted now."""
        limits = self._limits[server]
        if self._open_count[server] >= limits.connections:
            return self._find_replaced(server, now_ms) is not None
        new = Holding(server, None, now_ms)
        return self.admits(new, limits.connection_bytes, now_ms)

    def _find_replaced(self, server: str, now_ms: float) -> Holding | None:
        """Return the connection that is closed for a new one.

        It is the one without progress for longest, or else the one that waits for
        longest in spite of its progress. A new connection is kept for as long as its
        request may be under way, and a refusal until its client may have read it.
        """
        waiting = self._waiting[server]
        longest_idle = next(iter(waiting), None)
        if longest_idle is None:
            return None
        if now_ms - longest_idle.progress_ms >= REPLACEABLE_AFTER_MS:
            return longest_idle
        oldest = min(waiting, key=lambda holding: holding.began_ms)
        return oldest if now_ms - oldest.began_ms >= REPLACEABLE_AFTER_MS else None

    def can_handle(self, server: str) -> bool:
        """Return whether one more request may be handled."""
        handled = self._open_count[server] - len(self._waiting[server])
        return handled < self._limits[server].handled_requests

    def resize(
        self, holding: Holding, held_bytes: int, now_ms: float
    ) -> list[Holding] | None:
        """Change what a connection holds.

        Returns
        -------
        list of Holding or None
            Connections to close, which hold nothing any more; ``None`` if there is no
            capacity, in which case nothing has changed.
        """
        growth = held_bytes - holding.held_bytes
        if growth <= 0:
            self._set_bytes(holding, held_bytes)
            return []
        excess = self._excess_bytes(holding, held_bytes)
        victims: list[Holding] = []
        if excess > 0:
            found = self._find_victims(holding, excess, now_ms)
            if found is None:
                return None
            victims = found
        for victim in victims:
            self.close(victim)
        self._set_bytes(holding, held_bytes)
        return victims

    def admits(self, holding: Holding, held_bytes: int, now_ms: float) -> bool:
        """Return whether a connection could hold that much now; changes nothing."""
        excess = self._excess_bytes(holding, held_bytes)
        return excess <= 0 or self._find_victims(holding, excess, now_ms) is not None

    def _excess_bytes(self, holding: Holding, held_bytes: int) -> int:
        """Return what others have to release before a connection holds that much."""
        limits = self._limits[holding.server]
        is_small = held_bytes <= limits.connection_bytes + limits.small_bytes
        ratio = limits.small_memory_ratio if is_small else limits.memory_ratio
        growth = max(0, held_bytes - holding.held_bytes)
        for server in self._limits:
            if server != holding.server:
                growth += max(0, -self._above_reserve_bytes(server))
        return self.held_bytes + growth - int(ratio * self.limit_bytes)

    def _above_reserve_bytes(self, server: str) -> int:
        """Return what a server holds beyond its reserve; negative if it is not used."""
        reserve_bytes = int(self._limits[server].reserved_ratio * self.limit_bytes)
        return self._server_bytes[server] - reserve_bytes

    def _find_victims(
        self, holding: Holding, excess: int, now_ms: float
    ) -> list[Holding] | None:
        """Return connections without progress that hold at least `excess` bytes.

        Connections of a server with a larger part of the account are kept, and what
        other servers hold of their reserves is left to them.
        """
        search = _VictimSearch(holding, excess)
        servers = self._find_lower_servers(holding.server)
        for server, spare_bytes in servers.items():
            search.begin(spare_bytes)
            for candidate in self._waiting[server]:
                if not candidate.is_stalled(now_ms) or search.is_over:
                    break
                search.consider(candidate)
        if search.is_complete:
            return search.victims
        if now_ms - self._slow_scan_ms < SLOW_SCAN_INTERVAL_MS:
            return None
        chosen = set(search.victims)
        for server, spare_bytes in servers.items():
            freed_bytes = sum(v.held_bytes for v in chosen if v.server == server)
            search.begin(spare_bytes - freed_bytes)
            for candidate in self._waiting[server]:
                if search.is_over:
                    break
                if candidate not in chosen and candidate.is_slow(now_ms):
                    search.consider(candidate)
        if search.is_complete:
            return search.victims
        self._slow_scan_ms = now_ms
        return None

    def _find_lower_servers(self, asking: str) -> dict[str, float]:
        """Return how much a server may take from each server, itself included."""
        ratio = self._limits[asking].memory_ratio
        return {
            server: math.inf if server == asking else self._above_reserve_bytes(server)
            for server, limits in self._limits.items()
            if limits.memory_ratio <= ratio
        }

    def set_phase(self, holding: Holding, phase: Phase, now_ms: float) -> None:
        """Note what a connection waits for from now on."""
        holding.phase = phase
        holding.began_ms = now_ms
        holding.received_bytes = 0
        holding.progress_ms = now_ms
        holding.has_served = holding.has_served or phase is Phase.HANDLING
        if not holding.is_open:
            return
        waiting = self._waiting[holding.server]
        waiting.pop(holding, None)
        if phase is not Phase.HANDLING:
            waiting[holding] = None

    def note_progress(
        self, holding: Holding, received_bytes: int, now_ms: float
    ) -> None:
        """Note that a client has sent bytes of a request or read a part of a reply."""
        holding.progress_ms = now_ms
        holding.received_bytes += received_bytes
        waiting = self._waiting[holding.server]
        if holding in waiting:
            waiting.move_to_end(holding)

    def close(self, holding: Holding) -> None:
        """Note that a connection is closed; a request being handled still holds."""
        if holding.is_open:
            holding.is_open = False
            self._open_count[holding.server] -= 1
            self._waiting[holding.server].pop(holding, None)
        if holding.phase is not Phase.HANDLING:
            self._set_bytes(holding, 0)

    def release(self, holding: Holding) -> None:
        """Note that a request has been handled whose connection is closed."""
        self._set_bytes(holding, 0)

    def find_in_phase(self, server: str, phase: Phase) -> list[Holding]:
        """Return the connections of a server that wait in a phase."""
        return [h for h in self._waiting[server] if h.phase is phase]

    def find_overdue(
        self, server: str, now_ms: float
    ) -> list[tuple[Holding, ConnectionEnd]]:
        """Return the connections of a server whose time is over, and why."""
        limits = self._limits[server]
        overdue = []
        for holding in self._waiting[server]:
            idle_ms = now_ms - holding.progress_ms
            age_ms = now_ms - holding.began_ms
            is_kept = holding.phase is Phase.IDLE and holding.has_served
            timeout_ms = limits.keep_alive_ms if is_kept else limits.idle_timeout_ms
            if holding.phase is Phase.HEAD and age_ms >= limits.header_timeout_ms:
                overdue.append((holding, ConnectionEnd.HEAD_TIMEOUT))
            elif holding.phase is Phase.BODY and age_ms >= limits.body_timeout_ms:
                overdue.append((holding, ConnectionEnd.BODY_TIMEOUT))
            elif idle_ms >= timeout_ms or (
                holding.phase is Phase.CLOSING and age_ms >= CLOSING_MS
            ):
                overdue.append((holding, ConnectionEnd.IDLE))
        return overdue

    def _set_bytes(self, holding: Holding, held_bytes: int) -> None:
        growth = held_bytes - holding.held_bytes
        self.held_bytes += growth
        self._server_bytes[holding.server] += growth
        holding.held_bytes = held_bytes


class _VictimSearch:
    """Connections chosen to be closed until they release enough for another one."""

    def __init__(self, holding: Holding, excess: int):
        self.victims: list[Holding] = []
        self._holding = holding
        self._excess: float = excess
        self._spare_bytes = math.inf

    def begin(self, spare_bytes: float) -> None:
        """Go on with a server that gives up so much at most."""
        self._spare_bytes = spare_bytes

    @property
    def is_complete(self) -> bool:
        """Whether the victims release enough."""
        return self._excess <= 0

    @property
    def is_over(self) -> bool:
        """Whether no further victim of this server is of use."""
        return self.is_complete or self._spare_bytes <= 0

    def consider(self, candidate: Holding) -> None:
        """Choose a connection unless it is the one that asks."""
        if candidate is not self._holding:
            self.victims.append(candidate)
            self._excess -= min(candidate.held_bytes, self._spare_bytes)
            self._spare_bytes -= candidate.held_bytes


class WorkBudget:
    """Bounds the parsing of small pieces, such as chunks and header lines of few bytes.

    Each piece costs about the same processor time, however small it is. Requests of up
    to `free_pieces` pieces never wait.

    Parameters
    ----------
    pieces_per_s : float
        Pieces of all connections that are parsed in a second.
    free_pieces : int
        Pieces of one request that are parsed without waiting.

    Examples
    --------
    >>> budget = WorkBudget(1_000.0)
    >>> budget.charge(5_000, 0.0)
    >>> budget.available(0.0), budget.available(5_000.0)
    (-4900.0, 100.0)
    """

    BURST_MS = 100.0

    def __init__(self, pieces_per_s: float, free_pieces: int = 256):
        self.free_pieces = free_pieces
        self._pieces_per_ms = pieces_per_s / 1_000
        self._available = self._pieces_per_ms * self.BURST_MS
        self._updated_ms: float | None = None

    def charge(self, pieces: int, now_ms: float) -> None:
        """Take parsed pieces off the budget, which may fall below zero."""
        self._update(now_ms)
        self._available -= pieces

    def available(self, now_ms: float) -> float:
        """Return how many pieces may be parsed now."""
        self._update(now_ms)
        return self._available

    def _update(self, now_ms: float) -> None:
        if self._updated_ms is not None:
            passed_ms = max(0.0, now_ms - self._updated_ms)
            self._available = min(
                self._pieces_per_ms * self.BURST_MS,
                self._available + self._pieces_per_ms * passed_ms,
            )
        self._updated_ms = now_ms
