"""Case 8: a controller is killed during a rolling deploy; the other takes over its proxies."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig_2"))

from rig import Controller, Discovery, Rig, main, trouble  # noqa: E402
from sites import kigali_ussd  # noqa: E402

PROXIES, BACKENDS = 150, 40
REPLACED = BACKENDS * 9 // 10
WITHIN_S = 27.0
KILLED_AFTER_S = 8.0  # from the first replacement
AWAY_S = 3.0  # the killed controller starts again after this time
QUIET_S = 14.0
DRAIN_S = 3.0  # a backend that drains ends after this time
WATCHED_S = 8.0
REDIAL_S = (0.06, 0.38)


async def case(rig: Rig) -> None:
    zones = rig.settings["zones"]
    for number in range(BACKENDS):
        await rig.add_backend(zones[number % 3])
    discoveries = []
    for number in range(2):
        discovery = Discovery(rig.record)
        await discovery.start()
        discovery.publish(*rig.backends.values())
        discoveries.append(discovery)
        settings = kigali_ussd(PROXIES, 2, number)
        controller = Controller(rig.folder, f"n{number}", settings, discovery, rig.record)
        rig.controllers.append(controller)
        await controller.start(discovery.known())
        for zone in zones:
            rig.spawn(rig.report(controller, zone, discovery))
    rig.add_proxies(PROXIES, rate=2.0)
    for proxy in rig.proxies:
        rig.spawn(proxy.live(rig.controllers, REDIAL_S))
        await asyncio.sleep(0.01)
    rig.start_traffic()
    await asyncio.sleep(QUIET_S)
    rig.record.say("joined:", {c.name: sum(p.controller is c for p in rig.proxies) for c in rig.controllers})
    if trouble():
        rig.spawn(kill(rig, rig.controllers[1]))
    # The deploy takes place without the disruption as well.
    rig.record.say(f"{REPLACED} of {BACKENDS} backends are replaced within {WITHIN_S:g} s")
    for name in rig.chance.sample(list(rig.backends), REPLACED):
        rig.spawn(replace(rig, discoveries, name))
        await asyncio.sleep(WITHIN_S / REPLACED)
    await asyncio.sleep(WATCHED_S)
    for controller in rig.controllers:
        rig.record.say(f"{controller.name}: most lines waiting {controller.channel.most_waiting:.0f}")
    rig.record.say(f"longest use of a backend after the controller was told: {rig.worst_drain:.2f} s")


async def kill(rig: Rig, controller: Controller) -> None:
    """The controller dies and comes back with its last list and nothing else."""
    await asyncio.sleep(KILLED_AFTER_S)
    known = controller.discovery.known()
    await controller.stop()
    rig.record.say(f"{controller.name} is killed")
    await asyncio.sleep(AWAY_S)
    await controller.start(known)
    for zone in rig.settings["zones"]:
        rig.spawn(rig.report(controller, zone, controller.discovery))


async def replace(rig: Rig, discoveries: list[Discovery], name: str) -> None:
    """A backend drains and ends, and another with a new id starts cold in its place."""
    old = rig.backends[name]
    old.phase = "DRAINING"
    successor = await rig.add_backend(old.zone, started=time.time())
    for discovery in discoveries:
        discovery.publish(old, successor)
    await asyncio.sleep(DRAIN_S)
    old.phase = "DELETED"
    for discovery in discoveries:
        discovery.publish(old)
    await old.stop()


if __name__ == "__main__":
    main(Rig(Path(__file__).resolve().parent, kigali_ussd(PROXIES, 2), 3), case)
