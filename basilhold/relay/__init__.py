"""Distribution of configuration, VM list and shard directory within a region."""

__all__: list[str] = []
