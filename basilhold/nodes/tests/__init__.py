"""Tests of `basilhold.nodes`."""
