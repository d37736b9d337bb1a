"""Tests of `basilhold.programs`."""
