"""What an owner learns about run times.

The module performs no I/O.
"""

import msgspec

from basilhold.workflows.model import QueueName

__all__ = ["SAMPLES_MIN", "RestartRecord", "RunTimeModel"]

SAMPLES_MIN = 8
"""Number of samples below which nothing is concluded."""

RESTARTS_HALF_LIFE = 40
"""Number of later outcomes after which the weight of a restart's outcome has halved."""


class RestartRecord(msgspec.Struct):
    """Whether overdue tasks of a queue have been faster in a second run.

    Parameters
    ----------
    count : int
        Number of outcomes.
    weight, long_weight : float
        Decayed number of outcomes, and of those that took as long again.
    """

    count: int = 0
    weight: float = 0.0
    long_weight: float = 0.0

    def add(self, is_long: bool) -> None:
        """Add an outcome.

        Parameters
        ----------
        is_long : bool
            Whether the task takes long on other workers too.
        """
        decay = 0.5 ** (1 / RESTARTS_HALF_LIFE)
        self.count += 1
        self.weight = self.weight * decay + 1.0
        self.long_weight = self.long_weight * decay + float(is_long)

    def long_share(self) -> float:
        """Return the share of tasks that are long wherever they run.

        Returns 0 while there are fewer than `SAMPLES_MIN` outcomes.
        """
        if self.count < SAMPLES_MIN:
            return 0.0
        return self.long_weight / self.weight


class RunTimeModel:
    """Learns from the run times of a service.

    Attributes
    ----------
    restarts : dict of QueueName to RestartRecord
        Outcomes of restarts of overdue tasks.
    """

    def __init__(self):
        self.restarts: dict[QueueName, RestartRecord] = {}

    def record_restart(self, queue: QueueName, is_long: bool) -> None:
        """Record whether an overdue task takes long on other workers too."""
        if queue:
            self.restarts.setdefault(queue, RestartRecord()).add(is_long)

    def long_share(self, queue: QueueName) -> float:
        """Return the share of a queue's overdue tasks that are long by nature."""
        record = self.restarts.get(queue)
        return record.long_share() if record is not None else 0.0
