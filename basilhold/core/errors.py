"""Errors that stop a process."""

__all__ = ["InvariantError"]


class InvariantError(Exception):
    """A guarantee of the system does not hold.

    Every other failure is an outcome and is returned as a value. The program that
    catches this error writes its state dump and exits.
    """
