"""Load reports over sockets, decoded in the controller or by ingest workers; time series on disk."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path
from typing import Any

import pytest
import whisper

from onyxhead.controller.server import ControllerServer
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import Request
from onyxhead.series.time_series_store import TimeSeriesStore, UnknownSeriesError
from onyxhead.testbed.ports import free_ports
from tests.test_controller_server import (
    BACKENDS,
    LoopbackRig,
    port_of,
    run_scenario,
    usable_ports,
    wait_until,
    write_endpoint_list,
)
from tests.test_intake import body, report


def load_reports(at: float, utilization: float, count: int = 20) -> bytes:
    """Return a body with reports of two backends, measured at a wall time."""
    return body(
        *[
            report(name, round(at * 10_000), cpu_utilization=utilization, rps_fractional=50.0)
            for name in ("b1", "b2")
            for _ in range(count)
        ]
    )


async def post(port: int, sender: str, content: bytes) -> int:
    """Send load reports. Return the status of the response."""
    return (await fetch_once(("127.0.0.1", port), Request("POST", f"/v1/load/{sender}", {}, content), 5.0)).status


def estimated_utilization(controller: ControllerServer, backend: str) -> float:
    return controller.core.load_estimator.utilization(controller.clock.now(), backend) or 0.0


def test_load_reports_reach_the_estimator_and_a_flood_delays_no_withdrawal(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        rig.extra_settings = "intake: {budget: 200000, series: false}\n"
        controller = await rig.controller()
        await rig.agent("p1", port_of(controller))
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        assert await post(port_of(controller), "b1", load_reports(time.time(), 0.7)) == 202
        await wait_until(lambda: abs(estimated_utilization(controller, "b2") - 0.7) < 0.01)
        assert await post(port_of(controller), "x", b"x" * 300_000) == 413
        stop = False

        async def flood(sender: str) -> None:
            while not stop:
                await post(port_of(controller), sender, load_reports(time.time(), 0.4, 400))

        floods = [asyncio.create_task(flood(f"s{n}")) for n in range(4)]
        await wait_until(
            lambda: controller.load_reports is not None and controller.load_reports.counts["bodies shed"] > 20
        )
        write_endpoint_list(tmp_path, 2, [BACKENDS[0] | {"state": "draining"}, *BACKENDS[1:]])
        started_at = time.monotonic()
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9002, 9003})
        assert time.monotonic() - started_at < controller.core.deployment.safety.drain_grace / 10_000
        stop = True
        await asyncio.gather(*floods)
        state: Any = (await fetch_once(("127.0.0.1", port_of(controller)), Request("GET", "/v1/load"), 5.0)).json()
        assert state["shed_most"] and state["backends"]["b2"]["busy"]["value"] == pytest.approx(0.4, abs=0.02)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("count", [1, 3])
def test_ingest_workers_send_sums_to_one_estimator_and_a_dead_worker_is_restarted(tmp_path: Path, count: int) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        (listen,) = free_ports(1)
        rig.extra_settings = f'intake: {{processes: {count}, listen: "127.0.0.1:{listen}", series: false}}\n'
        controller = await rig.controller()

        async def report_until_estimated(value: float) -> None:
            async with asyncio.timeout(10):
                while abs(estimated_utilization(controller, "b1") - value) > 0.01:
                    for n in range(6):
                        try:
                            await post(listen, f"s{n}", load_reports(time.time(), value))
                        except OSError:
                            await asyncio.sleep(0.05)
                    await asyncio.sleep(0.05)

        await report_until_estimated(0.8)
        # The sums of all workers are merged, so the estimator has each backend once.
        assert set(controller.core.load_estimator.backends) == {"b1", "b2"}
        pids = [int(pid) for pid in worker_pids()]
        assert len(pids) == count
        os.kill(pids[0], signal.SIGKILL)
        await wait_until(
            lambda: controller.load_reports is not None and controller.load_reports.workers_started == count + 1
        )
        await report_until_estimated(0.3)

    run_scenario(tmp_path, scenario)


def worker_pids() -> list[str]:
    """Return the process ids of the ingest workers that this process has started."""
    child_pids = []
    for path in Path(f"/proc/{os.getpid()}/task").iterdir():
        child_pids += (path / "children").read_text().split()
    return [pid for pid in set(child_pids) if "ingest_worker" in Path(f"/proc/{pid}/cmdline").read_bytes().decode()]


def test_time_series_keep_gaps_and_stay_bounded(tmp_path: Path) -> None:
    store = TimeSeriesStore(tmp_path / "series", max_series=3)
    now = time.time() // 10 * 10
    for n in range(30):
        if not 10 <= n < 20:
            store.write(now - 300 + 10 * n, {"busy.b1": 0.5, "flows.p1/read": n})
    result = store.read("flows.p1/read", now - 300, now)
    values = [None if value is None else int(value) for value in result.values]
    assert result.step == 10 and values[8:22].count(None) >= 10 and values.count(None) <= 12
    size = sum(path.stat().st_size for path in (tmp_path / "series").iterdir())
    for n in range(30):
        store.write(now - 300 + 10 * n, {"busy.b1": 0.5, "flows.p1/read": n})
    assert sum(path.stat().st_size for path in (tmp_path / "series").iterdir()) == size
    store.write(now, {f"busy.n{n}": 1.0 for n in range(6)})
    assert len(store.names()) == 3 and not store.last_error
    with pytest.raises(UnknownSeriesError):
        store.read("no.such", now - 10, now)


@pytest.mark.parametrize("name", ["busy.../../etc", "a/b.c d", "busy." + "x" * 500, "busy.\x00", "flows.p1/read"])
def test_time_series_name_can_not_leave_its_folder(tmp_path: Path, name: str) -> None:
    store = TimeSeriesStore(tmp_path / "series")
    store.write(time.time(), {name: 1.0})
    assert (
        not store.last_error
        and len(list((tmp_path / "series").glob("*.wsp"))) == 1
        and len(list(tmp_path.iterdir())) == 1
    )
    assert any(value is not None for value in store.read(name, time.time() - 60, time.time()).values)


def test_damaged_time_series_is_renamed_and_started_again(tmp_path: Path) -> None:
    store = TimeSeriesStore(tmp_path)
    store.write(time.time(), {"busy.b1": 1.0})
    (tmp_path / "busy.b1.wsp").write_bytes(b"\xff" * 10)
    store.write(time.time(), {"busy.b1": 1.0, "busy.b2": 1.0})
    assert "busy.b1" in store.last_error and whisper.info(str(tmp_path / "busy.b2.wsp"))
    store.write(time.time(), {"busy.b1": 1.0})
    assert not store.last_error and list(tmp_path.glob("*.broken"))


def test_burst_of_very_old_reports_is_ignored(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        rig.extra_settings = "intake: {series: false}\n"
        controller = await rig.controller()
        for _ in range(20):
            await post(port_of(controller), "b1", load_reports(time.time(), 0.6, 2))
        content = body(
            report("b1", round(time.time() * 10_000), cpu_utilization=0.6), report("b1", 20_000, cpu_utilization=0.01)
        )
        await post(port_of(controller), "b1", content)
        await wait_until(
            lambda: controller.load_reports is not None and controller.load_reports.counts["reports too old"] == 1
        )
        assert estimated_utilization(controller, "b1") == pytest.approx(0.6, abs=0.01)

    run_scenario(tmp_path, scenario)
