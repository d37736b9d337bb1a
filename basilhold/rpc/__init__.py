"""Messages between basilhold processes."""

__all__: list[str] = []
