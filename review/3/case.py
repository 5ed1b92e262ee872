"""Streams break just before the backends of one zone drain, in one batch of a rolling deploy."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import World, main, settings

SETTINGS = settings(
    extra={"agents": 12, "classOwnZone": [False, True]},
    guarantees={"drainGraceNs": 1_500_000_000},
)
BACKENDS = {"north": 3, "south": 7, "east": 7}
BROKEN_STREAMS = (0, 1, 4, 5, 8)  # 5 of 12; two of them in north
NOTICE_AND_REDIAL_S = 1.5
DRAIN_S = 6.0
AWAY_S = 4.0


async def case(folder: Path) -> int:
    world = World(folder, SETTINGS)
    record = world.record
    try:
        for zone, count in BACKENDS.items():
            for number in range(1, count + 1):
                await world.add_backend(f"s-{zone[0]}{number}", zone)
        world.add_proxies([zone for zone in world.zones for _ in range(4)], 5.0)
        await world.begin()
        await asyncio.sleep(5)
        if world.trouble:
            for number in BROKEN_STREAMS:
                world.proxies[number].redial_after = NOTICE_AND_REDIAL_S
                world.proxies[number].break_stream()
        await asyncio.sleep(0.3)
        batch = [backend for backend in world.backends.values() if backend.zone == "north"]
        await asyncio.gather(*(backend.drain_and_stop(DRAIN_S) for backend in batch))
        await asyncio.sleep(AWAY_S)
        for backend in batch:
            await backend.restart()
        await asyncio.sleep(4)
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
