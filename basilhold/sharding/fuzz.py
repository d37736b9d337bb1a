"""Randomised runs: ``python -m basilhold.sharding.fuzz --seeds N --first S``."""

import sys

from basilhold.sharding.tests.randomised import main

__all__: list[str] = []

if __name__ == "__main__":
    sys.exit(main())
