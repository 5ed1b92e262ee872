"""A controller is restarted while the backends of one batch of a rolling deploy are away."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import World, main, settings

SETTINGS = settings(
    extra={"agents": 12, "classOwnZone": [False, True]},
    guarantees={"coldNs": 6_000_000_000},
)
BACKENDS = {"north": 3, "south": 7, "east": 7}
DRAIN_S = 2.5
OBSERVED_S = 15.0


async def case(folder: Path) -> int:
    world = World(folder, SETTINGS)
    record = world.record
    try:
        for zone, count in BACKENDS.items():
            for number in range(1, count + 1):
                await world.add_backend(f"s-{zone[0]}{number}", zone)
        world.add_proxies([zone for zone in world.zones for _ in range(4)], 5.0)
        await world.begin()
        await asyncio.sleep(4)
        # The batch: 3 of 17 backends drain together, end, and come back cold under their names.
        batch = [backend for backend in world.backends.values() if backend.zone == "north"]
        await asyncio.gather(*(backend.drain_and_stop(DRAIN_S) for backend in batch))
        await asyncio.sleep(1)
        if world.trouble:
            await world.stop_controller()
            await asyncio.sleep(0.5)
            await world.start_controller()
        else:
            await asyncio.sleep(1)
        await asyncio.sleep(2)
        for backend in batch:
            await backend.restart()
        await asyncio.sleep(world.cold + OBSERVED_S)
        world.check_sound()
        broken = world.unserved_violations()
        for (proxy, group), length in sorted(broken.items()):
            record.write(f"BROKEN proxy {proxy} had no line for {group} during {length:.1f} s")
        record.write("requests:", world.outcomes)
        print(f"{len(broken)} pairs of proxy and class unserved too long, for up to", end=" ")
        print(f"{max(broken.values(), default=0):.1f} s; requests: {world.outcomes}")
        return 1 if broken else 0
    finally:
        await world.end()


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
