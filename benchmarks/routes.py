"""What a flow costs to place among 10, 1,000 and 100,000 locations, compiled and by the plain model; and reading the
records."""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path
from typing import Any

from onyxhead.routing.location_matching import CompiledLocationMatcher, LinearLocationMatcher
from onyxhead.routing.model import Location, Pool, Routing, Server, Target, VirtualHost
from onyxhead.routing.routing_file import format_routing, read_routing


def level(count: int) -> list[Location]:
    """Nine in ten are prefixes of two depths, the rest expressions that begin with text; three may begin anywhere."""
    made = [Location("regex", pattern, Target("p")) for pattern in (r"\.php$", r"\.(gif|png)$", "/edit/")]
    for n in range(count):
        if n % 10 == 9:
            made.append(Location("regex", f"^/r{n}/", Target("p")))
        else:
            made.append(Location("prefix", f"/{n % 997}/{n}/", Target("p")))
    return made


def measure(args: list[str]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for count in (10, 1_000, 100_000):
        locations, chance = level(count), random.Random(1)
        paths = []
        for _ in range(2_000):
            n = chance.randrange(count)
            paths.append(chance.choice([f"/{n % 997}/{n}/a/b", f"/r{n}/x", f"/none/{n}", f"/{n % 997}/{n}/a.php"]))
        began = time.perf_counter()
        compiled = CompiledLocationMatcher(locations)
        made = time.perf_counter() - began
        began = time.perf_counter()
        for path in paths:
            compiled.find(path)
        fast = (time.perf_counter() - began) / len(paths)
        plain, some = LinearLocationMatcher(locations), paths[: 2_000 if count < 100_000 else 20]
        began = time.perf_counter()
        same = sum(plain.find(path) is compiled.find(path) for path in some)
        slow = (time.perf_counter() - began) / len(some)
        assert same == len(some)
        found[str(count)] = {
            "flow_us": round(fast * 1e6, 2),
            "plain_us": round(slow * 1e6, 1),
            "compiling_s": round(made, 3),
        }
    count = int(args[0]) if args else 20_000
    routing = Routing({"p": Pool("p", (Server("a:1"),))}, (VirtualHost(("x",), locations=tuple(level(count))),))
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "a.rec"
        file.write_text(format_routing(routing), encoding="utf-8")
        began = time.perf_counter()
        read_routing(file)
        took = time.perf_counter() - began
        found["records"] = {"lines": len(file.read_text().splitlines()), "read_s": round(took, 2)}
    return found
