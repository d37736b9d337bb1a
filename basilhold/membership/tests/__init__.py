"""Tests of `basilhold.membership`."""
