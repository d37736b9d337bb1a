"""Ownership of shards, commits, worker leases and recovery."""

__all__: list[str] = []
