"""Exceptions that end a process."""

__all__ = ["InvariantError"]


class InvariantError(Exception):
    """Raised when an invariant of the system is violated.

    All other failures are returned as values. A program that catches this exception
    writes a state dump and exits.
    """
