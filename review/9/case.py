"""Case 9: six in ten backends are replaced within 7 s, one after the other, where a proxy may get 20 messages in 10 s."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig_2"))

from rig import Controller, Discovery, Rig, main, trouble  # noqa: E402
from sites import pos_main_campus  # noqa: E402

PROXIES, BACKENDS = 9, 40
REPLACED = BACKENDS * 6 // 10
WITHIN_S = 7.0
QUIET_S = 13.0  # the start is over, and the messages of the joins are more than 10 s old
DRAIN_S = 3.0  # a backend that drains ends after this time
WATCHED_S = 14.0


async def case(rig: Rig) -> None:
    zones = rig.settings["zones"]
    for number in range(BACKENDS):
        await rig.add_backend(zones[number % 3])
    discovery = Discovery(rig.record)
    await discovery.start()
    discovery.publish(*rig.backends.values())
    controller = Controller(rig.folder, "n0", rig.settings, discovery, rig.record)
    rig.controllers.append(controller)
    await controller.start(discovery.known())
    for zone in zones:
        rig.spawn(rig.report(controller, zone, discovery))
    rig.add_proxies(PROXIES, rate=14.0)
    for proxy in rig.proxies:
        rig.spawn(proxy.stay_joined(controller))
    rig.start_traffic()
    await asyncio.sleep(QUIET_S)
    if trouble():
        rig.record.say(f"{REPLACED} of {BACKENDS} backends are replaced within {WITHIN_S:g} s")
        for name in rig.chance.sample(list(rig.backends), REPLACED):
            rig.spawn(replace(rig, discovery, name))
            await asyncio.sleep(WITHIN_S / REPLACED)
    await asyncio.sleep(WATCHED_S)
    for proxy in rig.proxies:
        most = max(sum(start <= t < start + 10 for t in proxy.messages) for start in proxy.messages)
        rig.record.line("proxy", proxy.number, "got", len(proxy.messages), "messages, at most", most, "in 10 s")
    rig.record.say(f"longest use of a backend after the controller was told: {rig.worst_drain:.2f} s")


async def replace(rig: Rig, discovery: Discovery, name: str) -> None:
    """A backend drains and ends, and another with a new id starts cold in its place."""
    old = rig.backends[name]
    old.phase = "DRAINING"
    successor = await rig.add_backend(old.zone, started=time.time())
    discovery.publish(old, successor)
    await asyncio.sleep(DRAIN_S)
    old.phase = "DELETED"
    discovery.publish(old)
    await old.stop()


if __name__ == "__main__":
    main(Rig(Path(__file__).resolve().parent, pos_main_campus(PROXIES), 3), case)
