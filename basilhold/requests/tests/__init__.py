"""Tests of `basilhold.requests`."""
