"""Office documents: validation, changes, history, versions in force."""

__all__: list[str] = []
