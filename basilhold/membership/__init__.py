"""Which VMs and processes are live, leaving or gone."""

__all__: list[str] = []
