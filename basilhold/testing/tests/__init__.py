"""Tests of `basilhold.testing`."""
