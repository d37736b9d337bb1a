"""Measurements of the program, each beside its bound and a baseline."""
