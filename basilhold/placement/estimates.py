"""Estimates of the resources and run times that the tasks of a class really use."""

import math

from basilhold.core import ClassName, JobSpec, Resources

__all__ = ["ClassEstimate", "ClassEstimates", "DecayingQuantile"]

STARTUP_MS = 10_000
"""Age in milliseconds below which an attempt's usage reports are ignored, because they
still show its start-up."""

_BUCKET_RATIO = 1.1
"""Ratio of the upper edges of neighbouring buckets."""

_WEIGHT_MAX = 1e9
"""Weight of a sample above which all weights are scaled down, to limit their size."""

_SAMPLES_MIN = 8
"""Number of samples below which declarations are used instead of estimates."""

_ESTIMATED_QUANTILE = 0.9
_HALF_LIFE_SAMPLES = 500


class DecayingQuantile:
    """Quantile of a stream of samples whose weight decays with age.

    Samples are counted in logarithmic buckets 10% wide. Each new sample gets a larger
    weight than the one before, which is equivalent to a decay of all earlier samples.

    Parameters
    ----------
    quantile : float
        Between 0 and 1.
    half_life_samples : int
        Number of later samples after which the weight of a sample has halved.

    Examples
    --------
    >>> q = DecayingQuantile(0.9, half_life_samples=100)
    >>> for value in range(1, 101):
    ...     q.add(value)
    >>> 80 <= q.value() <= 110
    True
    """

    __slots__ = (
        "_cached",
        "_growth",
        "_next_weight",
        "_quantile",
        "_total",
        "_weights",
    )

    def __init__(self, quantile: float, half_life_samples: int):
        self._quantile = quantile
        self._growth = 2 ** (1 / half_life_samples)
        self._next_weight = 1.0
        self._total = 0.0
        self._weights: dict[int, float] = {}
        self._cached: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample. Samples of 0 and others below 0.001 count as 0.001."""
        bucket = math.ceil(math.log(max(sample, 1e-3), _BUCKET_RATIO))
        self._weights[bucket] = self._weights.get(bucket, 0.0) + self._next_weight
        self._total += self._next_weight
        self._next_weight *= self._growth
        self._cached = None
        if self._next_weight > _WEIGHT_MAX:
            self._rescale()

    def value(self) -> float:
        """Return the upper edge of the quantile's bucket, or 0 without samples."""
        if self._cached is None:
            self._cached = self._compute()
        return self._cached

    def _compute(self) -> float:
        target = self._total * self._quantile
        seen = 0.0
        for bucket in sorted(self._weights):
            seen += self._weights[bucket]
            if seen >= target:
                return _BUCKET_RATIO**bucket
        return 0.0

    def _rescale(self) -> None:
        """Divide all weights by that of the next sample, and drop tiny ones."""
        scaled = {b: w / self._next_weight for b, w in self._weights.items()}
        self._weights = {b: w for b, w in scaled.items() if w > 1e-6}
        self._total = sum(self._weights.values())
        self._next_weight = 1.0


class ClassEstimate:
    """Observed use of one class, mostly relative to its declarations.

    Attributes
    ----------
    cores_ratio, memory_ratio : DecayingQuantile
        Used amount divided by the declared amount.
    run_time_ratio : DecayingQuantile
        Run time divided by the declared run time, of runs that declare one.
    run_time_ms : DecayingQuantile
        Run time in milliseconds.
    samples : int
        Number of usage reports.
    runs : int
        Number of successful runs.
    """

    __slots__ = (
        "cores_ratio",
        "memory_ratio",
        "run_time_ms",
        "run_time_ratio",
        "runs",
        "samples",
    )

    def __init__(self):
        self.cores_ratio = DecayingQuantile(_ESTIMATED_QUANTILE, _HALF_LIFE_SAMPLES)
        self.memory_ratio = DecayingQuantile(_ESTIMATED_QUANTILE, _HALF_LIFE_SAMPLES)
        self.run_time_ratio = DecayingQuantile(_ESTIMATED_QUANTILE, _HALF_LIFE_SAMPLES)
        self.run_time_ms = DecayingQuantile(_ESTIMATED_QUANTILE, _HALF_LIFE_SAMPLES)
        self.samples = 0
        self.runs = 0


class ClassEstimates:
    """Estimates resource use and run times per class from reports.

    The estimates are used for backfill, scoring and the choice of victims. Resources
    are always committed at their declared size.
    """

    def __init__(self):
        self._classes: dict[ClassName, ClassEstimate] = {}

    def record_use(
        self, class_name: ClassName, declared: Resources, used: Resources, age_ms: int
    ) -> None:
        """Add a usage report of an attempt that is `age_ms` milliseconds old.

        Reports of attempts younger than `STARTUP_MS` are ignored.
        """
        if age_ms < STARTUP_MS:
            return
        estimate = self._estimate_for(class_name)
        estimate.samples += 1
        estimate.cores_ratio.add(used.cores_milli / max(1, declared.cores_milli))
        estimate.memory_ratio.add(used.memory_bytes / max(1, declared.memory_bytes))

    def record_run(self, spec: JobSpec, run_time_ms: int) -> None:
        """Add the run time of a successful attempt, in milliseconds."""
        estimate = self._estimate_for(spec.class_name)
        estimate.runs += 1
        estimate.run_time_ms.add(run_time_ms)
        if spec.run_time_ms > 0:
            estimate.run_time_ratio.add(run_time_ms / spec.run_time_ms)

    def run_time_ms(self, spec: JobSpec) -> int | None:
        """Return the expected run time in milliseconds, or ``None`` if it is unknown.

        The declared run time is returned until enough runs have been recorded.
        """
        estimate = self._classes.get(spec.class_name)
        if estimate is None or estimate.runs < _SAMPLES_MIN:
            return spec.run_time_ms or None
        if spec.run_time_ms > 0:
            return math.ceil(spec.run_time_ms * estimate.run_time_ratio.value())
        return math.ceil(estimate.run_time_ms.value())

    def expected_use(self, class_name: ClassName, declared: Resources) -> Resources:
        """Return the resources that a task is expected to use.

        Cores and memory are at most the declared amounts, and GPUs are those declared.
        """
        estimate = self._classes.get(class_name)
        if estimate is None or estimate.samples < _SAMPLES_MIN:
            return declared
        cores = min(1.0, estimate.cores_ratio.value())
        memory = min(1.0, estimate.memory_ratio.value())
        return Resources(
            math.ceil(declared.cores_milli * cores),
            math.ceil(declared.memory_bytes * memory),
            declared.gpus_milli,
        )

    def _estimate_for(self, class_name: ClassName) -> ClassEstimate:
        estimate = self._classes.get(class_name)
        if estimate is None:
            estimate = self._classes[class_name] = ClassEstimate()
        return estimate
