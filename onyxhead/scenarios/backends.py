"""The backends of a scenario, and the endpoint list in which discovery publishes them."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from onyxhead.policy.inputs import RetrySafety
from onyxhead.scenarios.fleet_settings import (
    DEDUPLICATION_WINDOW_S,
    OVERLOAD_FACTOR,
    OVERLOAD_TIME_S,
    TRAFFIC_GROUPS,
    WARMUP_SHARE,
    WARMUP_TIME_S,
    ZONES,
    loopback_address,
)
from onyxhead.scenarios.processes import DISCOVERY, ProcessGroup
from onyxhead.testbed.parameters import BackendParameters, EndpointListDocument

CORES, QUEUE_LIMIT, CONNECTION_LIMIT = 2, 60, 400


class ScenarioBackends:
    """The backends of a scenario, each a process.

    `entries` holds the endpoint list's entries by backend name. `publish` puts changes of them into effect.
    """

    def __init__(self, processes: ProcessGroup, folder: Path, record_folder: Path, ports: Iterator[int]) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self._processes, self._folder, self._record_folder, self._ports = processes, folder, record_folder, ports
        self._list_version, self._added_count = 0, 0

    def add(self, warming_up: bool) -> str:
        """Start another backend and add it to the entries without publishing them; return its name."""
        name, port, zone = f"b{self._added_count}", next(self._ports), ZONES[self._added_count % len(ZONES)]
        self._added_count += 1
        self._start(name, port, zone, warming_up)
        self.entries[name] = {
            "id": name,
            "address": loopback_address(port),
            "zone": zone,
            "kind": "std",
            "state": "ready",
            "weight": 1.0,
            "started": round(time.time(), 3) if warming_up else 0.0,
        }
        return name

    def restart(self, name: str) -> None:
        """Start a backend again after its process has ended, with a new warm-up, and publish it as ready."""
        entry = self.entries[name]
        self._start(name, int(entry["address"].rpartition(":")[2]), entry["zone"], warming_up=True)
        entry.update(state="ready", started=round(time.time(), 3))
        self.publish()

    def _start(self, name: str, port: int, zone: str, warming_up: bool) -> None:
        parameters = BackendParameters(
            record=str(self._record_folder / f"{name}.jsonl"),
            name=name,
            port=port,
            zone=zone,
            cores=CORES,
            speed=1.0,
            queue_limit=QUEUE_LIMIT,
            connection_limit=CONNECTION_LIMIT,
            warming_up=warming_up,
            warmup_share=WARMUP_SHARE,
            warmup_time=WARMUP_TIME_S,
            overload_factor=OVERLOAD_FACTOR,
            overload_time=OVERLOAD_TIME_S,
            deduplication_windows={
                group.name: DEDUPLICATION_WINDOW_S
                for group in TRAFFIC_GROUPS
                if group.retry_safety is RetrySafety.DEDUPLICATED
            },
            deduplication_folder=str(self._folder / "marks"),
        )
        self._processes.start_double("backend", name, parameters)

    def ready_names(self) -> list[str]:
        """Return the names of the backends that are listed as ready."""
        return [name for name, entry in self.entries.items() if entry["state"] == "ready"]

    def publish(self) -> None:
        """Have discovery publish the current entries."""
        self._processes.set_faults(DISCOVERY, endpoint_list=self.next_list())

    def next_list(self) -> EndpointListDocument:
        """Return the endpoint list of the current entries, with a new version."""
        self._list_version += 1
        return {"version": self._list_version, "backends": list(self.entries.values())}
