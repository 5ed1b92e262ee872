"""Comparison of a live scenario on this work tree and on another commit.

Usage: `python -m benchmarks days [REVISION [SCENARIO]]`.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.figures import Figures

SEEDS = (1, 2)
FIELDS = ("service", "withdrawal_max_ms", "lines", "pushes", "swaps", "joins", "rules")
"""The fields of the verdict of `onyxhead trial run --json` that the results show."""


def measure(arguments: list[str]) -> Figures:
    """Run the scenario on both trees in turn, once for each seed."""
    revision, scenario = (arguments + ["HEAD", "storm"][len(arguments) :])[:2]
    results: dict[str, list[Figures]] = {"here": [], revision: []}
    with _checked_out(revision) as other_tree:
        for seed in SEEDS:
            for name, tree in (("here", Path.cwd()), (revision, other_tree)):
                results[name].append(_run_scenario(tree, scenario, seed))
    return {"day": scenario, **results}


@contextmanager
def _checked_out(revision: str) -> Iterator[Path]:
    """Check a revision out into a temporary Git worktree, yield its path and remove it at the end."""
    with tempfile.TemporaryDirectory() as name:
        tree = Path(name) / "tree"
        subprocess.run(["git", "worktree", "add", "--detach", str(tree), revision], check=True, capture_output=True)
        try:
            yield tree
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], check=True, capture_output=True)


def _run_scenario(tree: Path, scenario: str, seed: int) -> Figures:
    command = [sys.executable, "-m", "onyxhead.cli.main", "trial", "run", scenario, "--json", "--seed", str(seed)]
    environment = os.environ | {"PYTHONPATH": str(tree)}
    process = subprocess.run(command, cwd=tree, env=environment, capture_output=True, text=True, check=False)
    verdict = json.loads(process.stdout.splitlines()[-1])
    return {field: verdict.get(field) for field in FIELDS}
