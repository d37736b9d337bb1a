"""Estimates per class of how far declarations are off."""

import math

from basilhold.core import ClassName, JobSpec, Resources

__all__ = ["ClassEstimates", "DecayingQuantile", "SizeEstimate"]

USAGE_LAG_MS = 10_000
"""Reports about the first seconds of an attempt still show its start-up, in ms."""

_BUCKET_RATIO = 1.1
_RESCALE_ABOVE = 1e9
_SAMPLES_MIN = 8
_QUANTILE = 0.9
_HALF_LIFE_SAMPLES = 500


class DecayingQuantile:
    """Quantile of a stream in which older samples lose weight.

    Samples are counted in logarithmic buckets 10% wide. The weight of a new sample
    grows, which equals a decay of all older ones.

    Parameters
    ----------
    quantile : float
        Between 0 and 1.
    half_life_samples : int
        Number of newer samples after which a sample counts half.

    Examples
    --------
    >>> q = DecayingQuantile(0.9, half_life_samples=100)
    >>> for value in range(1, 101):
    ...     q.add(value)
    >>> 80 <= q.value() <= 110
    True
    """

    __slots__ = ("_cached", "_growth", "_quantile", "_total", "_weight", "_weights")

    def __init__(self, quantile: float, half_life_samples: int):
        self._quantile = quantile
        self._growth = 2 ** (1 / half_life_samples)
        self._weight = 1.0
        self._total = 0.0
        self._weights: dict[int, float] = {}
        self._cached: float | None = None

    def add(self, sample: float) -> None:
        """Count a sample. Samples at or below 0 count as 0.001."""
        bucket = math.ceil(math.log(max(sample, 1e-3), _BUCKET_RATIO))
        self._weights[bucket] = self._weights.get(bucket, 0.0) + self._weight
        self._total += self._weight
        self._weight *= self._growth
        self._cached = None
        if self._weight > _RESCALE_ABOVE:
            self._rescale()

    def value(self) -> float:
        """Return the upper edge of the quantile's bucket; 0 without samples."""
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
        scaled = {b: w / self._weight for b, w in self._weights.items()}
        self._weights = {b: w for b, w in scaled.items() if w > 1e-6}
        self._total = sum(self._weights.values())
        self._weight = 1.0


class SizeEstimate:
    """What one class uses, as a share of what it declares."""

    __slots__ = ("cores", "memory", "run_time", "run_time_ms", "runs", "samples")

    def __init__(self):
        self.cores = DecayingQuantile(_QUANTILE, _HALF_LIFE_SAMPLES)
        self.memory = DecayingQuantile(_QUANTILE, _HALF_LIFE_SAMPLES)
        self.run_time = DecayingQuantile(_QUANTILE, _HALF_LIFE_SAMPLES)
        self.run_time_ms = DecayingQuantile(_QUANTILE, _HALF_LIFE_SAMPLES)
        self.samples = 0
        self.runs = 0


class ClassEstimates:
    """Learns sizes and run times per class from lagging reports.

    Estimates guide backfill, scoring and the choice of victims. Commitments always
    use the declared size.
    """

    def __init__(self):
        self._classes: dict[ClassName, SizeEstimate] = {}

    def record_use(
        self, class_name: ClassName, declared: Resources, used: Resources, age_ms: int
    ) -> None:
        """Take in a usage report of an attempt that is `age_ms` milliseconds old."""
        if age_ms < USAGE_LAG_MS:
            return
        estimate = self._of(class_name)
        estimate.samples += 1
        estimate.cores.add(used.cores_milli / max(1, declared.cores_milli))
        estimate.memory.add(used.memory_bytes / max(1, declared.memory_bytes))

    def record_run(self, spec: JobSpec, run_time_ms: int) -> None:
        """Take in the run time of an attempt that succeeded, in milliseconds."""
        estimate = self._of(spec.class_name)
        estimate.runs += 1
        estimate.run_time_ms.add(run_time_ms)
        if spec.run_time_ms > 0:
            estimate.run_time.add(run_time_ms / spec.run_time_ms)

    def run_time_ms(self, spec: JobSpec) -> int | None:
        """Return the expected run time in milliseconds, or ``None`` if unknown."""
        estimate = self._classes.get(spec.class_name)
        if estimate is None or estimate.runs < _SAMPLES_MIN:
            return spec.run_time_ms or None
        if spec.run_time_ms > 0:
            return math.ceil(spec.run_time_ms * estimate.run_time.value())
        return math.ceil(estimate.run_time_ms.value())

    def expected_use(self, class_name: ClassName, declared: Resources) -> Resources:
        """Return the expected use of a task, at most its declaration."""
        estimate = self._classes.get(class_name)
        if estimate is None or estimate.samples < _SAMPLES_MIN:
            return declared
        cores = min(1.0, estimate.cores.value())
        memory = min(1.0, estimate.memory.value())
        return Resources(
            math.ceil(declared.cores_milli * cores),
            math.ceil(declared.memory_bytes * memory),
            declared.gpus_milli,
        )

    def _of(self, class_name: ClassName) -> SizeEstimate:
        estimate = self._classes.get(class_name)
        if estimate is None:
            estimate = self._classes[class_name] = SizeEstimate()
        return estimate
