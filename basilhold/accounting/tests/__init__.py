"""Tests of `basilhold.accounting`."""
