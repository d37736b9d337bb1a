"""Tests of `basilhold.standins`."""
