"""A live day on this tree and on an older commit in turn, with the same script: python -m benchmarks days REV [DAY]."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROUNDS = 2
KEYS = ("service", "withdrawal_max_ms", "lines", "pushes", "swaps", "joins", "rules")


def measure(args: list[str]) -> dict[str, Any]:
    revision, day = (args + ["HEAD", "storm"][len(args) :])[:2]
    with tempfile.TemporaryDirectory() as name:
        other = Path(name) / "tree"
        subprocess.run(["git", "worktree", "add", "--detach", str(other), revision], check=True, capture_output=True)
        try:
            found: dict[str, list[Any]] = {"here": [], revision: []}
            for seed in range(1, 1 + ROUNDS):
                for which, tree in (("here", Path.cwd()), (revision, other)):
                    found[which].append(play(tree, day, seed))
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(other)], check=True, capture_output=True)
    return {"day": day, **found}


def play(tree: Path, day: str, seed: int) -> dict[str, Any]:
    command = [sys.executable, "-m", "onyxhead.cli.main", "trial", "run", day, "--json", "--seed", str(seed)]
    environment = os.environ | {"PYTHONPATH": str(tree)}
    done = subprocess.run(command, cwd=tree, env=environment, capture_output=True, text=True, check=False)
    verdict = json.loads(done.stdout.splitlines()[-1])
    return {key: verdict.get(key) for key in KEYS}
