"""Tests of `basilhold.observability`."""
