"""Counts of control traffic and the budget of store operations."""

__all__: list[str] = []
