"""What it takes to find a request's location among 10, 1,000 and 100,000, compiled and by the plain model; and to
read the routing records."""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.figures import Figures
from onyxhead.routing.location_matching import CompiledLocationMatcher, LinearLocationMatcher
from onyxhead.routing.model import Location, Pool, Routing, Server, Target, VirtualHost
from onyxhead.routing.routing_file import format_routing, read_routing

LOCATION_COUNTS = (10, 1_000, 100_000)
PATHS = 2_000
PLAIN_PATHS_AT_MOST_LOCATIONS = 20
"""How many paths the plain model looks up among the most locations, where one takes it long."""
DEFAULT_RECORDS = 20_000
FREE_PATTERNS = (r"\.php$", r"\.(gif|png)$", "/edit/")
"""Expressions that may match anywhere in a path."""


def create_locations(count: int) -> list[Location]:
    """Return locations of which nine in ten are prefixes of two depths, the rest expressions that begin with text."""
    locations = [Location("regex", pattern, Target("p")) for pattern in FREE_PATTERNS]
    for number in range(count):
        if number % 10 == 9:
            locations.append(Location("regex", f"^/r{number}/", Target("p")))
        else:
            locations.append(Location("prefix", f"/{number % 997}/{number}/", Target("p")))
    return locations


def create_paths(locations: int) -> list[str]:
    """Return paths of requests, most of which one of the locations matches."""
    chance, paths = random.Random(1), []
    for _ in range(PATHS):
        n = chance.randrange(locations)
        paths.append(chance.choice([f"/{n % 997}/{n}/a/b", f"/r{n}/x", f"/none/{n}", f"/{n % 997}/{n}/a.php"]))
    return paths


def measure_lookups(count: int) -> Figures:
    """Measure lookups among so many locations; both ways have to find the same."""
    locations, paths = create_locations(count), create_paths(count)
    started_at = time.perf_counter()
    compiled = CompiledLocationMatcher(locations)
    compiling_time = time.perf_counter() - started_at
    plain = LinearLocationMatcher(locations)
    plain_paths = paths if count < max(LOCATION_COUNTS) else paths[:PLAIN_PATHS_AT_MOST_LOCATIONS]
    compiled_time = _time_per_path(paths, compiled.find)

    def find_both(path: str) -> None:
        assert plain.find(path) is compiled.find(path)

    return {
        "flow_us": round(compiled_time * 1e6, 2),
        "plain_us": round(_time_per_path(plain_paths, find_both) * 1e6, 1),
        "compiling_s": round(compiling_time, 3),
    }


def _time_per_path(paths: list[str], find: Callable[[str], object]) -> float:
    started_at = time.perf_counter()
    for path in paths:
        find(path)
    return (time.perf_counter() - started_at) / len(paths)


def measure_reading(count: int) -> Figures:
    """Measure reading the routing records of so many locations."""
    host = VirtualHost(("x",), locations=tuple(create_locations(count)))
    routing = Routing({"p": Pool("p", (Server("a:1"),))}, (host,))
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "a.rec"
        file.write_text(format_routing(routing), encoding="utf-8")
        started_at = time.perf_counter()
        read_routing(file)
        took = time.perf_counter() - started_at
        return {"lines": len(file.read_text().splitlines()), "read_s": round(took, 2)}


def measure(arguments: list[str]) -> Figures:
    """Measure both; the argument is the number of locations in the records."""
    figures: Figures = {str(count): measure_lookups(count) for count in LOCATION_COUNTS}
    figures["records"] = measure_reading(int(arguments[0]) if arguments else DEFAULT_RECORDS)
    return figures
