"""Load of each role at the two-year size, worked out from measured slopes."""

from basilhold.capacity.size import TWO_YEAR_SIZE, TwoYearSize
from basilhold.capacity.slopes import Sample, Slope, make_slope

__all__ = ["TWO_YEAR_SIZE", "Sample", "Slope", "TwoYearSize", "make_slope"]
