"""Rate of configuration edits, and the time from a commit until every agent applies the change.

The same kind of change made in the endpoint list file is timed for comparison.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import asyncssh

from benchmarks.figures import Figures, quantiles
from benchmarks.live_fleet import LiveFleet, wait_until
from benchmarks.memory_folder import memory_folder
from onyxhead.controller.configuration.service import ConfigurationService
from onyxhead.controller.configuration.tree import Edit

DEFAULT_AGENTS, BACKENDS, REPETITIONS = 43, 40, 12
EDITING_S = 2.0
PAUSE_S = 1.2
USER, SESSION = "u", 1
NETCONF_SETTINGS = (
    'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}, '
    'rules: [{name: "a", groups: ["*"], action: "permit"}]}\n'
)


def measure(arguments: list[str]) -> Figures:
    """Start a fleet and run both measurements on it; the optional argument is the number of agents."""
    agents = int(arguments[0]) if arguments else DEFAULT_AGENTS
    with memory_folder() as folder:
        (folder / "host").write_bytes(asyncssh.generate_private_key("ssh-ed25519").export_private_key())
        return asyncio.run(_measure_fleet(folder, agents))


async def _measure_fleet(folder: Path, agents: int) -> Figures:
    async with LiveFleet(folder, agents, BACKENDS, extra_settings=NETCONF_SETTINGS) as fleet:
        configuration = fleet.server.configuration
        assert configuration is not None
        edits_per_second = _measure_edits(configuration)
        commit_times, list_change_times = list[float](), list[float]()
        for number in range(REPETITIONS):
            commit_times.append(await _time_commit(fleet, configuration, 2 * number + 2))
            list_change_times.append(await _time_list_change(fleet, 2 * number + 3))
    return {
        "agents": agents,
        "validated edits per second": round(edits_per_second),
        "commit to last acknowledgement, ms": quantiles(commit_times),
        "list change to last acknowledgement, ms": quantiles(list_change_times),
    }


def _drain_edit(backend: str, drained: bool) -> Edit:
    value = "true" if drained else "false"
    entry = Edit("backend", None, "", [Edit("id", None, backend), Edit("drained", None, value)])
    return Edit("fleet", None, "", [entry])


def _measure_edits(configuration: ConfigurationService) -> float:
    """Return how many edits of the candidate configuration per second are validated; discard them afterwards."""
    started_at, edits = time.perf_counter(), 0
    while time.perf_counter() < started_at + EDITING_S:
        edit = _drain_edit("b1", drained=bool(edits % 2))
        configuration.edit(USER, SESSION, "candidate", edit, "merge", "test-then-set")
        edits += 1
    per_second = edits / (time.perf_counter() - started_at)
    configuration.datastores.discard(SESSION)
    return per_second


async def _time_commit(fleet: LiveFleet, configuration: ConfigurationService, number: int) -> float:
    started_at = time.perf_counter()
    configuration.edit(USER, SESSION, "candidate", _drain_edit(f"b{number}", drained=True), "merge", "set")
    configuration.commit(USER, SESSION)
    return await _time_withdrawal(fleet, f"b{number}", started_at)


async def _time_list_change(fleet: LiveFleet, number: int) -> float:
    started_at = time.perf_counter()
    fleet.drain(number)
    return await _time_withdrawal(fleet, f"b{number}", started_at)


async def _time_withdrawal(fleet: LiveFleet, backend: str, started_at: float) -> float:
    """Return the seconds from `started_at` until all agents have acknowledged the withdrawal of a backend.

    Then pause, so that the next measurement starts from an idle fleet.
    """
    core = fleet.server.core
    await wait_until(lambda: backend in core.proxy_tables.withdrawn)
    withdrawal_round = core.policy.round_number
    await wait_until(
        lambda: all(acknowledgement[0] >= withdrawal_round for acknowledgement in list(core.acknowledged.values()))
    )
    elapsed = time.perf_counter() - started_at
    await asyncio.sleep(PAUSE_S)
    return elapsed
