"""Division of a process's file descriptors among the kinds of calls it makes."""

from enum import Enum

import msgspec

__all__ = [
    "CallKind",
    "DESCRIPTORS_DEFAULT",
    "ConnectionLimits",
    "ReceiveLimits",
    "incoming_connections",
]

DESCRIPTORS_DEFAULT = 4_100
"""Descriptors of a machine whose settings do not name a number."""

DESCRIPTORS_RESERVED = 200
"""Descriptors for files, listening sockets and name resolution."""

OUTGOING_SHARE = 0.75
"""Share of the other descriptors for connections that this process opens. The rest is
for those of callers, peers and probes."""

COMMANDS_SHARE = 0.2
STORE_SHARE = 0.12
PEERS_SHARE = 0.12
"""Shares of the outgoing connections. Starts come in bursts, one per commit; calls to
the store and to peers return within a second. Polls get what is left."""

ADVICE_CONNECTIONS = 32
"""The advice service handles one query of each machine at a time."""

WAITING_SHARE = 0.75
"""Share of the poll connections for polls that wait. Acknowledgements, first polls, the
polls of silent workers and those of workers that take turns use the rest."""

UNANSWERED_SHARE = 0.6
"""Share of that rest for polls of silent workers. Each of them holds a connection until
its timeout."""

UNANSWERED_MAX = 200
"""Most polls of silent workers at a time on any machine. A deployment of 176 workers
that are all silent needs no more."""

MINIMUM = 8
"""Least number of connections of a kind, whatever the settings say."""

POLLS_WANTED = 500
"""Poll connections below which a process counts as short of descriptors. The smallest
machines that are in service have 1,638 descriptors, which leave 573."""

RECEIVED_MEMORY_RATIO = 0.2
"""Most of the machine's memory that replies which are not read yet may take."""

STORE_RECEIVE_BYTES = 131_072
PEERS_RECEIVE_BYTES = 65_536
POLLS_RECEIVE_BYTES = 32_768
COMMANDS_RECEIVE_BYTES = 8_192
ADVICE_RECEIVE_BYTES = 16_384
"""Bytes of replies that the kernel keeps for a connection. The store and peers send up
to 1 MB; half of this for each round trip of 60 ms is what the link between regions
carries. Replies of workers have up to 40 KB, and those to starts less than 1 KB."""

RECEIVE_BYTES_MIN = 2_304
"""Least bytes for a connection, below which Linux does not go."""

INCOMING_MIN = 16
"""Least number of incoming connections, whatever the settings say."""


def incoming_connections(descriptors: int) -> int:
    """Return how many connections of callers, peers and probes a process may accept.

    Examples
    --------
    >>> incoming_connections(1_638)
    359
    """
    share = 1.0 - OUTGOING_SHARE
    return max(INCOMING_MIN, int(share * (descriptors - DESCRIPTORS_RESERVED)))


class CallKind(Enum):
    """Kind of the calls that share a pool of connections."""

    COMMANDS = "commands"
    POLLS = "polls"
    STORE = "store"
    PEERS = "peers"
    ADVICE = "advice"


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Most open connections of each kind.

    Parameters
    ----------
    polls : int
        To workers, for polls.
    waiting_polls : int
        Most of the polls that may wait at their workers at a time.
    unanswered_polls : int
        Most of the polls of silent workers at a time.
    commands : int
        To workers, for starts, stops and changes of pace.
    store, peers, advice : int
    """

    polls: int
    waiting_polls: int
    unanswered_polls: int
    commands: int
    store: int
    peers: int
    advice: int

    @classmethod
    def for_descriptors(cls, descriptors: int) -> "ConnectionLimits":
        """Return the limits for a number of descriptors of the process.

        Examples
        --------
        >>> limits = ConnectionLimits.for_descriptors(4_100)
        >>> limits.polls, limits.waiting_polls, limits.commands, limits.store
        (1606, 1204, 585, 351)
        """
        outgoing = int(OUTGOING_SHARE * max(0, descriptors - DESCRIPTORS_RESERVED))
        commands = max(MINIMUM, int(COMMANDS_SHARE * outgoing))
        store = max(MINIMUM, int(STORE_SHARE * outgoing))
        peers = max(MINIMUM, int(PEERS_SHARE * outgoing))
        advice = min(ADVICE_CONNECTIONS, max(MINIMUM, outgoing // 20))
        polls = max(MINIMUM, outgoing - commands - store - peers - advice)
        waiting = int(WAITING_SHARE * polls)
        unanswered = int(UNANSWERED_SHARE * (polls - waiting))
        unanswered = max(1, min(UNANSWERED_MAX, unanswered))
        return cls(polls, waiting, unanswered, commands, store, peers, advice)

    @property
    def total(self) -> int:
        """Most connections of all kinds together."""
        return self.polls + self.commands + self.store + self.peers + self.advice

    @property
    def is_short(self) -> bool:
        """Whether an owner on this machine would serve its workers more slowly."""
        return self.polls < POLLS_WANTED


class ReceiveLimits(msgspec.Struct, frozen=True):
    """Bytes of replies that the kernel keeps for each connection until they are read.

    Parameters
    ----------
    polls, commands, store, peers, advice : int
        By kind of connection, as in `ConnectionLimits`.
    """

    polls: int
    commands: int
    store: int
    peers: int
    advice: int

    @classmethod
    def for_memory(
        cls, connections: ConnectionLimits, memory_bytes: float
    ) -> "ReceiveLimits":
        """Return the limits for the memory of a machine.

        Examples
        --------
        >>> connections = ConnectionLimits.for_descriptors(1_638)
        >>> ReceiveLimits.for_memory(connections, 160 << 20).store
        94736
        >>> ReceiveLimits.for_memory(connections, 300 << 20).store
        131072
        """
        limits = cls(
            POLLS_RECEIVE_BYTES,
            COMMANDS_RECEIVE_BYTES,
            STORE_RECEIVE_BYTES,
            PEERS_RECEIVE_BYTES,
            ADVICE_RECEIVE_BYTES,
        )
        total = limits.total_bytes(connections)
        scale = min(1.0, RECEIVED_MEMORY_RATIO * memory_bytes / total)
        scaled = (
            max(RECEIVE_BYTES_MIN, int(scale * size))
            for size in msgspec.structs.astuple(limits)
        )
        return cls(*scaled)

    def total_bytes(self, connections: ConnectionLimits) -> int:
        """Return the most bytes for all connections together."""
        return (
            self.polls * connections.polls
            + self.commands * connections.commands
            + self.store * connections.store
            + self.peers * connections.peers
            + self.advice * connections.advice
        )
