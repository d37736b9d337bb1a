"""Time on which all processes of a deployment agree.

Machines' time of day may jump by seconds, and processes compare times that others have
stored. Deadlines and ages are therefore kept in the time of the store's steady clock,
which its replies show. Unix time, for work that is due at a time of day, is the store's
time plus the median of the differences that the processes see; the jump of a minority
does not move it.
"""

import statistics
from collections.abc import Iterable
from typing import NamedTuple

from basilhold.core import Clock

__all__ = ["Instant", "SharedTime"]

CLOCK_DRIFT = 0.01
"""Two steady clocks differ by less than this share of the time that has passed."""


class Instant(NamedTuple):
    """A moment.

    Parameters
    ----------
    now_ms : float
        Time of the store's clock, in milliseconds.
    unix_offset_ms : float
        Unix time minus the store's, in milliseconds.
    """

    now_ms: float
    unix_offset_ms: float = 0.0

    @property
    def unix_ms(self) -> float:
        """Unix time in milliseconds."""
        return self.now_ms + self.unix_offset_ms


class SharedTime:
    """Follows the store's clock.

    Parameters
    ----------
    clock : Clock
        Of this process.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._low_ms = 0.0
        self._high_ms = 0.0
        self._observed_ms: float | None = None
        self._unix_offset_ms: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether the store's clock has been seen."""
        return self._observed_ms is not None

    def local_ms(self) -> float:
        """Return the time of the loop's clock, in milliseconds."""
        return self._clock.monotonic_ms()

    def observe(self, store_ms: float, sent_ms: float, received_ms: float) -> None:
        """Learn from a reply.

        Parameters
        ----------
        store_ms : float
            Time of the store's clock in the reply.
        sent_ms, received_ms : float
            Times of the loop's clock around the call, in milliseconds.
        """
        low_ms, high_ms = store_ms - received_ms, store_ms - sent_ms
        if self._observed_ms is not None:
            drift_ms = CLOCK_DRIFT * max(0.0, received_ms - self._observed_ms)
            known_low_ms = self._low_ms - drift_ms
            known_high_ms = self._high_ms + drift_ms
            # The loop's clock does not count suspension: what was known before may
            # contradict the reply, which then stands alone.
            if known_low_ms <= high_ms and low_ms <= known_high_ms:
                low_ms = max(low_ms, known_low_ms)
                high_ms = min(high_ms, known_high_ms)
        self._low_ms, self._high_ms = low_ms, high_ms
        self._observed_ms = received_ms

    def now_ms(self) -> float:
        """Return the time of the store's clock, in milliseconds.

        Before the first reply this is the loop's clock.
        """
        return self._clock.monotonic_ms() + (self._low_ms + self._high_ms) / 2

    def own_unix_offset_ms(self) -> float:
        """Return this machine's Unix time minus the store's, in milliseconds."""
        return self._clock.unix_ms() - self.now_ms()

    def set_unix_offsets(self, offsets_ms: Iterable[float]) -> None:
        """Take over the differences that the processes of the deployment see."""
        self._unix_offset_ms = statistics.median(offsets_ms)

    def read(self) -> Instant:
        """Return the present moment."""
        offset_ms = self._unix_offset_ms
        if offset_ms is None:
            offset_ms = self.own_unix_offset_ms()
        return Instant(self.now_ms(), offset_ms)
