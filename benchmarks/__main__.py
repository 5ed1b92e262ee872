"""Command line of the benchmarks: runs one and prints its results as JSON."""

from __future__ import annotations

import importlib
import json
import sys

NAMES = ("swaps", "batch", "fan", "days", "commits", "tables", "intake", "routes", "operate", "joins")
"""The benchmarks, each in the module of that name.

The `measure` function of a module takes the remaining command line arguments and returns the results.
"""


def main() -> int:
    """Run the benchmark that the command line names and return the exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        print(f"usage: python -m benchmarks {'|'.join(NAMES)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"benchmarks.{sys.argv[1]}")
    print(json.dumps(module.measure(sys.argv[2:]), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
