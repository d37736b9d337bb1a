"""Tests of `basilhold.gateway`."""
