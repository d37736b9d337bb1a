"""Entry points of the programs."""

__all__: list[str] = []
