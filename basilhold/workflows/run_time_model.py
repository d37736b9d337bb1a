"""What an owner learns about how long work really takes.

Learned are by how much run times of queues and images differ from their estimates, how
fast workers are, and whether restarts of overdue tasks help. All figures are bounded,
and nothing is concluded from fewer than `SAMPLES_MIN` samples. The module performs no
I/O.
"""

import math
import statistics
from collections.abc import Hashable, Sequence
from typing import NamedTuple

import msgspec

from basilhold.core import WorkerId, decode_json
from basilhold.workflows.model import QueueName, StepSpec

__all__ = [
    "FACTOR_MAX",
    "FACTOR_MIN",
    "SAMPLES_MIN",
    "FactorSamples",
    "RestartRecord",
    "RunTimeFactor",
    "RunTimeModel",
    "TimedTask",
    "WorkerSpeed",
]

SAMPLES_MIN = 8
"""Number of samples below which nothing is concluded."""

FACTOR_MIN, FACTOR_MAX = 0.2, 8.0
"""Bounds of what one run time contributes, so that absurd times have little effect."""

HOLDING_MIN, HOLDING_MAX = 0.8, 1.25
"""Bounds of the median of run time over estimate within which estimates hold."""

HIGH_QUANTILE = 0.95

BUCKET_RATIO = 1.1
"""Ratio of neighbouring buckets of samples; the error of a factor is half of it."""

_BUCKET_MIN = round(math.log(FACTOR_MIN, BUCKET_RATIO))
_BUCKET_MAX = round(math.log(FACTOR_MAX, BUCKET_RATIO))

FACTOR_HALF_LIFE = 200
"""Number of later samples after which the weight of a sample has halved."""

RESTARTS_HALF_LIFE = 40
"""Number of later outcomes after which the weight of a restart's outcome has halved."""

SPEED_WEIGHT = 0.2
SPEED_CHANGE_MAX = 2.0
"""Weight of a new run time in a worker's speed, and the largest ratio to the present
speed that counts. A task that is long by nature changes the speed by 15% at most."""

STEP_TASKS_MIN = 4
"""Number of tasks from which on a step shows how fast its workers are."""

QUEUES_MAX = 200
IMAGES_MAX = 400
WORKERS_MAX = 4_000
"""Numbers of entries above which the one that was updated first is dropped."""


class RunTimeFactor(NamedTuple):
    """Run times as multiples of the estimates.

    Parameters
    ----------
    median, high : float
        Median and `HIGH_QUANTILE` of run time over estimate.
    """

    median: float
    high: float


class TimedTask(NamedTuple):
    """Time that a task of a step has taken, or takes so far, in milliseconds."""

    worker_id: WorkerId
    run_time_ms: float
    is_ended: bool = False


class FactorSamples(msgspec.Struct):
    """Samples of run time over estimate, of which new ones have a higher weight.

    Parameters
    ----------
    count : int
        Number of samples.
    weights : dict of int to float
        Weight of each logarithmic bucket.
    """

    count: int = 0
    weights: dict[int, float] = {}

    def add(self, ratio: float) -> None:
        """Add a sample, which is limited to `FACTOR_MIN` to `FACTOR_MAX`."""
        ratio = min(max(ratio, FACTOR_MIN), FACTOR_MAX)
        bucket = round(math.log(ratio, BUCKET_RATIO))
        decay = 0.5 ** (1 / FACTOR_HALF_LIFE)
        for other in self.weights:
            self.weights[other] *= decay
        self.weights[bucket] = self.weights.get(bucket, 0.0) + 1.0
        self.count += 1

    def factor(self) -> RunTimeFactor | None:
        """Return the median and the high quantile, or ``None`` with too few samples."""
        if self.count < SAMPLES_MIN or not self.weights:
            return None
        return RunTimeFactor(self._quantile(0.5), self._quantile(HIGH_QUANTILE))

    def _quantile(self, quantile: float) -> float:
        target = quantile * sum(self.weights.values())
        seen = 0.0
        bucket = 0
        for bucket in sorted(self.weights):
            seen += self.weights[bucket]
            if seen >= target:
                break
        return min(max(BUCKET_RATIO**bucket, FACTOR_MIN), FACTOR_MAX)


