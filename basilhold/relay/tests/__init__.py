"""Tests of `basilhold.relay`."""
