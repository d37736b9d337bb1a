"""Tests of `basilhold.config`."""
