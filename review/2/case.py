"""An answer to a mark arrives spoilt at two proxies; seconds later a backend drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import World, main, settings

SETTINGS = settings(extra={"agents": 12})
DRAIN_S = 6.0


async def case(folder: Path) -> int:
    world = World(folder, SETTINGS)
    record = world.record
    try:
        for zone in world.zones:
            for number in (1, 2):
                await world.add_backend(f"s-{zone[0]}{number}", zone)
        world.add_proxies([zone for zone in world.zones for _ in range(4)], 5.0)
        # Two proxies join before the others, and their first answers to a mark arrive spoilt. The usage of the first
        # arrives through its zone's collector; that of the second on its own stream, and no requests come to it for 9 s.
        by_collector, idle = world.proxies[0], world.proxies[1]
        for proxy in (by_collector, idle):
            proxy.first_delay = 0.05
            proxy.spoil_answers = 1 if world.trouble else 0
        by_collector.usage_by_collector = True
        await world.begin()
        await asyncio.sleep(4)
        idle.paused = True
        await asyncio.sleep(6.5)
        drain = asyncio.create_task(world.backends["s-s1"].drain_and_stop(DRAIN_S))
        await asyncio.sleep(4)
        idle.paused = False
        await drain
        await asyncio.sleep(10)
        world.check_sound()
        broken = world.drain_violations
        for at, proxy, group, backend, late in broken:
            record.write(f"BROKEN at {at:.3f} proxy {proxy.number} sent {group} to {backend}, {late:.2f} s too late")
        record.write("requests:", world.outcomes)
        latest = max((late for *_, late in broken), default=0.0)
        print(f"{len(broken)} requests sent too late, by up to {latest:.1f} s, by proxies", end=" ")
        print(sorted({proxy.number for _, proxy, *_ in broken}), f"; requests: {world.outcomes}")
        return 1 if broken else 0
    finally:
        await world.end()


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
