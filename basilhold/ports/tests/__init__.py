"""Tests of `basilhold.ports`."""