class WorkerSpeed(msgspec.Struct):
    """Run times on a worker over those of the same steps elsewhere.

    Parameters
    ----------
    count : int
        Number of samples.
    ratio : float
        Moving average; above 1 for a slow worker.
    """

    count: int = 0
    ratio: float = 1.0

    def add(self, ratio: float) -> None:
        """Add a sample; see `SPEED_CHANGE_MAX`."""
        change = min(max(ratio / self.ratio, 1 / SPEED_CHANGE_MAX), SPEED_CHANGE_MAX)
        ratio = self.ratio * change**SPEED_WEIGHT
        self.ratio = min(max(ratio, FACTOR_MIN), FACTOR_MAX)
        self.count += 1


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
        if self.count < SAMPLES_MIN or self.weight <= 0:
            return 0.0
        return self.long_weight / self.weight


class _StoredModel(msgspec.Struct, frozen=True):
    """What is stored of a model; later builds may add fields with defaults."""

    queues: dict[QueueName, FactorSamples] = {}
    images: dict[str, FactorSamples] = {}
    speeds: dict[WorkerId, WorkerSpeed] = {}
    restarts: dict[QueueName, RestartRecord] = {}

    def check(self) -> None:
        """Raise `ValueError` if a figure is out of its bounds."""
        for samples in (*self.queues.values(), *self.images.values()):
            for bucket, weight in samples.weights.items():
                if not _BUCKET_MIN <= bucket <= _BUCKET_MAX or not 0 <= weight <= 1e6:
                    raise ValueError(f"bucket {bucket} has the weight {weight}")
        for worker_id, speed in self.speeds.items():
            if not FACTOR_MIN <= speed.ratio <= FACTOR_MAX:
                raise ValueError(f"worker {worker_id} has the speed {speed.ratio}")
        for queue, record in self.restarts.items():
            if not 0 <= record.long_weight <= record.weight <= 1e6:
                raise ValueError(f"queue {queue} has the restarts {record}")


