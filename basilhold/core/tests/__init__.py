"""Tests of `basilhold.core`."""
