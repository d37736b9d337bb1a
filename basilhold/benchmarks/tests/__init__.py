"""Tests of `basilhold.benchmarks`."""
