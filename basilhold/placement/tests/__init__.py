"""Tests of `basilhold.placement`."""
