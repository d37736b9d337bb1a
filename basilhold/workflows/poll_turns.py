"""Bounds on the polls of workers that one process has open.

A poll that waits at its worker for the end of a run holds a connection for up to a
second. Where a process has more workers than connections for that, the workers take
turns: the others are polled without waiting, at intervals, which renews their leases.
The module performs no I/O.
"""

import asyncio
import random

__all__ = ["PollTurns"]

IDLE_WORKERS_SHARE = 0.8
"""Share of the waiting polls that workers without runs may hold. They have no ends to
wait for, but a start on one needs no extra poll while one is pending."""

BUSY_PAUSE_MS = 500.0
"""Time between two polls of a worker that may not wait for the ends of its runs. The
end of a run is noticed half of it later on average."""

IDLE_PAUSE_MS = 1_000.0
"""The same for a worker without runs."""

PAUSE_RATIOS = (0.5, 1.5)
"""Bounds of the ratio of a pause to these."""

FIRST_POLLS_MAX = 200
"""First polls at a time. Each one opens a connection. When an owner of 2,160 workers
opened all at once, the polls timed out before their replies were handled."""

UNANSWERED_MAX = 200
"""Polls of workers without a reply to the last one at a time, by default. They usually
last until their timeout."""


class PollTurns:
    """Decides which polls may wait at their workers, for all owners of a process.

    Parameters
    ----------
    waiting_max : int, optional
        Most polls that wait at a time; no limit by default.
    unanswered_max : int
        Most polls at a time of workers that did not reply to the last one.

    Attributes
    ----------
    waiting : int
        Number of polls that wait now.
    refused : int
        Number of polls that were not allowed to wait so far.
    first_polls, retries : asyncio.Semaphore
        To be held by the first poll of a worker, and by one after a failed poll.
    """

    def __init__(
        self, waiting_max: int | None = None, unanswered_max: int = UNANSWERED_MAX
    ):
        self._waiting_max = waiting_max
        self._rng = random.Random(0)
        self._passed_over = 0
        self.waiting = 0
        self.refused = 0
        self.first_polls = asyncio.Semaphore(FIRST_POLLS_MAX)
        self.retries = asyncio.Semaphore(unanswered_max)

    def take(self, is_busy: bool, had_turn: bool) -> bool:
        """Return whether a poll may wait; `give_back` has to be called after it.

        Parameters
        ----------
        is_busy : bool
            Whether the worker has runs.
        had_turn : bool
            Whether the worker's last poll was allowed to wait. It then yields to one
            that was refused since.

        Examples
        --------
        >>> turns = PollTurns(1)
        >>> turns.take(is_busy=True, had_turn=False)
        True
        >>> turns.take(is_busy=True, had_turn=False)
        False
        >>> turns.give_back()
        >>> turns.take(is_busy=True, had_turn=True)
        False
        >>> turns.take(is_busy=True, had_turn=False)
        True
        """
        if self._waiting_max is None:
            self.waiting += 1
            return True
        limit = self._waiting_max
        if not is_busy:
            limit = int(IDLE_WORKERS_SHARE * limit)
        if had_turn and self._passed_over:
            self._passed_over -= 1
        elif self.waiting < limit:
            self.waiting += 1
            return True
        else:
            # At most one poll has to yield for each that may wait.
            self._passed_over += is_busy and self._passed_over < limit
        self.refused += 1
        return False

    def give_back(self) -> None:
        """End a poll that was allowed to wait."""
        self.waiting -= 1

    def pause_ms(self, is_busy: bool) -> float:
        """Return the pause after a poll that was not allowed to wait.

        In milliseconds. It varies, as a worker whose polls always came just after those
        of others would be refused each time.
        """
        pause_ms = BUSY_PAUSE_MS if is_busy else IDLE_PAUSE_MS
        return pause_ms * self._rng.uniform(*PAUSE_RATIOS)
