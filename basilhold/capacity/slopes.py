"""Straight lines through measured values, and their extrapolation."""

import statistics
from collections.abc import Iterable

import msgspec

__all__ = ["Sample", "Slope", "make_slope"]

SAMPLES_MIN = 3
"""Two points always lie on a line; the third shows whether the growth is linear."""


class Sample(msgspec.Struct, frozen=True):
    """One value measured at one size."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True):
    """A value that was measured at several sizes.

    Parameters
    ----------
    name : str
    unit : str
    per : str
        What the size counts.
    samples : tuple of Sample
        At least three, of different sizes.
    exact : bool
        Whether the value is a count on the virtual clock, equal in each run.

    Examples
    --------
    >>> slope = make_slope("reads", "/s", "VM", [(1, 12), (2, 14), (3, 16)])
    >>> slope.per_unit, slope.base, slope.at(10)
    (2.0, 10.0, 30.0)
    """

    name: str
    unit: str
    per: str
    samples: tuple[Sample, ...]
    exact: bool = True

    def __post_init__(self):
        if len({sample.size for sample in self.samples}) < SAMPLES_MIN:
            raise ValueError(f"{self.name}: fewer than {SAMPLES_MIN} sizes")

    @property
    def per_unit(self) -> float:
        """Growth of the value per unit of size, by least squares."""
        return self._line()[0]

    @property
    def base(self) -> float:
        """Value of the line at size 0."""
        return self._line()[1]

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        slope, intercept = self._line()
        return intercept + slope * size

    def deviation(self) -> float:
        """Return the largest distance of a sample from the line, as a ratio.

        The reference is the largest sample; 0 means that the growth is linear.
        """
        largest = max(abs(sample.value) for sample in self.samples)
        gaps = (abs(s.value - self.at(s.size)) for s in self.samples)
        return max(gaps) / largest if largest else 0.0

    def _line(self) -> tuple[float, float]:
        sizes = [sample.size for sample in self.samples]
        values = [sample.value for sample in self.samples]
        line = statistics.linear_regression(sizes, values)
        return line.slope, line.intercept


def make_slope(
    name: str,
    unit: str,
    per: str,
    pairs: Iterable[tuple[float, float]],
    exact: bool = True,
) -> Slope:
    """Return the slope through pairs of size and value."""
    samples = tuple(Sample(size, value) for size, value in pairs)
    return Slope(name, unit, per, samples, exact)
