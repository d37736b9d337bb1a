"""Tests of `basilhold.capacity`."""
