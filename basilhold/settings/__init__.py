"""Settings files."""

__all__: list[str] = []
