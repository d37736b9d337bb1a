"""Tests of the benchmarks' bounds."""