class RunTimeModel:
    """Learns from the run times of a service.

    Attributes
    ----------
    queues : dict of QueueName to FactorSamples
    images : dict of str to FactorSamples
        Samples of the tasks that name an image, by image.
    speeds : dict of WorkerId to WorkerSpeed
        Kept when a worker restarts under its id.
    restarts : dict of QueueName to RestartRecord
        Outcomes of restarts of overdue tasks.
    has_changed : bool
        Whether something has been learned since the model was last encoded.
    """

    def __init__(self):
        self.has_changed = False
        self.queues: dict[QueueName, FactorSamples] = {}
        self.images: dict[str, FactorSamples] = {}
        self.speeds: dict[WorkerId, WorkerSpeed] = {}
        self.restarts: dict[QueueName, RestartRecord] = {}
        self._factors: dict[tuple[QueueName, str], RunTimeFactor | None] = {}

    def record_run(
        self, queue: QueueName, step: StepSpec, worker_id: WorkerId, run_time_ms: float
    ) -> None:
        """Record the run time of a task that is done.

        Parameters
        ----------
        queue : QueueName
        step : StepSpec
        worker_id : WorkerId
        run_time_ms : float
            From the confirmation of the run to its end.
        """
        if not queue or step.estimate_ms <= 0 or not math.isfinite(run_time_ms):
            return
        ratio = run_time_ms / (step.estimate_ms * self.speed(worker_id))
        _entry(self.queues, queue, FactorSamples, QUEUES_MAX).add(ratio)
        if step.image:
            _entry(self.images, step.image, FactorSamples, IMAGES_MAX).add(ratio)
        self._factors.clear()
        self.has_changed = True

    def record_step(self, tasks: Sequence[TimedTask]) -> None:
        """Learn the speeds of workers from the ended tasks of a whole step.

        The tasks that end first are the shortest ones, so a part of a step would show
        the workers of the others as slow.
        """
        if len(tasks) < STEP_TASKS_MIN:
            return
        for task in tasks:
            elsewhere = [
                other.run_time_ms
                for other in tasks
                if other.worker_id != task.worker_id
            ]
            if len(elsewhere) < STEP_TASKS_MIN - 1:
                continue
            median_ms = statistics.median(elsewhere)
            if median_ms <= 0 or not math.isfinite(task.run_time_ms):
                continue
            speed = _entry(self.speeds, task.worker_id, WorkerSpeed, WORKERS_MAX)
            speed.add(task.run_time_ms / median_ms)
            self.has_changed = True

    def record_restart(self, queue: QueueName, is_long: bool) -> None:
        """Record whether an overdue task takes long on other workers too."""
        if queue:
            _entry(self.restarts, queue, RestartRecord, QUEUES_MAX).add(is_long)
            self.has_changed = True

    def factor(self, queue: QueueName, step: StepSpec) -> RunTimeFactor | None:
        """Return how run times differ from the estimates of a step's tasks.

        Returns ``None`` if that is not known, or if the estimates hold. The figure of
        an image is used before that of the queue.
        """
        key = (queue, step.image)
        if key not in self._factors:
            self._factors[key] = self._find_factor(queue, step.image)
        return self._factors[key]

    def _find_factor(self, queue: QueueName, image: str) -> RunTimeFactor | None:
        factor = None
        if image and image in self.images:
            factor = self.images[image].factor()
        if factor is None and queue in self.queues:
            factor = self.queues[queue].factor()
        if factor is None or HOLDING_MIN <= factor.median <= HOLDING_MAX:
            return None
        return factor

    def speed(self, worker_id: WorkerId) -> float:
        """Return run times on a worker over those elsewhere; 1 if not known."""
        speed = self.speeds.get(worker_id)
        if speed is None or speed.count < SAMPLES_MIN:
            return 1.0
        return speed.ratio

    def long_share(self, queue: QueueName) -> float:
        """Return the share of a queue's overdue tasks that are long by nature."""
        record = self.restarts.get(queue)
        return record.long_share() if record is not None else 0.0

    def encode(self, bytes_max: int) -> bytes:
        """Return the model as a row, without the oldest entries if it is too long.

        Parameters
        ----------
        bytes_max : int
            Longest row, in bytes.
        """
        self.has_changed = False
        count_max = max(QUEUES_MAX, IMAGES_MAX, WORKERS_MAX)
        while True:
            stored = _StoredModel(
                _newest(self.queues, count_max),
                _newest(self.images, count_max),
                _newest(self.speeds, count_max),
                _newest(self.restarts, count_max),
            )
            value = msgspec.json.encode(_rounded(stored))
            if len(value) <= bytes_max or not count_max:
                return value
            count_max //= 2

    def restore(self, value: bytes) -> None:
        """Add what a previous owner has learned.

        Figures of this owner that rest on enough samples are kept.

        Raises
        ------
        ValueError
            If the row cannot be decoded, or has a figure out of its bounds. The model
            is unchanged then.
        """
        stored = decode_json(value, _StoredModel)
        stored.check()
        _merge(self.queues, stored.queues)
        _merge(self.images, stored.images)
        _merge(self.speeds, stored.speeds)
        _merge(self.restarts, stored.restarts)
        self._factors.clear()

    def describe(self) -> dict[str, dict[str, float]]:
        """Return what is known of each queue, for the operator's state dump."""
        described: dict[str, dict[str, float]] = {}
        for queue, samples in self.queues.items():
            factor = samples.factor()
            if factor is not None:
                described[queue] = {
                    "samples": samples.count,
                    "median": round(factor.median, 2),
                    "high": round(factor.high, 2),
                    "long_share": round(self.long_share(queue), 2),
                }
        return described


def _newest(entries: dict, count_max: int) -> dict:
    """Return the entries that were updated last."""
    return dict(list(entries.items())[max(0, len(entries) - count_max) :])


def _rounded(stored: _StoredModel) -> _StoredModel:
    """Return a copy with fewer digits, and without samples of almost no weight."""

    def samples(entries: dict[str, FactorSamples]) -> dict[str, FactorSamples]:
        return {
            key: FactorSamples(
                entry.count,
                {b: round(w, 3) for b, w in entry.weights.items() if w >= 0.001},
            )
            for key, entry in entries.items()
        }

    speeds = {
        key: WorkerSpeed(speed.count, round(speed.ratio, 3))
        for key, speed in stored.speeds.items()
    }
    return _StoredModel(
        samples(stored.queues), samples(stored.images), speeds, stored.restarts
    )


def _merge(entries: dict, stored: dict) -> None:
    own = dict(entries)
    entries.clear()
    entries.update(stored)
    for key, entry in own.items():
        if key not in entries or entry.count >= SAMPLES_MIN:
            entries.pop(key, None)
            entries[key] = entry


def _entry(entries: dict, key: Hashable, make, count_max: int):
    """Return the entry of a key, which is created if need be.

    Entries are in the order of their latest updates, and the oldest one is dropped if
    there are too many.
    """
    entry = entries.pop(key, None)
    entries[key] = entry if entry is not None else make()
    if len(entries) > count_max:
        del entries[next(iter(entries))]
    return entries[key]
