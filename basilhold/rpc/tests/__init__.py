"""Tests of `basilhold.rpc`."""
