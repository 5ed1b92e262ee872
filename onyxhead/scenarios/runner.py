"""Runs a scenario live on loopback and evaluates its records."""

from __future__ import annotations

import os
import shutil
import tempfile
import time
from pathlib import Path

from onyxhead.scenarios.catalog import NO_FAULTS, schedule
from onyxhead.scenarios.fleet import ScenarioFleet
from onyxhead.scenarios.fleet_settings import (
    DRAIN_GRACE_S,
    MAX_QUEUED_LINES,
    TRAFFIC_GROUPS,
    UNSERVED_LIMIT_S,
    WARMUP_TIME_S,
    FleetSize,
)
from onyxhead.scenarios.processes import CLIENTS
from onyxhead.scenarios.rules import RuleLimits
from onyxhead.scenarios.timed_actions import TimedAction
from onyxhead.scenarios.verdict import Verdict, evaluate

LAST_REQUESTS_S = 2.5
"""Time that the last requests have to finish after the clients have stopped sending new ones."""
MEMORY_FOLDER = "/dev/shm"
RULE_LIMITS = RuleLimits(
    drain_grace=DRAIN_GRACE_S,
    unserved_limit=UNSERVED_LIMIT_S,
    warmup_time=WARMUP_TIME_S,
    max_queued_lines=MAX_QUEUED_LINES,
)


def run_scenario(name: str, seed: int, seconds: float, size: FleetSize, keep: Path | None = None) -> Verdict:
    """Run a scenario, or faults joined by '+', and return its verdict.

    Records, settings and logs are copied to the folder `keep`, if given. Raises KeyError for an unknown name.
    """
    actions = schedule(name, seed, seconds)
    # The files are kept in memory if possible, because a busy disk would distort a test of routing.
    parent = MEMORY_FOLDER if os.access(MEMORY_FOLDER, os.W_OK) else None
    folder = Path(tempfile.mkdtemp(prefix="onyxhead-trial-", dir=parent))
    with ScenarioFleet(folder, size, seed, watch_list_file=name == NO_FAULTS) as fleet:
        fleet.start()
        _perform(fleet, actions, seconds)
    retry_safety = {group.name: group.retry_safety for group in TRAFFIC_GROUPS}
    verdict = evaluate(fleet.record_folder, RULE_LIMITS, retry_safety, scenario=name, seed=seed)
    if keep is not None:
        shutil.copytree(folder, keep, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return verdict


def _perform(fleet: ScenarioFleet, actions: list[TimedAction], seconds: float) -> None:
    started_at = time.monotonic()
    for at, action in actions:
        time.sleep(max(0.0, started_at + at - time.monotonic()))
        action(fleet)
    time.sleep(max(0.0, started_at + seconds - time.monotonic()))
    fleet.processes.set_faults(CLIENTS, stopped=True)
    time.sleep(LAST_REQUESTS_S)
