"""Compares decisions about workflows on a random load, with a whole cell in memory."""
