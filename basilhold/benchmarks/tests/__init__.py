"""Tests with fixed seeds of the figures that are counts or ratios."""
