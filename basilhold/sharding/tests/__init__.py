"""Tests of `basilhold.sharding`."""
