"""The backends of a scenario, and the endpoint list that discovery publishes of them."""

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
    loopback,
)
from onyxhead.scenarios.processes import DISCOVERY, ProcessGroup
from onyxhead.testbed.parameters import BackendParameters, EndpointListDocument

CORES, QUEUE_LIMIT, CONNECTION_LIMIT = 2, 60, 400


class ScenarioBackends:
    """Backends that run as processes. `entries` are those of the endpoint list by backend; a change of them takes
    effect with `publish`."""

    def __init__(self, processes: ProcessGroup, folder: Path, record_folder: Path, ports: Iterator[int]) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self._processes, self._folder, self._record_folder, self._ports = processes, folder, record_folder, ports
        self._list_version, self._count_added = 0, 0

    def add(self, warming_up: bool) -> str:
        """Start another backend and list it, unpublished; return its name."""
        name, port, zone = f"b{self._count_added}", next(self._ports), ZONES[self._count_added % len(ZONES)]
        self._count_added += 1
        self._start(name, port, zone, warming_up)
        self.entries[name] = {
            "id": name,
            "address": loopback(port),
            "zone": zone,
            "kind": "std",
            "state": "ready",
            "weight": 1.0,
            "started": round(time.time(), 3) if warming_up else 0.0,
        }
        return name

    def restart(self, name: str) -> None:
        """Start a backend that ended again, which has to warm up, and publish it as ready."""
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

    def ready(self) -> list[str]:
        """Return the names of the backends that are listed as ready."""
        return [name for name, entry in self.entries.items() if entry["state"] == "ready"]

    def publish(self) -> None:
        """Publish the endpoint list as it is now."""
        self._processes.set_faults(DISCOVERY, endpoint_list=self.next_list())

    def next_list(self) -> EndpointListDocument:
        """Return the endpoint list as it is now, under a new version."""
        self._list_version += 1
        return {"version": self._list_version, "backends": list(self.entries.values())}
