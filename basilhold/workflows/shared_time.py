"""Time shared by all processes of a deployment.

The system clock of a machine may jump by seconds, and processes compare times that
others have stored. Deadlines and ages are therefore kept in the time of the store's
monotonic clock, which its replies carry. Unix time, needed for work that is due at a
time of day, is the store's time plus the median of the offsets that the processes
measure, so that jumps of a minority of system clocks do not affect it.
"""

import statistics
from collections.abc import Iterable
from typing import NamedTuple

from basilhold.core import Clock

__all__ = ["Instant", "SharedTime"]

CLOCK_DRIFT_MAX = 0.01
"""Maximum relative drift between two monotonic clocks."""


class Instant(NamedTuple):
    """A point in time.

    Parameters
    ----------
    now_ms : float
        Store's time, in milliseconds.
    unix_offset_ms : float
        Unix time minus the store's time, in milliseconds.
    """

    now_ms: float
    unix_offset_ms: float = 0.0

    @property
    def unix_ms(self) -> float:
        """Unix time in milliseconds."""
        return self.now_ms + self.unix_offset_ms


class SharedTime:
    """Estimates the store's time from its replies.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._offset_low_ms = 0.0
        self._offset_high_ms = 0.0
        self._observed_ms: float | None = None
        self._unix_offset_ms: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether a reply with the store's time has been received."""
        return self._observed_ms is not None

    def local_ms(self) -> float:
        """Return the monotonic time of this process, in milliseconds."""
        return self._clock.monotonic_ms()

    def observe(self, store_ms: float, sent_ms: float, received_ms: float) -> None:
        """Update the estimate from a reply of the store.

        Parameters
        ----------
        store_ms : float
            Store's time in the reply, in milliseconds.
        sent_ms, received_ms : float
            Monotonic times of this process before and after the call, in milliseconds.
        """
        offset_low_ms, offset_high_ms = store_ms - received_ms, store_ms - sent_ms
        if self._observed_ms is not None:
            drift_ms = CLOCK_DRIFT_MAX * max(0.0, received_ms - self._observed_ms)
            known_offset_low_ms = self._offset_low_ms - drift_ms
            known_offset_high_ms = self._offset_high_ms + drift_ms
            # The monotonic clock does not advance while the machine is suspended. The
            # previous bounds may then contradict the reply and are discarded.
            if (
                known_offset_low_ms <= offset_high_ms
                and offset_low_ms <= known_offset_high_ms
            ):
                offset_low_ms = max(offset_low_ms, known_offset_low_ms)
                offset_high_ms = min(offset_high_ms, known_offset_high_ms)
        self._offset_low_ms, self._offset_high_ms = offset_low_ms, offset_high_ms
        self._observed_ms = received_ms

    def now_ms(self) -> float:
        """Return the estimated store's time, in milliseconds.

        Before the first reply, this is the monotonic time of this process.
        """
        return (
            self._clock.monotonic_ms()
            + (self._offset_low_ms + self._offset_high_ms) / 2
        )

    def own_unix_offset_ms(self) -> float:
        """Return this machine's Unix time minus the store's time, in milliseconds."""
        return self._clock.unix_ms() - self.now_ms()

    def set_unix_offsets(self, offsets_ms: Iterable[float]) -> None:
        """Set the offset of Unix time to the median of the processes' offsets.

        Parameters
        ----------
        offsets_ms : iterable of float
            Unix time minus the store's time on each process, in milliseconds.
        """
        self._unix_offset_ms = statistics.median(offsets_ms)

    def read(self) -> Instant:
        """Return the current time."""
        offset_ms = self._unix_offset_ms
        if offset_ms is None:
            offset_ms = self.own_unix_offset_ms()
        return Instant(self.now_ms(), offset_ms)
