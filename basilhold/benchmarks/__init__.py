"""Benchmarks whose bounds are checked by tests."""
