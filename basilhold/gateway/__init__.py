"""HTTP front end for callers and operators."""

__all__: list[str] = []
