"""Tests of `basilhold.settings`."""
