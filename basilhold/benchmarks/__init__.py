"""Benchmarks with bounds, run as modules."""
