"""Edits a second, and a commit to the last swap at many agents against the same change through the list file."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks import fan
from benchmarks.figures import quantiles

RULES = (
    'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}, '
    'rules: [{name: "a", groups: ["*"], action: "permit"}]}'
)


def measure(args: list[str]) -> dict[str, Any]:
    count = int(args[0]) if args else 43
    with tempfile.TemporaryDirectory(dir="/dev/shm" if Path("/dev/shm").is_dir() else None) as name:
        import asyncssh

        key = asyncssh.generate_private_key("ssh-ed25519")
        Path(name, "host").write_bytes(key.export_private_key())
        fan.SETTINGS += RULES + "\n"
        return asyncio.run(run(Path(name), count))


async def run(folder: Path, count: int, backends: int = 40, rounds: int = 12) -> dict[str, Any]:
    async with fan.Fleet(folder, count, backends) as fleet:
        core, configuration = fleet.daemon.core, fleet.daemon.configuration
        assert configuration is not None
        from onyxhead.controller.configuration.tree import Edit

        def drain(name: str, value: str) -> Edit:
            entry = Edit("backend", None, "", [Edit("id", None, name), Edit("drained", None, value)])
            return Edit("fleet", None, "", [entry])

        began, edits = time.perf_counter(), 0
        while time.perf_counter() < began + 2:
            configuration.edit(
                "u", 1, "candidate", drain("b1", "true" if edits % 2 else "false"), "merge", "test-then-set"
            )
            edits += 1
        per_second = edits / (time.perf_counter() - began)
        configuration.datastores.discard(1)
        by_commit, by_file = list[float](), list[float]()
        for number in range(rounds):
            for times, change in (
                (by_commit, lambda: commit(configuration, drain(f"b{2 * number + 2}", "true"))),
                (by_file, lambda: fleet.drain(2 * number + 3)),
            ):
                name = f"b{2 * number + (2 if times is by_commit else 3)}"
                began = time.perf_counter()
                change()  # type: ignore[no-untyped-call]
                await fan.until(lambda: name in core.proxy_tables.withdrawn)
                turn = core.policy.round_number
                await fan.until(lambda: all(done[0] >= turn for done in list(core.acknowledged.values())))
                times.append(time.perf_counter() - began)
                await asyncio.sleep(1.2)
    return {
        "agents": count,
        "edits a second, checked": round(per_second),
        "commit to last swap, ms": quantiles(by_commit),
        "list file to last swap, ms": quantiles(by_file),
    }


def commit(configuration: Any, edit: Any) -> None:
    configuration.edit("u", 1, "candidate", edit, "merge", "set")
    configuration.commit("u", 1)
