"""Tests of `basilhold.demo`."""
