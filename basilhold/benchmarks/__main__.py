"""``python -m basilhold.benchmarks`` runs all benchmarks, one after the other."""

import runpy
import sys

BENCHMARKS = ("placement", "requests", "sharding", "control", "tenants")


def run(name: str) -> int:
    """Run one benchmark and return its exit code."""
    print(f"\n=== {name}", flush=True)
    try:
        runpy.run_module(f"basilhold.benchmarks.{name}", run_name="__main__")
    except SystemExit as end:
        return int(end.code or 0)
    return 0


if __name__ == "__main__":
    sys.argv = sys.argv[:1]
    failed = [name for name in BENCHMARKS if run(name)]
    print(f"\nbenchmarks with a missed bound: {', '.join(failed) or 'none'}")
    sys.exit(1 if failed else 0)
