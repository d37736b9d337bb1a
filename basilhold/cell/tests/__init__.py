"""Tests of `basilhold.cell`."""
