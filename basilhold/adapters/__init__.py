"""HTTP clients that implement the ports."""

__all__: list[str] = []
