"""Decisions about callers' requests. Performs no I/O."""

__all__: list[str] = []
