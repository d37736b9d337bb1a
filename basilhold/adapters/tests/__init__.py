"""Tests of `basilhold.adapters`."""
