"""Tests of `basilhold.operators_api`."""
